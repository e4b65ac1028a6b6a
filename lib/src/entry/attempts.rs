//! Attempts of an entry: picking an upstream, sending, and taking in the frames that come back.

use std::net;
use std::time;

use crate::config;
use crate::id;
use crate::key;
use crate::plan;
use crate::refusal;
use crate::request;
use crate::routing;
use crate::telemetry;
use crate::unit;
use crate::wire;

use super::{Effect, Entry, FAST_REDIRECTS, FrameInfo, REDIRECT_PAUSE, attempt_span};

/// Part of a budget that is kept for the way back.
pub(super) const REPLY_MARGIN: time::Duration = time::Duration::from_millis(60);
/// Weight of a new sample in the smoothed time of a service's calls.
const SMOOTHING: f64 = 0.1;
/// Acknowledgements that wait for the next attempt to a sidecar.
const MAX_ACKS: usize = 64;

impl Entry {
    /// Starts an attempt of a stage, or refuses the request if nobody can take it.
    pub(super) fn try_stage(
        &mut self,
        now: time::Duration,
        request: id::RequestId,
        stage: plan::StageIndex,
        effects: &mut Vec<Effect>,
    ) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        let service = &state.plan.steps[stage].service;
        if let Some(run) = state.stage_runs.get_mut(&stage)
            && !self.router.has_untried(service, &run.tried)
        {
            run.tried.clear();
        }
        let budget = state.stage_deadline(stage).saturating_sub(now);
        let Some(budget) = budget.checked_sub(REPLY_MARGIN).filter(|left| !left.is_zero()) else {
            let kind = refusal::Kind::DeadlineExceeded;
            self.refuse(request, kind, "no time is left for the stage", effects);
            return;
        };
        match self.pick(now, request, stage) {
            Some(pick) => self.send(now, request, stage, pick, budget, effects),
            None => self.wait_for_upstream(now, request, stage, effects),
        }
    }

    /// Nobody can take the stage right now: looks again shortly while that makes sense.
    pub(super) fn wait_for_upstream(
        &mut self,
        now: time::Duration,
        request: id::RequestId,
        stage: plan::StageIndex,
        effects: &mut Vec<Effect>,
    ) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        let service = state.plan.steps[stage].service.clone();
        let Some(run) = state.stage_runs.get_mut(&stage) else { return };
        run.redirects += 1;
        if run.redirects > FAST_REDIRECTS * 2 {
            let message = format!("no upstream of `{service}` takes work");
            self.refuse(request, refusal::Kind::NoUpstream, message, effects);
        } else {
            run.retry_at = Some(now + REDIRECT_PAUSE);
        }
    }

    pub(super) fn pick(
        &mut self,
        now: time::Duration,
        request: id::RequestId,
        stage: plan::StageIndex,
    ) -> Option<routing::Pick> {
        let state = self.requests.get(&request)?;
        let step = &state.plan.steps[stage];
        if let Some(key) = state.stage_key(stage) {
            let range = key::range_of(key);
            if let Some(owner) = self.owners.get(&(step.service.clone(), range)) {
                return Some(routing::Pick {
                    instance: owner.instance.clone(),
                    address: owner.address,
                    incarnation: Some(owner.incarnation),
                    tier: self
                        .router
                        .get(&owner.instance)
                        .map_or(routing::Tier::Region, |up| up.tier),
                    reason: "key_owner",
                });
            }
        }
        let is_engine = step.service_config.kind == config::Kind::Engine;
        let want = routing::PickArgs {
            service: &step.service,
            tried: &state.stage_runs.get(&stage)?.tried,
            prefix: state.prefix_hash.filter(|_| is_engine),
        };
        self.router.pick(now, &self.in_force.config, &want)
    }

    pub(super) fn send(
        &mut self,
        now: time::Duration,
        request: id::RequestId,
        stage: plan::StageIndex,
        pick: routing::Pick,
        budget: time::Duration,
        effects: &mut Vec<Effect>,
    ) {
        let attempt = self.next_attempt(request);
        let Some(state) = self.requests.get_mut(&request) else { return };
        let step = &state.plan.steps[stage];
        let key = state.stage_key(stage).map(|text| {
            let range = key::range_of(text);
            let owner = self.owners.get(&(step.service.clone(), range));
            let fence = owner.map_or(id::FencingToken(0), |owner| owner.fence);
            wire::Key { text: text.clone(), range, fence }
        });
        let Some(run) = state.stage_runs.get_mut(&stage) else { return };
        run.attempts += 1;
        run.retry_at = None;
        run.tried.insert(pick.instance.clone());
        let line = telemetry::Line::new("route")
            .with("request", request)
            .with("attempt", attempt)
            .with("stage", &step.name)
            .with("service", &step.service)
            .with("upstream", &pick.instance)
            .with("tier", pick.tier)
            .with("reason", pick.reason)
            .with("try", run.attempts)
            .with("budget", unit::Millis::from(budget));
        effects.push(Effect::Log(line));
        let open = wire::OpenAttempt {
            version: wire::MAJOR_VERSION,
            request,
            attempt,
            sender: self.address,
            incarnation: pick.incarnation,
            budget: budget.into(),
            sent: self.wall.into(),
            team: state.team.clone(),
            revision: self.in_force.revision,
            offset: run.relayed_bytes,
            key,
            acks: self.acks.remove(&pick.address).unwrap_or_default(),
        };
        let received = run.relayed_bytes;
        effects.push(Effect::SendAttempt {
            stage,
            plan: state.plan.clone(),
            address: pick.address,
            tier: pick.tier,
            open: Box::new(open),
        });
        self.router.attempt_sent(&pick.instance);
        let record = request::Attempt {
            request,
            stage,
            pick,
            sent_at: now,
            last_frame: now,
            accepted: false,
            status: None,
            next_offset: received,
            resolve_count: 0,
            resolve_at: None,
        };
        self.attempts.insert(attempt, record);
    }

    pub(super) fn next_attempt(&mut self, request: id::RequestId) -> id::AttemptId {
        let (first, _) = attempt_span(request);
        id::AttemptId(first.0 | u128::from(self.rng.u64(..)))
    }

    pub(super) fn note_sent(&mut self, now: time::Duration, attempt: id::AttemptId, bytes: u64) {
        if let Some(record) = self.attempts.get(&attempt) {
            self.router.charge_link(now, &self.in_force.config, record.pick.tier, bytes);
        }
    }

    /// Cancels an attempt whose answer is not needed any more.
    pub(super) fn cancel(&mut self, attempt: id::AttemptId, effects: &mut Vec<Effect>) {
        if let Some(record) = self.attempts.remove(&attempt) {
            self.router.attempt_ended(&record.pick.instance, None);
            effects.push(Effect::Cancel(record.address(), attempt));
        }
    }

    pub(super) fn frame(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        frame: FrameInfo,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get_mut(&attempt) else { return };
        record.last_frame = now;
        record.resolve_at = None;
        match frame {
            FrameInfo::Accepted(load) => {
                record.accepted = true;
                let instance = record.pick.instance.clone();
                self.report(now, &instance, &load, effects);
            }
            FrameInfo::Started => {}
            FrameInfo::Head(status) => self.head(attempt, status, effects),
            FrameInfo::Chunk { offset, bytes } => self.chunk(now, attempt, offset, bytes, effects),
            FrameInfo::End { total, load } => {
                let instance = record.pick.instance.clone();
                let whole = record.next_offset == total;
                self.report(now, &instance, &load, effects);
                if whole {
                    self.complete(now, attempt, effects);
                } else {
                    self.lost(now, attempt, true, effects);
                }
            }
            FrameInfo::Refused(refused) => {
                let instance = record.pick.instance.clone();
                self.report(now, &instance, &refused.load, effects);
                self.refused(now, attempt, refused, effects);
            }
        }
    }

    pub(super) fn report(
        &mut self,
        now: time::Duration,
        instance: &id::InstanceId,
        load: &wire::Load,
        effects: &mut Vec<Effect>,
    ) {
        self.router.report(now, instance, load);
        if load.revision > self.in_force.revision
            && let Some(up) = self.router.get(instance)
        {
            effects.push(Effect::NewerRevision(up.address, load.revision));
        }
    }

    pub(super) fn is_relayed(&self, record: &request::Attempt) -> bool {
        let Some(state) = self.requests.get(&record.request) else { return false };
        let is_success = record.status.is_some_and(|status| (200..300).contains(&status));
        state.streaming && state.plan.answer_stage == record.stage && is_success
    }

    pub(super) fn head(&mut self, attempt: id::AttemptId, status: u16, effects: &mut Vec<Effect>) {
        let Some(record) = self.attempts.get_mut(&attempt) else { return };
        record.status = Some(status);
        let (request, stage) = (record.request, record.stage);
        let relayed = self.attempts.get(&attempt).is_some_and(|record| self.is_relayed(record));
        if !relayed {
            return;
        }
        let Some(run) = self.requests.get_mut(&request).and_then(|s| s.stage_runs.get_mut(&stage))
        else {
            return;
        };
        let is_first = run.relayed_attempt.is_none();
        run.relayed_attempt = Some(attempt);
        if is_first {
            effects.push(Effect::RelayHead(request, attempt));
        }
        // The bytes of two attempts must never mix: from now on only this one counts.
        for other in self.attempts_of(request, Some(stage)) {
            if other != attempt {
                self.cancel(other, effects);
            }
        }
    }

    pub(super) fn chunk(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        offset: u64,
        bytes: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get_mut(&attempt) else { return };
        if offset > record.next_offset {
            // A gap would make the answer another one than the upstream's.
            self.lost(now, attempt, true, effects);
            return;
        }
        let skip = (record.next_offset - offset).min(bytes);
        record.next_offset = record.next_offset.max(offset + bytes);
        let (request, stage, received) = (record.request, record.stage, record.next_offset);
        let relayed = self.attempts.get(&attempt).is_some_and(|record| self.is_relayed(record));
        if !relayed {
            effects.push(Effect::AppendBody { attempt, skip });
            return;
        }
        let run =
            self.requests.get_mut(&request).and_then(|state| state.stage_runs.get_mut(&stage));
        if let Some(run) = run.filter(|run| run.relayed_attempt == Some(attempt)) {
            run.relayed_bytes = received;
            effects.push(Effect::RelayChunk { request, skip });
        }
    }

    /// Takes in that the whole answer of an attempt is there.
    pub(super) fn complete(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get(&attempt) else { return };
        let (request, stage) = (record.request, record.stage);
        let status = record.status.unwrap_or(502);
        let Some(state) = self.requests.get_mut(&request) else { return };
        let step = &state.plan.steps[stage];
        let is_success = (200..300).contains(&status);
        let is_own_answer = state.plan.steps.len() == 1;
        if !is_success {
            let may_help = step.service_config.idempotent && (status >= 500 || status == 429);
            if may_help || !is_own_answer {
                let ran = if may_help { refusal::Ran::Unknown } else { refusal::Ran::Yes };
                self.fail(now, attempt, refusal::Kind::StageFailed, ran, effects);
                return;
            }
        }
        let relayed = self.attempts.get(&attempt).is_some_and(|record| self.is_relayed(record));
        let Some(record) = self.attempts.remove(&attempt) else { return };
        let took = now.saturating_sub(record.sent_at);
        self.router.attempt_ended(&record.pick.instance, Some(took));
        self.router.charge_link(now, &self.in_force.config, record.pick.tier, record.next_offset);
        self.note_latency(request, stage, took);
        self.acknowledge(record.address(), attempt);
        for other in self.attempts_of(request, Some(stage)) {
            self.cancel(other, effects);
        }
        let Some(state) = self.requests.get_mut(&request) else { return };
        state.done_stages.insert(stage);
        state.record_ran(refusal::Ran::Yes);
        if stage != state.plan.answer_stage {
            effects.push(Effect::StoreResult(request, stage, attempt));
            self.start_ready(now, request, effects);
            return;
        }
        let took = unit::Millis::from(now.saturating_sub(state.arrived));
        let line = telemetry::Line::new("answer").with("request", request).with("status", status);
        effects.push(Effect::Log(line.with("took", took)));
        if relayed {
            effects.push(Effect::EndStream(request));
            effects.push(Effect::Forget(attempt));
        } else {
            effects.push(Effect::SendAnswer(request, attempt));
        }
        self.finish(request, effects);
    }

    pub(super) fn note_latency(
        &mut self,
        request: id::RequestId,
        stage: plan::StageIndex,
        took: time::Duration,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        let service = state.plan.steps[stage].service.clone();
        let mean = self.latencies.entry(service).or_insert(took.as_secs_f64());
        *mean += (took.as_secs_f64() - *mean) * SMOOTHING;
    }

    pub(super) fn acknowledge(&mut self, address: net::SocketAddr, attempt: id::AttemptId) {
        let acks = self.acks.entry(address).or_default();
        // What is not acknowledged is forgotten by the sidecar in its own time.
        if acks.len() < MAX_ACKS {
            acks.push(attempt);
        }
    }
}
