//! Upstreams of a pool that the next call may go to.
//!
//! Load pattern: inputs of a group have a size of megabytes, and each of its pieces fetches them.
//! The upstreams next to the inputs are often busy for a moment while others are idle.

use std::time;

use crate::batch;
use crate::fleet;
use crate::id;
use crate::roster;
use crate::table;

/// Slowness relative to the fastest usable upstream above which an upstream gets no calls.
const MAX_SLOWNESS_RATIO: f64 = 2.0;

/// Per cent of the usual time by which the paces of two upstreams have to differ to count. A smaller
/// gain is less than fetching inputs from another failure domain costs.
const PACE_STEP: u32 = 25;

/// Upstreams of a pool that may get calls, at least one of which is idle.
pub(super) struct UsableUpstreams<'a> {
    now: time::Duration,
    batching: &'a table::Batching,
    upstreams: Vec<(&'a id::InstanceId, &'a fleet::Upstream)>,
    /// Whether more pieces are queued than half of what one call to each upstream carries, so that
    /// no upstream should be idle.
    has_backlog: bool,
}

impl<'a> UsableUpstreams<'a> {
    /// Finds the upstreams of a pool that may get calls and are not much slower than its fastest
    /// one. `queued` counts the pieces that wait for the pool. Returns `None` if no upstream is
    /// idle.
    pub(super) fn find(
        now: time::Duration,
        pool: &'a roster::PoolId,
        batching: &'a table::Batching,
        fleet: &'a fleet::Fleet,
        queued: usize,
    ) -> Option<Self> {
        let mut upstreams: Vec<_> =
            fleet.pool_upstreams(pool).filter(|(_, up)| up.is_usable(now)).collect();
        upstreams.retain(|(instance, _)| fleet.may_send(now, instance));
        let lowest = upstreams.iter().map(|(_, up)| up.slowness(now)).min_by(f64::total_cmp)?;
        upstreams.retain(|(_, up)| up.slowness(now) <= lowest * MAX_SLOWNESS_RATIO);
        let has_idle = upstreams.iter().any(|(_, up)| up.in_flight == 0);
        let has_backlog = 2 * queued > batching.max_pieces * upstreams.len();
        has_idle.then_some(Self { now, batching, upstreams, has_backlog })
    }

    /// Picks an idle upstream for a group. Prefers upstreams with few calls of other gateways, then
    /// those with enough memory, then those where work takes the least time at this moment, then
    /// those in the failure domain that the group should run in, then those that hold the fewest
    /// bytes of results.
    pub(super) fn pick(
        &self,
        group: &batch::QueuedGroup,
    ) -> Option<(&'a id::InstanceId, &'a fleet::Upstream)> {
        let idle = self.upstreams.iter().filter(|(_, up)| up.in_flight == 0);
        let allowed = idle.filter(|(_, up)| self.may_run(group, &up.entry.domain));
        let best = allowed.min_by_key(|(_, up)| {
            let is_remote = group.is_remote_from(&up.entry.domain);
            let held = up.held_bytes(self.now).0;
            let pace = up.pace(self.now) / PACE_STEP;
            (up.foreign_calls(self.now), !self.has_room(up, group), pace, is_remote, held)
        });
        best.copied()
    }

    /// Returns whether a group may run in a failure domain now. A group that should run in another
    /// one waits for an upstream there while it would still be on time after a full call. Groups
    /// with heavy results do not wait, as they come last before the answer.
    pub(super) fn may_run(&self, group: &batch::QueuedGroup, domain: &id::DomainId) -> bool {
        let Some(near) = group.near_domain().filter(|near| *near != domain) else { return true };
        let wait = self.batching.duration(self.batching.max_pieces);
        let end = self.now + wait + self.batching.duration(group.pieces.len());
        let is_near = |up: &fleet::Upstream| up.entry.domain == *near && self.has_room(up, group);
        let can_wait = !self.has_backlog
            && !group.is_heavy()
            && group.due() >= end
            && self.upstreams.iter().any(|(_, up)| is_near(up));
        !can_wait
    }

    /// Returns whether an upstream has memory for the results of a group.
    fn has_room(&self, upstream: &fleet::Upstream, group: &batch::QueuedGroup) -> bool {
        let held = upstream.held_bytes(self.now).0;
        held + group.result_bytes() <= upstream.usable_memory(self.batching.result_memory).0
    }
}
