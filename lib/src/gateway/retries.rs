//! Requests that are sent again: whether they may be, what that costs, and what waits for it.
//!
//! Load pattern: upstreams fail or refuse many requests at the same moment, and the retry budget allows
//! only some of them to be sent again. The others are refused, so that their callers come back later. An
//! answer that has begun cannot be refused any more, so it waits for its next call as long as its caller
//! does.
//!
//! Part of the reducer of a gateway; only its other parts import this module.

use std::time;

use crate::gateway;
use crate::gateway::calls;
use crate::gateway::request;
use crate::id;
use crate::refusal;

/// Pause before an answer that has begun is tried again to go on.
const CONTINUE_PAUSE: time::Duration = time::Duration::from_millis(100);

impl gateway::Gateway {
    /// Records that the last call did not run the request.
    pub(super) fn record_not_run(&mut self, id: id::RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.possible_runs = request.possible_runs.saturating_sub(1);
        request.may_have_run = request.possible_runs > 0;
    }

    /// Calls another upstream for a request that did not run, if the limits on calls and retries
    /// allow it.
    pub(super) fn retry_not_run(
        &mut self,
        id: id::RequestId,
        message: &str,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let service = request.service.clone();
        let is_allowed = request.call_count < calls::MAX_CALLS;
        if is_allowed && self.withdraw_retry(&service) {
            self.call_upstream(id, effects);
        } else if !self.await_retry(id) {
            self.refuse(id, refusal::Kind::UpstreamUnreachable, message, effects);
        }
    }

    /// Returns whether a request that may have run can be sent to another upstream. If so, this
    /// takes one retry from the budget of the service.
    pub(super) fn try_spend_retry(&mut self, id: id::RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let is_allowed = may_run_again(request) && request.call_count < calls::MAX_CALLS;
        let service = request.service.clone();
        is_allowed && self.withdraw_retry(&service)
    }

    /// Takes one retry from the budget of a service; returns false if none is left.
    pub(super) fn withdraw_retry(&mut self, service: &id::ServiceId) -> bool {
        self.retry_budgets.entry(service.clone()).or_default().try_withdraw()
    }

    /// Returns the retry of a repeated call that did not reach its upstream.
    pub(super) fn return_retry(&mut self, id: id::RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| request.call_count > 1) else {
            return;
        };
        self.retry_budgets.entry(request.service.clone()).or_default().deposit(1.0);
    }

    /// Calls an upstream for an answer that has begun and waits for a retry, if there is one now.
    /// Results that the call needs and that were already freed are computed again first.
    pub(super) fn take_awaited_retry(
        &mut self,
        id: id::RequestId,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let service = request.service.clone();
        if !self.withdraw_retry(&service) {
            self.await_retry(id);
            return;
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.awaits_retry = false;
        }
        self.resume(id, effects);
    }

    /// Returns whether a request may have crashed engines, so that it is not sent to another one.
    pub(super) fn is_suspect(&self, request: &request::Request) -> bool {
        request.probed_part.is_some() || self.quarantine.is_suspect(request.prompt())
    }

    /// Calls an upstream again. Results that the request needs and that were already freed are
    /// computed again first.
    pub(super) fn resume(&mut self, id: id::RequestId, effects: &mut Vec<gateway::Effect>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.has_freed_results() {
            self.recompute_final_stages(id, effects);
        }
        self.advance(id, effects);
    }

    /// Ends a request that gets no call at present, unless its answer has begun: then it is tried again
    /// a little later, until its time is over.
    pub(super) fn refuse_call(
        &mut self,
        id: id::RequestId,
        kind: refusal::Kind,
        message: &str,
        delay: impl Into<Option<time::Duration>>,
        effects: &mut Vec<gateway::Effect>,
    ) {
        if !self.continue_later(id) {
            self.refuse_for(id, kind, message, delay, effects);
        }
    }

    /// Schedules another try to continue an answer that has begun. Returns whether there is one.
    fn continue_later(&mut self, id: id::RequestId) -> bool {
        let next_call = self.now.mono + CONTINUE_PAUSE;
        let can_wait = |request: &&mut request::Request| {
            request.has_started && may_run_again(request) && next_call < request.deadline
        };
        let Some(request) = self.requests.get_mut(&id).filter(can_wait) else { return false };
        request.next_call = request.next_call.max(next_call);
        self.moves.insert((request.next_call, id));
        true
    }

    /// The same for one that needs a retry, of which none is left at present.
    pub(super) fn await_retry(&mut self, id: id::RequestId) -> bool {
        let is_scheduled = self.continue_later(id);
        if let Some(request) = self.requests.get_mut(&id).filter(|_| is_scheduled) {
            request.awaits_retry = true;
        }
        is_scheduled
    }
}

/// Returns whether a request may run once more, as far as its route is concerned.
pub(super) fn may_run_again(request: &request::Request) -> bool {
    request.route.kind.is_repeatable() && request.possible_runs < request.route.max_attempts
}
