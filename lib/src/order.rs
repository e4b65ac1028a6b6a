//! Orders to upstreams that run engines: load a model or adapter, or change role.
//!
//! The configuration contains the order that the upstreams of a service should carry out. Only the
//! sidecar of an upstream sends it orders, and only while it holds the upstream's key in the store.
//! Each order contains the revision of that key as its fencing token. Some upstreams refuse an
//! order whose token is older than the last one. To those that ignore tokens, the sidecar sends an
//! order only if its lease outlasts the time that the order may take.

use std::time;

use crate::claim;
use crate::clock;
use crate::config;
use crate::id;

/// Time within which an upstream has to carry out an order.
pub const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Pause after a failed order or claim.
const RETRY_PAUSE: time::Duration = time::Duration::from_secs(1);

/// A call that the shell makes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Claim the upstream's key under the lease, unless another sidecar holds it.
    ClaimKey(claim::LeaseId),
    /// Send the upstream an order.
    Send {
        /// Fencing token of the order.
        token: id::FencingToken,
        /// Model, adapters and role that the upstream should have.
        order: config::Order,
    },
}

/// Result of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The upstream's key is held under the lease, and its revision is this token.
    Held(claim::LeaseId, id::FencingToken),
    /// Another sidecar holds it, or the store did not answer.
    NotHeld,
    /// The upstream carried the order out.
    Done(config::Order),
    /// The upstream refused the order because it has received a newer token, from another sidecar.
    Outdated,
    /// The upstream did not answer in time, or refused the order for another reason.
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
                // If the upstream does not check tokens, the order has to end within the lease.
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

    /// Records the result of the pending call.
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

    /// Whether the upstream has carried out the configured order, or none is configured.
    pub fn is_applied(&self, service: &config::Service) -> bool {
        service.order.is_none() || self.applied == service.order
    }
}
