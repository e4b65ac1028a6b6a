//! Attempts of an entry: picks an upstream, sends the attempt, and handles the frames of its
//! answer.

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

use super::{Effect, Entry, FrameInfo, MAX_FAST_REDIRECTS, REDIRECT_PAUSE, attempt_id_range};

/// Part of the time budget that is reserved for returning the answer.
pub(super) const REPLY_MARGIN: time::Duration = time::Duration::from_millis(60);
/// Weight of a new sample in the moving average of a service's latency.
const LATENCY_SMOOTHING: f64 = 0.1;
/// Largest number of acknowledgements that wait for the next attempt to a sidecar.
const MAX_ACKS: usize = 64;

impl Entry {
    /// Starts an attempt of a stage. Without an available upstream it waits for one, and without
    /// time left it refuses the request.
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
            // All were tried, so the next round begins. Otherwise the nearest ones would be tried
            // again and again.
            run.tried.clear();
        }
        let budget = state.stage_deadline(stage).saturating_sub(now);
        let Some(budget) = budget.checked_sub(REPLY_MARGIN).filter(|left| !left.is_zero()) else {
            let kind = refusal::Kind::DeadlineExceeded;
            self.refuse_request(request, kind, "no time is left for the stage", effects);
            return;
        };
        match self.pick_upstream(now, request, stage) {
            Some(pick) => self.send_attempt(now, request, stage, pick, budget, effects),
            None => self.wait_for_upstream(now, request, stage, effects),
        }
    }

    /// Schedules another search for an upstream, or refuses the request after too many of them.
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
        if run.redirects > MAX_FAST_REDIRECTS * 2 {
            let message = format!("no upstream of `{service}` takes work");
            self.refuse_request(request, refusal::Kind::NoUpstream, message, effects);
        } else {
            run.retry_at = Some(now + REDIRECT_PAUSE);
        }
    }

    /// Picks the reported owner of the request's idempotency key. Without one it picks an upstream
    /// by the routing policy, or returns `None` if no upstream accepts work.
    pub(super) fn pick_upstream(
        &mut self,
        now: time::Duration,
        request: id::RequestId,
        stage: plan::StageIndex,
    ) -> Option<routing::Pick> {
        let state = self.requests.get(&request)?;
        let step = &state.plan.steps[stage];
        if let Some(key) = state.stage_key(stage) {
            let range = key::range_of(key);
            if let Some(owner) = self.key_owners.get(&(step.service.clone(), range)) {
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
        let args = routing::PickArgs {
            service: &step.service,
            tried: &state.stage_runs.get(&stage)?.tried,
            prefix_hash: state.prefix_hash.filter(|_| is_engine),
        };
        self.router.pick(now, &self.active_config.config, &args)
    }

    /// Sends a new attempt of a stage to the picked upstream, with the rest of the time budget.
    pub(super) fn send_attempt(
        &mut self,
        now: time::Duration,
        request: id::RequestId,
        stage: plan::StageIndex,
        pick: routing::Pick,
        budget: time::Duration,
        effects: &mut Vec<Effect>,
    ) {
        let attempt = self.new_attempt_id(request);
        let Some(state) = self.requests.get_mut(&request) else { return };
        let step = &state.plan.steps[stage];
        let key = state.stage_key(stage).map(|text| {
            let range = key::range_of(text);
            let owner = self.key_owners.get(&(step.service.clone(), range));
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
            sent: self.wall_time.into(),
            team: state.team.clone(),
            revision: self.active_config.revision,
            offset: run.relayed_bytes,
            key,
            acks: self.acks.remove(&pick.address).unwrap_or_default(),
        };
        let offset = run.relayed_bytes;
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
            last_activity: now,
            accepted: false,
            was_silent: false,
            status: None,
            next_offset: offset,
            resolve_count: 0,
            resolve_at: None,
        };
        self.attempts.insert(attempt, record);
    }

    /// Returns a random attempt id that contains the request id.
    pub(super) fn new_attempt_id(&mut self, request: id::RequestId) -> id::AttemptId {
        let (first, _) = attempt_id_range(request);
        id::AttemptId(first.0 | u128::from(self.rng.u64(..)))
    }

    /// Counts the bytes of a sent body against the budget of the link between regions.
    pub(super) fn charge_sent(&mut self, now: time::Duration, attempt: id::AttemptId, bytes: u64) {
        if let Some(record) = self.attempts.get(&attempt) {
            self.router.charge_link(now, &self.active_config.config, record.pick.tier, bytes);
        }
    }

    /// Cancels an attempt whose answer is no longer needed.
    pub(super) fn cancel_attempt(&mut self, attempt: id::AttemptId, effects: &mut Vec<Effect>) {
        if let Some(record) = self.attempts.remove(&attempt) {
            self.router.attempt_ended(&record.pick.instance, None);
            effects.push(Effect::Cancel(record.address(), attempt));
        }
    }

    /// Handles a frame of an attempt; frames of attempts that have ended are ignored.
    pub(super) fn on_frame(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        frame: FrameInfo,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get_mut(&attempt) else { return };
        record.last_activity = now;
        record.resolve_at = None;
        match frame {
            FrameInfo::Accepted(load) => {
                record.accepted = true;
                let instance = record.pick.instance.clone();
                self.record_load(now, &instance, &load, effects);
            }
            FrameInfo::Started => {}
            FrameInfo::Head(status) => self.on_head(attempt, status, effects),
            FrameInfo::Chunk { offset, bytes } => {
                self.on_chunk(now, attempt, offset, bytes, effects);
            }
            FrameInfo::End { total, load } => {
                let instance = record.pick.instance.clone();
                let is_complete = record.next_offset == total;
                self.record_load(now, &instance, &load, effects);
                if is_complete {
                    self.complete_attempt(now, attempt, effects);
                } else {
                    self.on_lost(now, attempt, true, effects);
                }
            }
            FrameInfo::Refused(refused) => {
                let instance = record.pick.instance.clone();
                self.record_load(now, &instance, &refused.load, effects);
                self.on_refused(now, attempt, refused, effects);
            }
        }
    }

    /// Records a load report, and requests the configuration if the sidecar has a newer one.
    pub(super) fn record_load(
        &mut self,
        now: time::Duration,
        instance: &id::InstanceId,
        load: &wire::Load,
        effects: &mut Vec<Effect>,
    ) {
        self.router.record_load(now, instance, load);
        if load.revision > self.active_config.revision
            && let Some(up) = self.router.get(instance)
        {
            effects.push(Effect::FetchConfig(up.address, load.revision));
        }
    }

    /// Whether the answer of an attempt is streamed to the caller while it arrives. Only successful
    /// answers of the stage that answers the request are.
    pub(super) fn is_relayed(&self, record: &request::Attempt) -> bool {
        let Some(state) = self.requests.get(&record.request) else { return false };
        let is_success = record.status.is_some_and(|status| (200..300).contains(&status));
        state.streaming && state.plan.answer_stage == record.stage && is_success
    }

    /// Handles the status of an answer. The first relayed answer of a stage starts the caller's
    /// stream and cancels the other attempts of the stage.
    pub(super) fn on_head(
        &mut self,
        attempt: id::AttemptId,
        status: u16,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get_mut(&attempt) else { return };
        record.status = Some(status);
        let (request, stage) = (record.request, record.stage);
        let is_relayed = self.attempts.get(&attempt).is_some_and(|record| self.is_relayed(record));
        if !is_relayed {
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
        // The bytes of two attempts must not be mixed, so all other attempts are cancelled.
        for other in self.attempts_of(request, Some(stage)) {
            if other != attempt {
                self.cancel_attempt(other, effects);
            }
        }
    }

    /// Relays or buffers the part of a chunk that has not arrived before.
    pub(super) fn on_chunk(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        offset: u64,
        bytes: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get_mut(&attempt) else { return };
        if offset > record.next_offset {
            // Bytes are missing, so the answer would differ from the upstream's.
            self.on_lost(now, attempt, true, effects);
            return;
        }
        let skip = (record.next_offset - offset).min(bytes);
        record.next_offset = record.next_offset.max(offset + bytes);
        let (request, stage, received) = (record.request, record.stage, record.next_offset);
        let is_relayed = self.attempts.get(&attempt).is_some_and(|record| self.is_relayed(record));
        if !is_relayed {
            effects.push(Effect::BufferChunk { attempt, skip });
            return;
        }
        let run =
            self.requests.get_mut(&request).and_then(|state| state.stage_runs.get_mut(&stage));
        if let Some(run) = run.filter(|run| run.relayed_attempt == Some(attempt)) {
            run.relayed_bytes = received;
            effects.push(Effect::RelayChunk { request, skip });
        }
    }

    /// Handles an attempt whose answer is complete. An answer without a success status fails the
    /// attempt if the call can be retried, the request has several stages, or the status would tell
    /// the caller that nothing ran, which no answer of an upstream proves; otherwise the caller gets
    /// it.
    pub(super) fn complete_attempt(
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
        let is_single_stage = state.plan.steps.len() == 1;
        if !is_success {
            let is_unproved = refusal::promises_not_run(status);
            let can_retry = step.service_config.idempotent && status >= 500;
            if is_unproved || can_retry || !is_single_stage {
                let is_open = is_unproved || can_retry;
                let ran = if is_open { refusal::Ran::Unknown } else { refusal::Ran::Yes };
                self.fail_attempt(now, attempt, refusal::Kind::StageFailed, ran, effects);
                return;
            }
        }
        let is_relayed = self.attempts.get(&attempt).is_some_and(|record| self.is_relayed(record));
        let Some(record) = self.attempts.remove(&attempt) else { return };
        let latency = now.saturating_sub(record.sent_at);
        self.router.attempt_ended(&record.pick.instance, Some(latency));
        self.router.charge_link(
            now,
            &self.active_config.config,
            record.pick.tier,
            record.next_offset,
        );
        self.record_latency(request, stage, latency);
        self.acknowledge(record.address(), attempt);
        for other in self.attempts_of(request, Some(stage)) {
            self.cancel_attempt(other, effects);
        }
        let Some(state) = self.requests.get_mut(&request) else { return };
        state.done_stages.insert(stage);
        state.record_ran(refusal::Ran::Yes);
        if stage != state.plan.answer_stage {
            effects.push(Effect::StoreResult(request, stage, attempt));
            self.start_ready_stages(now, request, effects);
            return;
        }
        let latency = unit::Millis::from(now.saturating_sub(state.arrived));
        let line = telemetry::Line::new("answer").with("request", request).with("status", status);
        effects.push(Effect::Log(line.with("took", latency)));
        if is_relayed {
            effects.push(Effect::EndStream(request));
            effects.push(Effect::Forget(attempt));
        } else {
            effects.push(Effect::SendAnswer(request, attempt));
        }
        self.end_request(request, effects);
    }

    /// Updates the mean latency of a stage's service.
    pub(super) fn record_latency(
        &mut self,
        request: id::RequestId,
        stage: plan::StageIndex,
        latency: time::Duration,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        let service = state.plan.steps[stage].service.clone();
        let mean = self.mean_latencies.entry(service).or_insert(latency.as_secs_f64());
        *mean += (latency.as_secs_f64() - *mean) * LATENCY_SMOOTHING;
    }

    /// Queues an acknowledgement, so that the sidecar can drop the answer of a completed attempt.
    pub(super) fn acknowledge(&mut self, address: net::SocketAddr, attempt: id::AttemptId) {
        let acks = self.acks.entry(address).or_default();
        // The sidecar removes attempts that are never acknowledged when their retention ends.
        if acks.len() < MAX_ACKS {
            acks.push(attempt);
        }
    }
}
