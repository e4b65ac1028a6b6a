//! Limits that adapt: concurrency at an upstream, and a token bucket for rates.

use std::time;

/// Part of the ceiling below which the limit never falls.
const FLOOR_SHARE: f64 = 0.125;
/// Recent latency relative to the usual one up to which the upstream counts as well.
const LATENCY_TOLERANCE: f64 = 2.0;
/// Least factor by which one sample scales the limit.
const MIN_GRADIENT: f64 = 0.5;
/// Calls beyond the scaled limit that are tried, so that the limit finds its way up.
const PROBE_CALLS: f64 = 1.0;
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
    recent_latency: f64,
    usual_latency: f64,
    sample_count: f64,
    last_decrease: time::Duration,
}

impl ConcurrencyLimit {
    /// Makes a limit that starts at `ceiling` and never exceeds it.
    pub fn new(ceiling: u32) -> Self {
        let ceiling = f64::from(ceiling.max(1));
        let shrunk = time::Duration::ZERO;
        Self {
            limit: ceiling,
            ceiling,
            recent_latency: 0.0,
            usual_latency: 0.0,
            sample_count: 0.0,
            last_decrease: shrunk,
        }
    }

    /// Changes the ceiling.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        let ceiling = f64::from(ceiling.max(1));
        if self.sample_count == 0.0 {
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
        time::Duration::from_secs_f64(self.recent_latency)
    }

    /// Takes account of a call that took `latency` while `running` calls were in flight.
    pub fn record_success(&mut self, latency: time::Duration, running: u32) {
        let sample = latency.as_secs_f64();
        self.sample_count += 1.0;
        // At first both are plain averages, so that the first call does not stand for all.
        let least = 1.0 / self.sample_count;
        self.recent_latency += (sample - self.recent_latency) * least.max(RECENT_SMOOTHING);
        self.usual_latency += (sample - self.usual_latency) * least.max(USUAL_SMOOTHING);
        if f64::from(running) * 2.0 < self.limit {
            // So few calls say nothing about what the upstream could take.
            return;
        }
        let gradient =
            LATENCY_TOLERANCE * self.usual_latency / self.recent_latency.max(f64::MIN_POSITIVE);
        let target = self.limit * gradient.clamp(MIN_GRADIENT, 1.0) + PROBE_CALLS;
        self.set_limit(self.limit + (target - self.limit) * LIMIT_SMOOTHING);
    }

    /// Takes account of a call that the upstream failed.
    pub fn record_failure(&mut self, now: time::Duration) {
        // One decrease per round trip: all calls in flight saw the same trouble.
        if now.saturating_sub(self.last_decrease) >= self.latency() {
            self.last_decrease = now;
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
    tokens: f64,
    last_refill: time::Duration,
}

impl TokenBucket {
    /// Makes a full bucket.
    pub fn new(now: time::Duration, burst: f64) -> Self {
        Self { tokens: burst, last_refill: now }
    }

    /// Takes `amount` if it is there.
    pub fn try_take(&mut self, now: time::Duration, rate: f64, burst: f64, amount: f64) -> bool {
        self.refill(now, rate, burst);
        let enough = self.tokens >= amount;
        if enough {
            self.tokens -= amount;
        }
        enough
    }

    /// Takes `amount` even if the level falls below zero, for costs known only afterwards.
    pub fn charge(&mut self, now: time::Duration, rate: f64, burst: f64, amount: f64) {
        self.refill(now, rate, burst);
        self.tokens -= amount;
    }

    /// Whether the level is above zero.
    pub fn has_credit(&mut self, now: time::Duration, rate: f64, burst: f64) -> bool {
        self.refill(now, rate, burst);
        self.tokens > 0.0
    }

    fn refill(&mut self, now: time::Duration, rate: f64, burst: f64) {
        let gained = now.saturating_sub(self.last_refill).as_secs_f64() * rate;
        self.tokens = (self.tokens + gained).min(burst);
        self.last_refill = now;
    }
}
