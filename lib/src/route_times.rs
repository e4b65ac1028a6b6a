//! What a gateway learns of the times of one route: how its estimates compare with what comes of
//! them, how long its runs take, and how much time its callers allow.

use std::time;

/// Time that a run is expected to take until its answer begins, before one was seen.
const INITIAL_RUN_TIME: time::Duration = time::Duration::from_millis(250);
/// Weight of a new sample in the time of the runs.
const RUN_SMOOTHING: f64 = 0.1;
/// Weight of a new sample in the bias of the estimates.
const BIAS_SMOOTHING: f64 = 0.1;
/// Least bias of estimates.
const MIN_BIAS: f64 = 0.8;
/// Largest bias of estimates.
const MAX_BIAS: f64 = 1.25;
/// Part of the longest time that callers allow, below which one has come back: the times that they
/// begin with differ by less.
const RETRY_BUDGET_SHARE: f64 = 0.84;
/// Part of that time that callers begin with on average.
const FIRST_BUDGET_SHARE: f64 = 0.92;

/// Times of one route.
#[derive(Clone, Copy, Debug)]
pub struct RouteTimes {
    /// Factor by which estimates have to be corrected.
    pub estimate_bias: f64,
    /// Time from the call of the upstream that answers to the beginning of the answer.
    pub run_time: time::Duration,
    longest_budget: time::Duration,
}

impl Default for RouteTimes {
    fn default() -> Self {
        Self {
            estimate_bias: 1.0,
            run_time: INITIAL_RUN_TIME,
            longest_budget: time::Duration::ZERO,
        }
    }
}

impl RouteTimes {
    /// Learns from an answer that begins `actual` after its request came and `run` after the call.
    /// The estimate is zero if nothing can be learned for estimates.
    pub fn record(
        &mut self,
        estimate: time::Duration,
        actual: time::Duration,
        run: time::Duration,
    ) {
        self.run_time = self.run_time.mul_f64(1.0 - RUN_SMOOTHING) + run.mul_f64(RUN_SMOOTHING);
        if estimate.is_zero() {
            return;
        }
        let ratio = self.estimate_bias * actual.as_secs_f64() / estimate.as_secs_f64();
        self.estimate_bias += (ratio - self.estimate_bias) * BIAS_SMOOTHING;
        self.estimate_bias = self.estimate_bias.clamp(MIN_BIAS, MAX_BIAS);
    }

    /// Returns the time that a caller spent on an earlier try, zero if this is its first: callers of
    /// a route begin with the same time, and one that comes back has less left.
    pub fn estimate_spent(&mut self, budget: time::Duration) -> time::Duration {
        self.longest_budget = budget.max(self.longest_budget);
        if budget < self.longest_budget.mul_f64(RETRY_BUDGET_SHARE) {
            self.longest_budget.mul_f64(FIRST_BUDGET_SHARE).saturating_sub(budget)
        } else {
            time::Duration::ZERO
        }
    }
}
