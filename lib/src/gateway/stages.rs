//! Stages of requests: when their pieces are made, and what becomes of the results.

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
use crate::table;

/// Time that the run itself is expected to take until its answer begins.
const RUN_TIME: time::Duration = time::Duration::from_millis(250);
/// Times that pieces of one request are made again before it is given up.
const MAX_REMAKES: u32 = 8;

impl gateway::Gateway {
    /// Does what a request's state allows next: has pieces made, or calls the upstream that answers.
    pub(super) fn advance(&mut self, id: id::RequestId, effects: &mut Vec<gateway::Effect>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.call.is_some() {
            return;
        }
        self.free_used(id);
        let Some(request) = self.requests.get(&id) else { return };
        for stage in request.ready_stages() {
            self.make_stage(id, stage, effects);
        }
        let Some(request) = self.requests.get(&id) else { return };
        if (0..request.stages.len()).all(|stage| request.is_stage_done(stage)) {
            self.call(id, effects);
        }
    }

    fn make_stage(
        &mut self,
        id: id::RequestId,
        stage: usize,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let group = batch::GroupId(self.next_serial());
        let table = std::sync::Arc::clone(&self.table);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let terms = &request.route.stages[stage];
        let due = request.due.saturating_sub(time_after(&table, request, stage));
        let source = if terms.after.is_empty() {
            gateway::Source::Key(request.key.clone().unwrap_or_default())
        } else {
            let results = request.results_of(terms.after.iter().copied());
            gateway::Source::Results(results.into_iter().map(|kept| kept.handle).collect())
        };
        let (service, size) = (terms.service.clone(), terms.size);
        let mut pieces = std::collections::BTreeMap::new();
        for (index, piece) in (0_u32..).zip(&mut request.stages[stage]) {
            if *piece == request::Piece::Idle {
                *piece = request::Piece::Asked(group);
                pieces.insert(index, None);
            }
        }
        let state = groups::Group {
            owner: groups::Owner::Request(id),
            name: request.name.clone(),
            pool: roster::PoolId { service, region: request.region.clone() },
            stage,
            due,
            cutoff: request.cutoff,
            rank: request.rank,
            size,
            source,
            pieces,
            failures: 0,
            handed: None,
        };
        self.open_group(group, state, effects);
    }

    /// Takes in the outcomes of all pieces of a group.
    pub(super) fn stage_made(
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
                    request::Piece::Done(request::Kept {
                        instance: instance.clone(),
                        handle: handle.clone(),
                        size: group.size,
                    })
                }
                Some(handoff::Outcome::InputGone) => {
                    input_gone = true;
                    request::Piece::Idle
                }
                Some(handoff::Outcome::Failed) | None => {
                    failed = true;
                    request::Piece::Idle
                }
            };
        }
        if input_gone {
            let before = request.route.stages[group.stage].after.clone();
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
                self.free_handle(instance.clone(), handle.clone(), group.size);
            }
        }
    }

    /// Frees results that no later stage needs any more.
    fn free_used(&mut self, id: id::RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let route = std::sync::Arc::clone(&request.route);
        let mut used = Vec::new();
        for stage in 0..route.stages.len() {
            let mut followers =
                (0..route.stages.len()).filter(|next| route.stages[*next].after.contains(&stage));
            let Some(first) = followers.next() else { continue };
            if request.is_stage_done(stage)
                && request.is_stage_done(first)
                && followers.all(|next| request.is_stage_done(next))
            {
                used.extend(request.use_up(stage));
            }
        }
        for kept in used {
            self.free(kept);
        }
    }

    /// Makes results of the given stages again.
    fn remake(
        &mut self,
        id: id::RequestId,
        stages: &[usize],
        effects: &mut Vec<gateway::Effect>,
    ) {
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
            self.free(kept);
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
    pub(super) fn load_of(&self, request: &request::Request) -> admission::Load {
        let mut ends = vec![time::Duration::ZERO; request.stages.len()];
        for stage in 0..request.stages.len() {
            let terms = &request.route.stages[stage];
            let start = terms.after.iter().map(|before| ends[*before]).max().unwrap_or_default();
            let service = terms.service.clone();
            let pool = roster::PoolId { service, region: request.region.clone() };
            ends[stage] = start + self.stage_time(&pool, request.stages[stage].len());
        }
        let stages = ends.into_iter().max().unwrap_or_default();
        let run = if request.stages.is_empty() { time::Duration::ZERO } else { RUN_TIME };
        admission::Load {
            estimate: stages + run,
            target: request.route.target,
            budget: request.cutoff.saturating_sub(request.arrived),
        }
    }

    /// Returns the time that so many more pieces are expected to take in a pool.
    fn stage_time(&self, pool: &roster::PoolId, pieces: usize) -> time::Duration {
        let service = self.table.services.get(&pool.service);
        let Some(terms) = service.and_then(|service| service.batching) else {
            return time::Duration::ZERO;
        };
        if pieces == 0 {
            return time::Duration::ZERO;
        }
        let now = self.now.mono;
        let usable = self.fleet.pool(pool).filter(|(_, up)| up.is_usable(now)).count().max(1);
        let rounds = (self.queues.len(pool) + pieces) / (terms.size * usable);
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        terms.duration(terms.size) * rounds + terms.duration(pieces.min(terms.size))
    }
}

/// Returns the time that a request is expected to need after a stage.
fn time_after(table: &table::Table, request: &request::Request, stage: usize) -> time::Duration {
    let followers = (0..request.route.stages.len())
        .filter(|next| request.route.stages[*next].after.contains(&stage));
    let longest = followers
        .map(|next| {
            let pieces = request.stages[next].len();
            let service = table.services.get(&request.route.stages[next].service);
            let terms = service.and_then(|service| service.batching);
            let own = terms.map_or(time::Duration::ZERO, |terms| terms.duration(pieces));
            own + time_after(table, request, next)
        })
        .max();
    longest.unwrap_or(RUN_TIME)
}
