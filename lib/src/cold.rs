//! Rate limits of upstreams: how many calls this gateway may send, without asking anybody, to an
//! upstream that has just started or that states itself how many it takes.
//!
//! Load pattern: a process, a pool or a whole failure domain comes back at once, while calls for
//! popular prompt parts are drawn to its engines by every gateway. A cold upstream crashes at a rate
//! well above its limit, and the limit holds over all gateways together. So the rate is split into
//! quotas of few gateways, and only these call a cold upstream.
//!
//! The folder holds pure decisions: `now` and all inputs come from outside. [`crate::fleet`] applies
//! it to the upstreams of a gateway, and the children of [`crate::gateway`] ask the fleet; nothing
//! else imports it but the modules that carry its figures from the settings and the list.

mod limit;
mod phase;
mod quota;
mod waiting;
mod window;

pub use limit::{Allowance, Limit, Quota, StatedLimit};
pub use phase::{ASSUMED_TIME, Left, Phase};
pub use quota::{Gateway, Order, QUOTA_DELAY, Target};
pub use waiting::{Plan, Waiting, plan, sort};

use std::collections;
use std::time;

use crate::id;

/// Limits the calls of one gateway to cold upstreams.
#[derive(Debug, Default)]
pub struct Limiter {
    quotas: quota::Quotas,
    windows: collections::BTreeMap<id::InstanceId, window::SendWindow>,
}

impl Limiter {
    /// Applies the gateways of a listing. `own` is this one; it has no quota unless it is listed.
    pub fn update_gateways(
        &mut self,
        now: time::Duration,
        own: &id::InstanceId,
        gateways: collections::BTreeMap<id::InstanceId, Gateway>,
    ) {
        self.quotas.update_gateways(now, own, gateways);
    }

    /// Gives up all quotas, until the next listing of gateways is applied.
    pub fn give_up_quotas(&mut self) {
        self.quotas.give_up();
    }

    /// Replaces the upstreams whose rates are or may become limited.
    pub fn update_targets(
        &mut self,
        now: time::Duration,
        targets: collections::BTreeMap<id::InstanceId, Target>,
    ) {
        self.windows
            .retain(|upstream, window| targets.contains_key(upstream) || !window.is_empty(now));
        self.quotas.update_targets(targets);
    }

    /// Returns whether the rate of any upstream is or may become limited.
    pub fn has_targets(&self) -> bool {
        self.quotas.has_targets()
    }

    /// Returns whether this gateway may use a quota for an upstream, whether or not it is used up.
    pub fn has_quota(&self, now: time::Duration, upstream: &id::InstanceId) -> bool {
        self.quotas.usable_from(upstream).is_some_and(|from| from <= now)
    }

    /// Returns the number of gateways that may use a quota for an upstream, if this one is among them.
    pub fn holders(&self, upstream: &id::InstanceId) -> Option<usize> {
        self.quotas.holders(upstream)
    }

    /// Returns whether a call may be sent to a limited upstream now.
    pub fn may_send(
        &self,
        now: time::Duration,
        upstream: &id::InstanceId,
        quota: impl Into<Quota>,
    ) -> bool {
        self.next_send(now, upstream, quota).is_some_and(|at| at <= now)
    }

    /// Returns the earliest time at which a call may be sent to an upstream that is still limited by
    /// then; `None` if this gateway has no quota for it.
    pub fn next_send(
        &self,
        now: time::Duration,
        upstream: &id::InstanceId,
        quota: impl Into<Quota>,
    ) -> Option<time::Duration> {
        let quota = quota.into();
        if quota.calls == 0 {
            return None;
        }
        let usable_from = self.quotas.usable_from(upstream)?;
        let free = self.windows.get(upstream).map(|window| window.next_free(quota));
        Some(usable_from.max(free.unwrap_or_default()).max(now))
    }

    /// Returns the times until `end` at which calls may be sent to an upstream that is limited
    /// until then, one for each call of a window, the earliest first.
    pub fn call_times(
        &self,
        now: time::Duration,
        upstream: &id::InstanceId,
        quota: impl Into<Quota>,
        end: time::Duration,
    ) -> Vec<time::Duration> {
        let Some(usable_from) = self.quotas.usable_from(upstream) else { return Vec::new() };
        let quota = quota.into();
        let window = self.windows.get(upstream);
        let times = (1..=quota.calls).map(|calls| {
            let free = window.map(|window| window.next_free(Quota { calls, ..quota }));
            usable_from.max(now).max(free.unwrap_or_default())
        });
        let mut times: Vec<_> = times.filter(|at| *at < end).collect();
        times.sort_unstable();
        times
    }

    /// Returns the number of calls that were sent to an upstream in the latest window, at most as
    /// many as its quota allowed then.
    pub fn sent_lately(&self, now: time::Duration, upstream: &id::InstanceId) -> usize {
        self.windows.get(upstream).map_or(0, |window| window.count(now))
    }

    /// Records a call at the moment at which it is sent. Calls to a warm upstream count as well,
    /// because it can become cold within the same second.
    pub fn record_sent(
        &mut self,
        now: time::Duration,
        upstream: &id::InstanceId,
        quota: impl Into<Quota>,
    ) {
        self.windows.entry(upstream.clone()).or_default().record(now, quota.into());
    }
}
