//! Requests that are held back because they, or a part of their prompt, crash upstreams.

use std::time;

use crate::admission;
use crate::clock;
use crate::crash_report;
use crate::gateway;
use crate::gateway::arrivals;
use crate::gateway::calls;
use crate::gateway::request;
use crate::id;
use crate::quarantine;
use crate::refusal;
use crate::telemetry;

/// Message to the callers of such prompts.
pub(super) const HELD_MESSAGE: &str =
    "the request, or a part of its prompt, has crashed several upstreams";

impl gateway::Gateway {
    /// Returns what other gateways are told about crashes.
    pub fn crash_report(&self, now: clock::Now) -> crash_report::Report {
        self.quarantine.report(now.mono)
    }

    /// Returns whether a prompt that arrives may run, and the held part with which it is let through
    /// if that is to show whether the part is sound.
    ///
    /// # Errors
    /// Fails if the prompt is held back.
    pub(super) fn check_held(
        &mut self,
        prompt: quarantine::Prompt<'_>,
    ) -> Result<Option<u64>, admission::Rejection> {
        match self.quarantine.held_parts(prompt)[..] {
            [] => Ok(None),
            [part] if self.take_probe(part) => Ok(Some(part)),
            _ => Err(arrivals::reject(refusal::Kind::PromptHeld, HELD_MESSAGE)),
        }
    }

    /// Returns whether this gateway lets a prompt through although its part is held back.
    fn take_probe(&mut self, part: u64) -> bool {
        let owner = self.roster.part_owner(part);
        let is_owner = owner.is_none_or(|owner| *owner == self.settings.instance);
        is_owner && self.quarantine.take_probe(self.now.mono, part)
    }

    /// Returns whether a call for a request would reach an engine with a held part.
    pub(super) fn is_held(&self, request: &request::Request) -> bool {
        let held = self.quarantine.held_parts(request.prompt());
        held.iter().any(|part| Some(*part) != request.probed_part)
    }

    /// Records how the call of a prompt ended.
    pub(super) fn record_prompt_outcome(
        &mut self,
        call: &calls::PendingCall,
        prompt: quarantine::Prompt<'_>,
        outcome: gateway::Outcome,
    ) {
        use gateway::BreakCause;
        match outcome {
            gateway::Outcome::Ended => {
                self.quarantine.record_sound(call.begun_at.unwrap_or(call.sent_at), prompt);
            }
            gateway::Outcome::Answered { status } if status < 500 => {
                let engine = self.engine_process(&call.instance);
                self.quarantine.record_alive(call.sent_at, &engine);
                self.quarantine.record_sound(call.sent_at, prompt);
            }
            gateway::Outcome::Broken {
                cause: BreakCause::ConnectionLost | BreakCause::InsideEvent,
                ..
            } => {
                let engine = self.engine_process(&call.instance);
                self.quarantine.record_crash(self.now.mono, engine, call.begun_at, prompt);
            }
            _ => {}
        }
    }

    /// Returns the process of an engine as the latest list describes it.
    pub(super) fn engine_process(&self, instance: &id::InstanceId) -> crash_report::EngineProcess {
        let started_ms = self.fleet.get(instance).and_then(|up| up.entry.started_ms);
        crash_report::EngineProcess { instance: instance.clone(), started_ms }
    }

    /// Records answers that have run for long enough to show that their prompts are sound.
    pub(super) fn record_sound_calls(&mut self) {
        while let Some((due, id)) = self.sound_calls.first().copied() {
            if due > self.now.mono {
                break;
            }
            self.sound_calls.remove(&(due, id));
            let Some(call) = self.calls.get(&id) else { continue };
            let Some(request) = self.requests.get(&call.request) else { continue };
            let begun = call.begun_at.unwrap_or(call.sent_at);
            self.quarantine.record_sound(begun, request.prompt());
        }
    }

    /// Notes the time at which an answer that begins now shows that its prompt is sound.
    pub(super) fn watch_answer(&mut self, id: gateway::CallId, begun: time::Duration) {
        self.sound_calls.insert((begun + quarantine::SOUND_TIME, id));
    }

    /// Applies and logs changes of the held parts. Requests with a part that is held back from now
    /// on end at once, also those that wait at an engine, unless their answer has begun.
    pub(super) fn update_quarantine(&mut self, effects: &mut Vec<gateway::Effect>) {
        let changes = self.quarantine.update(self.now.mono);
        for change in &changes {
            let event = match (quarantine::is_request(change.suspect), change.is_held) {
                (false, true) => "part_held",
                (false, false) => "part_released",
                (true, true) => "request_held",
                (true, false) => "request_released",
            };
            metrics::counter!("gateway_quarantine_total", "event" => event).increment(1);
            let key = if quarantine::is_request(change.suspect) { "content" } else { "part" };
            let line = telemetry::Line::new(event)
                .with(key, format_args!("{:x}", change.suspect))
                .with("reason", change.reason);
            effects.push(gateway::Effect::Log(line));
        }
        if !changes.iter().any(|change| change.is_held) {
            return;
        }
        let is_ended = |request: &request::Request| !request.has_started && self.is_held(request);
        let ended: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| is_ended(request))
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.refuse(id, refusal::Kind::PromptHeld, HELD_MESSAGE, effects);
        }
    }
}
