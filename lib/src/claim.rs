//! Leases, and the calls and replies by which ranges of keys are claimed in the store.

use std::collections;
use std::net;
use std::time;

use crate::clock;
use crate::id;
use crate::wire;

/// Part of the lease that is not used, for the delay between a check and its consequence.
const LEASE_MARGIN: time::Duration = time::Duration::from_millis(500);

/// Number by which the store knows a lease.
pub type LeaseId = i64;

/// A lease as its holder sees it.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// Number of the lease.
    pub id: LeaseId,
    /// When the request that last renewed it was sent.
    pub requested_at: clock::Now,
    /// Validity from then on.
    pub ttl: time::Duration,
}

impl Lease {
    /// Whether the holder may still rely on the lease.
    pub fn is_valid(&self, now: clock::Now) -> bool {
        now.elapsed_max(self.requested_at) + LEASE_MARGIN < self.ttl
    }
}

/// A sidecar that can own ranges.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Member {
    /// Address on which the sidecar takes attempts.
    pub address: net::SocketAddr,
    /// Its life.
    pub incarnation: id::Incarnation,
}

/// Members of a service by instance.
pub type Members = collections::BTreeMap<id::InstanceId, Member>;

/// Ranges with the tokens under which they are owned.
pub type RangeTokens = collections::BTreeMap<u32, id::FencingToken>;

/// A call that the shell makes on behalf of the ownership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Ask the store for a lease and register as a member under it.
    Grant {
        /// Validity asked for.
        ttl: time::Duration,
    },
    /// Renew the lease.
    KeepAlive {
        /// The lease.
        lease: LeaseId,
    },
    /// Give the lease back, and with it everything registered under it.
    Revoke {
        /// The lease.
        lease: LeaseId,
    },
    /// Stop being a member, so that nobody hands ranges to this sidecar.
    Deregister,
    /// Read owners and members.
    Read,
    /// Claim ranges without an owner, all or none.
    Claim {
        /// The lease.
        lease: LeaseId,
        /// The ranges.
        ranges: Vec<u32>,
        /// Whether the claim is only good if no range ever had an owner.
        never_owned: bool,
    },
    /// Take ranges from the owner that holds them under the given tokens, all or none.
    Take {
        /// The lease.
        lease: LeaseId,
        /// The ranges.
        ranges: RangeTokens,
        /// Whether another sidecar offers the ranges, or this one renews its own claims.
        offered: bool,
    },
    /// Hand ranges with their ledgers over to another sidecar.
    Offer {
        /// The ranges.
        ranges: RangeTokens,
        /// Who is to take them.
        to: net::SocketAddr,
    },
}

impl Call {
    /// Whether the call is about the lease itself; such calls never wait for others.
    pub fn is_lease_call(&self) -> bool {
        matches!(self, Self::Grant { .. } | Self::KeepAlive { .. } | Self::Revoke { .. })
    }
}

/// How a call ended.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A lease was granted or renewed.
    LeaseGranted {
        /// Number of the lease.
        id: LeaseId,
        /// When the request was sent.
        requested_at: clock::Now,
        /// Validity from then on.
        ttl: time::Duration,
    },
    /// The store does not know the lease any more.
    LeaseExpired,
    /// A lease call failed or its answer was lost.
    LeaseCallFailed,
    /// Owners and members as the store has them.
    Snapshot {
        /// Owners by range.
        owners: wire::Owners,
        /// Members.
        members: Members,
        /// Ranges that ever had an owner.
        ever_owned: collections::BTreeSet<u32>,
    },
    /// A claim took effect.
    Claimed {
        /// Lease of the claim.
        lease: LeaseId,
        /// The ranges.
        ranges: Vec<u32>,
        /// Token of the claim.
        fence: id::FencingToken,
        /// Whether no range had an owner before.
        never_owned: bool,
    },
    /// A claim did not take effect, because a range has or had an owner.
    Refused,
    /// Ranges were taken over by agreement.
    Taken {
        /// Lease of the claim.
        lease: LeaseId,
        /// The ranges.
        ranges: Vec<u32>,
        /// Token of the claim.
        fence: id::FencingToken,
        /// Whether another sidecar had offered the ranges.
        offered: bool,
    },
    /// Ranges that another sidecar offers were not taken, or the answer was lost.
    TakeFailed,
    /// A handover ended.
    OfferEnded {
        /// The ranges.
        ranges: Vec<u32>,
        /// Whether the other sidecar owns them now.
        accepted: bool,
    },
    /// A call failed or its answer was lost.
    Failed,
}

/// What changed for the ledgers of the ranges.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The range is owned from now on; whatever ran before `since` is not in the ledger.
    Claimed {
        /// The range.
        range: u32,
        /// When the ledger begins, since the Unix epoch; zero for a range that had no owner.
        since: time::Duration,
    },
    /// The range was taken over with its ledger.
    Received(u32),
    /// The range and its ledger belong to another sidecar.
    HandedOver(u32),
}
