//! Stages of requests: when their pieces are made, and what becomes of the results.

use std::time;

use crate::admission;
use crate::batch;
use crate::fleet;
use crate::gateway;
use crate::gateway::groups;
use crate::gateway::request;
use crate::handoff;
use crate::id;
use crate::pool_rate;
use crate::refusal;
use crate::roster;
use crate::route_times;
use crate::table;

/// Longest wait in a later stage that is allowed for: what waits there now is worked off meanwhile.
const MAX_LATER_WAIT: time::Duration = time::Duration::from_millis(300);
/// Age up to which another gateway's word on its queue is believed.
const MAX_WAIT_AGE: time::Duration = time::Duration::from_secs(1);
/// Bytes from which it is worth a choice of the upstream that they needn't leave a failure domain.
const MIN_LOCAL_BYTES: u64 = 200_000;
/// Times that pieces of one request are made again before it is given up.
const MAX_REMAKES: u32 = 8;

impl gateway::Gateway {
    /// Does what a request's state allows next: has pieces made, or calls the upstream that answers.
    pub(super) fn advance(&mut self, id: id::RequestId, effects: &mut Vec<gateway::Effect>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.call.is_some() {
            return;
        }
        self.free_used_results(id);
        let Some(request) = self.requests.get(&id) else { return };
        // A stage that is being made can make a heavy one ready.
        let mut ready = request.ready_stages();
        while !ready.is_empty() {
            for stage in ready {
                self.start_stage(id, stage, effects);
            }
            let Some(request) = self.requests.get(&id) else { return };
            ready = request.ready_stages();
        }
        let Some(request) = self.requests.get(&id) else { return };
        if (0..request.stages.len()).all(|stage| request.is_stage_done(stage)) {
            self.call(id, effects);
        }
    }

    fn start_stage(&mut self, id: id::RequestId, stage: usize, effects: &mut Vec<gateway::Effect>) {
        let group = batch::GroupId(self.next_serial());
        let Some(request) = self.requests.get(&id) else { return };
        let due = request.due.saturating_sub(self.remaining_time(request, stage));
        let Some(request) = self.requests.get_mut(&id) else { return };
        let terms = &request.route.stages[stage];
        let results = request.stage_results(terms.depends_on.iter().copied());
        let inputs = main_domain(&self.fleet, &results, request.stages[stage].len());
        let source = if terms.depends_on.is_empty() {
            gateway::PieceInput::Key(request.input_key.clone().unwrap_or_default())
        } else {
            gateway::PieceInput::Results(results.into_iter().map(|kept| kept.handle).collect())
        };
        let (service, size) = (terms.service.clone(), terms.result_size);
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
            deadline: request.start_deadline,
            rank: request.rank,
            result_size: size,
            input: source,
            input_domain: inputs,
            pieces,
            failures: 0,
            handed_to: None,
        };
        self.start_group(group, state, effects);
    }

    /// Takes in the outcomes of all pieces of a group.
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
        let mut input_gone = false;
        let mut failed = false;
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
                    input_gone = true;
                    request::Piece::Pending
                }
                Some(handoff::Outcome::Failed) | None => {
                    failed = true;
                    request::Piece::Pending
                }
            };
        }
        if input_gone && request.due < self.now.mono {
            let message = "results of a stage were gone before the next one had its turn";
            self.refuse(id, refusal::Kind::DeadlineExceeded, message, effects);
            return;
        }
        if input_gone {
            let before = request.route.stages[group.stage].depends_on.clone();
            self.remake(id, &before, effects);
        } else if failed {
            self.count_remake(id, effects);
        }
        self.advance(id, effects);
    }

    /// Frees the results of a group that nobody waits for any more.
    pub(super) fn free_outcomes(&mut self, group: &groups::Group) {
        for outcome in group.pieces.values().flatten() {
            if let handoff::Outcome::Done { instance, handle } = outcome {
                self.free_handle(instance.clone(), handle.clone(), group.result_size);
            }
        }
    }

    /// Frees results that no later stage needs any more.
    fn free_used_results(&mut self, id: id::RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let route = std::sync::Arc::clone(&request.route);
        let mut used = Vec::new();
        for stage in 0..route.stages.len() {
            let mut followers = (0..route.stages.len())
                .filter(|next| route.stages[*next].depends_on.contains(&stage));
            let Some(first) = followers.next() else { continue };
            if request.is_stage_done(stage)
                && request.is_stage_done(first)
                && followers.all(|next| request.is_stage_done(next))
            {
                used.extend(request.take_results(stage));
            }
        }
        for kept in used {
            self.free_result(kept);
        }
    }

    /// Makes results of the given stages again.
    fn remake(&mut self, id: id::RequestId, stages: &[usize], effects: &mut Vec<gateway::Effect>) {
        let now = self.now.mono;
        let fleet = &self.fleet;
        let is_lost = |instance: &id::InstanceId| {
            fleet.get(instance).is_none_or(|up| up.health.is_ejected(now))
        };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let mut given_up = Vec::new();
        for stage in stages {
            given_up.extend(request.reset_stage(*stage, &is_lost));
        }
        for kept in given_up {
            self.free_result(kept);
        }
        self.count_remake(id, effects);
    }

    /// Makes the results again that the run itself needs.
    pub(super) fn remake_results(&mut self, id: id::RequestId, effects: &mut Vec<gateway::Effect>) {
        let Some(request) = self.requests.get(&id) else { return };
        let stages: Vec<_> = request.route.final_stages().collect();
        self.remake(id, &stages, effects);
    }

    fn count_remake(&mut self, id: id::RequestId, effects: &mut Vec<gateway::Effect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.remakes += 1;
        if request.remakes > MAX_REMAKES {
            self.refuse(id, refusal::Kind::StageFailed, "a stage failed too often", effects);
        }
    }

    /// Returns how much work stands before a request that has just arrived.
    pub(super) fn estimate_latency(
        &self,
        request: &request::Request,
        region: &id::RegionId,
    ) -> admission::LatencyEstimate {
        let mut prompt = vec![time::Duration::ZERO; request.stages.len()];
        let mut late = prompt.clone();
        let rank = batch::rank_index(request.rank);
        for stage in 0..request.stages.len() {
            let terms = &request.route.stages[stage];
            let pieces = request.stages[stage].len();
            let service = terms.service.clone();
            let pool = roster::PoolId { service, region: region.clone() };
            let (wait, work) = self.estimate_stage(&pool, pieces);
            // What stands before it in the pool is worked off while its earlier stages are done.
            let start = |ends: &[time::Duration]| {
                terms.depends_on.iter().map(|before| ends[*before]).max().unwrap_or_default()
            };
            prompt[stage] = start(&prompt).max(wait.on_time[rank]) + work;
            late[stage] = start(&late).max(wait.late) + work;
        }
        let times = self.route_times(&request.route.name);
        let run = if request.stages.is_empty() { time::Duration::ZERO } else { times.run_time };
        let budget = request.start_deadline.saturating_sub(request.arrived);
        let whole = |ends: Vec<time::Duration>| {
            (ends.into_iter().max().unwrap_or_default() + run).mul_f64(times.estimate_bias)
        };
        admission::LatencyEstimate {
            on_time: whole(prompt),
            late: whole(late),
            target: request.route.target,
            budget,
            is_retry: request.due < request.arrived + request.route.target,
        }
    }

    /// Returns the time that a request is expected to need after a stage: in the stages that follow
    /// as they are loaded now, and until its answer begins.
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

    /// Returns the time that pieces are expected to wait in a pool, and to take there.
    fn estimate_stage(
        &self,
        pool: &roster::PoolId,
        pieces: usize,
    ) -> (batch::WaitEstimate, time::Duration) {
        let Some(terms) = self.batching(pool) else {
            return (batch::WaitEstimate::default(), time::Duration::ZERO);
        };
        if pieces == 0 {
            return (batch::WaitEstimate::default(), time::Duration::ZERO);
        }
        let own = self.own_wait(pool);
        let told = self
            .reported_waits
            .get(pool)
            .filter(|(told, _)| self.now.mono.saturating_sub(*told) < MAX_WAIT_AGE);
        let told = told.map(|(_, wait)| *wait).unwrap_or_default();
        let mut wait = batch::WaitEstimate { late: own.late.max(told.late), ..own };
        for (time, told) in wait.on_time.iter_mut().zip(told.on_time) {
            *time = told.max(*time);
        }
        // Pieces share their call with others, and wait for a call to end before.
        let shared = pieces.max(terms.max_pieces / 2).min(terms.max_pieces);
        (wait, terms.duration(shared).div_f64(self.pool_rate(pool).0) + terms.call_time / 3)
    }

    /// Returns the time that pieces wait in this gateway's own queue.
    pub(super) fn own_wait(&self, pool: &roster::PoolId) -> batch::WaitEstimate {
        let Some(terms) = self.batching(pool) else {
            return batch::WaitEstimate::default();
        };
        let pledged = self.all_upcoming(pool);
        self.queues.estimate_wait(
            self.now.mono,
            pool,
            &terms,
            &self.fleet,
            &pledged,
            self.pool_rate(pool),
        )
    }

    /// Returns the terms of a pool's batches, if its service does stages.
    fn batching(&self, pool: &roster::PoolId) -> Option<table::Batching> {
        self.table.services.get(&pool.service).and_then(|service| service.batching)
    }

    fn route_times(&self, route: &str) -> route_times::RouteTimes {
        self.route_times.get(route).copied().unwrap_or_default()
    }

    fn pool_rate(&self, pool: &roster::PoolId) -> pool_rate::RateFactor {
        self.pool_rates.get(pool).copied().unwrap_or_default()
    }
}

/// Returns the failure domain that keeps most of what pieces work on, if it is worth a choice: each
/// of the `pieces` is sent all results.
fn main_domain(
    fleet: &fleet::Fleet,
    results: &[request::StoredResult],
    pieces: usize,
) -> Option<id::DomainId> {
    let mut bytes: std::collections::BTreeMap<_, u64> = std::collections::BTreeMap::new();
    for kept in results {
        if let Some(maker) = fleet.get(&kept.instance) {
            *bytes.entry(&maker.entry.domain).or_default() += kept.size.0 * pieces as u64;
        }
    }
    let (domain, most) = bytes.into_iter().max_by_key(|(_, bytes)| *bytes)?;
    (most >= MIN_LOCAL_BYTES).then(|| domain.clone())
}
