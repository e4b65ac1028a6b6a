//! What callers lose if a request is not answered, relative to the work that it needs.
//!
//! Load pattern: kinds of requests of different rank and size compete for the same pool. A request
//! whose first stages are done needs little more work, while what was done for it is lost if it is
//! turned away.

use std::time;

/// Ratio between the losses of requests whose ranks differ by one. Operators rank kinds of requests
/// so that one of a higher rank is worth several of the next lower one.
const RANK_RATIO: f64 = 8.0;
/// Loss of a request that can only be late, as a share of that of one that can be on time.
const LATE_SHARE: f64 = 0.5;
/// Lowest work in seconds, so that the loss per unit of work is finite.
const MIN_WORK: f64 = 0.000_1;

/// What the batcher of a pool has to know of a request to judge its loss.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Terms {
    /// Time by which the stage has to end for an answer before the deadline of the request.
    pub latest: time::Duration,
    /// Work that the request still needs at the bottleneck of its route, including this stage.
    pub work: time::Duration,
    /// Whether it goes before requests of all ranks, because its kind is served too rarely.
    pub is_raised: bool,
}

/// Times and rank by which the loss of a request is judged.
#[derive(Clone, Copy, Debug)]
pub struct Prospect {
    /// Rank of the request; 0 is the highest priority.
    pub rank: u8,
    /// Earliest time at which the work at hand can end.
    pub end: time::Duration,
    /// Time by which it has to end for the answer to be on time.
    pub due: time::Duration,
    /// Time by which it has to end for an answer before the deadline.
    pub latest: time::Duration,
}

impl Prospect {
    /// Returns the loss of the caller if the request is turned away; zero if it cannot be answered
    /// before its deadline in any case.
    pub fn loss(&self) -> f64 {
        let on_time = RANK_RATIO.powi(-i32::from(self.rank));
        if self.end > self.latest {
            0.0
        } else if self.end > self.due {
            on_time * LATE_SHARE
        } else {
            on_time
        }
    }

    /// Returns the loss per second of `work` that the request still needs at the bottleneck of its
    /// route. Work that was already done does not count.
    pub fn loss_per_work(&self, work: time::Duration) -> f64 {
        self.loss() / work.as_secs_f64().max(MIN_WORK)
    }
}
