//! Calls to cold upstreams: the terms in force, and requests whose service has no warm upstream.
//!
//! Load pattern: a whole pool comes back cold, and takes a fraction of the load for some seconds. What
//! it takes should go to the requests that lose most; the others are refused at once, so that their
//! callers try again when there is room.

use std::collections;
use std::time;

use crate::admission;
use crate::cold;
use crate::fleet;
use crate::gateway;
use crate::gateway::request;
use crate::id;
use crate::refusal;
use crate::table;
use crate::telemetry;

/// Longest time that a request waits for its turn. A quota renews itself within about a second, so
/// somewhat less than half of it becomes free in this time.
const MAX_WAIT: time::Duration = time::Duration::from_millis(400);
/// Time over which the retries of refused callers are spread: that in which quotas renew themselves.
const RETRY_SPREAD: time::Duration = time::Duration::from_secs(1);
/// Why a request is refused while all upstreams of its service are cold or state a limit.
pub(super) const LIMITED_MESSAGE: &str = "all upstreams of the service take few calls at present";

impl gateway::Gateway {
    /// Returns the limits of the services whose upstreams take few calls while they are cold.
    pub(super) fn cold_limits(&self) -> collections::BTreeMap<id::ServiceId, cold::Limit> {
        let limited = self.table.services.iter().filter_map(|(name, service)| {
            let limit = cold::Limit::new(service.cold_rate?.0, self.settings.cold_allowance)?;
            Some((name.clone(), limit))
        });
        limited.collect()
    }

    /// Lets an upstream count as cold after a connection to it broke or was refused, and logs it.
    pub(super) fn assume_restarted(
        &mut self,
        instance: &id::InstanceId,
        effects: &mut Vec<gateway::Effect>,
    ) {
        if self.fleet.assume_restarted(self.now.mono, instance) {
            let line = telemetry::Line::new("upstream_assumed_cold")
                .with("upstream", instance)
                .with("reason", "connection_lost")
                .with("for_ms", cold::ASSUMED_TIME.as_millis());
            effects.push(gateway::Effect::Log(line));
        }
    }

    /// Lets a request wait for a call to a cold upstream if it gets one in time, and refuses it
    /// otherwise. A request with a higher rank may take the turn of another one, which is refused
    /// then.
    pub(super) fn wait_for_quota(
        &mut self,
        id: id::RequestId,
        service: &id::ServiceId,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let bound = request.bound.clone();
        self.cold_waits.entry(id).or_insert(self.now.mono);
        self.give_up_waits(service, &bound, effects);
    }

    /// Calls upstreams for the requests that wait, as far as quotas allow, and refuses those that
    /// would wait too long.
    pub(super) fn call_waiting(&mut self, effects: &mut Vec<gateway::Effect>) {
        if self.cold_waits.is_empty() {
            return;
        }
        let requests = &self.requests;
        self.cold_waits.retain(|id, _| requests.contains_key(id));
        let waiting_ids: Vec<_> = self.cold_waits.keys().copied().collect();
        let kinds: collections::BTreeSet<_> = waiting_ids
            .iter()
            .filter_map(|id| self.requests.get(id))
            .map(|request| (request.service.clone(), request.bound.clone()))
            .collect();
        for (service, bound) in kinds {
            for one in self.waiting_for(&service, &bound) {
                let Some(request) = self.requests.get(&one.request) else { continue };
                if self.answer_quota_wait(request).is_some() {
                    break;
                }
                self.call_upstream(one.request, effects);
            }
            self.give_up_waits(&service, &bound, effects);
        }
    }

    /// Returns the requests with the given restriction that wait for upstreams of a service, in the
    /// order of their turns.
    fn waiting_for(
        &self,
        service: &id::ServiceId,
        bound: &table::RegionBound,
    ) -> Vec<cold::Waiting> {
        let waits = self.cold_waits.iter().filter_map(|(id, since)| {
            let is_alike = |request: &&request::Request| {
                request.service == *service && request.bound == *bound
            };
            let request = self.requests.get(id).filter(is_alike)?;
            let run_time =
                self.route_times.get(&request.route.name).copied().unwrap_or_default().run_time;
            // A request that could only be late is refused, and a stream that has begun is continued
            // as long as it can be.
            let useful_until = if request.has_started {
                request.deadline
            } else {
                request.due.saturating_sub(run_time).min(request.start_deadline)
            };
            let latest = useful_until.min(*since + MAX_WAIT);
            let (has_started, rank) = (request.has_started, request.rank);
            Some(cold::Waiting { request: *id, has_started, rank, latest })
        });
        let mut waiting: Vec<_> = waits.collect();
        cold::sort(&mut waiting);
        waiting
    }

    /// Refuses the waiting requests of a service that get no call in time. `bound` is the restriction
    /// of these requests.
    fn give_up_waits(
        &mut self,
        service: &id::ServiceId,
        bound: &table::RegionBound,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let now = self.now.mono;
        let waiting = self.waiting_for(service, bound);
        let horizon = now + MAX_WAIT + RETRY_SPREAD;
        let is_eligible = |up: &fleet::Upstream| self.allows_upstream(bound, up);
        let call_times = self.fleet.call_times(now, service, horizon, is_eligible);
        let plan = cold::plan(&waiting, &call_times);
        // Without quota here, another gateway that the caller reaches may have some.
        let wait = plan.next_free.map(|at| at.saturating_sub(now)).unwrap_or_default();
        for id in plan.given_up {
            self.cold_waits.remove(&id);
            let Some(request) = self.requests.get(&id) else { continue };
            let line = telemetry::Line::new("cold_refused")
                .with("request", &request.external_id)
                .with("service", service)
                .with("rank", request.rank)
                .with("waiting", waiting.len())
                .with("calls", call_times.len())
                .with(
                    "first_ms",
                    call_times.first().map_or(0, |at| at.saturating_sub(now).as_millis()),
                )
                .with("next_ms", wait.as_millis());
            effects.push(gateway::Effect::Log(line));
            let spread = RETRY_SPREAD.mul_f64(self.rng.f64());
            let delay = wait.max(admission::MIN_RETRY_DELAY) + spread;
            self.refuse_call(id, refusal::Kind::NoUpstream, LIMITED_MESSAGE, delay, effects);
        }
    }
}
