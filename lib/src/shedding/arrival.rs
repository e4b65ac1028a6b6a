//! Decides which requests are admitted if requests are shed by loss.
//!
//! Load pattern: during a burst, the estimate of most requests is a little above what is on time.
//! If they were admitted behind all requests that can be on time, they would wait until their
//! deadline, because such requests keep arriving. So a late request is admitted only if its estimate, which includes what
//! others will take until then, leaves time; and it keeps its due time, by which the pools decide
//! again which requests yield.

use std::time;

use crate::admission;
use crate::refusal;
use crate::shedding::shares;

/// Part of the backlog after whose drain a refused caller may return. Half of it leaves time for a
/// second attempt, and the returning callers arrive while the backlog still keeps the pools busy.
const RETURN_SHARE: f64 = 0.5;
/// Largest part of a delay by which it is made longer, so that callers do not return together.
const SPREAD: f64 = 0.5;

/// Part of its budget after which the caller of a kind that yields may return. A quarter of the budget
/// leaves time for more attempts, and is long enough to tell such callers from new ones.
const YIELD_SHARE: f64 = 0.25;

/// Decides whether a request is admitted, and how it is scheduled. `draw` is a random number from 0
/// to 1 that spreads the delays of refused callers.
///
/// # Errors
/// Returns the refusal of a request whose answer would be too late, or whose kind yields.
pub fn decide(
    estimate: &admission::LatencyEstimate,
    standing: shares::Standing,
    draw: f64,
) -> Result<admission::Class, admission::Rejection> {
    match standing {
        shares::Standing::Raised if estimate.on_time < estimate.budget => {
            return Ok(admission::Class::OnTime);
        }
        shares::Standing::Yields => {
            let message = "requests of a higher rank are refused at present";
            let kind = refusal::Kind::Overloaded;
            let refusal = refusal::Refusal::new(kind, refusal::Ran::No, message);
            let delay = retry_delay(estimate.budget.mul_f64(YIELD_SHARE), draw);
            return Err(admission::Rejection { refusal, retry_after: Some(delay) });
        }
        shares::Standing::Raised | shares::Standing::Usual => {}
    }
    admission::decide(estimate).map_err(|rejection| {
        let delay = retry_delay(estimate.on_time.mul_f64(RETURN_SHARE), draw);
        admission::Rejection { retry_after: Some(delay), ..rejection }
    })
}

/// Returns the delay of a caller after which a backlog that takes `drain` is done, spread over
/// callers by a random number from 0 to 1.
pub fn retry_delay(drain: time::Duration, draw: f64) -> time::Duration {
    let delay = drain.mul_f64(1.0 + SPREAD * draw);
    delay.clamp(admission::MIN_RETRY_DELAY, admission::MAX_RETRY_DELAY)
}
