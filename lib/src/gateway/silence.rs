//! Calls that fall silent, and whether another upstream takes over.
//!
//! Load pattern: an upstream, or all of a pool, pauses for a second or so in the middle of many answers and
//! goes on. A call is ended only once its request can go on elsewhere: another upstream is free and not
//! silent, a retry is left, and results of stages that the next call needs have been computed again.
//! Otherwise the call is waited for.
//!
//! Part of the reducer of a gateway; only its other parts import this module.

use std::time;

use crate::fleet;
use crate::gateway;
use crate::gateway::calls;
use crate::gateway::moves;
use crate::gateway::request;
use crate::gateway::retries;
use crate::id;
use crate::table;
use crate::telemetry;
use crate::upstream_pool;

/// Time without an event after which a stream counts as silent.
const EVENT_PATIENCE: time::Duration = time::Duration::from_millis(900);
/// Time without a first event after which a stream counts as silent.
const FIRST_EVENT_PATIENCE: time::Duration = time::Duration::from_millis(2_500);

/// How a call is doing that makes no progress.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Progress {
    /// It makes progress, or has not been sent for long.
    #[default]
    Usual,
    /// It makes none, and may be ended once its request can go on elsewhere.
    Silent,
    /// It makes none, and is waited for: what another call would need cannot be had.
    Kept,
    /// It was told to end, and the retry that the next call needs was taken from the budget.
    Ending,
}

impl Progress {
    fn is_silent(self) -> bool {
        self != Self::Usual
    }
}

/// Returns how long a call for a request may make no progress before it counts as silent.
pub(super) fn patience(request: &request::Request, budget: time::Duration) -> gateway::Patience {
    let start = match request.route.kind {
        table::RequestKind::Idempotent => request.route.target,
        table::RequestKind::Resumable | table::RequestKind::Stream => FIRST_EVENT_PATIENCE,
        table::RequestKind::Once => budget,
    };
    gateway::Patience { start: start.min(budget), gap: EVENT_PATIENCE }
}

impl gateway::Gateway {
    /// Handles the report that a call makes no progress.
    pub(super) fn call_silent(&mut self, id: gateway::CallId, effects: &mut Vec<gateway::Effect>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let (request, instance) = (call.request, call.instance.clone());
        if call.progress == Progress::Usual {
            call.progress = Progress::Silent;
            self.log_progress("call_silent", id, effects);
            self.fleet.record_silent(&instance);
        }
        self.consider_move(request, effects);
    }

    /// Handles the report that a silent call makes progress again.
    pub(super) fn call_resumed(&mut self, id: gateway::CallId, effects: &mut Vec<gateway::Effect>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if !call.progress.is_silent() || call.progress == Progress::Ending {
            return;
        }
        call.progress = Progress::Usual;
        let (request, instance) = (call.request, call.instance.clone());
        self.log_progress("call_resumed", id, effects);
        self.fleet.record_resumed(&instance);
        self.drop_recomputed(request, effects);
    }

    /// Removes a call that has ended or is cancelled.
    pub(super) fn remove_call(&mut self, id: gateway::CallId) -> Option<calls::PendingCall> {
        let call = self.calls.remove(&id)?;
        self.fleet.record_ended(&call.instance, call.tokens);
        if call.progress.is_silent() {
            self.fleet.record_resumed(&call.instance);
        }
        Some(call)
    }

    /// Ends the silent call of a request if the request can go on elsewhere. If that takes results of
    /// stages that were freed, they are computed again first.
    pub(super) fn consider_move(&mut self, id: id::RequestId, effects: &mut Vec<gateway::Effect>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(call) = request.call else { return };
        let is_silent = |call: &calls::PendingCall| call.progress == Progress::Silent;
        if !self.calls.get(&call).is_some_and(is_silent) || !self.can_move(request) {
            return;
        }
        if request.has_freed_results() {
            self.recompute_final_stages(id, effects);
            self.advance(id, effects);
            return;
        }
        let service = request.service.clone();
        if !request.are_stages_done() || !self.withdraw_retry(&service) {
            return;
        }
        if let Some(call) = self.calls.get_mut(&call) {
            call.progress = Progress::Ending;
        }
        effects.push(gateway::Effect::EndCall(call));
    }

    /// Returns whether a request with a call in flight could be sent to another upstream now.
    fn can_move(&self, request: &request::Request) -> bool {
        let earliest = self.now.mono + moves::END_TIME + calls::MIN_BUDGET;
        earliest < request.current_deadline()
            && self.stop.is_none_or(|stop| earliest < stop.end)
            && retries::may_run_again(request)
            && request.call_count < calls::MAX_CALLS
            && !self.is_suspect(request)
            && !self.is_held(request)
            && self.has_valid_credential(request)
            && self.may_stay(request)
            && self.has_room_elsewhere(request)
    }

    /// Returns whether upstreams that were not tried for a request and are not silent themselves have a
    /// place for it, besides those for the requests that are about to move.
    fn has_room_elsewhere(&self, request: &request::Request) -> bool {
        let now = self.now.mono;
        let limit = self.table.max_connections(&request.service);
        let limit = upstream_pool::connection_limit(limit);
        let is_sound = |(instance, up): &(&id::InstanceId, &fleet::Upstream)| {
            !request.tried.contains(*instance)
                && up.is_usable(now)
                && !up.is_silent()
                && self.is_open_to(request, instance, up)
        };
        let sound = self.fleet.service_upstreams(&request.service).filter(is_sound);
        let places: u64 = sound.map(|(_, up)| u64::from(limit.saturating_sub(up.in_flight))).sum();
        places > self.count_moving(&request.service)
    }

    /// Returns how many requests to a service are about to be sent to another upstream.
    fn count_moving(&self, service: &id::ServiceId) -> u64 {
        let is_of_service = |id: &id::RequestId| {
            self.requests.get(id).is_some_and(|request| request.service == *service)
        };
        let ending = self.calls.values().filter(|call| call.progress == Progress::Ending);
        let waiting = self.moves.iter().map(|(_, id)| id);
        let moving = ending.map(|call| &call.request).chain(waiting);
        moving.filter(|id| is_of_service(id)).count() as u64
    }

    /// Stops to compute stages again for a request whose call is in flight, and waits for the call.
    /// Returns whether the request has such a call.
    pub(super) fn keep_call(
        &mut self,
        id: id::RequestId,
        effects: &mut Vec<gateway::Effect>,
    ) -> bool {
        let Some(call) = self.requests.get(&id).and_then(|request| request.call) else {
            return false;
        };
        if let Some(call) = self.calls.get_mut(&call)
            && call.progress == Progress::Silent
        {
            call.progress = Progress::Kept;
        }
        self.drop_recomputed(id, effects);
        true
    }

    /// Drops the stages that are computed again for a request whose call has begun its answer, as that
    /// call has read the results that it needs.
    fn drop_recomputed(&mut self, id: id::RequestId, effects: &mut Vec<gateway::Effect>) {
        let Some(request) = self.requests.get(&id) else { return };
        let call = request.call.and_then(|call| self.calls.get(&call));
        if call.is_none_or(|call| call.begun_at.is_none()) {
            return;
        }
        let request = request.clone();
        self.drop_groups(&request, effects);
        let Some(request) = self.requests.get_mut(&id) else { return };
        for result in request.free_all() {
            self.free_result(result);
        }
    }

    fn log_progress(
        &self,
        event: &'static str,
        id: gateway::CallId,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let Some(call) = self.calls.get(&id) else { return };
        let request = self.requests.get(&call.request);
        let line = telemetry::Line::new(event)
            .with("request", request.map_or("", |request| &request.external_id))
            .with("call", id)
            .with("upstream", &call.instance);
        effects.push(gateway::Effect::Log(line));
    }
}
