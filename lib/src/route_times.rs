//! Observed times of one route: the bias of its estimates, the time that upstreams take to begin an
//! answer, and the time that callers allow.

use std::time;

/// Time until an upstream begins its answer, before the first sample.
const INITIAL_RUN_TIME: time::Duration = time::Duration::from_millis(250);
/// Weight of a new sample in the run time.
const RUN_SMOOTHING: f64 = 0.1;
/// Weight of a new sample in the bias of the estimates.
const BIAS_SMOOTHING: f64 = 0.1;
/// Lower limit of the bias.
const MIN_BIAS: f64 = 0.8;
/// Upper limit of the bias.
const MAX_BIAS: f64 = 1.25;
/// Share of the longest budget of a route's callers below which a request counts as a retry. The
/// budgets of first attempts differ by less than that.
const RETRY_BUDGET_SHARE: f64 = 0.84;
/// Average budget of first attempts, as a share of the longest one.
const FIRST_BUDGET_SHARE: f64 = 0.92;

/// Observed times of one route.
#[derive(Clone, Copy, Debug)]
pub struct RouteTimes {
    /// Factor by which estimates have to be multiplied.
    pub estimate_bias: f64,
    /// Smoothed time from the call of the upstream that answers to the start of its answer.
    pub run_time: time::Duration,
    /// Longest budget of a caller so far.
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
    /// Records an answer that began `latency` after the arrival of its request and `run_time` after
    /// the call. A zero `estimate` means that the bias cannot be updated from this answer.
    pub fn record(
        &mut self,
        estimate: time::Duration,
        latency: time::Duration,
        run_time: time::Duration,
    ) {
        self.run_time =
            self.run_time.mul_f64(1.0 - RUN_SMOOTHING) + run_time.mul_f64(RUN_SMOOTHING);
        if estimate.is_zero() {
            return;
        }
        let ratio = self.estimate_bias * latency.as_secs_f64() / estimate.as_secs_f64();
        self.estimate_bias += (ratio - self.estimate_bias) * BIAS_SMOOTHING;
        self.estimate_bias = self.estimate_bias.clamp(MIN_BIAS, MAX_BIAS);
    }

    /// Estimates the time that a caller spent on an earlier attempt, or zero for a first attempt.
    /// All callers of a route start with similar budgets, and one that retries has less left.
    pub fn estimate_spent(&mut self, budget: time::Duration) -> time::Duration {
        self.longest_budget = budget.max(self.longest_budget);
        if budget < self.longest_budget.mul_f64(RETRY_BUDGET_SHARE) {
            self.longest_budget.mul_f64(FIRST_BUDGET_SHARE).saturating_sub(budget)
        } else {
            time::Duration::ZERO
        }
    }
}
