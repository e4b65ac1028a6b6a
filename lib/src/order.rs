//! Orders to engines: load a model or adapter, or change role.
//!
//! The operators' text says what the upstreams of a service should be. Only the sidecar beside an
//! upstream sends it orders, and only while it holds the upstream's key in the store. The order
//! carries the revision of that key as its fencing token. Some upstreams refuse an order with an
//! older token than the last one; for those that ignore tokens, the sidecar sends an order only
//! while its lease outlasts the time that the order may take.

use std::time;

use crate::claim;
use crate::clock;
use crate::config;
use crate::id;

/// Time that an upstream has to carry an order out.
pub const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Pause after an order or claim that failed.
const RETRY_PAUSE: time::Duration = time::Duration::from_secs(1);

/// A call that the shell makes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Claim the upstream's key under the lease, if nobody holds it.
    ClaimKey(claim::LeaseId),
    /// Send the upstream an order.
    Send {
        /// Token that the order carries.
        token: id::FencingToken,
        /// What the upstream should be.
        order: config::Order,
    },
}

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The upstream's key is held under the lease.
    Held(claim::LeaseId, id::FencingToken),
    /// Another sidecar holds it, or the store did not answer.
    NotHeld,
    /// The upstream carried the order out.
    Done(config::Order),
    /// The upstream knows a newer token: another sidecar stands beside it now.
    Outdated,
    /// The upstream did not answer, or not in time.
    Failed,
}

/// Orders of one sidecar to its upstream.
#[derive(Debug, Default)]
pub struct Orders {
    claim: Option<(claim::LeaseId, id::FencingToken)>,
    applied: Option<config::Order>,
    call_pending: bool,
    next_call: time::Duration,
}

impl Orders {
    /// Returns the call that is due, if any.
    pub fn tick(
        &mut self,
        now: clock::Now,
        lease: Option<claim::Lease>,
        service: &config::Service,
    ) -> Option<Call> {
        let order = service.order.as_ref().filter(|order| self.applied.as_ref() != Some(*order))?;
        let lease = lease.filter(|lease| lease.is_valid(now))?;
        if self.call_pending || now.mono < self.next_call {
            return None;
        }
        let call = match self.claim {
            Some((id, token)) if id == lease.id => {
                // The upstream cannot tell an old order, so this one has to end within the lease.
                let outlasts = lease.is_valid(now.after(ORDER_TIMEOUT));
                if !service.fenced && !outlasts {
                    return None;
                }
                Call::Send { token, order: order.clone() }
            }
            _ => Call::ClaimKey(lease.id),
        };
        self.call_pending = true;
        Some(call)
    }

    /// Takes in how a call ended.
    pub fn reply(&mut self, now: clock::Now, reply: Reply) {
        self.call_pending = false;
        match reply {
            Reply::Held(lease, token) => self.claim = Some((lease, token)),
            Reply::Done(order) => self.applied = Some(order),
            Reply::Outdated => {
                self.claim = None;
                self.next_call = now.mono + RETRY_PAUSE;
            }
            Reply::NotHeld | Reply::Failed => self.next_call = now.mono + RETRY_PAUSE,
        }
    }

    /// Whether the upstream is as the operators want it.
    pub fn is_applied(&self, service: &config::Service) -> bool {
        service.order.is_none() || self.applied == service.order
    }
}
