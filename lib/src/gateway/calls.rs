//! Calls that answer requests: which upstream is called, and how the gateway handles the end of a
//! call.

use std::time;

use crate::admission;
use crate::fleet;
use crate::gateway;
use crate::gateway::holds;
use crate::gateway::request;
use crate::gateway::silence;
use crate::id;
use crate::placement;
use crate::quarantine;
use crate::refusal;
use crate::routing;
use crate::stream_versions;
use crate::telemetry;
use crate::unit;

/// Why a request is refused while all upstreams of its service have asked for a pause.
pub(super) const PAUSED_MESSAGE: &str = "all upstreams of the service have asked for a pause";
/// Maximum number of calls for one request, whether or not they ran it.
pub(super) const MAX_CALLS: u32 = 4;
/// Minimum remaining time for which a call is made.
pub(super) const MIN_BUDGET: time::Duration = time::Duration::from_millis(20);
/// Time without calls to an upstream that rejected one because it was full.
const FULL_BACKOFF: time::Duration = time::Duration::from_millis(100);
/// Time that a call to an upstream without an engine nominally takes.
const NOMINAL_CALL_MS: f64 = 40.0;
/// Additional cost of an upstream in another failure domain of the region.
const REGION_COST_MS: f64 = 4.0;
/// Additional cost of an upstream in another region.
const REMOTE_COST_MS: f64 = 90.0;

/// A call in flight that is to answer a request.
#[derive(Debug)]
pub struct PendingCall {
    /// Request that it is for.
    pub request: id::RequestId,
    /// Upstream that was called.
    pub instance: id::InstanceId,
    /// Version of its software.
    pub version: stream_versions::SoftwareVersion,
    /// When it was sent.
    pub sent_at: time::Duration,
    /// When the first event of its answer arrived; `None` before that.
    pub begun_at: Option<time::Duration>,
    /// Prompt tokens that the upstream has yet to read; 0 for upstreams without an engine.
    pub(super) tokens: u64,
    /// Whether it makes progress.
    pub(super) progress: silence::Progress,
}

impl gateway::Gateway {
    /// Calls the upstream that is to answer a request, or refuses the request if there is none or
    /// no time is left.
    pub(super) fn call_upstream(&mut self, id: id::RequestId, effects: &mut Vec<gateway::Effect>) {
        use refusal::Kind;
        if self.postpone_call(id) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let budget = request.deadline.saturating_sub(self.now.mono);
        if !self.has_valid_credential(request) {
            let message = "the credential could not be confirmed";
            // The table may be confirmed again in a moment, but a credential that it lacks is gone.
            if self.table_lease.is_valid(self.now) {
                self.refuse(id, Kind::NotReady, message, effects);
            } else {
                self.refuse_call(id, Kind::NotReady, message, admission::MIN_RETRY_DELAY, effects);
            }
            return;
        }
        if self.is_held(request) {
            self.refuse(id, Kind::PromptHeld, holds::HELD_MESSAGE, effects);
            return;
        }
        if budget < MIN_BUDGET {
            self.refuse(id, Kind::DeadlineExceeded, "the time for the answer is over", effects);
            return;
        }
        if !self.may_stay(request) {
            if self.move_request(id, effects) {
                self.advance(id, effects);
            }
            return;
        }
        if !self.settle_origin(id, effects) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        if request.awaits_retry {
            self.take_awaited_retry(id, effects);
            return;
        }
        let Some((choice, reason)) = self.choose_upstream(request) else {
            if let Some(pause) = self.answer_pause(request) {
                self.refuse_call(id, Kind::NoUpstream, PAUSED_MESSAGE, pause, effects);
            } else if self.answer_quota_wait(request).is_some() {
                let service = request.service.clone();
                self.wait_for_quota(id, &service, effects);
            } else {
                let delay = self.retry_delay(request);
                self.refuse_call(id, Kind::NoUpstream, "no upstream takes work", delay, effects);
            }
            return;
        };
        self.send_request(id, choice, reason, effects);
    }

    /// Sends a request to the chosen upstream.
    fn send_request(
        &mut self,
        id: id::RequestId,
        choice: placement::Choice,
        reason: &'static str,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let call = gateway::CallId(self.next_serial());
        let Some(upstream) = self.fleet.get(&choice.instance) else { return };
        let (address, started_ms) = (upstream.entry.address, upstream.entry.started_ms);
        let is_limited = upstream.states_limit(self.now.mono);
        let version = upstream.entry.version.clone();
        self.record_stream(id, &version);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_first = request.call_count == 0;
        request.call_count += 1;
        request.possible_runs += 1;
        request.may_have_run = true;
        request.call = Some(call);
        request.tried.insert(choice.instance.clone());
        let budget = request.deadline.saturating_sub(self.now.mono);
        let inputs = request.stage_results(request.route.final_stages());
        let max_connections = self.table.max_connections(&request.service);
        let request_call = gateway::RequestCall {
            call,
            request: id,
            instance: choice.instance.clone(),
            started_ms,
            address,
            max_connections,
            budget,
            patience: silence::patience(request, budget),
            team: request.team.clone(),
            inputs: inputs.into_iter().map(|result| result.handle).collect(),
            last_event: request.last_event,
            kind: request.route.kind,
            rank: request.rank,
            is_limited,
        };
        let line = telemetry::Line::new("send")
            .with("request", &request.external_id)
            .with("call", call)
            .with("upstream", &choice.instance)
            .with("version", &version)
            .with("reason", reason)
            .with("cost_ms", choice.cost_ms.round())
            .with("tokens", choice.tokens)
            .with("preferred", choice.is_preferred)
            .with("budget_ms", budget.as_millis())
            .with("repeat", !is_first)
            .with("waited_ms", self.now.mono.saturating_sub(request.arrived).as_millis())
            .with("cold_quota", cold_quota(&self.fleet, self.now.mono, &choice.instance))
            .with("cold_sent", self.fleet.sent_lately(self.now.mono, &choice.instance));
        effects.push(gateway::Effect::Log(line));
        self.cold_waits.remove(&id);
        self.fleet.record_limited_send(self.now.mono, &choice.instance);
        self.placement.record(self.now.mono, &choice.instance, &request.prompt_parts);
        self.fleet.record_sent(&choice.instance, choice.tokens);
        let state = PendingCall {
            request: id,
            instance: choice.instance,
            version,
            sent_at: self.now.mono,
            begun_at: None,
            tokens: choice.tokens,
            progress: silence::Progress::default(),
        };
        self.calls.insert(call, state);
        effects.push(gateway::Effect::SendRequest(Box::new(request_call)));
    }

    /// Picks the upstream with the lowest expected time to an answer, and returns the reason for
    /// the log.
    fn choose_upstream(
        &self,
        request: &request::Request,
    ) -> Option<(placement::Choice, &'static str)> {
        let engine = self.table.services.get(&request.service).and_then(|service| service.engine);
        let results = request.stage_results(request.route.final_stages());
        let candidates = self.candidates(request, &results);
        if engine.is_some() {
            let choice = self.placement.pick(self.now.mono, &request.prompt_parts, &candidates)?;
            return Some((choice, "engine"));
        }
        let choice = candidates.into_iter().map(plain_choice);
        Some((choice.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))?, "least_work"))
    }

    /// Returns the usable engine that all gateways prefer for the prompt of a request, in the
    /// region of its stages.
    pub(super) fn preferred_engine(&self, request: &request::Request) -> Option<id::InstanceId> {
        let candidates = self.candidates(request, &[]);
        let engines = candidates.iter().map(|candidate| (&candidate.instance, candidate.pace));
        placement::preferred_engine(&request.prompt_parts, engines).cloned()
    }

    /// Returns the upstreams that may answer a request: those that were not tried and are usable, without
    /// the silent ones if it is sent again; otherwise those that were not tried; otherwise all that accept
    /// calls at all. For a generation, they are limited to the region of its stages if it has any, and
    /// otherwise to the nearest one.
    fn candidates(
        &self,
        request: &request::Request,
        results: &[request::StoredResult],
    ) -> Vec<placement::Candidate> {
        let now = self.now.mono;
        let is_open =
            |up: &(&id::InstanceId, &fleet::Upstream)| self.is_open_to(request, up.0, up.1);
        let mut all: Vec<_> =
            self.fleet.service_upstreams(&request.service).filter(is_open).collect();
        if all.iter().any(|(_, up)| up.is_usable(now) && self.is_introduced(request, up)) {
            all.retain(|(_, up)| self.is_introduced(request, up));
        }
        let is_untried = |up: &&(&id::InstanceId, &fleet::Upstream)| !request.tried.contains(up.0);
        let is_usable = |up: &&(&id::InstanceId, &fleet::Upstream)| up.1.is_usable(now);
        let is_heard = |up: &&(&id::InstanceId, &fleet::Upstream)| {
            request.tried.is_empty() || !up.1.is_silent()
        };
        let subsets: [Vec<_>; 4] = [
            all.iter().filter(is_untried).filter(is_usable).filter(is_heard).collect(),
            all.iter().filter(is_untried).filter(is_usable).collect(),
            all.iter().filter(is_untried).collect(),
            all.iter().collect(),
        ];
        let Some(subset) = subsets.into_iter().find(|subset| !subset.is_empty()) else {
            return Vec::new();
        };
        let is_in_region =
            |up: &fleet::Upstream| self.fleet.region(&up.entry.domain) == Some(&request.region);
        let is_generation = !request.prompt_parts.is_empty();
        let has_own_region = subset.iter().any(|(_, up)| is_in_region(up));
        let nearest = subset.iter().map(|(_, up)| up.tier).min().unwrap_or(routing::Tier::Remote);
        let max_tier =
            if is_generation { nearest.max(routing::Tier::Region) } else { routing::Tier::Remote };
        subset
            .into_iter()
            .filter(|(_, up)| {
                if is_generation && has_own_region { is_in_region(up) } else { up.tier <= max_tier }
            })
            .map(|(instance, up)| self.candidate(instance, up, results))
            .collect()
    }

    /// Returns whether an upstream accepts calls at present and may answer a request.
    pub(super) fn is_open_to(
        &self,
        request: &request::Request,
        instance: &id::InstanceId,
        up: &fleet::Upstream,
    ) -> bool {
        let now = self.now.mono;
        !up.is_paused(now) && self.may_answer(request, up) && self.fleet.may_send(now, instance)
    }

    /// Returns an upstream with the figures that its cost depends on.
    fn candidate(
        &self,
        instance: &id::InstanceId,
        up: &fleet::Upstream,
        results: &[request::StoredResult],
    ) -> placement::Candidate {
        let mut region_bytes = unit::ByteSize(0);
        let mut remote_bytes = unit::ByteSize(0);
        for result in results {
            let Some(holder) = self.fleet.get(&result.instance) else { continue };
            let (from, to) = (&holder.entry.domain, &up.entry.domain);
            if from == to {
                continue;
            }
            if self.fleet.region(from) == self.fleet.region(to) {
                region_bytes.0 += result.size.0;
            } else {
                remote_bytes.0 += result.size.0;
            }
        }
        placement::Candidate {
            instance: instance.clone(),
            tier: up.tier,
            in_flight: up.in_flight,
            unread_tokens: up.unread_tokens,
            slowness: up.slowness(self.now.mono),
            pace: up.relative_pace(),
            region_bytes,
            remote_bytes,
        }
    }

    /// Records the start of an answer that is a stream. The results that the request needed are
    /// freed, because the upstream has read them by then.
    pub(super) fn answer_started(
        &mut self,
        id: gateway::CallId,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.begun_at = Some(self.now.mono);
        let sent_at = call.sent_at;
        let took = self.now.mono.saturating_sub(sent_at);
        // The prompt has been read, so its tokens no longer count as work of the upstream.
        let tokens = std::mem::take(&mut call.tokens);
        let (request_id, instance) = (call.request, call.instance.clone());
        let version = call.version.clone();
        if let Some(upstream) = self.fleet.get_mut(&instance) {
            upstream.unread_tokens = upstream.unread_tokens.saturating_sub(tokens);
        }
        let engine = self.engine_process(&instance);
        self.quarantine.record_alive(sent_at, &engine);
        self.watch_answer(id, self.now.mono);
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        self.deadlines.remove(&(request.current_deadline(), request_id));
        request.has_started = true;
        request.version.get_or_insert(version);
        self.deadlines.insert((request.current_deadline(), request_id));
        let finals: Vec<_> = request.route.final_stages().collect();
        let unneeded: Vec<_> =
            finals.into_iter().flat_map(|stage| request.take_results(stage)).collect();
        let line = telemetry::Line::new("begun")
            .with("request", &request.external_id)
            .with("call", id)
            .with("upstream", &instance)
            .with("first_ms", took.as_millis())
            .with("total_ms", self.now.mono.saturating_sub(request.arrived).as_millis());
        effects.push(gateway::Effect::Log(line));
        let (route, estimate) = (request.route.name.clone(), request.estimate);
        let latency = self.now.mono.saturating_sub(request.arrived);
        self.route_times.entry(route).or_default().record(estimate, latency, took);
        let Some(request) = self.requests.get(&request_id) else { return };
        metrics::histogram!("gateway_first_event_seconds")
            .record(self.now.mono.saturating_sub(request.arrived).as_secs_f64());
        for result in unneeded {
            self.free_result(result);
        }
    }

    /// Handles the end of a call: retries it, or answers or refuses the request.
    pub(super) fn call_ended(
        &mut self,
        id: gateway::CallId,
        outcome: gateway::Outcome,
        load: Option<fleet::Load>,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let Some(call) = self.remove_call(id) else { return };
        if let Some(load) = load {
            self.fleet.record_load(self.now.mono, &call.instance, load);
        }
        let Some(request) = self.requests.get_mut(&call.request) else { return };
        request.call = None;
        let line = telemetry::Line::new("call_ended")
            .with("request", &request.external_id)
            .with("call", id)
            .with("upstream", &call.instance)
            .with("outcome", outcome)
            .with("detail", format_args!("{outcome:?}"))
            .with("took_ms", self.now.mono.saturating_sub(call.sent_at).as_millis());
        effects.push(gateway::Effect::Log(line));
        let parts = std::mem::take(&mut request.prompt_parts);
        let prompt = quarantine::Prompt { parts: &parts, content: request.content };
        self.record_prompt_outcome(&call, prompt, outcome);
        if let Some(request) = self.requests.get_mut(&call.request) {
            request.prompt_parts = parts;
        }
        match outcome {
            gateway::Outcome::Unsent => {
                self.record_not_run(call.request);
                self.return_retry(call.request);
                self.record_upstream_failure(&call.instance, effects);
                self.assume_restarted(&call.instance, effects);
                self.retry_not_run(call.request, "the upstream could not be reached", effects);
            }
            gateway::Outcome::NotRun { inputs_gone: true, .. } => {
                self.record_not_run(call.request);
                self.recompute_final_stages(call.request, effects);
                self.advance(call.request, effects);
            }
            gateway::Outcome::NotRun { .. } => {
                self.record_not_run(call.request);
                if let Some(upstream) = self.fleet.get_mut(&call.instance) {
                    upstream.backoff_until = self.now.mono + FULL_BACKOFF;
                }
                self.retry_not_run(call.request, "no upstream had a place", effects);
            }
            gateway::Outcome::Answered { status } => {
                self.call_answered(&call, id, status, effects);
            }
            gateway::Outcome::Ended => {
                let took = self.now.mono.saturating_sub(call.sent_at);
                self.fleet.record_success(self.now.mono, &call.instance, None);
                self.finish_request(call.request, took, effects);
            }
            gateway::Outcome::Broken { last, cause } => {
                self.record_upstream_failure(&call.instance, effects);
                if cause == gateway::BreakCause::ConnectionLost {
                    self.assume_restarted(&call.instance, effects);
                }
                self.delay_move(call.request, cause);
                self.call_broken(&call, last, effects);
            }
        }
    }

    /// Handles a complete answer: delivers it, or retries the request if the upstream failed. A status
    /// that would tell the caller that the request did not run is a failure as well: an upstream that
    /// has not run a request marks its refusal, and the call then ends as [`gateway::Outcome::NotRun`].
    fn call_answered(
        &mut self,
        call: &PendingCall,
        id: gateway::CallId,
        status: u16,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let took = self.now.mono.saturating_sub(call.sent_at);
        let is_unproved = refusal::promises_not_run(status);
        if status < 500 && !is_unproved {
            let ratio = took.as_secs_f64() * 1_000.0 / NOMINAL_CALL_MS;
            self.fleet.record_success(self.now.mono, &call.instance, Some(ratio));
        } else if self.try_spend_retry(call.request) {
            self.call_upstream(call.request, effects);
            return;
        }
        if is_unproved {
            let message =
                format!("the upstream refused with {status} and may have run the request");
            self.refuse(call.request, refusal::Kind::UpstreamBroken, &message, effects);
            return;
        }
        effects.push(gateway::Effect::DeliverAnswer(call.request, id));
        self.finish_request(call.request, took, effects);
    }

    /// Handles a call that broke off: retries the request, or refuses it.
    fn call_broken(
        &mut self,
        call: &PendingCall,
        last: Option<u64>,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let id = call.request;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.last_event = last.or(request.last_event);
        let is_suspect = self.requests.get(&id).is_some_and(|request| self.is_suspect(request));
        let is_paid = call.progress == silence::Progress::Ending;
        if !is_suspect && (is_paid || self.try_spend_retry(id)) {
            self.resume(id, effects);
        } else if is_suspect || !self.await_retry(id) {
            let message = "the upstream's answer broke off";
            self.refuse(id, refusal::Kind::UpstreamBroken, message, effects);
        }
    }

    /// Logs the end of an answered request and drops it.
    fn finish_request(
        &mut self,
        id: id::RequestId,
        took: time::Duration,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let total = self.now.mono.saturating_sub(request.arrived);
        let line = telemetry::Line::new("served")
            .with("request", &request.external_id)
            .with("total_ms", total.as_millis())
            .with("call_ms", took.as_millis());
        effects.push(gateway::Effect::Log(line));
        metrics::counter!("gateway_served_total").increment(1);
        metrics::histogram!("gateway_request_seconds").record(total.as_secs_f64());
        self.drop_request(id, effects);
    }

    /// Cancels a call in flight, for example because its request was dropped.
    pub(super) fn cancel_call(&mut self, id: gateway::CallId, effects: &mut Vec<gateway::Effect>) {
        if self.remove_call(id).is_some() {
            effects.push(gateway::Effect::CancelCall(id));
        }
    }
}

/// Returns the quota for an upstream for logs; `none` if it is warm.
fn cold_quota(fleet: &fleet::Fleet, now: time::Duration, instance: &id::InstanceId) -> String {
    fleet.quota(now, instance).map_or_else(|| "none".to_owned(), |quota| quota.to_string())
}

/// Returns an upstream without an engine with its cost. Each call in flight adds 30% of the time of
/// a call.
fn plain_choice(candidate: placement::Candidate) -> placement::Choice {
    let distance = match candidate.tier {
        routing::Tier::Domain => 0.0,
        routing::Tier::Region => REGION_COST_MS,
        routing::Tier::Remote => REMOTE_COST_MS,
    };
    let calls = f64::from(candidate.in_flight + 1);
    let cost_ms = NOMINAL_CALL_MS * candidate.slowness * (1.0 + 0.3 * (calls - 1.0)) + distance;
    placement::Choice { instance: candidate.instance, cost_ms, tokens: 0, is_preferred: false }
}
