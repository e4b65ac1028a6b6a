//! Requests that arrive: whether they are admitted, and in which region their stages run.

use std::sync;
use std::time;

use crate::admission;
use crate::gateway;
use crate::gateway::calls;
use crate::gateway::cold_calls;
use crate::gateway::request;
use crate::id;
use crate::placement;
use crate::quarantine;
use crate::refusal;
use crate::shedding;
use crate::table;
use crate::telemetry;

/// Largest number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;
/// Time that is added to estimates for the stages of a request running in another region.
const REGION_PENALTY: time::Duration = time::Duration::from_millis(250);

impl gateway::Gateway {
    /// Admits a request and starts it, or refuses it.
    pub(super) fn request_arrived(
        &mut self,
        id: id::RequestId,
        arrival: &gateway::Arrival,
        effects: &mut Vec<gateway::Effect>,
    ) {
        metrics::counter!("gateway_requests_total").increment(1);
        match self.admit(arrival) {
            Ok((request, estimate)) => {
                self.log_arrival(&request, arrival, &estimate, effects);
                self.deadlines.insert((request.current_deadline(), id));
                self.requests.insert(id, request);
                // What cannot go on is refused before its stages are run.
                self.settle_origin(id, effects);
                self.advance(id, effects);
            }
            Err(rejection) => {
                gateway::log_refusal(
                    &arrival.external_id,
                    &rejection.refusal,
                    rejection.retry_after,
                    effects,
                );
                let admission::Rejection { refusal, retry_after } = rejection;
                effects.push(gateway::Effect::Refuse { request: id, refusal, retry_after });
            }
        }
    }

    fn log_arrival(
        &self,
        request: &request::Request,
        arrival: &gateway::Arrival,
        estimate: &admission::LatencyEstimate,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let mut line = telemetry::Line::new("arrive")
            .with("request", &request.external_id)
            .with("route", &request.route.name)
            .with("table", self.table.version)
            .with("region", &request.region)
            .with("estimate_ms", estimate.on_time.as_millis())
            .with("late_ms", estimate.late.as_millis())
            .with("target_ms", estimate.target.as_millis())
            .with("budget_ms", estimate.budget.as_millis())
            .with("return", estimate.is_retry)
            .with("parts", part_names(&request.prompt_parts))
            .with("content", content_name(request));
        if let Some(last) = arrival.last_event {
            let resumes = arrival.resumes.as_deref().unwrap_or("none");
            line = line.with("last_event", last).with("resumes", resumes);
        }
        effects.push(gateway::Effect::Log(line));
    }

    /// Decides whether a request is admitted. Returns its initial state and the estimate that
    /// decided.
    fn admit(
        &mut self,
        arrival: &gateway::Arrival,
    ) -> Result<(request::Request, admission::LatencyEstimate), admission::Rejection> {
        use refusal::Kind;
        if self.stop.is_some_and(|stop| self.now.mono > stop.admits_until()) {
            return Err(reject(Kind::Draining, "this gateway is shutting down"));
        }
        if !self.has_table {
            return Err(reject(Kind::NotReady, "no configuration is known yet"));
        }
        let table = sync::Arc::clone(&self.table);
        // Without a valid lease, a route that the table lacks may have been added in the meantime.
        let Some(route) = table.find_route(&arrival.host, &arrival.path) else {
            return Err(if self.table_lease.is_valid(self.now) {
                reject(Kind::NotFound, "no route matches the host and path")
            } else {
                reject(Kind::NotReady, "the configuration could not be confirmed lately")
            });
        };
        let team = self.authenticate(&table, route, arrival)?;
        route.check_stages().map_err(|e| reject(Kind::NoUpstream, e.to_string()))?;
        let draw = self.rng.f64();
        let Some(service) = route.pick_service(draw) else {
            return Err(reject(Kind::NoUpstream, "the route names no service"));
        };
        let bound = request::initial_bound(route, team.as_ref());
        let regions = self.regions_for(route, service, &bound);
        let now = self.now.mono;
        let region = self.region_with_engine(service, &arrival.prompt_parts, &regions);
        let region = region.or_else(|| regions.first().cloned());
        let region = region.unwrap_or_else(|| self.settings.own_region());
        let mut request =
            request::Request::new(now, arrival, route, team.as_ref(), service.clone(), region)
                .map_err(|message| reject(Kind::BadRequest, message))?;
        self.check_servable(&request, &regions)?;
        if self.fleet.service_upstreams(service).next().is_none() {
            return Err(reject(Kind::NoUpstream, "no upstream of the service is known"));
        }
        // Stages take time, so a pause may be over by the time that their results are there.
        if let Some(pause) = self.answer_pause(&request)
            && (route.stages.is_empty() || now + pause >= request.deadline)
        {
            let rejection = reject(Kind::NoUpstream, calls::PAUSED_MESSAGE);
            return Err(admission::Rejection { retry_after: Some(pause), ..rejection });
        }
        self.check_quota(&request)?;
        let times = self.route_times.entry(route.name.clone()).or_default();
        let spent = times.estimate_spent(request.deadline.saturating_sub(now));
        request.due = request.due.saturating_sub(spent);
        let estimate = self.choose_region(&mut request, &regions);
        let class = match self.settings.overload {
            shedding::Overload::Due => admission::decide(&estimate)?,
            shedding::Overload::Loss => self.admit_by_loss(&mut request, &estimate)?,
        };
        request.probed_part = self.check_held(request.prompt())?;
        match class {
            // Late requests yield to others, so their latency says nothing about the estimates.
            admission::Class::Late if self.settings.overload == shedding::Overload::Loss => {}
            admission::Class::Late => request.due = request.due.min(now),
            admission::Class::OnTime if estimate.is_retry => {}
            admission::Class::OnTime => request.estimate = estimate.on_time,
        }
        let share = self.settings.retry_share;
        self.retry_budgets.entry(service.clone()).or_default().deposit(share);
        Ok((request, estimate))
    }

    /// Checks that the limits of the upstreams that may answer a request let this gateway call one before
    /// the deadline. Its stages would be run in vain otherwise.
    fn check_quota(&self, request: &request::Request) -> Result<(), admission::Rejection> {
        let wait = self.answer_quota_wait(request).unwrap_or_default();
        if self.now.mono + wait < request.deadline {
            return Ok(());
        }
        Err(reject(refusal::Kind::NoUpstream, cold_calls::LIMITED_MESSAGE))
    }

    /// Returns the region of the engine that all gateways prefer for a prompt, if the prompt is
    /// worth the distance and the region has an upstream for each stage.
    fn region_with_engine(
        &self,
        service: &id::ServiceId,
        parts: &[placement::PromptPart],
        regions: &[id::RegionId],
    ) -> Option<id::RegionId> {
        if !placement::is_worth_distance(parts) {
            return None;
        }
        let now = self.now.mono;
        let usable = self.fleet.service_upstreams(service).filter(|(_, up)| {
            let region = self.fleet.region(&up.entry.domain);
            up.is_usable(now) && region.is_some_and(|region| regions.contains(region))
        });
        let engines = usable.map(|(instance, up)| (instance, up.relative_pace()));
        let engine = placement::preferred_engine(parts, engines)?;
        self.fleet.region(&self.fleet.get(engine)?.entry.domain).cloned()
    }

    /// Moves a request to the region with the lowest estimate if it is expected to be late in its
    /// own one. Returns the estimate for its final region.
    fn choose_region(
        &self,
        request: &mut request::Request,
        regions: &[id::RegionId],
    ) -> admission::LatencyEstimate {
        let home = request.region.clone();
        let home_estimate = self.estimate_latency(request, &home);
        if request.stages.is_empty() || home_estimate.on_time <= home_estimate.target {
            return home_estimate;
        }
        let mut fastest = home_estimate;
        for region in regions.iter().filter(|region| **region != home) {
            let mut estimate = self.estimate_latency(request, region);
            estimate.on_time += REGION_PENALTY;
            estimate.late += REGION_PENALTY;
            if estimate.on_time < fastest.on_time {
                fastest = estimate;
                request.region = region.clone();
            }
        }
        fastest
    }

    /// Returns the team of the caller, or `None` if no credential is needed: the route is public, or
    /// the configuration has no teams.
    fn authenticate(
        &self,
        table: &table::Table,
        route: &table::Route,
        arrival: &gateway::Arrival,
    ) -> Result<Option<table::Team>, admission::Rejection> {
        use refusal::Kind;
        if route.is_public || table.teams.is_none() {
            return Ok(None);
        }
        if !self.table_lease.is_valid(self.now) {
            return Err(reject(Kind::NotReady, "credentials could not be confirmed lately"));
        }
        match arrival.credential.as_ref().and_then(|credential| table.team(credential)) {
            Some(team) => Ok(Some(team.clone())),
            None => Err(reject(Kind::Unauthorized, "the credential belongs to no team")),
        }
    }
}

/// Returns the ids of the parts of a prompt that other prompts may share, for logs.
fn part_names(parts: &[placement::PromptPart]) -> String {
    let names: Vec<_> = placement::shared_parts(parts)
        .map(|part| format!("{:x}", part.id))
        .take(MAX_LOGGED_PARTS)
        .collect();
    names.join(",")
}

/// Returns the name by which logs tell that two requests ask for the same; empty if it is not known.
fn content_name(request: &request::Request) -> String {
    let content = request.content.map(quarantine::request_suspect);
    content.map(|content| format!("{content:x}")).unwrap_or_default()
}

/// Makes a rejection of a request that has not run, with the usual delay for its kind.
pub(super) fn reject(kind: refusal::Kind, message: impl Into<String>) -> admission::Rejection {
    let refusal = refusal::Refusal::new(kind, refusal::Ran::No, message);
    let retry_after = kind.retry_after().map(crate::unit::Millis::duration);
    admission::Rejection { refusal, retry_after }
}
