//! Decides which requests are admitted when more work is queued than can be done in time.
//!
//! Load pattern: bursts bring twice the work that the slowest stage can process, for seconds. If
//! all of it were admitted, every request would be late, and results of early stages would expire
//! before the later stages could use them. So a request is admitted while it can be on time. Beyond
//! that, only as many are admitted as can be answered late without a long wait, and callers that
//! retry may wait longer than others. All other requests are refused immediately, with the time
//! after which there should be capacity.

use std::time;

use crate::refusal;

/// Shortest delay that a refused caller is given.
pub const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
/// Longest delay that a refused caller is given.
pub const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(4);
/// Share of its target within which an answer must be expected for the request to count as on time.
/// Estimates are off by about the remaining share. If requests were admitted up to the target
/// itself, half of them would be late.
const ON_TIME_SHARE: f64 = 0.95;
/// Delay after the target within which the answer to a late request must be expected, unless its
/// caller retries.
const MAX_LATENESS: time::Duration = time::Duration::from_millis(300);
/// Share of its budget within which the answer to any late request must be expected. Callers that
/// retry have no other limit.
const MAX_WAIT_SHARE: f64 = 0.6;

/// Estimated latency of a request, and the time limits that it is compared with. All times count
/// from the arrival of the request.
#[derive(Clone, Copy, Debug)]
pub struct LatencyEstimate {
    /// Time until its answer is expected to begin if it is scheduled before late requests.
    pub on_time: time::Duration,
    /// Time until its answer is expected to begin if it is scheduled after all others.
    pub late: time::Duration,
    /// Time within which its answer should begin.
    pub target: time::Duration,
    /// Time within which its answer must begin: the minimum of what the caller and the route allow.
    pub budget: time::Duration,
    /// Whether the caller was probably refused before.
    pub is_retry: bool,
}

/// A refusal with a delay for the caller.
#[derive(Clone, Debug)]
pub struct Rejection {
    /// Kind of the refusal and message to the caller.
    pub refusal: refusal::Refusal,
    /// Time after which the caller may retry; `None` if it is given none.
    pub retry_after: Option<time::Duration>,
}

/// How an admitted request is scheduled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Class {
    /// It is expected to be on time.
    OnTime,
    /// It is expected to be late and yields to requests that can be on time.
    Late,
}

/// Decides whether a request is admitted, and how it is scheduled.
///
/// # Errors
/// Returns the refusal of a request whose answer would be too late.
pub fn decide(estimate: &LatencyEstimate) -> Result<Class, Rejection> {
    let is_on_time = estimate.on_time <= estimate.target.mul_f64(ON_TIME_SHARE);
    if is_on_time && estimate.on_time < estimate.budget {
        return Ok(Class::OnTime);
    }
    let max_wait = estimate.budget.mul_f64(MAX_WAIT_SHARE);
    let limit =
        if estimate.is_retry { max_wait } else { max_wait.min(estimate.target + MAX_LATENESS) };
    if estimate.late < limit {
        return Ok(Class::Late);
    }
    let message = format!(
        "an answer is expected after {} ms, or {} ms behind late ones; {} ms are left",
        estimate.on_time.as_millis(),
        estimate.late.as_millis(),
        estimate.budget.as_millis()
    );
    let kind = refusal::Kind::Overloaded;
    let refusal = refusal::Refusal::new(kind, refusal::Ran::No, message);
    let excess = estimate.late.saturating_sub(estimate.target);
    Err(Rejection { refusal, retry_after: Some(excess.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)) })
}
