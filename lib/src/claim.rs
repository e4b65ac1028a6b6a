//! Leases, and the calls and replies with which ranges of keys are claimed in the store.

use std::collections;
use std::net;
use std::time;

use crate::clock;
use crate::id;
use crate::wire;

/// Time before the end of a lease from which it counts as expired. It covers the delay between a
/// check of the lease and the action that relies on it.
const LEASE_MARGIN: time::Duration = time::Duration::from_millis(500);

/// Identifier of a lease, assigned by the store.
pub type LeaseId = i64;

/// A lease from the point of view of its holder.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// Identifier of the lease in the store.
    pub id: LeaseId,
    /// When the request that granted or last renewed it was sent.
    pub requested_at: clock::Now,
    /// Validity, counted from `requested_at`.
    pub ttl: time::Duration,
}

impl Lease {
    /// Whether the holder may still act under the lease.
    pub fn is_valid(&self, now: clock::Now) -> bool {
        now.elapsed_max(self.requested_at) + LEASE_MARGIN < self.ttl
    }
}

/// A sidecar that is registered in the store and can own ranges.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Member {
    /// Address on which the sidecar takes attempts.
    pub address: net::SocketAddr,
    /// Incarnation of the sidecar's process.
    pub incarnation: id::Incarnation,
}

/// Members of a service by instance.
pub type Members = collections::BTreeMap<id::InstanceId, Member>;

/// Ranges with the tokens under which they are owned.
pub type RangeTokens = collections::BTreeMap<u32, id::FencingToken>;

/// A call that the shell makes on behalf of [`crate::ownership::Ownership`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Ask the store for a lease and register as a member under it.
    Grant {
        /// Requested validity.
        ttl: time::Duration,
    },
    /// Renew the lease.
    KeepAlive {
        /// Lease to renew.
        lease: LeaseId,
    },
    /// Revoke the lease; the store deletes everything registered under it.
    Revoke {
        /// Lease to revoke.
        lease: LeaseId,
    },
    /// Delete the member registration, so that no ranges are offered to this sidecar.
    Deregister,
    /// Read owners and members.
    Read,
    /// Claim ranges without an owner, all or none.
    Claim {
        /// Lease to which the claims are attached.
        lease: LeaseId,
        /// Ranges to claim.
        ranges: Vec<u32>,
        /// Whether the claim takes effect only if none of the ranges ever had an owner.
        never_owned: bool,
    },
    /// Take ranges from the owner that holds them under the given tokens, all or none.
    Take {
        /// Lease to which the claims are attached.
        lease: LeaseId,
        /// Ranges to take, each with the token that its claim must still have.
        ranges: RangeTokens,
        /// Whether another sidecar offered the ranges; otherwise this one renews its own claims.
        offered: bool,
    },
    /// Hand ranges with their ledgers over to another sidecar.
    Offer {
        /// Ranges to hand over, with the tokens under which this sidecar owns them.
        ranges: RangeTokens,
        /// Address of the receiving sidecar.
        to: net::SocketAddr,
    },
}

impl Call {
    /// Whether the call concerns the lease itself; such calls do not wait for other calls.
    pub fn is_lease_call(&self) -> bool {
        matches!(self, Self::Grant { .. } | Self::KeepAlive { .. } | Self::Revoke { .. })
    }
}

/// Result of a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A lease was granted or renewed.
    LeaseGranted {
        /// Identifier of the lease.
        id: LeaseId,
        /// When the request was sent.
        requested_at: clock::Now,
        /// Validity, counted from `requested_at`.
        ttl: time::Duration,
    },
    /// The store has no such lease any more.
    LeaseExpired,
    /// A lease call failed or its reply was lost.
    LeaseCallFailed,
    /// Owners and members as read from the store.
    Snapshot {
        /// Owners by range.
        owners: wire::Owners,
        /// Registered sidecars of the service.
        members: Members,
        /// Ranges that have or had an owner.
        ever_owned: collections::BTreeSet<u32>,
    },
    /// A claim took effect.
    Claimed {
        /// Lease to which the claims are attached.
        lease: LeaseId,
        /// Ranges that were claimed.
        ranges: Vec<u32>,
        /// Fencing token of the claims.
        fence: id::FencingToken,
        /// Whether none of the ranges ever had an owner before.
        never_owned: bool,
    },
    /// A claim did not take effect, because a range has or had an owner.
    ClaimRefused,
    /// A take succeeded: ranges were taken over from another sidecar, or claims renewed.
    Taken {
        /// Lease to which the claims are attached.
        lease: LeaseId,
        /// Ranges that were taken.
        ranges: Vec<u32>,
        /// New fencing token of the claims.
        fence: id::FencingToken,
        /// Whether another sidecar had offered the ranges.
        offered: bool,
    },
    /// Ranges that another sidecar offered were not taken, or the reply was lost.
    TakeFailed,
    /// A handover ended.
    OfferEnded {
        /// Ranges that were offered.
        ranges: Vec<u32>,
        /// Whether the receiver reported that it owns them now. If not, it may still take them.
        accepted: bool,
    },
    /// A call that is not about the lease failed or its reply was lost.
    Failed,
}

/// A change of ownership that affects the ledger of a range.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The range is owned from now on, without a ledger of an earlier owner.
    Claimed {
        /// Range that was claimed.
        range: u32,
        /// When the ledger begins, since the Unix epoch; calls that ran earlier are not in it. Zero
        /// for a range that never had an owner.
        since: time::Duration,
    },
    /// The range was taken over together with the ledger of its former owner.
    Received(u32),
    /// The range and its ledger belong to another sidecar now.
    HandedOver(u32),
}
