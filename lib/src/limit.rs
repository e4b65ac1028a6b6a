//! Limits that adapt: concurrency at an upstream, and a token bucket for rates.

use std::time;

/// Part of the ceiling below which the limit never falls.
const FLOOR_SHARE: f64 = 0.125;
/// Recent latency relative to the usual one up to which the upstream counts as well.
const TOLERANCE: f64 = 2.0;
/// Least factor by which one sample scales the limit.
const LEAST_GRADIENT: f64 = 0.5;
/// Calls beyond the scaled limit that are tried, so that the limit finds its way up.
const PROBE: f64 = 1.0;
/// Weight of a new sample in the limit.
const LIMIT_SMOOTHING: f64 = 0.1;
/// Weight of a new sample in the recent latency.
const RECENT_SMOOTHING: f64 = 0.05;
/// Weight of a new sample in the usual latency.
const USUAL_SMOOTHING: f64 = 0.002;
/// Factor by which a failure shrinks the limit.
const FAILURE_FACTOR: f64 = 0.9;

/// Limit on the calls in flight, guided by how recent latencies compare with usual ones.
///
/// Both latencies are averages over many calls, because calls differ: a long generation among
/// short ones is no sign of congestion, while many slow calls in a row are.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    ceiling: f64,
    recent: f64,
    usual: f64,
    samples: f64,
    shrunk: time::Duration,
}

impl ConcurrencyLimit {
    /// Makes a limit that starts at `ceiling` and never exceeds it.
    pub fn new(ceiling: u32) -> Self {
        let ceiling = f64::from(ceiling.max(1));
        let shrunk = time::Duration::ZERO;
        Self { limit: ceiling, ceiling, recent: 0.0, usual: 0.0, samples: 0.0, shrunk }
    }

    /// Changes the ceiling.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        let ceiling = f64::from(ceiling.max(1));
        if self.samples == 0.0 {
            self.limit = ceiling;
        }
        self.ceiling = ceiling;
        self.set_limit(self.limit);
    }

    /// Returns the calls allowed at a time.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the smoothed latency of a call.
    pub fn latency(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.recent)
    }

    /// Takes account of a call that took `latency` while `running` calls were in flight.
    pub fn record_success(&mut self, latency: time::Duration, running: u32) {
        let sample = latency.as_secs_f64();
        self.samples += 1.0;
        // At first both are plain averages, so that the first call does not stand for all.
        let least = 1.0 / self.samples;
        self.recent += (sample - self.recent) * least.max(RECENT_SMOOTHING);
        self.usual += (sample - self.usual) * least.max(USUAL_SMOOTHING);
        if f64::from(running) * 2.0 < self.limit {
            // So few calls say nothing about what the upstream could take.
            return;
        }
        let gradient = TOLERANCE * self.usual / self.recent.max(f64::MIN_POSITIVE);
        let target = self.limit * gradient.clamp(LEAST_GRADIENT, 1.0) + PROBE;
        self.set_limit(self.limit + (target - self.limit) * LIMIT_SMOOTHING);
    }

    /// Takes account of a call that the upstream failed.
    pub fn record_failure(&mut self, now: time::Duration) {
        // One decrease per round trip: all calls in flight saw the same trouble.
        if now.saturating_sub(self.shrunk) >= self.latency() {
            self.shrunk = now;
            self.set_limit(self.limit * FAILURE_FACTOR);
        }
    }

    fn set_limit(&mut self, limit: f64) {
        let floor = (self.ceiling * FLOOR_SHARE).max(1.0);
        self.limit = limit.clamp(floor, self.ceiling);
    }
}

/// Token bucket.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    level: f64,
    filled: time::Duration,
}

impl TokenBucket {
    /// Makes a full bucket.
    pub fn new(now: time::Duration, burst: f64) -> Self {
        Self { level: burst, filled: now }
    }

    /// Takes `amount` if it is there.
    pub fn try_take(&mut self, now: time::Duration, rate: f64, burst: f64, amount: f64) -> bool {
        self.fill(now, rate, burst);
        let enough = self.level >= amount;
        if enough {
            self.level -= amount;
        }
        enough
    }

    /// Takes `amount` even if the level falls below zero, for costs known only afterwards.
    pub fn charge(&mut self, now: time::Duration, rate: f64, burst: f64, amount: f64) {
        self.fill(now, rate, burst);
        self.level -= amount;
    }

    /// Whether the level is above zero.
    pub fn has_credit(&mut self, now: time::Duration, rate: f64, burst: f64) -> bool {
        self.fill(now, rate, burst);
        self.level > 0.0
    }

    fn fill(&mut self, now: time::Duration, rate: f64, burst: f64) {
        let gained = now.saturating_sub(self.filled).as_secs_f64() * rate;
        self.level = (self.level + gained).min(burst);
        self.filled = now;
    }
}
