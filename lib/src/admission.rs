//! Decides which requests are taken in while more work waits than can be done in time.
//!
//! Load pattern: bursts bring twice the work that the slowest pool of stages can carry, for seconds.
//! If all of it is taken in, every request is late, and results of early stages expire before the
//! later ones have their turn. So a request is taken in while it can be on time; beyond that, only
//! as many as can be served late without waiting long, callers that came back first among them. All
//! others are refused at once and told when there will be room.

use std::time;

use crate::refusal;

/// Shortest pause that a refused caller is given.
pub const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
/// Longest pause that a refused caller is given.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(4);
/// Part of its target within which an answer has to be expected to count as on time. Estimates are
/// off by about the rest; taken in up to the target itself, half of all requests would be late.
const ON_TIME_SHARE: f64 = 0.95;
/// Time by which an answer may be expected to be late.
const MAX_LATENESS: time::Duration = time::Duration::from_millis(300);
/// Part of its time within which a caller that came back has to be served.
const RETRY_BUDGET_SHARE: f64 = 0.6;

/// Work that stands before a request, and the time it has.
#[derive(Clone, Copy, Debug)]
pub struct LatencyEstimate {
    /// Time until its answer is expected to begin, if it goes before late requests.
    pub on_time: time::Duration,
    /// Time until its answer is expected to begin, if it goes after late requests.
    pub late: time::Duration,
    /// Time within which it should begin.
    pub target: time::Duration,
    /// Time that the caller and the route allow.
    pub budget: time::Duration,
    /// Whether the caller was refused before and came back.
    pub is_retry: bool,
}

/// A refusal with the time after which the caller may come back.
#[derive(Clone, Debug)]
pub struct Rejection {
    /// The refusal.
    pub refusal: refusal::Refusal,
    /// When to come back.
    pub retry_after: Option<time::Duration>,
}

/// How a request is taken in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Class {
    /// It should be on time.
    OnTime,
    /// It yields to requests that can be on time.
    Late,
}

/// Takes a request in, or refuses it.
///
/// # Errors
/// Returns the refusal of a request that could not be answered in time.
pub fn decide(load: &LatencyEstimate) -> Result<Class, Rejection> {
    let is_prompt = load.on_time <= load.target.mul_f64(ON_TIME_SHARE);
    if is_prompt && load.on_time < load.budget {
        return Ok(Class::OnTime);
    }
    let longest = load.budget.mul_f64(RETRY_BUDGET_SHARE);
    let limit = if load.is_retry { longest } else { longest.min(load.target + MAX_LATENESS) };
    if load.late < limit {
        return Ok(Class::Late);
    }
    let message = format!(
        "an answer is expected after {} ms, or {} ms behind late ones; {} ms are left",
        load.on_time.as_millis(),
        load.late.as_millis(),
        load.budget.as_millis()
    );
    let kind = refusal::Kind::Overloaded;
    let refusal = refusal::Refusal::new(kind, refusal::Ran::No, message);
    let excess = load.late.saturating_sub(load.target);
    Err(Rejection { refusal, retry_after: Some(excess.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)) })
}
