//! Which upstreams of a fleet take few calls, because they are cold or state so themselves, and whether
//! this gateway may call them.

use std::collections;
use std::time;

use super::{Fleet, ListEntry, Upstream};
use crate::cold;
use crate::id;
use crate::roster;
use crate::stated_limits;
use crate::unit;
use crate::upstream_notice;

impl Upstream {
    /// Returns the time from which it is warm, if its service has a limit for cold upstreams. It
    /// counts as cold while it is ejected, too, because it may have restarted in the meantime.
    fn warm_from(&self) -> time::Duration {
        let after_ejection = self.health.ejected_until().map(|end| end + cold::ASSUMED_TIME);
        self.cold.end().max(after_ejection.unwrap_or_default())
    }

    /// Returns the limit that it has stated, with the time at which that is forgotten.
    fn stated_limit(&self, now: time::Duration) -> Option<(cold::StatedLimit, time::Duration)> {
        let statement = self.stated.filter(|statement| now < statement.end())?;
        Some((cold::StatedLimit(statement.rate?), statement.end()))
    }

    /// Returns whether it states a limit at present, so that an answer without one is news.
    pub fn states_limit(&self, now: time::Duration) -> bool {
        self.stated_limit(now).is_some()
    }
}

impl Fleet {
    /// Sets the limits of services whose upstreams take few calls while they are cold.
    pub fn set_cold_limits(
        &mut self,
        now: time::Duration,
        limits: collections::BTreeMap<id::ServiceId, cold::Limit>,
    ) {
        self.cold_limits = limits;
        self.update_limit_targets(now);
    }

    /// Sets the services for whose upstreams one gateway of a region forms the batches.
    pub fn set_batched(&mut self, services: collections::BTreeSet<id::ServiceId>) {
        self.batched = services;
    }

    /// Records the limit that a process stated in the answer to a call that was sent at `sent_at`.
    /// Returns whether it has changed.
    pub fn record_limit(
        &mut self,
        now: time::Duration,
        sent_at: time::Duration,
        process: &upstream_notice::Process,
        limit: stated_limits::LimitNotice,
    ) -> bool {
        let is_changed = self.stated.record(now, sent_at, process, limit);
        self.apply_stated(now, process, is_changed);
        is_changed
    }

    /// Adopts a statement that another gateway has received, unless a later one is known. Returns whether
    /// the limit has changed.
    pub fn adopt_limit(
        &mut self,
        now: time::Duration,
        relayed: &stated_limits::RelayedLimit,
    ) -> bool {
        let is_changed = self.stated.adopt(now, relayed);
        self.apply_stated(now, &relayed.process, is_changed);
        is_changed
    }

    fn apply_stated(
        &mut self,
        now: time::Duration,
        process: &upstream_notice::Process,
        is_changed: bool,
    ) {
        let upstream = self.upstreams.get_mut(&process.instance);
        if let Some(upstream) = upstream.filter(|up| up.entry.started_ms == process.started_ms) {
            upstream.stated = self.stated.get(process).copied();
        }
        if is_changed {
            self.update_limit_targets(now);
        }
    }

    /// Returns the statements of all upstreams.
    pub fn stated_limits(&self) -> &stated_limits::StatedLimits {
        &self.stated
    }

    /// Returns the rate that a process takes from all gateways together, if it states one.
    pub fn stated_rate(&self, process: &upstream_notice::Process) -> Option<unit::PerSecond> {
        self.stated.get(process)?.rate
    }

    /// Applies the live gateways, among which the calls to cold upstreams are divided.
    pub fn set_gateways(
        &mut self,
        now: time::Duration,
        own: &id::InstanceId,
        roster: &roster::Roster,
    ) {
        let gateways = roster.peers().map(|peer| {
            let region = self.regions.get(&peer.domain).cloned();
            (peer.instance.clone(), cold::Gateway { region, peer: peer.clone() })
        });
        self.limiter.update_gateways(now, own, gateways.collect());
    }

    /// Gives up the quotas of this gateway for cold upstreams, until the next [`Self::set_gateways`].
    pub fn give_up_quotas(&mut self) {
        self.limiter.give_up_quotas();
    }

    /// Lets the upstreams of a failure domain count as cold for a while, because they are called
    /// again after a time without calls and their entries may not say yet that they restarted.
    pub fn assume_cold(&mut self, now: time::Duration, domain: &id::DomainId) {
        for upstream in self.upstreams.values_mut() {
            if upstream.entry.domain == *domain {
                upstream.cold.assume(now);
            }
        }
    }

    /// Lets an upstream count as cold for a while, because a connection to it broke or was refused:
    /// its process may have crashed, and comes back cold before the list shows it. Returns whether
    /// its service has a limit for cold upstreams and it was warm.
    pub fn assume_restarted(&mut self, now: time::Duration, instance: &id::InstanceId) -> bool {
        let was_cold = self.is_cold(now, instance);
        let Some(upstream) = self.upstreams.get_mut(instance) else { return false };
        upstream.cold.assume(now);
        !was_cold && self.cold_limits.contains_key(&upstream.entry.service)
    }

    /// Records what a list says about how long an upstream stays cold. `is_new` says whether the
    /// list contains it or its process for the first time. Returns whether it becomes cold with it
    /// and its service has a limit for that.
    pub(super) fn record_cold_listed(
        &mut self,
        now: time::Duration,
        instance: &id::InstanceId,
        left: Option<cold::Left>,
        is_new: bool,
    ) -> bool {
        let Some(upstream) = self.upstreams.get_mut(instance) else { return false };
        let becomes_cold = upstream.cold.record_listed(now, left) || is_new;
        if is_new {
            upstream.cold.assume(now);
        }
        becomes_cold && self.cold_limits.contains_key(&upstream.entry.service)
    }

    /// Tells the limiter which upstreams have a limit.
    pub(super) fn update_limit_targets(&mut self, now: time::Duration) {
        let targets = self.upstreams.iter().filter_map(|(instance, upstream)| {
            let holders = self.holders(now, upstream)?;
            Some((instance.clone(), self.limit_target(&upstream.entry, holders)))
        });
        self.limiter.update_targets(now, targets.collect());
    }

    /// Returns the number of gateways that may call an upstream while it is limited; `None` if it has
    /// no limit.
    fn holders(&self, now: time::Duration, upstream: &Upstream) -> Option<usize> {
        let cold = self.cold_limits.get(&upstream.entry.service).map(cold::Limit::holders);
        let Some((stated, _)) = upstream.stated_limit(now) else { return cold };
        // The others hand their pieces over, so that the rate is of no use to them.
        let is_batched = self.batched.contains(&upstream.entry.service);
        let stated = if is_batched { 1 } else { stated.holders() };
        Some(cold.map_or(stated, |cold| stated.min(cold.max(1))))
    }

    fn limit_target(&self, entry: &ListEntry, holders: usize) -> cold::Target {
        let region = self.regions.get(&entry.domain).cloned();
        let order = match &region {
            Some(region) if self.batched.contains(&entry.service) => {
                cold::Order::Pool(roster::PoolId {
                    service: entry.service.clone(),
                    region: region.clone(),
                })
            }
            _ => cold::Order::Upstream,
        };
        cold::Target { region, holders, order }
    }

    /// Returns the limit of an upstream if it is cold.
    fn cold_limit(&self, now: time::Duration, upstream: &Upstream) -> Option<&cold::Limit> {
        let limit = self.cold_limits.get(&upstream.entry.service)?;
        (now < upstream.warm_from()).then_some(limit)
    }

    /// Returns whether an upstream is cold and its service has a limit for that.
    pub fn is_cold(&self, now: time::Duration, instance: &id::InstanceId) -> bool {
        let upstream = self.upstreams.get(instance);
        upstream.is_some_and(|upstream| self.cold_limit(now, upstream).is_some())
    }

    /// Returns the part that one of the gateways that may call an upstream has of its limit, and the
    /// time at which the limit ends unless it is extended; `None` if it has no limit at present.
    fn limit_in_force(
        &self,
        now: time::Duration,
        upstream: &Upstream,
    ) -> Option<(cold::Quota, time::Duration)> {
        let holders = self.holders(now, upstream)?;
        let warm = upstream.warm_from();
        match (self.cold_limit(now, upstream), upstream.stated_limit(now)) {
            (None, None) => None,
            (Some(cold), None) => Some((cold.quota(holders), warm)),
            (None, Some((stated, end))) => {
                // There may be fewer gateways than could share the rate.
                let alive = self.limiter.holders(&upstream.entry.instance).unwrap_or(holders);
                Some((stated.quota(alive), end))
            }
            (Some(cold), Some((stated, _))) => Some((cold.lowered_to(stated).quota(holders), warm)),
        }
    }

    fn quota_in_force(
        &self,
        now: time::Duration,
        instance: &id::InstanceId,
    ) -> Option<cold::Quota> {
        Some(self.limit_in_force(now, self.upstreams.get(instance)?)?.0)
    }

    /// Returns whether the limit of an upstream, if it has one, lets this gateway call it now.
    pub fn may_send(&self, now: time::Duration, instance: &id::InstanceId) -> bool {
        let quota = self.quota_in_force(now, instance);
        quota.is_none_or(|quota| self.limiter.may_send(now, instance, quota))
    }

    /// Returns the time at which an upstream that is not called now may next be: when this gateway
    /// has quota for it again, or when the limit ends.
    pub fn next_send(&self, now: time::Duration, instance: &id::InstanceId) -> time::Duration {
        let Some(upstream) = self.upstreams.get(instance) else { return now };
        let Some((quota, end)) = self.limit_in_force(now, upstream) else { return now };
        let next = self.limiter.next_send(now, instance, quota);
        next.map_or(end, |next| next.min(end))
    }

    /// Returns how long no eligible upstream of a service may be called because of their limits; `None` if
    /// one may be called now, or there are none.
    pub fn service_quota_wait(
        &self,
        now: time::Duration,
        service: &id::ServiceId,
        is_eligible: impl Fn(&Upstream) -> bool,
    ) -> Option<time::Duration> {
        if !self.limiter.has_targets() {
            return None;
        }
        let open = self.service_upstreams(service).filter(|(_, up)| !up.is_paused(now));
        let open = open.filter(|(_, up)| is_eligible(up));
        let next = open.map(|(instance, _)| self.next_send(now, instance)).min()?;
        Some(next.saturating_sub(now)).filter(|wait| !wait.is_zero())
    }

    /// Returns the times until `end` at which eligible upstreams of a service may be called, the
    /// earliest first: one for each call that the quota of this gateway allows to a limited one, and from
    /// when a limit ends, as many as the upstream takes per second while it is cold, at least one.
    pub fn call_times(
        &self,
        now: time::Duration,
        service: &id::ServiceId,
        end: time::Duration,
        is_eligible: impl Fn(&Upstream) -> bool,
    ) -> Vec<time::Duration> {
        let cold = self.cold_limits.get(service);
        let at_end = cold.map_or(1, |limit| limit.per_second as usize);
        let open = self.service_upstreams(service).filter(|(_, up)| !up.is_paused(now));
        let mut times: Vec<_> = open
            .filter(|(_, up)| is_eligible(up))
            .flat_map(|(instance, upstream)| {
                let limit = self.limit_in_force(now, upstream);
                let (quota, free) = limit.unwrap_or_default();
                let free = free.max(now);
                let mut times = self.limiter.call_times(now, instance, quota, free.min(end));
                if free < end {
                    times.extend(std::iter::repeat_n(free, at_end));
                }
                times
            })
            .collect();
        times.sort_unstable();
        times
    }

    /// Returns the number of calls that this gateway may send to a limited upstream in one window of its
    /// quota; `None` if the upstream has no limit at present.
    pub fn quota(&self, now: time::Duration, instance: &id::InstanceId) -> Option<usize> {
        let quota = self.quota_in_force(now, instance)?;
        Some(if self.limiter.has_quota(now, instance) { quota.calls } else { 0 })
    }

    /// Returns whether a message that can wait may be sent to an upstream now. It leaves half of the
    /// quota for a limited one to calls.
    pub fn may_send_message(&self, now: time::Duration, instance: &id::InstanceId) -> bool {
        let quota = self.quota(now, instance);
        quota.is_none_or(|quota| 2 * self.sent_lately(now, instance) < quota)
    }

    /// Returns whether an upstream states a limit that leaves no room for messages beside calls.
    pub fn takes_no_messages(&self, now: time::Duration, instance: &id::InstanceId) -> bool {
        let states_limit = self.upstreams.get(instance).is_some_and(|up| up.states_limit(now));
        states_limit && self.quota(now, instance).is_some_and(|quota| quota <= 1)
    }

    /// Counts a call or message against the limit of an upstream, at the moment at which it is sent.
    pub fn record_limited_send(&mut self, now: time::Duration, instance: &id::InstanceId) {
        let Some(upstream) = self.upstreams.get(instance) else { return };
        let cold = self.cold_limits.get(&upstream.entry.service);
        let quota = self.limit_in_force(now, upstream).map(|(quota, _)| quota);
        if let Some(quota) = quota.or_else(|| cold.map(Into::into)) {
            self.limiter.record_sent(now, instance, quota);
        }
    }

    /// Returns the number of calls that this gateway sent to an upstream in the latest window of its
    /// quota, as far as they count against its limit.
    pub fn sent_lately(&self, now: time::Duration, instance: &id::InstanceId) -> usize {
        self.limiter.sent_lately(now, instance)
    }
}
