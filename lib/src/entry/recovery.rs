//! What an entry does when an attempt fails, breaks off or goes silent.

use std::time;

use crate::id;
use crate::key;
use crate::refusal;
use crate::request;
use crate::telemetry;
use crate::wire;

use super::attempts::REPLY_MARGIN;
use super::{Effect, Entry, FAST_REDIRECTS, REDIRECT_PAUSE};

/// Time that a sidecar has to accept an attempt before another one is tried.
const ACCEPT_TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Time without any byte after which a stream counts as stalled.
const STREAM_STALL: time::Duration = time::Duration::from_secs(3);
/// Attempts at one stage, redirects not counted.
const MAX_ATTEMPTS: u32 = 5;
/// Redirects of one stage, after which the request is refused.
const MAX_REDIRECTS: u32 = 100;
/// Time for which the owner of an idempotency key is looked for. Past it only a restart of the same
/// owner could help, and the caller is better told soon.
const OWNER_WAIT: time::Duration = time::Duration::from_millis(2_500);
/// Pause before a silent sidecar is asked again what became of an attempt.
const RESOLVE_PAUSE: time::Duration = time::Duration::from_millis(150);
/// Expected time of a call, times this, after which a slow one is hedged.
const HEDGE_FACTOR: u32 = 4;
/// Shortest time after which a call is hedged.
const HEDGE_FLOOR: time::Duration = time::Duration::from_millis(400);

impl Entry {
    /// Takes in that the connection of an attempt broke.
    pub(super) fn lost(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        sent: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get_mut(&attempt) else { return };
        let (request, stage) = (record.request, record.stage);
        let Some(state) = self.requests.get(&request) else { return };
        let rules = &state.plan.steps[stage].service_config;
        let is_resolving = record.resolve_count > 0;
        if !sent && !is_resolving {
            let kind = refusal::Kind::SidecarLost;
            self.fail(now, attempt, kind, refusal::Ran::No, effects);
            return;
        }
        let relayed = state.stage_runs.get(&stage).map_or(0, |run| run.relayed_bytes);
        // A call that may repeat goes elsewhere at once; a stream is better read on where it is.
        let is_stream_kept = relayed > 0 && record.resolve_count == 0;
        if rules.idempotent && !is_stream_kept {
            let kind = refusal::Kind::SidecarLost;
            self.fail(now, attempt, kind, refusal::Ran::Unknown, effects);
            return;
        }
        if record.resolve_count == 0 {
            self.resolve(now, attempt, effects);
        } else {
            record.resolve_at = Some(now + RESOLVE_PAUSE);
        }
    }

    /// Asks the sidecar what became of an attempt.
    pub(super) fn resolve(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get_mut(&attempt) else { return };
        record.resolve_count += 1;
        record.resolve_at = None;
        record.last_frame = now;
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

    pub(super) fn refused(
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
            let place = (service, key::range_of(text));
            match refused.owner {
                Some(owner) => {
                    self.owners.insert(place, owner);
                }
                None if refused.ran == refusal::Ran::No => {
                    self.owners.remove(&place);
                }
                None => {}
            }
        }
        if refused.kind == refusal::Kind::WrongIncarnation
            && let Some(run) = state.stage_runs.get_mut(&stage)
        {
            // The refusal told the life, so that the same sidecar can be asked properly.
            run.tried.remove(&instance);
        }
        self.fail(now, attempt, refused.kind, refused.ran, effects);
    }

    /// Ends an attempt without an answer, and tries the stage again or refuses the request.
    pub(super) fn fail(
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
            self.note_fault(now, &record.pick.instance, effects);
        }
        let (request, stage) = (record.request, record.stage);
        let Some(state) = self.requests.get_mut(&request) else { return };
        state.record_ran(ran);
        let idempotent = state.plan.steps[stage].service_config.idempotent;
        if let Some(key) = state.stage_key(stage)
            && kind == refusal::Kind::SidecarLost
        {
            let place = (state.plan.steps[stage].service.clone(), key::range_of(key));
            self.owners.remove(&place);
        }
        if state.stage_key(stage).is_some() && ran == refusal::Ran::No && vouches(kind) {
            state.key_unused = true;
        }
        if !self.attempts_of(request, Some(stage)).is_empty() {
            // The other attempt of a hedged stage goes on.
            return;
        }
        if !(idempotent || ran == refusal::Ran::No) {
            let message = describe(&record, self.requests.get(&request), kind);
            self.refuse(request, kind, message, effects);
            return;
        }
        self.try_again(now, &record, kind, effects);
    }

    pub(super) fn try_again(
        &mut self,
        now: time::Duration,
        record: &request::Attempt,
        kind: refusal::Kind,
        effects: &mut Vec<Effect>,
    ) {
        let (request, stage) = (record.request, record.stage);
        let Some(state) = self.requests.get_mut(&request) else { return };
        let is_keyed = state.stage_key(stage).is_some();
        let step = &state.plan.steps[stage];
        let service = step.service.clone();
        let resumes = step.service_config.can_resume;
        let Some(run) = state.stage_runs.get_mut(&stage) else { return };
        let is_redirect = is_redirect(kind) || is_keyed && kind == refusal::Kind::SidecarLost;
        let is_cut_stream = run.relayed_bytes > 0 && !resumes;
        let verdict = if is_cut_stream || !may_repeat(kind) {
            Err(kind)
        } else if is_redirect {
            run.redirects += 1;
            run.attempts -= 1;
            if run.redirects > MAX_REDIRECTS { Err(kind) } else { Ok(run.redirects) }
        } else if run.attempts >= MAX_ATTEMPTS {
            Err(kind)
        } else if self.budgets.entry(service).or_default().try_withdraw() {
            Ok(0)
        } else {
            Err(kind)
        };
        match verdict {
            Ok(redirects) if redirects > FAST_REDIRECTS || is_pause(kind) => {
                let wake = now + REDIRECT_PAUSE;
                let is_late = is_keyed && now >= state.arrived + OWNER_WAIT;
                if !is_late && wake + REPLY_MARGIN < state.stage_deadline(stage) {
                    if let Some(run) = state.stage_runs.get_mut(&stage) {
                        run.retry_at = Some(wake);
                    }
                } else {
                    self.give_up(record, kind, effects);
                }
            }
            Ok(_) => self.try_stage(now, request, stage, effects),
            Err(kind) => self.give_up(record, kind, effects),
        }
    }

    /// Refuses the request after the last attempt of a stage.
    pub(super) fn give_up(
        &mut self,
        record: &request::Attempt,
        kind: refusal::Kind,
        effects: &mut Vec<Effect>,
    ) {
        let request = record.request;
        let message = describe(record, self.requests.get(&request), kind);
        self.refuse(request, kind, message, effects);
    }

    pub(super) fn note_fault(
        &mut self,
        now: time::Duration,
        instance: &id::InstanceId,
        effects: &mut Vec<Effect>,
    ) {
        if self.router.record_failure(now, &self.in_force.config, instance) {
            effects.push(Effect::Log(telemetry::Line::new("eject").with("upstream", instance)));
        }
    }

    pub(super) fn tick(&mut self, now: time::Duration, effects: &mut Vec<Effect>) {
        self.end_overdue(now, effects);
        self.wake_stages(now, effects);
        let attempts: Vec<_> = self.attempts.keys().copied().collect();
        for attempt in attempts {
            self.watch_attempt(now, attempt, effects);
        }
    }

    pub(super) fn end_overdue(&mut self, now: time::Duration, effects: &mut Vec<Effect>) {
        let overdue: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, state)| state.deadline <= now)
            .map(|(request, _)| *request)
            .collect();
        for request in overdue {
            let kind = refusal::Kind::DeadlineExceeded;
            self.refuse(request, kind, "the answer was not whole in time", effects);
        }
    }

    pub(super) fn wake_stages(&mut self, now: time::Duration, effects: &mut Vec<Effect>) {
        let mut due = Vec::new();
        for (request, state) in &mut self.requests {
            for (stage, run) in &mut state.stage_runs {
                if run.retry_at.is_some_and(|wake| wake <= now) {
                    run.retry_at = None;
                    due.push((*request, *stage));
                }
            }
        }
        for (request, stage) in due {
            self.try_stage(now, request, stage, effects);
        }
    }

    /// Looks after an attempt from which nothing was heard for some time.
    pub(super) fn watch_attempt(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get(&attempt) else { return };
        let Some(state) = self.requests.get(&record.request) else { return };
        let rules = &state.plan.steps[record.stage].service_config;
        let silent = now.saturating_sub(record.last_frame);
        let relayed = state.stage_runs.get(&record.stage).map_or(0, |run| run.relayed_bytes);
        if record.resolve_at.is_some_and(|at| at <= now) {
            self.resolve(now, attempt, effects);
        } else if !record.accepted && silent >= ACCEPT_TIMEOUT {
            self.give_up_silent(now, attempt, rules.idempotent, effects);
        } else if relayed > 0 && silent >= STREAM_STALL {
            self.give_up_silent(now, attempt, rules.idempotent && rules.can_resume, effects);
        } else if rules.idempotent && relayed == 0 && record.status.is_none() {
            self.hedge(now, attempt, effects);
        }
    }

    pub(super) fn give_up_silent(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        elsewhere: bool,
        effects: &mut Vec<Effect>,
    ) {
        if !elsewhere {
            // Only this sidecar can tell whether the call ran.
            self.resolve(now, attempt, effects);
            return;
        }
        if let Some(record) = self.attempts.get(&attempt) {
            effects.push(Effect::Cancel(record.address(), attempt));
        }
        let kind = refusal::Kind::SidecarLost;
        self.fail(now, attempt, kind, refusal::Ran::Unknown, effects);
    }

    /// Starts a second attempt beside one that takes much longer than usual.
    pub(super) fn hedge(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get(&attempt) else { return };
        let (request, stage) = (record.request, record.stage);
        let Some(state) = self.requests.get_mut(&request) else { return };
        let step = &state.plan.steps[stage];
        let Some(mean) = self.latencies.get(&step.service) else { return };
        let usual = time::Duration::from_secs_f64(*mean) * HEDGE_FACTOR;
        let Some(run) = state.stage_runs.get_mut(&stage) else { return };
        if run.hedged || now.saturating_sub(record.sent_at) < usual.max(HEDGE_FLOOR) {
            return;
        }
        if self.budgets.entry(step.service.clone()).or_default().try_withdraw() {
            run.hedged = true;
            self.try_stage(now, request, stage, effects);
        }
    }
}

fn describe(
    record: &request::Attempt,
    state: Option<&request::Request>,
    kind: refusal::Kind,
) -> String {
    let stage = state.map_or("?", |state| state.plan.steps[record.stage].name.as_str());
    let status = record.status.map(|status| format!(" with status {status}")).unwrap_or_default();
    format!("stage `{stage}` at `{}` failed as {kind}{status}", record.pick.instance)
}

/// Whether a kind tells of a faulty upstream or sidecar, rather than of load or of the request.
fn is_upstream_fault(kind: refusal::Kind) -> bool {
    use refusal::Kind;
    matches!(
        kind,
        Kind::SidecarLost | Kind::UpstreamBroken | Kind::UpstreamUnreachable | Kind::StageFailed
    )
}

/// Whether the attempt was only sent on, without any work done.
fn is_redirect(kind: refusal::Kind) -> bool {
    use refusal::Kind;
    matches!(
        kind,
        Kind::NotOwner
            | Kind::LeaseLapsed
            | Kind::WrongIncarnation
            | Kind::Draining
            | Kind::NotReady
    )
}

/// Whether a refusal as not run comes from the owner of the key, which then also knows that no
/// earlier request with the key ran.
fn vouches(kind: refusal::Kind) -> bool {
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

/// Whether trying again makes sense only after a pause.
fn is_pause(kind: refusal::Kind) -> bool {
    matches!(kind, refusal::Kind::LeaseLapsed)
}

/// Whether trying again can lead to another result.
fn may_repeat(kind: refusal::Kind) -> bool {
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
