//! Which upstreams of a fleet are cold, and whether this gateway may call them.

use std::collections;
use std::time;

use super::{Fleet, ListEntry, Upstream};
use crate::cold;
use crate::id;
use crate::roster;

/// Terms of a service whose upstreams take few calls while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTerms {
    /// Limit of each upstream.
    pub limit: cold::Limit,
    /// Whether one gateway forms the batches for all upstreams of a region.
    pub is_batched: bool,
}

impl Upstream {
    /// Returns the time from which it is warm, if its service has a limit for cold upstreams. It
    /// counts as cold while it is ejected, too, because it may have restarted in the meantime.
    fn warm_from(&self) -> time::Duration {
        let after_ejection = self.health.ejected_until().map(|end| end + cold::ASSUMED_TIME);
        self.cold.end().max(after_ejection.unwrap_or_default())
    }
}

impl Fleet {
    /// Sets the services whose upstreams take few calls while they are cold.
    pub fn set_cold_terms(
        &mut self,
        now: time::Duration,
        terms: collections::BTreeMap<id::ServiceId, ColdTerms>,
    ) {
        self.cold_terms = terms;
        self.update_cold_targets(now);
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
        !was_cold && self.cold_terms.contains_key(&upstream.entry.service)
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
        becomes_cold && self.cold_terms.contains_key(&upstream.entry.service)
    }

    /// Tells the limiter which upstreams have a limit.
    pub(super) fn update_cold_targets(&mut self, now: time::Duration) {
        if self.cold_terms.is_empty() {
            self.limiter.update_targets(now, collections::BTreeMap::new());
            return;
        }
        let targets = self.upstreams.iter().filter_map(|(instance, upstream)| {
            let terms = self.cold_terms.get(&upstream.entry.service)?;
            Some((instance.clone(), self.cold_target(&upstream.entry, terms)))
        });
        self.limiter.update_targets(now, targets.collect());
    }

    fn cold_target(&self, entry: &ListEntry, terms: &ColdTerms) -> cold::Target {
        let region = self.regions.get(&entry.domain).cloned();
        let order = match &region {
            Some(region) if terms.is_batched => cold::Order::Pool(roster::PoolId {
                service: entry.service.clone(),
                region: region.clone(),
            }),
            _ => cold::Order::Upstream,
        };
        cold::Target { region, holders: terms.limit.holders(), order }
    }

    /// Returns the limit of an upstream if it is cold.
    fn cold_limit(&self, now: time::Duration, instance: &id::InstanceId) -> Option<&cold::Limit> {
        let upstream = self.upstreams.get(instance)?;
        let terms = self.cold_terms.get(&upstream.entry.service)?;
        (now < upstream.warm_from()).then_some(&terms.limit)
    }

    /// Returns whether an upstream is cold and its service has a limit for that.
    pub fn is_cold(&self, now: time::Duration, instance: &id::InstanceId) -> bool {
        self.cold_limit(now, instance).is_some()
    }

    /// Returns whether the limit for cold upstreams lets this gateway call an upstream now.
    pub fn may_send(&self, now: time::Duration, instance: &id::InstanceId) -> bool {
        let limit = self.cold_limit(now, instance);
        limit.is_none_or(|limit| self.limiter.may_send(now, instance, limit))
    }

    /// Returns the time at which an upstream that is not called now may next be: when this gateway
    /// has quota for it again, or when it is warm.
    pub fn next_send(&self, now: time::Duration, instance: &id::InstanceId) -> time::Duration {
        let Some(limit) = self.cold_limit(now, instance) else { return now };
        let warm = self.upstreams.get(instance).map_or(now, Upstream::warm_from);
        let next = self.limiter.next_send(now, instance, limit);
        next.map_or(warm, |next| next.min(warm))
    }

    /// Returns how long no eligible upstream of a service may be called because all are cold; `None` if
    /// one may be called now, or there are none.
    pub fn service_cold_wait(
        &self,
        now: time::Duration,
        service: &id::ServiceId,
        is_eligible: impl Fn(&Upstream) -> bool,
    ) -> Option<time::Duration> {
        if !self.cold_terms.contains_key(service) {
            return None;
        }
        let open = self.service_upstreams(service).filter(|(_, up)| !up.is_paused(now));
        let open = open.filter(|(_, up)| is_eligible(up));
        let next = open.map(|(instance, _)| self.next_send(now, instance)).min()?;
        Some(next.saturating_sub(now)).filter(|wait| !wait.is_zero())
    }

    /// Returns the times until `end` at which eligible upstreams of a service may be called, the
    /// earliest first: one for each call that the quota of this gateway allows to a cold one, and from
    /// when one is warm, as many as it takes per second while it is cold.
    pub fn call_times(
        &self,
        now: time::Duration,
        service: &id::ServiceId,
        end: time::Duration,
        is_eligible: impl Fn(&Upstream) -> bool,
    ) -> Vec<time::Duration> {
        let Some(terms) = self.cold_terms.get(service) else { return Vec::new() };
        let open = self.service_upstreams(service).filter(|(_, up)| !up.is_paused(now));
        let mut times: Vec<_> = open
            .filter(|(_, up)| is_eligible(up))
            .flat_map(|(instance, upstream)| {
                let warm = upstream.warm_from().max(now);
                let mut times = self.limiter.call_times(now, instance, &terms.limit, warm.min(end));
                if warm < end {
                    times.extend(std::iter::repeat_n(warm, terms.limit.per_second as usize));
                }
                times
            })
            .collect();
        times.sort_unstable();
        times
    }

    /// Returns the number of calls per second that this gateway may send to a cold upstream; `None` if
    /// the upstream is warm.
    pub fn quota(&self, now: time::Duration, instance: &id::InstanceId) -> Option<usize> {
        let limit = self.cold_limit(now, instance)?;
        Some(if self.limiter.has_quota(now, instance) { limit.share() } else { 0 })
    }

    /// Returns whether a message that can wait may be sent to an upstream now. It leaves half of the
    /// quota for a cold one to calls.
    pub fn may_send_message(&self, now: time::Duration, instance: &id::InstanceId) -> bool {
        let quota = self.quota(now, instance);
        quota.is_none_or(|quota| 2 * self.sent_lately(now, instance) < quota)
    }

    /// Counts a call or message against the limit for cold upstreams, at the moment at which it is
    /// sent.
    pub fn record_limited_send(&mut self, now: time::Duration, instance: &id::InstanceId) {
        let Some(upstream) = self.upstreams.get(instance) else { return };
        if let Some(terms) = self.cold_terms.get(&upstream.entry.service) {
            self.limiter.record_sent(now, instance, &terms.limit);
        }
    }

    /// Returns the number of calls that this gateway sent to an upstream in the last second, as far
    /// as they count against the limit for cold upstreams.
    pub fn sent_lately(&self, now: time::Duration, instance: &id::InstanceId) -> usize {
        self.limiter.sent_lately(now, instance)
    }
}
