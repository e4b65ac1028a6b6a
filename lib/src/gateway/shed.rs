//! Groups that cannot be computed in time: they are given up, and their requests are refused at once.
//!
//! The gateway that forms the batches of a pool decides, as only its queue is exact. The gateway that
//! owns the request is told so in its answer to the handover.

use std::time;

use crate::admission;
use crate::batch;
use crate::gateway;
use crate::gateway::groups;
use crate::gateway::request;
use crate::handoff;
use crate::id;
use crate::refusal;
use crate::roster;
use crate::shedding;
use crate::shedding::arrival;
use crate::shedding::loss;
use crate::shedding::shares;
use crate::table;
use crate::telemetry;

/// Message to callers whose request is given up.
const GIVEN_UP_MESSAGE: &str = "a stage cannot be done in time with the work that is queued for it";

impl gateway::Gateway {
    /// Gives up the groups of a pool that cannot be computed before the deadlines of their requests.
    pub(super) fn give_up_groups(
        &mut self,
        pool: &roster::PoolId,
        batching: &table::Batching,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let given_up = self.queues.give_up(self.now.mono, pool, batching, &self.fleet);
        for id in given_up.groups {
            let delay = arrival::retry_delay(given_up.drain, self.rng.f64());
            self.end_given_up(id, delay, effects);
        }
    }

    /// Ends a group that was given up: refuses its request, or tells the gateway that handed it
    /// over.
    pub(super) fn end_given_up(
        &mut self,
        id: batch::GroupId,
        delay: time::Duration,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let Some(group) = self.drop_group(id) else { return };
        let line = telemetry::Line::new("give_up")
            .with("request", &group.external_id)
            .with("group", id)
            .with("stage", group.stage)
            .with("pieces", group.pieces.len())
            .with("retry_after_ms", delay.as_millis());
        effects.push(gateway::Effect::Log(line));
        match group.owner {
            groups::Owner::Request(request) => {
                if self.keep_call(request, effects) {
                    return;
                }
                metrics::counter!("gateway_given_up_total").increment(1);
                let kind = refusal::Kind::Overloaded;
                self.refuse_for(request, kind, GIVEN_UP_MESSAGE, delay, effects);
            }
            groups::Owner::Peer(handover) => {
                self.handovers.remove(&handover);
                let result = handoff::HandoverResult {
                    outcomes: vec![handoff::Outcome::Failed; group.pieces.len()],
                    wait: self.local_wait(&group.pool),
                    retry_ms: Some(delay.into()),
                };
                effects.push(gateway::Effect::AnswerHandover(handover, result));
            }
        }
    }

    /// Decides whether a request is admitted if requests are shed by loss.
    pub(super) fn admit_by_loss(
        &mut self,
        request: &mut request::Request,
        estimate: &admission::LatencyEstimate,
    ) -> Result<admission::Class, admission::Rejection> {
        if request.stages.is_empty() {
            return arrival::decide(estimate, shares::Standing::Usual, self.rng.f64());
        }
        let now = self.now.mono;
        let kind = request.kind();
        if !estimate.is_retry {
            self.shares.record_arrived(now, &kind);
        }
        let standing = self.shares.standing(now, &kind);
        let result = arrival::decide(estimate, standing, self.rng.f64());
        match &result {
            Ok(_) => self.shares.record_admitted(now, &kind),
            Err(_) => self.shares.record_refused(now, &kind),
        }
        request.is_raised = standing == shares::Standing::Raised;
        result
    }

    /// Records that a request was refused after its admission.
    pub(super) fn record_loss(&mut self, id: id::RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if !request.has_started && !request.stages.is_empty() {
            self.shares.record_lost(self.now.mono, &request.kind());
        }
    }

    /// Returns what the loss of a request is judged by when one of its stages starts; `None` if
    /// requests are not shed by loss.
    pub(super) fn loss_terms(
        &self,
        request: &request::Request,
        stage: usize,
    ) -> Option<loss::Terms> {
        if self.settings.overload == shedding::Overload::Due {
            return None;
        }
        let mut latest =
            request.current_deadline().saturating_sub(self.shortest_rest(request, stage));
        // Inputs are stored for a limited time; a request that is held for longer starts again.
        for dependency in &request.route.stages[stage].depends_on {
            let service = &request.route.stages[*dependency].service;
            if let Some(batching) = self.table.services.get(service).and_then(|s| s.batching) {
                latest = latest.min(self.now.mono + batching.retention);
            }
        }
        let unfinished = (0..request.stages.len()).filter(|stage| !request.is_stage_done(*stage));
        let work = unfinished.map(|stage| self.stage_work(request, stage)).max();
        let work = work.unwrap_or_default();
        Some(loss::Terms { latest, work, is_raised: request.is_raised })
    }

    /// Returns the shortest time from the end of a stage to the start of the answer: what the later
    /// stages take if nothing is queued.
    fn shortest_rest(&self, request: &request::Request, stage: usize) -> time::Duration {
        let followers = (0..request.route.stages.len())
            .filter(|next| request.route.stages[*next].depends_on.contains(&stage));
        let longest = followers
            .map(|next| {
                let pieces = request.stages[next].len();
                let batching = self.stage_batching(request, next);
                let work =
                    batching.filter(|_| pieces > 0).map(|batching| batching.duration(pieces));
                work.unwrap_or_default() + self.shortest_rest(request, next)
            })
            .max();
        longest.unwrap_or_else(|| self.route_times(&request.route.name).run_time)
    }

    /// Returns the time for which a stage of a request occupies its whole pool.
    fn stage_work(&self, request: &request::Request, stage: usize) -> time::Duration {
        let Some(batching) = self.stage_batching(request, stage) else {
            return time::Duration::ZERO;
        };
        let service = request.route.stages[stage].service.clone();
        let pool = roster::PoolId { service, region: request.region.clone() };
        let upstreams = self.fleet.pool_upstreams(&pool).count().max(1);
        let calls = request.stages[stage].len() as f64 / batching.max_pieces.max(1) as f64;
        batching.duration(batching.max_pieces).mul_f64(calls / upstreams as f64)
    }

    fn stage_batching(&self, request: &request::Request, stage: usize) -> Option<table::Batching> {
        let service: &id::ServiceId = &request.route.stages[stage].service;
        self.table.services.get(service).and_then(|service| service.batching)
    }
}
