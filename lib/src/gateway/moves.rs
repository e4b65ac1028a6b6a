//! Moves of streams to other upstreams: a stream moves once the upstream before has ended its work.
//!
//! Part of the reducer of a gateway; only its other parts import this module.

use std::time;

use crate::gateway;
use crate::id;
use crate::table;

/// Time after the connection to an upstream was closed in which the upstream ends its work on a
/// request: within this time two upstreams may work on the same request.
pub(super) const END_TIME: time::Duration = time::Duration::from_millis(400);

impl gateway::Gateway {
    /// Delays the next call of a request if its last call broke off and the upstream may still be at
    /// work. That is so unless the upstream itself ended the connection or the body.
    pub(super) fn delay_move(&mut self, id: id::RequestId, cause: gateway::BreakCause) {
        use gateway::BreakCause;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let has_ended = matches!(cause, BreakCause::ConnectionLost | BreakCause::InsideEvent);
        if request.route.kind == table::RequestKind::Resumable && !has_ended {
            request.next_call = self.now.mono + END_TIME;
        }
    }

    /// Notes the next call of a request for a later tick if its time has not come, and returns whether
    /// that is so.
    pub(super) fn postpone_call(&mut self, id: id::RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let must_wait = request.next_call > self.now.mono;
        if must_wait {
            self.moves.insert((request.next_call, id));
        }
        must_wait
    }

    /// Makes the calls whose time has come.
    pub(super) fn make_postponed_calls(&mut self, effects: &mut Vec<gateway::Effect>) {
        while let Some((at, id)) = self.moves.first().copied()
            && at <= self.now.mono
        {
            self.moves.remove(&(at, id));
            self.advance(id, effects);
        }
    }
}
