//! Adaptive limit on the concurrency at an upstream, and a token bucket for rates.

use std::time;

/// Share of the ceiling below which the limit never falls.
const FLOOR_SHARE: f64 = 0.125;
/// Recent latency, as a multiple of the usual one, up to which the limit is not reduced.
const LATENCY_TOLERANCE: f64 = 2.0;
/// Smallest factor by which one sample scales the limit, before smoothing.
const MIN_GRADIENT: f64 = 0.5;
/// Number of calls added to the scaled limit, so that it can grow.
const PROBE_CALLS: f64 = 1.0;
/// Weight of a new target in the limit.
const LIMIT_SMOOTHING: f64 = 0.1;
/// Weight of a new sample in the moving average of the recent latency.
const RECENT_SMOOTHING: f64 = 0.05;
/// Weight of a new sample in the moving average of the usual latency.
const USUAL_SMOOTHING: f64 = 0.002;
/// Factor by which a failure reduces the limit.
const FAILURE_FACTOR: f64 = 0.9;

/// Limit on the calls in flight, derived from the ratio of the recent to the usual latency.
///
/// Both latencies are averages over many calls, because calls differ in length: one long generation
/// among short ones is no sign of congestion, while many slow calls in a row are.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    ceiling: f64,
    /// Moving average with the weight [`RECENT_SMOOTHING`], in seconds.
    recent_latency: f64,
    /// Moving average with the weight [`USUAL_SMOOTHING`], in seconds.
    usual_latency: f64,
    sample_count: f64,
    last_decrease: time::Duration,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `ceiling` calls and never exceeds it.
    pub fn new(ceiling: u32) -> Self {
        let ceiling = f64::from(ceiling.max(1));
        let last_decrease = time::Duration::ZERO;
        Self {
            limit: ceiling,
            ceiling,
            recent_latency: 0.0,
            usual_latency: 0.0,
            sample_count: 0.0,
            last_decrease,
        }
    }

    /// Changes the ceiling. Before the first completed call the limit is set to it.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        let ceiling = f64::from(ceiling.max(1));
        if self.sample_count == 0.0 {
            self.limit = ceiling;
        }
        self.ceiling = ceiling;
        self.set_limit(self.limit);
    }

    /// Returns the number of calls that may be in flight.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the moving average of recent latencies; zero before the first completed call.
    pub fn latency(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.recent_latency)
    }

    /// Records a completed call that took `latency` while `running` calls were in flight.
    pub fn record_success(&mut self, latency: time::Duration, running: u32) {
        let sample = latency.as_secs_f64();
        self.sample_count += 1.0;
        // Both start as plain averages, so that the first call does not dominate them.
        let min_weight = 1.0 / self.sample_count;
        self.recent_latency += (sample - self.recent_latency) * min_weight.max(RECENT_SMOOTHING);
        self.usual_latency += (sample - self.usual_latency) * min_weight.max(USUAL_SMOOTHING);
        if f64::from(running) * 2.0 < self.limit {
            // With less than half the limit in use, the latency shows nothing about the capacity.
            return;
        }
        let gradient =
            LATENCY_TOLERANCE * self.usual_latency / self.recent_latency.max(f64::MIN_POSITIVE);
        let target = self.limit * gradient.clamp(MIN_GRADIENT, 1.0) + PROBE_CALLS;
        self.set_limit(self.limit + (target - self.limit) * LIMIT_SMOOTHING);
    }

    /// Records a failed call, and reduces the limit unless another failure reduced it less than
    /// [`Self::latency`] ago.
    pub fn record_failure(&mut self, now: time::Duration) {
        // At most one decrease per round trip, as all calls in flight fail for the same reason.
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

/// Token bucket. The caller passes the rate in tokens per second and the capacity, `burst`, to each
/// call, so that they can change at any time.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    last_refill: time::Duration,
}

impl TokenBucket {
    /// Creates a bucket with `burst` tokens.
    pub fn new(now: time::Duration, burst: f64) -> Self {
        Self { tokens: burst, last_refill: now }
    }

    /// Takes `amount` tokens if there are as many; returns whether it took them.
    pub fn try_take(&mut self, now: time::Duration, rate: f64, burst: f64, amount: f64) -> bool {
        self.refill(now, rate, burst);
        let has_enough = self.tokens >= amount;
        if has_enough {
            self.tokens -= amount;
        }
        has_enough
    }

    /// Takes `amount` tokens even if their number becomes negative, for costs that are known only
    /// afterwards.
    pub fn charge(&mut self, now: time::Duration, rate: f64, burst: f64, amount: f64) {
        self.refill(now, rate, burst);
        self.tokens -= amount;
    }

    /// Whether the number of tokens is above zero.
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
