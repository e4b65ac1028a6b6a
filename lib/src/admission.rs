//! Decides which requests are taken in while more work waits than can be done in time.
//!
//! Load pattern: bursts bring twice the work that the slowest pool of stages can carry for seconds.
//! A request that cannot be answered before its time is over is refused at once and told when there
//! will be room, so that it neither waits in vain nor takes the place of one that can be served.

use std::time;

use crate::refusal;

/// Weight of a new estimate in the pause that refused callers are given.
const SMOOTHING: f64 = 0.2;
/// Shortest pause that a refused caller is given.
const LEAST_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Longest pause that a refused caller is given.
const LONGEST_PAUSE: time::Duration = time::Duration::from_secs(5);

/// Work that stands before a request, and the time it has.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Time until its answer is expected to begin.
    pub estimate: time::Duration,
    /// Time within which it should begin.
    pub target: time::Duration,
    /// Time that the caller and the route allow.
    pub budget: time::Duration,
}

/// A refusal with the time after which the caller may come back.
#[derive(Clone, Debug)]
pub struct Rejection {
    /// The refusal.
    pub refusal: refusal::Refusal,
    /// When to come back.
    pub pause: Option<time::Duration>,
}

/// State of the admission.
#[derive(Clone, Copy, Debug, Default)]
pub struct Admission {
    excess: f64,
}

impl Admission {
    /// Takes a request in, or refuses it.
    ///
    /// # Errors
    /// Returns the refusal of a request that could not be answered in time.
    pub fn check(&mut self, _now: time::Duration, load: &Load) -> Result<(), Rejection> {
        let excess = load.estimate.saturating_sub(load.target).as_secs_f64();
        self.excess += (excess - self.excess) * SMOOTHING;
        if load.estimate < load.budget {
            return Ok(());
        }
        let message = format!(
            "an answer is expected after {} ms; {} ms are left",
            load.estimate.as_millis(),
            load.budget.as_millis()
        );
        let kind = refusal::Kind::Overloaded;
        let refusal = refusal::Refusal::new(kind, refusal::Ran::No, message);
        Err(Rejection { refusal, pause: Some(self.pause(_now)) })
    }

    /// Returns when a refused caller may come back.
    pub fn pause(&self, _now: time::Duration) -> time::Duration {
        time::Duration::from_secs_f64(self.excess.max(0.0)).clamp(LEAST_PAUSE, LONGEST_PAUSE)
    }
}
