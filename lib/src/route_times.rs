//! What a gateway learns of the times of one route: how its estimates compare with what comes of
//! them, how long its runs take, and how much time its callers allow.

use std::time;

/// Time that a run is expected to take until its answer begins, before one was seen.
const RUN_TIME: time::Duration = time::Duration::from_millis(250);
/// Weight of a new sample in the time of the runs.
const RUN_SMOOTHING: f64 = 0.1;
/// Weight of a new sample in the bias of the estimates.
const BIAS_SMOOTHING: f64 = 0.1;
/// Least bias of estimates.
const LEAST_BIAS: f64 = 0.8;
/// Largest bias of estimates.
const LARGEST_BIAS: f64 = 1.25;
/// Part of the longest time that callers allow, below which one has come back: the times that they
/// begin with differ by less.
const RETURN_SHARE: f64 = 0.84;
/// Part of that time that callers begin with on average.
const USUAL_SHARE: f64 = 0.92;

/// Times of one route.
#[derive(Clone, Copy, Debug)]
pub struct RouteTimes {
    /// Factor by which estimates have to be corrected.
    pub bias: f64,
    /// Time from the call of the upstream that answers to the beginning of the answer.
    pub run: time::Duration,
    longest: time::Duration,
}

impl Default for RouteTimes {
    fn default() -> Self {
        Self { bias: 1.0, run: RUN_TIME, longest: time::Duration::ZERO }
    }
}

impl RouteTimes {
    /// Learns from an answer that begins `actual` after its request came and `run` after the call.
    /// The estimate is zero if nothing can be learned for estimates.
    pub fn learn(&mut self, estimate: time::Duration, actual: time::Duration, run: time::Duration) {
        self.run = self.run.mul_f64(1.0 - RUN_SMOOTHING) + run.mul_f64(RUN_SMOOTHING);
        if estimate.is_zero() {
            return;
        }
        let ratio = self.bias * actual.as_secs_f64() / estimate.as_secs_f64();
        self.bias += (ratio - self.bias) * BIAS_SMOOTHING;
        self.bias = self.bias.clamp(LEAST_BIAS, LARGEST_BIAS);
    }

    /// Returns the time that a caller spent on an earlier try, zero if this is its first: callers of
    /// a route begin with the same time, and one that comes back has less left.
    pub fn spent(&mut self, budget: time::Duration) -> time::Duration {
        self.longest = budget.max(self.longest);
        if budget < self.longest.mul_f64(RETURN_SHARE) {
            self.longest.mul_f64(USUAL_SHARE).saturating_sub(budget)
        } else {
            time::Duration::ZERO
        }
    }
}
