//! Limits that adapt: concurrency at an upstream, and a token bucket for rates.

use std::time;

/// Least concurrency that an upstream is given.
const FLOOR: f64 = 1.0;
/// Concurrency of an upstream about which nothing is known yet.
const INITIAL: f64 = 8.0;
/// Latency relative to the best one from which the limit shrinks.
const SHRINK_RATIO: f64 = 3.0;
/// Latency relative to the best one up to which the limit grows.
const GROW_RATIO: f64 = 2.0;
/// Factor by which the limit shrinks.
const SHRINK_FACTOR: f64 = 0.9;
/// Weight of a new sample in the smoothed latency.
const SMOOTHING: f64 = 0.1;
/// Share by which the best latency rises with each slower sample, so that it follows a change.
const BEST_DRIFT: f64 = 0.002;

/// Additive increase, multiplicative decrease of the calls in flight, guided by latency.
#[derive(Debug)]
pub struct Concurrency {
    limit: f64,
    ceiling: f64,
    best: f64,
    mean: f64,
    shrunk: time::Duration,
}

impl Concurrency {
    /// Makes a limit that never exceeds `ceiling`.
    pub fn new(ceiling: u32) -> Self {
        let ceiling = f64::from(ceiling.max(1));
        let limit = INITIAL.min(ceiling);
        Self { limit, ceiling, best: 0.0, mean: 0.0, shrunk: time::Duration::ZERO }
    }

    /// Changes the ceiling.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = f64::from(ceiling.max(1));
        let known = if self.mean == 0.0 { INITIAL } else { self.limit };
        self.limit = known.min(self.ceiling);
    }

    /// Returns the calls allowed at a time.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the smoothed latency of a call.
    pub fn latency(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.mean)
    }

    /// Takes account of a call that took `latency` while `running` calls were in flight.
    pub fn record(&mut self, now: time::Duration, latency: time::Duration, running: u32) {
        let sample = latency.as_secs_f64().max(1e-4);
        self.mean =
            if self.mean == 0.0 { sample } else { self.mean + (sample - self.mean) * SMOOTHING };
        self.best = if self.best == 0.0 || sample < self.best {
            sample
        } else {
            self.best * (1.0 + BEST_DRIFT)
        };
        if self.mean > self.best * SHRINK_RATIO {
            self.shrink(now);
        } else if self.mean < self.best * GROW_RATIO && f64::from(running) >= self.limit - 1.0 {
            self.limit = (self.limit + 1.0 / self.limit).min(self.ceiling);
        }
    }

    /// Takes account of a call that the upstream failed.
    pub fn record_failure(&mut self, now: time::Duration) {
        self.shrink(now);
    }

    fn shrink(&mut self, now: time::Duration) {
        // One decrease per round trip: all calls in flight saw the same congestion.
        if now.saturating_sub(self.shrunk) < time::Duration::from_secs_f64(self.mean) {
            return;
        }
        self.shrunk = now;
        self.limit = (self.limit * SHRINK_FACTOR).max(FLOOR);
    }
}

/// Token bucket.
#[derive(Clone, Debug)]
pub struct Bucket {
    level: f64,
    filled: time::Duration,
}

impl Bucket {
    /// Makes a full bucket.
    pub fn new(now: time::Duration, burst: f64) -> Self {
        Self { level: burst, filled: now }
    }

    /// Takes `amount` if it is there.
    pub fn take(&mut self, now: time::Duration, rate: f64, burst: f64, amount: f64) -> bool {
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
