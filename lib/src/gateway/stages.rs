//! Stages of requests: when their pieces are run, and when their results are freed.

use std::time;

use crate::admission;
use crate::batch;
use crate::fleet;
use crate::gateway;
use crate::gateway::groups;
use crate::gateway::request;
use crate::handoff;
use crate::id;
use crate::placement;
use crate::pool_rate;
use crate::refusal;
use crate::roster;
use crate::route_times;
use crate::shedding;
use crate::table;

/// Upper limit on the wait that is expected in a later stage. The pieces that are queued there now
/// will mostly be done before the request reaches it.
const MAX_LATER_WAIT: time::Duration = time::Duration::from_millis(300);
/// Age from which another gateway's report on its queue is ignored.
const MAX_WAIT_AGE: time::Duration = time::Duration::from_secs(1);
/// Size of the input of a group from which an upstream in the same failure domain is preferred.
const MIN_LOCAL_BYTES: u64 = 200_000;
/// Number of times that results of one request are computed again before it is refused.
const MAX_RECOMPUTATIONS: u32 = 8;

impl gateway::Gateway {
    /// Starts all stages of a request that are ready, or calls the upstream that answers once all
    /// stages are done. While a call is in flight, stages are computed again for the next one.
    pub(super) fn advance(&mut self, id: id::RequestId, effects: &mut Vec<gateway::Effect>) {
        let Some(request) = self.requests.get(&id) else { return };
        let has_call = request.call.is_some();
        if !self.may_stay(request)
            && (self.keep_call(id, effects) || !self.move_request(id, effects))
        {
            return;
        }
        self.free_used_results(id);
        let Some(request) = self.requests.get(&id) else { return };
        // Starting one stage can make another one ready: see `ready_stages` on heavy results.
        let mut ready = request.ready_stages();
        while !ready.is_empty() {
            for stage in ready {
                self.start_stage(id, stage, effects);
            }
            let Some(request) = self.requests.get(&id) else { return };
            ready = request.ready_stages();
        }
        let Some(request) = self.requests.get(&id) else { return };
        if !request.are_stages_done() {
            return;
        }
        if has_call {
            self.consider_move(id, effects);
        } else {
            self.call_upstream(id, effects);
        }
    }

    /// Starts the pending pieces of a stage as one group.
    fn start_stage(&mut self, id: id::RequestId, stage: usize, effects: &mut Vec<gateway::Effect>) {
        let group = batch::GroupId(self.next_serial());
        let Some(request) = self.requests.get(&id) else { return };
        let due = request.due.saturating_sub(self.remaining_time(request, stage));
        let terms = self.loss_terms(request, stage);
        let engine_domain = self.engine_domain(request, stage);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let route_stage = &request.route.stages[stage];
        let results = request.stage_results(route_stage.depends_on.iter().copied());
        let near_domain = main_domain(&self.fleet, &results, request.stages[stage].len());
        let near_domain = near_domain.or_else(|| engine_domain.clone());
        let input = if route_stage.depends_on.is_empty() {
            gateway::PieceInput::Key(request.input_key.clone().unwrap_or_default())
        } else {
            gateway::PieceInput::Results(results.into_iter().map(|result| result.handle).collect())
        };
        let (service, result_size) = (route_stage.service.clone(), route_stage.result_size);
        let mut pieces = std::collections::BTreeMap::new();
        for (index, piece) in (0_u32..).zip(&mut request.stages[stage]) {
            if *piece == request::Piece::Pending {
                *piece = request::Piece::InProgress(group);
                pieces.insert(index, None);
            }
        }
        let state = groups::Group {
            owner: groups::Owner::Request(id),
            external_id: request.external_id.clone(),
            pool: roster::PoolId { service, region: request.region.clone() },
            stage,
            due,
            deadline: request.current_deadline(),
            terms,
            rank: request.rank,
            result_size,
            input,
            near_domain,
            pieces,
            failures: 0,
            handed_to: None,
        };
        self.start_group(group, state, effects);
    }

    /// Returns the failure domain of the engine that is going to read the heavy results of a final
    /// stage, if the shared parts of the prompt decide which engine that is.
    fn engine_domain(&self, request: &request::Request, stage: usize) -> Option<id::DomainId> {
        if !request.is_heavy_final(stage) || !placement::is_worth_distance(&request.prompt_parts) {
            return None;
        }
        let engine = self.preferred_engine(request)?;
        Some(self.fleet.get(&engine)?.entry.domain.clone())
    }

    /// Handles the outcomes of all pieces of a group: continues the request, computes lost inputs
    /// again, or refuses the request.
    pub(super) fn stage_finished(
        &mut self,
        id: id::RequestId,
        group: &groups::Group,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            self.free_outcomes(group);
            return;
        };
        let mut is_input_gone = false;
        let mut has_failed = false;
        for (index, outcome) in &group.pieces {
            let piece = &mut request.stages[group.stage][*index as usize];
            *piece = match outcome {
                Some(handoff::Outcome::Done { instance, handle }) => {
                    request::Piece::Done(request::StoredResult {
                        instance: instance.clone(),
                        handle: handle.clone(),
                        size: group.result_size,
                    })
                }
                Some(handoff::Outcome::InputGone) => {
                    is_input_gone = true;
                    request::Piece::Pending
                }
                Some(handoff::Outcome::Failed) | None => {
                    has_failed = true;
                    request::Piece::Pending
                }
            };
        }
        let has_started = request.has_started;
        let dependencies = request.route.stages[group.stage].depends_on.clone();
        if is_input_gone && request.due < self.now.mono {
            if self.keep_call(id, effects) {
                return;
            }
            if !has_started {
                let message = "results of a stage were gone before the next one had its turn";
                self.refuse(id, refusal::Kind::DeadlineExceeded, message, effects);
                return;
            }
        }
        if is_input_gone {
            self.recompute_stages(id, &dependencies, effects);
        } else if has_failed {
            self.count_recomputation(id, effects);
        }
        self.advance(id, effects);
    }

    /// Frees the results of a group that is not needed any more.
    pub(super) fn free_outcomes(&mut self, group: &groups::Group) {
        for outcome in group.pieces.values().flatten() {
            if let handoff::Outcome::Done { instance, handle } = outcome {
                self.free_handle(instance.clone(), handle.clone(), group.result_size);
            }
        }
    }

    /// Frees results of a request that no later stage needs any more.
    fn free_used_results(&mut self, id: id::RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let route = std::sync::Arc::clone(&request.route);
        let mut unneeded = Vec::new();
        for stage in 0..route.stages.len() {
            let mut followers = (0..route.stages.len())
                .filter(|next| route.stages[*next].depends_on.contains(&stage));
            // Final stages have no followers; the upstream that answers needs their results.
            let Some(first_follower) = followers.next() else { continue };
            if request.is_stage_done(stage)
                && request.is_stage_done(first_follower)
                && followers.all(|next| request.is_stage_done(next))
            {
                unneeded.extend(request.take_results(stage));
            }
        }
        for result in unneeded {
            self.free_result(result);
        }
    }

    /// Computes results of the given stages again: those whose upstream is gone or ejected, or all
    /// of them if there are none.
    fn recompute_stages(
        &mut self,
        id: id::RequestId,
        stages: &[usize],
        effects: &mut Vec<gateway::Effect>,
    ) {
        let now = self.now.mono;
        let fleet = &self.fleet;
        let is_lost = |instance: &id::InstanceId| {
            let is_usable = |up: &fleet::Upstream| !up.health.is_ejected(now);
            fleet.is_evacuated(instance) || !fleet.get(instance).is_some_and(is_usable)
        };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let mut discarded = Vec::new();
        for stage in stages {
            discarded.extend(request.reset_stage(*stage, &is_lost));
        }
        for result in discarded {
            self.free_result(result);
        }
        self.count_recomputation(id, effects);
    }

    /// Computes the results again that the upstream that answers needs.
    pub(super) fn recompute_final_stages(
        &mut self,
        id: id::RequestId,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let stages: Vec<_> = request.route.final_stages().collect();
        self.recompute_stages(id, &stages, effects);
    }

    /// Counts a repeated computation, and refuses the request if there were too many.
    fn count_recomputation(&mut self, id: id::RequestId, effects: &mut Vec<gateway::Effect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.recomputations += 1;
        if request.recomputations > MAX_RECOMPUTATIONS && !self.keep_call(id, effects) {
            self.refuse(id, refusal::Kind::StageFailed, "a stage failed too often", effects);
        }
    }

    /// Estimates the time until the answer of a new request begins if its stages run in a region.
    pub(super) fn estimate_latency(
        &self,
        request: &request::Request,
        region: &id::RegionId,
    ) -> admission::LatencyEstimate {
        let mut on_time = vec![time::Duration::ZERO; request.stages.len()];
        let mut late = on_time.clone();
        let rank = batch::rank_index(request.rank);
        for stage in 0..request.stages.len() {
            let route_stage = &request.route.stages[stage];
            let pieces = request.stages[stage].len();
            let service = route_stage.service.clone();
            let pool = roster::PoolId { service, region: region.clone() };
            let (wait, work) = self.estimate_stage(&pool, pieces);
            // The queue of the pool gets shorter while earlier stages of the request run, so the
            // stage starts after whichever takes longer.
            let start = |ends: &[time::Duration]| {
                route_stage
                    .depends_on
                    .iter()
                    .map(|dependency| ends[*dependency])
                    .max()
                    .unwrap_or_default()
            };
            on_time[stage] = start(&on_time).max(wait.on_time[rank]) + work;
            late[stage] = match self.settings.overload {
                shedding::Overload::Due => start(&late).max(wait.late) + work,
                // Work that can be on time keeps arriving while earlier stages of the request run,
                // so late work waits as long then as it would now.
                shedding::Overload::Loss => start(&late) + wait.late + work,
            };
        }
        let times = self.route_times(&request.route.name);
        let run = if request.stages.is_empty() { time::Duration::ZERO } else { times.run_time };
        let budget = request.start_deadline.saturating_sub(request.arrived);
        let total = |ends: Vec<time::Duration>| {
            (ends.into_iter().max().unwrap_or_default() + run).mul_f64(times.estimate_bias)
        };
        admission::LatencyEstimate {
            on_time: total(on_time),
            late: total(late),
            target: request.route.target,
            budget,
            is_retry: request.due < request.arrived + request.route.target,
        }
    }

    /// Estimates the time from the end of a stage to the start of the answer, from the current load
    /// of the later stages.
    fn remaining_time(&self, request: &request::Request, stage: usize) -> time::Duration {
        let rank = batch::rank_index(request.rank);
        let followers = (0..request.route.stages.len())
            .filter(|next| request.route.stages[*next].depends_on.contains(&stage));
        let longest = followers
            .map(|next| {
                let service = request.route.stages[next].service.clone();
                let pool = roster::PoolId { service, region: request.region.clone() };
                let (wait, work) = self.estimate_stage(&pool, request.stages[next].len());
                wait.on_time[rank].min(MAX_LATER_WAIT) + work + self.remaining_time(request, next)
            })
            .max();
        longest.unwrap_or_else(|| self.route_times(&request.route.name).run_time)
    }

    /// Estimates the time that pieces wait in a pool, and the time that they then take.
    fn estimate_stage(
        &self,
        pool: &roster::PoolId,
        pieces: usize,
    ) -> (batch::WaitEstimate, time::Duration) {
        let Some(batching) = self.batching(pool) else {
            return (batch::WaitEstimate::default(), time::Duration::ZERO);
        };
        if pieces == 0 {
            return (batch::WaitEstimate::default(), time::Duration::ZERO);
        }
        let local = self.local_wait(pool);
        let reported = self
            .reported_waits
            .get(pool)
            .filter(|(reported_at, _)| self.now.mono.saturating_sub(*reported_at) < MAX_WAIT_AGE);
        let reported = reported.map(|(_, wait)| *wait).unwrap_or_default();
        let mut wait = batch::WaitEstimate { late: local.late.max(reported.late), ..local };
        for (time, reported) in wait.on_time.iter_mut().zip(reported.on_time) {
            *time = reported.max(*time);
        }
        // Pieces share their call with others, and wait for the call that is running.
        let call_pieces = pieces.max(batching.max_pieces / 2).min(batching.max_pieces);
        (
            wait,
            batching.duration(call_pieces).div_f64(self.pool_rate(pool).0) + batching.call_time / 3,
        )
    }

    /// Estimates the wait in this gateway's own queue for a pool.
    pub(super) fn local_wait(&self, pool: &roster::PoolId) -> batch::WaitEstimate {
        let Some(batching) = self.batching(pool) else {
            return batch::WaitEstimate::default();
        };
        let upcoming = self.all_upcoming(pool);
        self.queues.estimate_wait(
            self.now.mono,
            pool,
            &batching,
            &self.fleet,
            &upcoming,
            self.pool_rate(pool),
        )
    }

    /// Returns the batching terms of a pool, or `None` if its service runs no stages.
    fn batching(&self, pool: &roster::PoolId) -> Option<table::Batching> {
        self.table.services.get(&pool.service).and_then(|service| service.batching)
    }

    /// Returns the recorded times of a route, or initial values.
    pub(super) fn route_times(&self, route: &str) -> route_times::RouteTimes {
        self.route_times.get(route).copied().unwrap_or_default()
    }

    /// Returns the recorded rate of a pool, or its initial value.
    fn pool_rate(&self, pool: &roster::PoolId) -> pool_rate::RateFactor {
        self.pool_rates.get(pool).copied().unwrap_or_default()
    }
}

/// Returns the failure domain that holds most of the input bytes, or `None` if these are too few to
/// matter. Each of the `pieces` receives all `results`.
fn main_domain(
    fleet: &fleet::Fleet,
    results: &[request::StoredResult],
    pieces: usize,
) -> Option<id::DomainId> {
    let mut bytes: std::collections::BTreeMap<_, u64> = std::collections::BTreeMap::new();
    for result in results {
        if let Some(holder) = fleet.get(&result.instance) {
            *bytes.entry(&holder.entry.domain).or_default() += result.size.0 * pieces as u64;
        }
    }
    let (domain, most_bytes) = bytes.into_iter().max_by_key(|(_, bytes)| *bytes)?;
    (most_bytes >= MIN_LOCAL_BYTES).then(|| domain.clone())
}
