//! Regions in which a request may be served: those that its route and its team allow and that have
//! the upstreams it needs outside evacuated failure domains. Only the reducer of the gateway uses this
//! module.

use std::collections;

use crate::admission;
use crate::fleet;
use crate::gateway;
use crate::gateway::arrivals;
use crate::gateway::calls;
use crate::gateway::request;
use crate::id;
use crate::refusal;
use crate::roster;
use crate::table;
use crate::telemetry;

/// Why a request is refused that no region may serve.
const NO_REGION_MESSAGE: &str = "no region that the route and the team allow has the upstreams";
/// Why a request is refused whose upstreams are all in evacuated failure domains.
const EVACUATED_MESSAGE: &str = "the failure domains with the upstreams are evacuated";

impl gateway::Gateway {
    /// Returns the allowed regions that have an upstream for each stage of a route, this gateway's
    /// own region first. Upstreams that are leaving or ejected do not count. For a restricted
    /// request, a region must also have an upstream that answers and is not paused, as everything is
    /// done in one region.
    pub(super) fn regions_for(
        &self,
        route: &table::Route,
        service: &id::ServiceId,
        bound: &table::RegionBound,
    ) -> Vec<id::RegionId> {
        let now = self.now.mono;
        let is_sound = |up: &fleet::Upstream| !up.health.is_ejected(now);
        let is_open = |up: &fleet::Upstream| !up.is_paused(now);
        let regions = self.find_regions(route, service, bound, is_sound, is_open);
        if regions.is_empty() && self.fleet.has_evacuated() && !bound.is_restricted() {
            // Without an evacuation the request would wait in this gateway's region.
            return self.find_regions(route, service, bound, |_| true, |_| true);
        }
        regions
    }

    /// Returns the allowed regions in which each stage has an upstream that satisfies a condition and,
    /// for a restricted request, the service has one that satisfies another.
    fn find_regions(
        &self,
        route: &table::Route,
        service: &id::ServiceId,
        bound: &table::RegionBound,
        is_sound: impl Fn(&fleet::Upstream) -> bool,
        is_open: impl Fn(&fleet::Upstream) -> bool,
    ) -> Vec<id::RegionId> {
        let has_stages = |region: &id::RegionId| {
            route.stages.iter().all(|stage| {
                let pool = pool_of(&stage.service, region);
                self.fleet.pool_upstreams(&pool).any(|(_, up)| is_sound(up))
            })
        };
        let has_answerer = |region: &id::RegionId| {
            if !bound.is_restricted() {
                return !self.fleet.is_service_evacuated(service, None);
            }
            self.fleet.pool_upstreams(&pool_of(service, region)).any(|(_, up)| is_open(up))
        };
        let regions = self.fleet.regions().into_iter().filter(|region| bound.allows(region));
        regions.filter(has_stages).filter(has_answerer).collect()
    }

    /// Checks that a request that arrives can be served in an allowed region. `regions` are those
    /// that [`Self::regions_for`] has found.
    ///
    /// # Errors
    /// Fails if no region can serve it. The caller is told to try again only if a region exists whose
    /// upstreams are unavailable for the moment.
    pub(super) fn check_servable(
        &self,
        request: &request::Request,
        regions: &[id::RegionId],
    ) -> Result<(), admission::Rejection> {
        if !regions.is_empty() || !self.may_lack_regions(request) {
            return Ok(());
        }
        let is_allowed = |up: &fleet::Upstream| {
            self.fleet.region(&up.entry.domain).is_some_and(|region| request.bound.allows(region))
        };
        let pause = self.fleet.service_pause(self.now.mono, &request.service, is_allowed);
        let message =
            if pause.is_some() { calls::PAUSED_MESSAGE } else { no_region_message(request) };
        let rejection = arrivals::reject(refusal::Kind::NoUpstream, message);
        let delay = rejection.retry_after.max(pause);
        let retry_after = delay.filter(|_| self.retry_delay(request).is_some());
        Err(admission::Rejection { retry_after, ..rejection })
    }

    /// Returns the delay after which the caller of a request may try again for which no upstream is
    /// available now; `None` if no region has the upstreams that it needs.
    pub(super) fn retry_delay(&self, request: &request::Request) -> Option<std::time::Duration> {
        let (route, bound) = (&request.route, &request.bound);
        let lacks_regions = self.may_lack_regions(request)
            && self.find_regions(route, &request.service, bound, |_| true, |_| true).is_empty();
        (!lacks_regions).then_some(admission::MIN_RETRY_DELAY)
    }

    /// Returns whether a request may be refused because no region can serve it. Without a restriction
    /// or an evacuation, it waits for upstreams that are missing.
    fn may_lack_regions(&self, request: &request::Request) -> bool {
        request.bound.is_restricted() || self.fleet.has_evacuated()
    }

    /// Returns whether an upstream of its service may answer a request. A restricted request that
    /// has stages is answered in their region.
    pub(super) fn may_answer(&self, request: &request::Request, up: &fleet::Upstream) -> bool {
        let is_own_region = || self.fleet.region(&up.entry.domain) == Some(&request.region);
        let may_leave = !request.bound.is_restricted() || request.stages.is_empty();
        request.goes_on_at(&up.entry.version)
            && self.allows_upstream(&request.bound, up)
            && (may_leave || is_own_region())
    }

    /// Returns whether a restriction allows the region of an upstream. Without a restriction any
    /// upstream is allowed, also one in a failure domain without a region.
    pub(super) fn allows_upstream(&self, bound: &table::RegionBound, up: &fleet::Upstream) -> bool {
        let region = self.fleet.region(&up.entry.domain);
        !bound.is_restricted() || region.is_some_and(|region| bound.allows(region))
    }

    /// Returns how long all upstreams that may answer a request want no calls; `None` if one takes
    /// calls, or there are none.
    pub(super) fn answer_pause(&self, request: &request::Request) -> Option<std::time::Duration> {
        let may_answer = |up: &fleet::Upstream| self.may_answer(request, up);
        self.fleet.service_pause(self.now.mono, &request.service, may_answer)
    }

    /// Returns how long no upstream that may answer a request may be called because of their
    /// limits; `None` if one may be called now, or there are none.
    pub(super) fn answer_quota_wait(
        &self,
        request: &request::Request,
    ) -> Option<std::time::Duration> {
        let may_answer = |up: &fleet::Upstream| self.may_answer(request, up);
        self.fleet.service_quota_wait(self.now.mono, &request.service, may_answer)
    }

    /// Returns whether the stages of a request may go on in its region: the region is allowed, and
    /// neither they nor the answer need upstreams that are all in evacuated failure domains.
    pub(super) fn may_stay(&self, request: &request::Request) -> bool {
        if request.stages.is_empty() {
            return true;
        }
        let answer_region = Some(&request.region).filter(|_| request.bound.is_restricted());
        let stages = request.route.stages.iter().enumerate();
        let needs_evacuated = || {
            let mut unfinished = stages.filter(|(index, _)| !request.is_stage_done(*index));
            self.fleet.is_service_evacuated(&request.service, answer_region)
                || unfinished.any(|(_, stage)| {
                    self.fleet.is_service_evacuated(&stage.service, Some(&request.region))
                })
        };
        request.bound.allows(&request.region) && !(self.fleet.has_evacuated() && needs_evacuated())
    }

    /// Applies the set of evacuated failure domains, and logs what changed. Requests that wait for
    /// stages there move or are refused.
    pub(super) fn apply_evacuated(
        &mut self,
        domains: collections::BTreeSet<id::DomainId>,
        effects: &mut Vec<gateway::Effect>,
    ) {
        metrics::gauge!("gateway_evacuated_domains").set(domains.len() as f64);
        let (evacuated, returned) = self.fleet.set_evacuated(domains);
        for (event, domains) in [("domain_evacuated", &evacuated), ("domain_returned", &returned)] {
            for domain in domains {
                let line = telemetry::Line::new(event).with("domain", domain);
                effects.push(gateway::Effect::Log(line));
            }
        }
        // Its upstreams may have restarted meanwhile, and are called again all at once.
        for domain in &returned {
            self.fleet.assume_cold(self.now.mono, domain);
        }
        if !evacuated.is_empty() {
            self.move_requests(effects);
        }
    }

    /// Applies the table in force to the requests in progress. A request obeys the table of its
    /// arrival and the one in force.
    pub(super) fn rebind_requests(&mut self, effects: &mut Vec<gateway::Effect>) {
        let table = std::sync::Arc::clone(&self.table);
        // Looking up the routes of all requests takes long with hundreds of routes.
        let is_restricted = |request: &request::Request| request.bound.is_restricted();
        if !table.has_region_bounds() && !self.requests.values().any(is_restricted) {
            return;
        }
        for request in self.requests.values_mut() {
            let bound = bound_in(&table, request);
            request.bound = request.arrival_bound.intersect(&bound);
        }
        self.move_requests(effects);
    }

    /// Moves requests that wait for stages in a region in which these may not go on. A request whose
    /// call is in flight is left until the call has ended.
    pub(super) fn move_requests(&mut self, effects: &mut Vec<gateway::Effect>) {
        let is_moved =
            |request: &request::Request| request.call.is_none() && !self.may_stay(request);
        let moved = self.requests.iter().filter(|(_, request)| is_moved(request));
        let moved: Vec<_> = moved.map(|(id, _)| *id).collect();
        for id in moved {
            self.advance(id, effects);
        }
    }

    /// Has all stages of a request computed again in a region that may serve it, or refuses the
    /// request. Its results are freed, as nothing outside its regions may be used for it. Returns
    /// whether it goes on.
    pub(super) fn move_request(
        &mut self,
        id: id::RequestId,
        effects: &mut Vec<gateway::Effect>,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let regions = self.regions_for(&request.route, &request.service, &request.bound);
        let Some(region) = regions.into_iter().next() else {
            let delay = self.retry_delay(request);
            let message = no_region_message(request);
            self.refuse_call(id, refusal::Kind::NoUpstream, message, delay, effects);
            return false;
        };
        let request = request.clone();
        let line = telemetry::Line::new("request_moved")
            .with("request", &request.external_id)
            .with("from", &request.region)
            .with("to", &region);
        effects.push(gateway::Effect::Log(line));
        self.drop_groups(&request, effects);
        let Some(request) = self.requests.get_mut(&id) else { return false };
        request.region = region;
        // It no longer waits for a call, but for its stages.
        self.cold_waits.remove(&id);
        for result in request.reset_all() {
            self.free_result(result);
        }
        true
    }
}

/// Returns why a request is refused that no region may serve.
fn no_region_message(request: &request::Request) -> &'static str {
    if request.bound.is_restricted() { NO_REGION_MESSAGE } else { EVACUATED_MESSAGE }
}

fn pool_of(service: &id::ServiceId, region: &id::RegionId) -> roster::PoolId {
    roster::PoolId { service: service.clone(), region: region.clone() }
}

/// Returns the regions in which a table allows a request that arrived under an earlier one. Its route
/// and team are looked up as for a new request and by their names, and all that is found holds.
fn bound_in(table: &table::Table, request: &request::Request) -> table::RegionBound {
    let by_path = table.find_route(&request.host, &request.path);
    let by_name = table.routes.iter().filter(|route| route.name == request.route.name);
    let routes = by_path.into_iter().chain(by_name).map(|route| &route.allowed_regions);
    let all_teams = table.teams.iter().flat_map(|teams| teams.values());
    let by_team = all_teams.filter(|team| Some(&team.name) == request.team.as_ref());
    let credential = request.credential.as_ref();
    let by_credential = credential.and_then(|credential| table.team(credential));
    let teams = by_credential.into_iter().chain(by_team).map(|team| &team.allowed_regions);
    routes.chain(teams).fold(table::RegionBound::default(), |all, bound| all.intersect(bound))
}
