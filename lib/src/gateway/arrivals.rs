//! Requests that arrive: whether they are taken in, and in which region their stages are done.

use std::sync;
use std::time;

use crate::admission;
use crate::gateway;
use crate::gateway::request;
use crate::id;
use crate::refusal;
use crate::roster;
use crate::table;
use crate::telemetry;

/// Time after the request to stop for which requests are still taken in. The balancer sends no new
/// connections by then, and what is taken in later could not end in time.
const DRAIN_ADMIT_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Time that it costs to do the stages of a request in another region.
const REGION_PENALTY: time::Duration = time::Duration::from_millis(250);

impl gateway::Gateway {
    pub(super) fn request_arrived(
        &mut self,
        id: id::RequestId,
        arrival: &gateway::Arrival,
        effects: &mut Vec<gateway::Effect>,
    ) {
        metrics::counter!("gateway_requests_total").increment(1);
        match self.admit(arrival) {
            Ok((request, load)) => {
                self.log_arrival(&request, &load, effects);
                self.deadlines.insert((request.current_deadline(), id));
                self.requests.insert(id, request);
                self.advance(id, effects);
            }
            Err(rejection) => {
                gateway::log_refusal(
                    &arrival.external_id,
                    &rejection.refusal,
                    rejection.retry_after,
                    effects,
                );
                let admission::Rejection { refusal, retry_after: pause } = rejection;
                effects.push(gateway::Effect::Refuse { request: id, refusal, retry_after: pause });
            }
        }
    }

    fn log_arrival(
        &self,
        request: &request::Request,
        load: &admission::LatencyEstimate,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let line = telemetry::Line::new("arrive")
            .with("request", &request.external_id)
            .with("route", &request.route.name)
            .with("table", self.table.version)
            .with("region", &request.region)
            .with("estimate_ms", load.on_time.as_millis())
            .with("late_ms", load.late.as_millis())
            .with("target_ms", load.target.as_millis())
            .with("budget_ms", load.budget.as_millis())
            .with("return", load.is_retry);
        effects.push(gateway::Effect::Log(line));
    }

    /// Decides whether a request is taken in.
    fn admit(
        &mut self,
        arrival: &gateway::Arrival,
    ) -> Result<(request::Request, admission::LatencyEstimate), admission::Rejection> {
        use refusal::Kind;
        if self
            .drain_started
            .is_some_and(|since| self.now.mono.saturating_sub(since) > DRAIN_ADMIT_TIME)
        {
            return Err(reject(Kind::Draining, "this gateway is shutting down"));
        }
        if !self.has_table {
            return Err(reject(Kind::NotReady, "no configuration is known yet"));
        }
        let table = sync::Arc::clone(&self.table);
        // Without a recent table, a path that is missing here may have been added meanwhile.
        let Some(route) = table.find_route(&arrival.host, &arrival.path) else {
            return Err(if self.table_lease.is_valid(self.now) {
                reject(Kind::NotFound, "no route matches the host and path")
            } else {
                reject(Kind::NotReady, "the configuration could not be confirmed lately")
            });
        };
        let team = self.authenticate(&table, route, arrival)?;
        let draw = self.rng.f64();
        let Some(service) = route.pick_service(draw) else {
            return Err(reject(Kind::NoUpstream, "the route names no service"));
        };
        let regions = self.regions_for(route);
        let now = self.now.mono;
        let region = regions.first().cloned().unwrap_or_else(|| self.settings.region());
        let mut request =
            request::Request::new(now, arrival, route, team.as_ref(), service.clone(), region)
                .map_err(|message| reject(Kind::BadRequest, message))?;
        if self.fleet.service_upstreams(service).next().is_none() {
            return Err(reject(Kind::NoUpstream, "no upstream of the service is known"));
        }
        let times = self.route_times.entry(route.name.clone()).or_default();
        let spent = times.estimate_spent(request.deadline.saturating_sub(now));
        request.due = request.due.saturating_sub(spent);
        let load = self.choose_region(&mut request, &regions);
        match admission::decide(&load)? {
            // Late requests yield to others, so that nothing can be learned from the time they take.
            admission::Class::Late => request.due = request.due.min(now),
            admission::Class::OnTime if load.is_retry => {}
            admission::Class::OnTime => request.estimate = load.on_time,
        }
        let share = self.settings.retry_share;
        self.retry_budgets.entry(service.clone()).or_default().deposit(share);
        Ok((request, load))
    }

    /// Returns the regions in which all stages of a route can be done: the own one first.
    fn regions_for(&self, route: &table::Route) -> Vec<id::RegionId> {
        let now = self.now.mono;
        let can_serve = |region: &id::RegionId| {
            route.stages.iter().all(|stage| {
                let service = stage.service.clone();
                let pool = roster::PoolId { service, region: region.clone() };
                self.fleet.pool_upstreams(&pool).any(|(_, up)| !up.health.is_ejected(now))
            })
        };
        self.fleet.regions().into_iter().filter(can_serve).collect()
    }

    /// Moves a request to another region if it would be late in its own one and would not be there.
    fn choose_region(
        &self,
        request: &mut request::Request,
        regions: &[id::RegionId],
    ) -> admission::LatencyEstimate {
        let home = request.region.clone();
        let own = self.estimate_latency(request, &home);
        if request.stages.is_empty() || own.on_time <= own.target {
            return own;
        }
        let mut best = own;
        for region in regions.iter().filter(|region| **region != home) {
            let mut load = self.estimate_latency(request, region);
            load.on_time += REGION_PENALTY;
            load.late += REGION_PENALTY;
            if load.on_time < best.on_time {
                best = load;
                request.region = region.clone();
            }
        }
        best
    }

    fn authenticate(
        &self,
        table: &table::Table,
        route: &table::Route,
        arrival: &gateway::Arrival,
    ) -> Result<Option<table::Team>, admission::Rejection> {
        use refusal::Kind;
        if route.is_public || table.teams.is_empty() {
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

fn reject(kind: refusal::Kind, message: impl Into<String>) -> admission::Rejection {
    let refusal = refusal::Refusal::new(kind, refusal::Ran::No, message);
    let pause = kind.retry_after().map(crate::unit::Millis::duration);
    admission::Rejection { refusal, retry_after: pause }
}
