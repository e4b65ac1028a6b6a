//! Recovery of an entry from attempts that fail, lose their connection or stop responding.

use std::collections;
use std::time;

use crate::id;
use crate::key;
use crate::plan;
use crate::refusal;
use crate::request;
use crate::retry;
use crate::telemetry;
use crate::wire;

use super::attempts::REPLY_MARGIN;
use super::{Effect, Entry, MAX_FAST_REDIRECTS, REDIRECT_PAUSE};

/// Time within which a sidecar has to accept an attempt before the entry acts: a repeatable call is
/// sent to another sidecar if it may be retried, any other one is resolved at the same sidecar.
const ACCEPT_TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Time without any frame after which a stream counts as stalled.
const STREAM_STALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Largest number of attempts of one stage, not counting redirects.
const MAX_ATTEMPTS: u32 = 5;
/// Largest number of redirects of one stage; after them the request is refused.
const MAX_REDIRECTS: u32 = 100;
/// How long after the arrival of a request the owner of its idempotency key is searched. After this
/// time only a restart of the former owner could help, so the request is refused early.
const OWNER_SEARCH_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);
/// Pause before a sidecar that did not answer is asked again for the outcome of an attempt.
const RESOLVE_PAUSE: time::Duration = time::Duration::from_millis(150);
/// Multiple of the service's mean latency after which a call is hedged.
const HEDGE_FACTOR: u32 = 4;
/// Shortest time after which a call is hedged, however fast the service usually is.
const MIN_HEDGE_DELAY: time::Duration = time::Duration::from_millis(400);

impl Entry {
    /// Handles a broken connection of an attempt, or an answer with missing bytes. `sent` is false
    /// if no byte can have reached the sidecar.
    pub(super) fn on_lost(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        sent: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get(&attempt) else { return };
        let (request, stage) = (record.request, record.stage);
        let Some(state) = self.requests.get(&request) else { return };
        let config = &state.plan.steps[stage].service_config;
        let is_resolving = record.resolve_count > 0;
        if !sent && !is_resolving {
            let kind = refusal::Kind::SidecarLost;
            self.fail_attempt(now, attempt, kind, refusal::Ran::No, effects);
            return;
        }
        let relayed_bytes = state.stage_runs.get(&stage).map_or(0, |run| run.relayed_bytes);
        // A repeatable call is sent to another sidecar at once. A stream that has started is first
        // resumed at the same sidecar, which has the rest of it. So is a call without a retry left,
        // because the sidecar may still run it.
        let is_resumable_here =
            !is_resolving && (relayed_bytes > 0 || !self.can_retry(now, request, stage));
        if config.idempotent && !is_resumable_here {
            let kind = refusal::Kind::SidecarLost;
            self.fail_attempt(now, attempt, kind, refusal::Ran::Unknown, effects);
            return;
        }
        if !is_resolving {
            self.resolve(now, attempt, effects);
        } else if let Some(record) = self.attempts.get_mut(&attempt) {
            record.resolve_at = Some(now + RESOLVE_PAUSE);
        }
    }

    /// Ends an attempt whose answer takes more memory than there is.
    pub(super) fn drop_large_answer(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(record) = self.attempts.get(&attempt) {
            effects.push(Effect::Cancel(record.address(), attempt));
        }
        let kind = refusal::Kind::AnswerTooLarge;
        self.fail_attempt(now, attempt, kind, refusal::Ran::Unknown, effects);
    }

    /// Asks the sidecar for the outcome of an attempt and the rest of its answer.
    pub(super) fn resolve(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get_mut(&attempt) else { return };
        record.resolve_count += 1;
        record.resolve_at = None;
        record.last_activity = now;
        let line = telemetry::Line::new("resolve")
            .with("request", record.request)
            .with("attempt", attempt)
            .with("upstream", &record.pick.instance)
            .with("try", record.resolve_count);
        effects.push(Effect::Log(line));
        let attach = wire::AttachAttempt {
            version: wire::MAJOR_VERSION,
            attempt,
            incarnation: record.pick.incarnation,
            offset: record.next_offset,
        };
        effects.push(Effect::Attach(record.address(), attach));
    }

    /// Handles a refusal by a sidecar: records or removes the owner of the key, then ends the
    /// attempt.
    pub(super) fn on_refused(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        refused: wire::Refused,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get(&attempt) else { return };
        let (request, stage) = (record.request, record.stage);
        let instance = record.pick.instance.clone();
        let Some(state) = self.requests.get_mut(&request) else { return };
        let service = state.plan.steps[stage].service.clone();
        if let Some(text) = state.stage_key(stage) {
            let service_range = (service, key::range_of(text));
            match refused.owner {
                Some(owner) => {
                    self.key_owners.insert(service_range, owner);
                }
                None if refused.ran == refusal::Ran::No => {
                    self.key_owners.remove(&service_range);
                }
                None => {}
            }
        }
        if refused.kind == refusal::Kind::WrongIncarnation
            && let Some(run) = state.stage_runs.get_mut(&stage)
        {
            // The refusal contained the sidecar's current incarnation, so that an attempt there can
            // succeed now.
            run.tried.remove(&instance);
        }
        self.fail_attempt(now, attempt, refused.kind, refused.ran, effects);
    }

    /// Ends an attempt without an answer, and retries the stage or refuses the request.
    pub(super) fn fail_attempt(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        kind: refusal::Kind,
        ran: refusal::Ran,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.remove(&attempt) else { return };
        effects.push(Effect::Forget(attempt));
        self.router.attempt_ended(&record.pick.instance, None);
        if is_upstream_fault(kind) {
            self.record_failure(now, &record.pick.instance, effects);
        }
        let (request, stage) = (record.request, record.stage);
        let Some(state) = self.requests.get_mut(&request) else { return };
        state.record_ran(ran);
        let idempotent = state.plan.steps[stage].service_config.idempotent;
        if let Some(key) = state.stage_key(stage)
            && kind == refusal::Kind::SidecarLost
        {
            let service_range = (state.plan.steps[stage].service.clone(), key::range_of(key));
            self.key_owners.remove(&service_range);
        }
        if state.stage_key(stage).is_some() && ran == refusal::Ran::No && is_from_key_owner(kind) {
            state.key_unused = true;
        }
        if !self.attempts_of(request, Some(stage)).is_empty() {
            // The stage was hedged and its other attempt continues.
            return;
        }
        if !(idempotent || ran == refusal::Ran::No) {
            let message = failure_message(&record, self.requests.get(&request), kind);
            self.refuse_request(request, kind, message, effects);
            return;
        }
        self.retry_stage(now, &record, kind, effects);
    }

    /// Retries a stage after a failed attempt, at once or after a pause. It refuses the request
    /// instead if a retry cannot help, or if the limits or the retry budget are used up.
    pub(super) fn retry_stage(
        &mut self,
        now: time::Duration,
        record: &request::Attempt,
        kind: refusal::Kind,
        effects: &mut Vec<Effect>,
    ) {
        let (request, stage) = (record.request, record.stage);
        let Some(state) = self.requests.get_mut(&request) else { return };
        let has_key = state.stage_key(stage).is_some();
        let step = &state.plan.steps[stage];
        let service = step.service.clone();
        let can_resume = step.service_config.can_resume;
        let Some(run) = state.stage_runs.get_mut(&stage) else { return };
        // With a key, a lost sidecar means that the owner has to be searched again.
        let is_redirect = is_redirect(kind) || has_key && kind == refusal::Kind::SidecarLost;
        let is_broken_stream = run.relayed_bytes > 0 && !can_resume;
        // Number of redirects so far, zero for a retry at the cost of the budget, or the refusal.
        let decision = if is_broken_stream || !is_retryable(kind) {
            Err(kind)
        } else if is_redirect {
            run.redirects += 1;
            run.attempts -= 1;
            if run.redirects > MAX_REDIRECTS { Err(kind) } else { Ok(run.redirects) }
        } else if run.attempts >= MAX_ATTEMPTS {
            Err(kind)
        } else if self.retry_budgets.entry(service).or_default().try_withdraw() {
            Ok(0)
        } else {
            Err(kind)
        };
        match decision {
            Ok(redirects) if redirects > MAX_FAST_REDIRECTS || needs_pause(kind) => {
                let retry_at = now + REDIRECT_PAUSE;
                let is_late = has_key && now >= state.arrived + OWNER_SEARCH_TIMEOUT;
                if !is_late && retry_at + REPLY_MARGIN < state.stage_deadline(stage) {
                    if let Some(run) = state.stage_runs.get_mut(&stage) {
                        run.retry_at = Some(retry_at);
                    }
                } else {
                    self.refuse_after_failure(record, kind, effects);
                }
            }
            Ok(_) => self.try_stage(now, request, stage, effects),
            Err(kind) => self.refuse_after_failure(record, kind, effects),
        }
    }

    /// Refuses the request after the last attempt of a stage failed.
    pub(super) fn refuse_after_failure(
        &mut self,
        record: &request::Attempt,
        kind: refusal::Kind,
        effects: &mut Vec<Effect>,
    ) {
        let request = record.request;
        let message = failure_message(record, self.requests.get(&request), kind);
        self.refuse_request(request, kind, message, effects);
    }

    /// Records a failure of an upstream, which may eject it.
    pub(super) fn record_failure(
        &mut self,
        now: time::Duration,
        instance: &id::InstanceId,
        effects: &mut Vec<Effect>,
    ) {
        if self.router.record_failure(now, &self.active_config.config, instance) {
            effects.push(Effect::Log(telemetry::Line::new("eject").with("upstream", instance)));
        }
    }

    /// Refuses overdue requests, retries stages whose pause is over, and checks every attempt.
    pub(super) fn tick(&mut self, now: time::Duration, effects: &mut Vec<Effect>) {
        self.end_overdue(now, effects);
        self.retry_due_stages(now, effects);
        let attempts: Vec<_> = self.attempts.keys().copied().collect();
        for attempt in attempts {
            self.check_attempt(now, attempt, effects);
        }
    }

    /// Refuses requests whose deadline has passed.
    pub(super) fn end_overdue(&mut self, now: time::Duration, effects: &mut Vec<Effect>) {
        let overdue: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, state)| state.deadline <= now)
            .map(|(request, _)| *request)
            .collect();
        for request in overdue {
            let kind = refusal::Kind::DeadlineExceeded;
            self.refuse_request(request, kind, "the answer was not whole in time", effects);
        }
    }

    /// Starts the next attempt of each stage whose pause is over.
    pub(super) fn retry_due_stages(&mut self, now: time::Duration, effects: &mut Vec<Effect>) {
        let mut due = Vec::new();
        for (request, state) in &mut self.requests {
            for (stage, run) in &mut state.stage_runs {
                if run.retry_at.is_some_and(|at| at <= now) {
                    run.retry_at = None;
                    due.push((*request, *stage));
                }
            }
        }
        for (request, stage) in due {
            self.try_stage(now, request, stage, effects);
        }
    }

    /// Resolves, replaces or hedges an attempt that is due for it, depending on how long ago its
    /// last frame arrived.
    pub(super) fn check_attempt(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get(&attempt) else { return };
        let Some(state) = self.requests.get(&record.request) else { return };
        let config = &state.plan.steps[record.stage].service_config;
        let idle = now.saturating_sub(record.last_activity);
        let relayed_bytes = state.stage_runs.get(&record.stage).map_or(0, |run| run.relayed_bytes);
        if record.resolve_at.is_some_and(|at| at <= now) {
            self.resolve(now, attempt, effects);
        } else if !record.accepted && idle >= ACCEPT_TIMEOUT {
            self.replace_or_resolve(now, attempt, config.idempotent, effects);
        } else if relayed_bytes > 0 && idle >= STREAM_STALL_TIMEOUT {
            self.replace_or_resolve(now, attempt, config.idempotent && config.can_resume, effects);
        } else if config.idempotent && relayed_bytes == 0 && record.status.is_none() {
            self.hedge(now, attempt, effects);
        }
    }

    /// Handles an attempt without recent frames. With `can_move` it is replaced by another one if that
    /// is possible; otherwise the same sidecar is asked for the outcome.
    pub(super) fn replace_or_resolve(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        can_move: bool,
        effects: &mut Vec<Effect>,
    ) {
        if can_move {
            self.replace(now, attempt, effects);
        } else {
            // The call may run only once, or its stream cannot be resumed at another sidecar; only
            // this sidecar has its outcome.
            self.resolve(now, attempt, effects);
        }
    }

    /// Replaces an attempt at a silent sidecar. If no upstream takes work or no retry is left, the
    /// attempt goes on, since a sound sidecar may be silent for a while.
    fn replace(&mut self, now: time::Duration, attempt: id::AttemptId, effects: &mut Vec<Effect>) {
        let Some(record) = self.attempts.get_mut(&attempt) else { return };
        let (request, stage) = (record.request, record.stage);
        if !std::mem::replace(&mut record.was_silent, true) {
            // Later calls avoid the upstream, also if this one cannot.
            let instance = record.pick.instance.clone();
            self.record_failure(now, &instance, effects);
        }
        if self.is_accepted_elsewhere(attempt) || !self.can_retry(now, request, stage) {
            return;
        }
        let Some(state) = self.requests.get_mut(&request) else { return };
        let service = state.plan.steps[stage].service.clone();
        self.retry_budgets.entry(service).or_default().try_withdraw();
        state.record_ran(refusal::Ran::Unknown);
        self.cancel_attempt(attempt, effects);
        self.try_stage(now, request, stage, effects);
    }

    /// Whether another attempt of the same stage was accepted.
    fn is_accepted_elsewhere(&self, attempt: id::AttemptId) -> bool {
        let Some(record) = self.attempts.get(&attempt) else { return false };
        let others = self.attempts_of(record.request, Some(record.stage));
        others.iter().filter(|other| **other != attempt).any(|other| self.attempts[other].accepted)
    }

    /// Whether a failed attempt of a stage would be retried now.
    fn can_retry(
        &self,
        now: time::Duration,
        request: id::RequestId,
        stage: plan::StageIndex,
    ) -> bool {
        let Some(state) = self.requests.get(&request) else { return false };
        let Some(run) = state.stage_runs.get(&stage) else { return false };
        let budget = self.retry_budgets.get(&state.plan.steps[stage].service);
        run.attempts < MAX_ATTEMPTS
            && budget.is_some_and(retry::Budget::has_retry)
            && self.has_alternative(now, request, stage)
    }

    /// Whether a stage has time left for one more attempt, and an upstream that takes work.
    fn has_alternative(
        &self,
        now: time::Duration,
        request: id::RequestId,
        stage: plan::StageIndex,
    ) -> bool {
        let Some(state) = self.requests.get(&request) else { return false };
        let service = &state.plan.steps[stage].service;
        now + REPLY_MARGIN < state.stage_deadline(stage)
            && self.router.has_untried(service, &collections::BTreeSet::new())
    }

    /// Starts a second attempt if the first one takes much longer than usual and the retry budget
    /// allows it.
    pub(super) fn hedge(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get(&attempt) else { return };
        let (request, stage) = (record.request, record.stage);
        let Some(state) = self.requests.get(&request) else { return };
        let service = state.plan.steps[stage].service.clone();
        let Some(mean) = self.mean_latencies.get(&service) else { return };
        let hedge_delay = time::Duration::from_secs_f64(*mean) * HEDGE_FACTOR;
        let Some(run) = state.stage_runs.get(&stage) else { return };
        if run.hedged || now.saturating_sub(record.sent_at) < hedge_delay.max(MIN_HEDGE_DELAY) {
            return;
        }
        // A stage that finds no upstream would be refused, with its first attempt in progress.
        if !self.has_alternative(now, request, stage)
            || !self.retry_budgets.entry(service).or_default().try_withdraw()
        {
            return;
        }
        let state = self.requests.get_mut(&request);
        if let Some(run) = state.and_then(|state| state.stage_runs.get_mut(&stage)) {
            run.hedged = true;
        }
        self.try_stage(now, request, stage, effects);
    }
}

/// Returns the message that tells the caller which stage failed, where and how.
fn failure_message(
    record: &request::Attempt,
    state: Option<&request::Request>,
    kind: refusal::Kind,
) -> String {
    let stage = state.map_or("?", |state| state.plan.steps[record.stage].name.as_str());
    let status = record.status.map(|status| format!(" with status {status}")).unwrap_or_default();
    format!("stage `{stage}` at `{}` failed as {kind}{status}", record.pick.instance)
}

/// Whether a refusal is caused by a faulty upstream or sidecar, rather than by load or by the
/// request.
fn is_upstream_fault(kind: refusal::Kind) -> bool {
    use refusal::Kind;
    matches!(
        kind,
        Kind::SidecarLost | Kind::UpstreamBroken | Kind::UpstreamUnreachable | Kind::StageFailed
    )
}

/// Whether a refusal only means that the attempt has to go to another sidecar or incarnation, or has to
/// be sent again because its message did not arrive.
fn is_redirect(kind: refusal::Kind) -> bool {
    use refusal::Kind;
    matches!(
        kind,
        Kind::NotOwner
            | Kind::LeaseLapsed
            | Kind::WrongIncarnation
            | Kind::Draining
            | Kind::NotReady
            | Kind::Tombstoned
    )
}

/// Whether a refusal as not run can only come from the owner of the key. The owner's ledger then
/// also shows that no earlier request with the key ran.
fn is_from_key_owner(kind: refusal::Kind) -> bool {
    use refusal::Kind;
    matches!(
        kind,
        Kind::QueueFull
            | Kind::DeadlineUnreachable
            | Kind::DeadlineExceeded
            | Kind::UpstreamUnreachable
            | Kind::KeyMismatch
            | Kind::KeyFromFuture
    )
}

/// Whether a retry makes sense only after a pause.
fn needs_pause(kind: refusal::Kind) -> bool {
    matches!(kind, refusal::Kind::LeaseLapsed)
}

/// Whether a retry can lead to another result.
fn is_retryable(kind: refusal::Kind) -> bool {
    use refusal::Kind;
    !matches!(
        kind,
        Kind::KeyBeforeTakeover
            | Kind::KeyExpired
            | Kind::KeyFromFuture
            | Kind::KeyMismatch
            | Kind::AnswerDropped
            | Kind::AnswerTooLarge
            | Kind::BadRequest
            | Kind::DeadlineExceeded
            | Kind::VersionMismatch
    )
}
