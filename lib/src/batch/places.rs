//! Order in which the queued groups of a pool are sent, and groups that are given up.
//!
//! Load pattern: a burst queues more groups than can be on time. In the order of due times each of
//! them would be a little late, and late ones would wait until their callers give up.

use std::collections;
use std::time;

use crate::batch;
use crate::fleet;
use crate::roster;
use crate::shedding;
use crate::shedding::plan;
use crate::table;

/// Time between two searches for groups that cannot be computed in time. A fraction of the shortest
/// call, so that callers hear of it at once.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Place of a group in the order of its pool. Groups are compared by class, then position, then
/// time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Order {
    class: batch::Class,
    /// Position among the groups that yield to others; otherwise 0.
    position: u64,
    /// Due time with the delays of ranks and remote inputs.
    pub(super) time: time::Duration,
}

type Queue = collections::BTreeMap<batch::GroupId, batch::QueuedGroup>;

/// Groups of a pool that cannot be computed in time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GivenUp {
    /// The groups, which were removed from the queue.
    pub groups: Vec<batch::GroupId>,
    /// Time until the backlog of the pool is done.
    pub drain: time::Duration,
}

impl batch::Queues {
    /// Removes the groups of a pool that cannot be computed before the deadlines of their requests.
    /// Returns none if requests are not shed by loss, or if groups were looked for a moment ago.
    pub fn give_up(
        &mut self,
        now: time::Duration,
        pool: &roster::PoolId,
        batching: &table::Batching,
        fleet: &fleet::Fleet,
    ) -> GivenUp {
        let last = self.checked_at.get(pool).copied().unwrap_or_default();
        if self.overload == shedding::Overload::Due || now < last + CHECK_INTERVAL {
            return GivenUp::default();
        }
        self.checked_at.insert(pool.clone(), now);
        let state = self.pool_state(now, pool, batching, fleet);
        let Some(queue) = self.by_pool.get_mut(pool) else { return GivenUp::default() };
        let (jobs, places) = state.places(queue);
        let groups: Vec<_> = queue
            .keys()
            .zip(places)
            .filter(|(_, place)| *place == plan::Place::GivenUp)
            .map(|(id, _)| *id)
            .collect();
        queue.retain(|id, _| !groups.contains(id));
        let drain = state.start() + jobs.iter().map(|job| job.pool_time).sum::<time::Duration>();
        GivenUp { groups, drain }
    }

    /// Returns the state of a pool on which the places of its groups depend. Upstreams that were
    /// full a moment ago count, as they take calls again soon. If none is known that works, the
    /// speed is infinite, so that only groups are given up that no upstream could do in time.
    pub(super) fn pool_state<'a>(
        &self,
        now: time::Duration,
        pool: &roster::PoolId,
        batching: &'a table::Batching,
        fleet: &fleet::Fleet,
    ) -> PoolState<'a> {
        let is_working = |up: &fleet::Upstream| {
            !up.entry.leaving && !up.health.is_ejected(now) && !up.is_paused(now)
        };
        let (mut speed, mut is_busy) = (0.0, true);
        for (_, up) in fleet.pool_upstreams(pool).filter(|(_, up)| is_working(up)) {
            speed += 1.0 / up.slowness(now).max(0.5);
            is_busy &= up.in_flight > 0;
        }
        let rate = self.rates.get(pool).copied().unwrap_or_default();
        let speed = if speed > 0.0 { speed * rate.0 } else { f64::INFINITY };
        let spare_share = self.spare_shares.get(pool).copied().unwrap_or_default().share();
        PoolState { now, batching, speed, is_busy, spare_share }
    }
}

/// State of a pool on which the places of its groups depend.
pub(super) struct PoolState<'a> {
    pub(super) now: time::Duration,
    pub(super) batching: &'a table::Batching,
    /// Speed as a multiple of one upstream at its nominal rate.
    pub(super) speed: f64,
    /// Whether all upstreams are busy.
    pub(super) is_busy: bool,
    /// Share that on-time work leaves free.
    pub(super) spare_share: f64,
}

impl PoolState<'_> {
    /// Returns the time until an upstream is idle. While all are busy, it is half a call of one of
    /// them on average.
    fn start(&self) -> time::Duration {
        if self.is_busy {
            self.batching.duration(self.batching.max_pieces).div_f64(2.0 * self.speed)
        } else {
            time::Duration::ZERO
        }
    }

    /// Returns the jobs and places of the groups in a queue, in the order of their ids.
    fn places(&self, queue: &Queue) -> (Vec<plan::Job>, Vec<plan::Place>) {
        let queued = queue.values().map(|group| group.pieces.len()).sum();
        let jobs: Vec<_> = queue.values().map(|group| self.job(group, queued)).collect();
        let call_time = self.batching.duration(self.batching.max_pieces).div_f64(self.speed);
        let spare_share = self.spare_share;
        let capacity = plan::Capacity { start: self.start(), call_time, spare_share };
        let places = plan::plan(self.now, capacity, &jobs);
        (jobs, places)
    }

    /// Describes a group for the plan. `queued` counts the pieces of all groups.
    fn job(&self, group: &batch::QueuedGroup, queued: usize) -> plan::Job {
        let mut demand = batch::Demand::default();
        demand.insert(group);
        let pool_time =
            time::Duration::from_secs_f64(demand.drain_seconds(self.batching, self.speed));
        let terms = group.pieces.values().next().and_then(|piece| piece.terms);
        // With a backlog, its pieces share their call with as many others as fit.
        let piece_bytes = group.result_bytes() / group.pieces.len().max(1) as u64;
        let memory_pieces = self.batching.result_memory.0 / piece_bytes.max(1);
        let most = usize::try_from(memory_pieces).unwrap_or(usize::MAX);
        let most = most.clamp(1, self.batching.max_pieces.max(1));
        plan::Job {
            is_started: group.is_started,
            rank: group.rank(),
            order: group.priority_time(),
            due: group.due() + batch::DUE_GRACE,
            latest: terms.map_or(time::Duration::MAX, |terms| terms.latest),
            run_time: self.batching.duration(queued.min(most).max(group.pieces.len().min(most))),
            pool_time,
            work: terms.map_or(pool_time, |terms| terms.work),
            is_raised: terms.is_some_and(|terms| terms.is_raised),
        }
    }

    /// Returns the order of groups by the loss of callers, without those that are given up.
    pub(super) fn loss_order(&self, queue: &Queue) -> collections::BTreeMap<batch::GroupId, Order> {
        let (_, places) = self.places(queue);
        let order = |group: &batch::QueuedGroup, place| {
            let (class, position) = match place {
                plan::Place::Started => (batch::Class::Started, 0),
                plan::Place::OnTime => (batch::Class::OnTime, 0),
                plan::Place::Yielding(position) => (batch::Class::Late, position),
                plan::Place::GivenUp => return None,
            };
            Some(Order { class, position, time: group.priority_time() })
        };
        let groups = queue.iter().zip(places);
        groups.filter_map(|((id, group), place)| Some((*id, order(group, place)?))).collect()
    }
}

/// Returns the order of groups by due time.
pub(super) fn due_order(
    now: time::Duration,
    queue: &Queue,
    batching: &table::Batching,
) -> collections::BTreeMap<batch::GroupId, Order> {
    let order = |group: &batch::QueuedGroup| Order {
        class: batch::classify(now, group, batching),
        position: 0,
        time: group.priority_time(),
    };
    queue.iter().map(|(id, group)| (*id, order(group))).collect()
}
