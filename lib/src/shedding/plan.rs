//! Chooses which queued groups of one pool are sent in time, and which yield or are given up.
//!
//! Load pattern: the queue of a pool holds more work than it can do before the groups are due. In
//! the order of due times alone, each group would be a little late. So groups are taken in the order
//! of their due times, and whenever one of them would miss its due time, the one with the lowest
//! loss per unit of work among those taken so far has to yield. This keeps the number of groups on
//! time as high as possible (the rule of Moore and Hodgson, weighted by loss).
//!
//! Groups that yield share what others leave of the pool. One that would end after the deadline of
//! its request is given up, so that its caller is not held in vain.

use std::cmp;
use std::collections;
use std::time;

use crate::shedding::loss;

/// Queued work of one group.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Whether some of its pieces were already sent.
    pub is_started: bool,
    /// Rank of the request; 0 is the highest priority.
    pub rank: u8,
    /// Time by which groups are ordered that are expected to be on time.
    pub order: time::Duration,
    /// Time by which the group has to end to be on time.
    pub due: time::Duration,
    /// Time by which it has to end for an answer before the deadline of the request.
    pub latest: time::Duration,
    /// Time from its start to its end.
    pub run_time: time::Duration,
    /// Time for which it occupies the whole pool.
    pub pool_time: time::Duration,
    /// Work that its request still needs at the bottleneck of its route.
    pub work: time::Duration,
    /// Whether it yields only after all groups that are not raised, because its kind is served too
    /// rarely.
    pub is_raised: bool,
}

/// State of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Time until an upstream is idle.
    pub start: time::Duration,
    /// Time in which the whole pool does the work of one full call.
    pub call_time: time::Duration,
    /// Share that work which can be on time leaves free.
    pub spare_share: f64,
}

/// What happens to a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// It goes first, because others of its pieces were sent.
    Started,
    /// It is expected to be on time.
    OnTime,
    /// It yields to groups that can be on time. The number is its position among such groups.
    Yielding(u64),
    /// It cannot be computed before the deadline of its request.
    GivenUp,
}

/// A group that was taken, ordered by how soon it has to yield.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Taken {
    loss_per_work: f64,
    index: usize,
}

impl Eq for Taken {}

impl Ord for Taken {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        let by_loss = other.loss_per_work.total_cmp(&self.loss_per_work);
        by_loss.then(self.index.cmp(&other.index))
    }
}

impl PartialOrd for Taken {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Returns the place of each group, in the order of `jobs`.
pub fn plan(now: time::Duration, capacity: Capacity, jobs: &[Job]) -> Vec<Place> {
    let mut places = vec![Place::OnTime; jobs.len()];
    let mut queued = capacity.start;
    for (place, job) in places.iter_mut().zip(jobs) {
        if job.is_started {
            *place = Place::Started;
            queued += job.pool_time;
        }
    }
    let mut order: Vec<usize> = (0..jobs.len()).filter(|i| !jobs[*i].is_started).collect();
    order.sort_by_key(|index| (jobs[*index].order, *index));
    let mut taken = collections::BinaryHeap::new();
    for index in order {
        let job = &jobs[index];
        if now + job.run_time > job.due {
            places[index] = Place::Yielding(0);
            continue;
        }
        taken.push(Taken { loss_per_work: loss_per_work_now(now, job), index });
        queued += job.pool_time;
        let must_yield = |queued: time::Duration| {
            now + queued.saturating_sub(job.pool_time) + job.run_time > job.due
        };
        while must_yield(queued) {
            let Some(Taken { index: yielding, .. }) = taken.pop() else { break };
            queued = queued.saturating_sub(jobs[yielding].pool_time);
            places[yielding] = Place::Yielding(0);
            if yielding == index {
                break;
            }
        }
    }
    place_yielding(now, queued, capacity, jobs, &mut places);
    places
}

/// Orders the groups that yield by their loss per unit of work, and gives up those that would end
/// too late. `queued` is the time until the groups before them are done.
fn place_yielding(
    now: time::Duration,
    queued: time::Duration,
    capacity: Capacity,
    jobs: &[Job],
    places: &mut [Place],
) {
    let mut yielding: Vec<usize> =
        (0..jobs.len()).filter(|index| places[*index] == Place::Yielding(0)).collect();
    let key = |index: &usize| (loss_per_work_now(now, &jobs[*index]), jobs[*index].order);
    yielding.sort_by(|a, b| {
        let (a, b) = (key(a), key(b));
        b.0.total_cmp(&a.0).then(a.1.cmp(&b.1))
    });
    // Groups that yield fill calls that others leave free, so the first one waits until a whole call
    // is left.
    let first = if capacity.spare_share < 1.0 { capacity.call_time } else { time::Duration::ZERO };
    let mut ahead = time::Duration::ZERO;
    let mut position = 0;
    for index in yielding {
        let job = &jobs[index];
        let wait = queued + (ahead + job.pool_time).max(first).div_f64(capacity.spare_share);
        if now + wait + job.run_time > job.latest {
            places[index] = Place::GivenUp;
        } else {
            places[index] = Place::Yielding(position);
            position += 1;
            ahead += job.pool_time;
        }
    }
    for (place, job) in places.iter_mut().zip(jobs) {
        if now + job.run_time > job.latest {
            *place = Place::GivenUp;
        }
    }
}

/// Returns the loss per unit of work of a group if it started now.
fn loss_per_work_now(now: time::Duration, job: &Job) -> f64 {
    if job.is_raised {
        return f64::INFINITY;
    }
    let (rank, end) = (job.rank, now + job.run_time);
    let prospect = loss::Prospect { rank, end, due: job.due, latest: job.latest };
    prospect.loss_per_work(job.work)
}
