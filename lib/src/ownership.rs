//! Which sidecar owns which range of idempotency keys, under a lease of the platform's store.
//!
//! A range is owned through a key of the store that lives as long as the owner's lease. The
//! owner counts the lease from the moment at which it sent the request, by the faster of its two
//! clocks, so that it stops before the store lets anybody else take over. This is the lease of the
//! NQNFS paper, and like there nothing is recovered after a crash: what an earlier holder may have
//! done is kept out by time ([`crate::key`]).

use std::collections;
use std::net;
use std::time;

use crate::clock;
use crate::id;
use crate::key;
use crate::wire;

/// Time between two looks at the store for ranges without an owner.
const VIEW_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Time between two looks while ranges have to be handed over.
const BUSY_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Most ranges in one transaction or handover.
const BATCH: usize = 32;
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
    pub sent: clock::Now,
    /// Validity from then on.
    pub ttl: time::Duration,
}

impl Lease {
    /// Whether the holder may still rely on the lease.
    pub fn is_valid(&self, now: clock::Now) -> bool {
        now.elapsed_max(self.sent) + LEASE_MARGIN < self.ttl
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
pub type Tokens = collections::BTreeMap<u32, id::FencingToken>;

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
    Leave,
    /// Read owners and members.
    Read,
    /// Claim ranges without an owner, all or none.
    Claim {
        /// The lease.
        lease: LeaseId,
        /// The ranges.
        ranges: Vec<u32>,
        /// Whether the claim is only good if no range ever had an owner.
        first: bool,
    },
    /// Take ranges from the owner that holds them under the given tokens, all or none.
    Take {
        /// The lease.
        lease: LeaseId,
        /// The ranges.
        ranges: Tokens,
        /// Whether another sidecar offers the ranges, or this one renews its own claims.
        offered: bool,
    },
    /// Hand ranges with their ledgers over to another sidecar.
    Offer {
        /// The ranges.
        ranges: Tokens,
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
    Lease {
        /// Number of the lease.
        id: LeaseId,
        /// When the request was sent.
        sent: clock::Now,
        /// Validity from then on.
        ttl: time::Duration,
    },
    /// The store does not know the lease any more.
    LeaseGone,
    /// A lease call failed or its answer was lost.
    LeaseFailed,
    /// Owners and members as the store has them.
    View {
        /// Owners by range.
        owners: wire::Owners,
        /// Members.
        members: Members,
        /// Ranges that ever had an owner.
        marked: collections::BTreeSet<u32>,
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
        first: bool,
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
    Offered {
        /// The ranges.
        ranges: Vec<u32>,
        /// Whether the other sidecar owns them now.
        accepted: bool,
    },
    /// A call failed or its answer was lost.
    Failed,
}

/// A range that this sidecar owns.
#[derive(Clone, Debug)]
struct Owned {
    fence: id::FencingToken,
    leaving: bool,
}

/// What changed for the ledgers of the ranges.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The range is owned from now on; whatever ran before `since` is not in the ledger.
    Gained {
        /// The range.
        range: u32,
        /// When the ledger begins, since the Unix epoch; zero for a range that had no owner.
        since: time::Duration,
    },
    /// The range was taken over with its ledger.
    Taken(u32),
    /// The range and its ledger belong to another sidecar.
    Given(u32),
}

/// Ownership of ranges by one sidecar.
#[derive(Debug)]
pub struct Ownership {
    me: id::InstanceId,
    address: net::SocketAddr,
    incarnation: id::Incarnation,
    ttl: time::Duration,
    lease: Option<Lease>,
    owned: collections::BTreeMap<u32, Owned>,
    owners: wire::Owners,
    members: Members,
    lease_busy: bool,
    busy: bool,
    next_view: time::Duration,
    last_view: time::Duration,
    leaving: bool,
    left: bool,
    /// Whether an offer came to nothing since the last view, which may be out of date.
    declined: bool,
    /// Whether a range was taken since the running look at the store began.
    overtaken: bool,
}

impl Ownership {
    /// Makes the ownership of a sidecar that owns nothing yet.
    pub fn new(me: id::InstanceId, address: net::SocketAddr, incarnation: id::Incarnation) -> Self {
        Self {
            me,
            address,
            incarnation,
            ttl: time::Duration::from_secs(15),
            lease: None,
            owned: collections::BTreeMap::new(),
            owners: wire::Owners::new(),
            members: Members::new(),
            lease_busy: false,
            busy: false,
            next_view: time::Duration::ZERO,
            last_view: time::Duration::ZERO,
            leaving: false,
            left: false,
            declined: false,
            overtaken: false,
        }
    }

    /// Changes the validity that is asked for from the next request on.
    pub fn set_ttl(&mut self, ttl: time::Duration) {
        self.ttl = ttl;
    }

    /// Starts or stops handing all ranges over.
    pub fn set_leaving(&mut self, leaving: bool) {
        if self.leaving && !leaving {
            // The registration was withdrawn and comes back with a new lease.
            self.left = false;
            self.lease = None;
        }
        self.leaving = leaving;
        self.next_view = time::Duration::ZERO;
    }

    /// Whether this sidecar may run new keys of the range.
    pub fn owns(&self, now: clock::Now, range: u32) -> bool {
        self.lease.is_some_and(|lease| lease.is_valid(now))
            && self.owned.get(&range).is_some_and(|owned| !owned.leaving)
    }

    /// Whether the range is being handed over.
    pub fn is_leaving(&self, range: u32) -> bool {
        self.owned.get(&range).is_some_and(|owned| owned.leaving)
    }

    /// Returns the number of ranges owned.
    pub fn count(&self) -> usize {
        self.owned.len()
    }

    /// Returns who owns a range as far as known.
    pub fn owner(&self, range: u32) -> Option<&wire::Owner> {
        self.owners.get(&range).filter(|owner| owner.incarnation != self.incarnation)
    }

    /// Gives the range up if a caller knows a newer claim; returns whether it was given up.
    pub fn yield_to(&mut self, range: u32, fence: id::FencingToken) -> bool {
        let older = self.owned.get(&range).is_some_and(|owned| owned.fence < fence);
        if older {
            self.owned.remove(&range);
            self.next_view = time::Duration::ZERO;
        }
        older
    }

    /// Looks at the store again as soon as possible, because a caller asks for an owner.
    pub fn look(&mut self, now: clock::Now) {
        self.next_view = self.next_view.min(now.mono.max(self.last_view + BUSY_INTERVAL));
    }

    /// Emits the calls that are due; `is_idle` tells whether no call of a range is in progress.
    pub fn tick(&mut self, now: clock::Now, is_idle: impl Fn(u32) -> bool, calls: &mut Vec<Call>) {
        self.tick_lease(now, calls);
        if self.busy {
            return;
        }
        if self.leaving && !self.left {
            self.left = true;
            self.start(Call::Leave, calls);
            return;
        }
        if let Some(offer) = self.next_offer(now, is_idle) {
            self.start(offer, calls);
            return;
        }
        if now.mono >= self.next_view {
            let pause = if self.leaving { BUSY_INTERVAL } else { VIEW_INTERVAL };
            self.last_view = now.mono;
            self.overtaken = false;
            self.next_view = now.mono + pause;
            self.start(Call::Read, calls);
        }
    }

    fn start(&mut self, call: Call, calls: &mut Vec<Call>) {
        self.busy = true;
        calls.push(call);
    }

    /// Emits the calls that keep the lease, without looking after ranges.
    pub fn tick_lease(&mut self, now: clock::Now, calls: &mut Vec<Call>) {
        if self.lease_busy {
            return;
        }
        match self.lease {
            Some(lease) if !lease.is_valid(now) => {
                // The claims may be gone already; owning again takes a new claim.
                self.lease = None;
                self.owned.clear();
            }
            Some(lease) if now.elapsed_max(lease.sent) * 3 >= lease.ttl => {
                self.lease_busy = true;
                calls.push(Call::KeepAlive { lease: lease.id });
            }
            Some(_) => {}
            None if self.leaving => {}
            None => {
                self.lease_busy = true;
                calls.push(Call::Grant { ttl: self.ttl });
            }
        }
    }

    /// Picks idle ranges to hand over: while leaving a share for each other member, else what is
    /// above the fair share.
    fn next_offer(&mut self, now: clock::Now, is_idle: impl Fn(u32) -> bool) -> Option<Call> {
        if self.declined || !self.lease.is_some_and(|lease| lease.is_valid(now)) {
            return None;
        }
        let (to, theirs) = self.least_loaded()?;
        let count = self.surplus(theirs);
        let idle = self.owned.iter_mut().filter(|(range, _)| is_idle(**range));
        let mut ranges = Tokens::new();
        for (range, owned) in idle.take(count.min(BATCH)) {
            // From now on the ledger must not change.
            owned.leaving = true;
            ranges.insert(*range, owned.fence);
        }
        (!ranges.is_empty()).then_some(Call::Offer { ranges, to })
    }

    /// Returns how many ranges should go to a member that has `theirs`.
    fn surplus(&self, theirs: usize) -> usize {
        let mine = self.owned.len();
        if self.leaving {
            let others = self.members.keys().filter(|instance| **instance != self.me).count();
            return mine.div_ceil(others.max(1));
        }
        let fair = self.fair_share();
        mine.saturating_sub(fair).min(fair.saturating_sub(theirs))
    }

    /// Returns the other member with the fewest ranges, and their number.
    fn least_loaded(&self) -> Option<(net::SocketAddr, usize)> {
        let mut counts: collections::BTreeMap<id::Incarnation, usize> =
            collections::BTreeMap::new();
        for owner in self.owners.values() {
            *counts.entry(owner.incarnation).or_default() += 1;
        }
        self.members
            .iter()
            .filter(|(instance, _)| **instance != self.me)
            .map(|(_, m)| (m.address, counts.get(&m.incarnation).copied().unwrap_or(0)))
            .min_by_key(|(_, count)| *count)
    }

    /// Whether there is another member that could take ranges.
    pub fn has_successor(&self) -> bool {
        self.lease.is_some() && self.members.keys().any(|instance| *instance != self.me)
    }

    fn fair_share(&self) -> usize {
        let others = self.members.keys().filter(|instance| **instance != self.me).count();
        (key::RANGES as usize).div_ceil(others + 1)
    }

    /// Takes in how a call ended.
    pub fn reply(
        &mut self,
        now: clock::Now,
        reply: Reply,
        calls: &mut Vec<Call>,
        changes: &mut Vec<Change>,
    ) {
        match reply {
            Reply::Lease { id, sent, ttl } => {
                self.lease_busy = false;
                if self.lease.is_none_or(|old| old.id != id) {
                    self.owned.clear();
                    self.next_view = time::Duration::ZERO;
                }
                self.lease = Some(Lease { id, sent, ttl });
            }
            Reply::LeaseGone => {
                self.lease_busy = false;
                self.lease = None;
                self.owned.clear();
            }
            Reply::LeaseFailed => self.lease_busy = false,
            Reply::View { owners, members, marked } => {
                self.busy = false;
                if self.overtaken {
                    // It shows some ranges as they were before this sidecar took them.
                    self.next_view = time::Duration::ZERO;
                    return;
                }
                self.declined = false;
                self.owners = owners;
                self.members = members;
                self.take_view(now, &marked, calls, changes);
            }
            Reply::Claimed { lease, ranges, fence, first } => {
                self.busy = false;
                if !self.holds(lease) {
                    return;
                }
                let since = if first { time::Duration::ZERO } else { now.wall };
                for range in ranges {
                    self.own(range, fence);
                    changes.push(Change::Gained { range, since });
                }
                self.next_view = time::Duration::ZERO;
            }
            Reply::Refused => {
                self.busy = false;
                self.next_view = time::Duration::ZERO;
            }
            Reply::Taken { lease, ranges, fence, offered } => {
                if !offered {
                    self.busy = false;
                }
                if self.holds(lease) {
                    self.overtaken = true;
                    for range in ranges {
                        self.own(range, fence);
                        if offered {
                            changes.push(Change::Taken(range));
                        }
                    }
                }
            }
            Reply::TakeFailed => {}
            Reply::Offered { ranges, accepted } => {
                self.busy = false;
                self.next_view = time::Duration::ZERO;
                self.end_offer(ranges, accepted, changes);
            }
            Reply::Failed => self.busy = false,
        }
    }

    /// Whether a claim under the lease is still good; the store drops it with its lease.
    fn holds(&self, lease: LeaseId) -> bool {
        self.lease.is_some_and(|own| own.id == lease)
    }

    fn end_offer(&mut self, ranges: Vec<u32>, accepted: bool, changes: &mut Vec<Change>) {
        // Without a clear answer the other sidecar may still take the ranges with the ledgers that
        // it was sent: they stay closed until a claim with a new token rules that out.
        if !accepted {
            self.declined = true;
            return;
        }
        for range in ranges {
            self.owned.remove(&range);
            changes.push(Change::Given(range));
        }
    }

    fn own(&mut self, range: u32, fence: id::FencingToken) {
        self.owned.insert(range, Owned { fence, leaving: false });
        let owner = wire::Owner {
            instance: self.me.clone(),
            address: self.address,
            incarnation: self.incarnation,
            fence,
        };
        self.owners.insert(range, owner);
    }

    fn take_view(
        &mut self,
        now: clock::Now,
        marked: &collections::BTreeSet<u32>,
        calls: &mut Vec<Call>,
        changes: &mut Vec<Change>,
    ) {
        for range in 0..key::RANGES {
            let mine = self.owners.get(&range).filter(|o| o.incarnation == self.incarnation);
            match (mine.map(|o| o.fence), self.owned.get_mut(&range)) {
                // A claim whose answer was lost; counting from now on is safe, because it is later.
                (Some(fence), None) if self.lease.is_some() => {
                    self.own(range, fence);
                    changes.push(Change::Gained { range, since: now.wall });
                }
                (Some(fence), Some(owned)) if owned.fence < fence => {
                    // A renewed claim whose answer was lost: offers with the old token are void.
                    *owned = Owned { fence, leaving: self.leaving };
                }
                (None, Some(_)) => {
                    self.owned.remove(&range);
                }
                _ => {}
            }
        }
        if !self.reopen(now, calls) {
            self.claim(now, marked, calls);
        }
    }

    /// Claims ranges anew that were closed for a handover which did not come about; returns whether
    /// there are any.
    fn reopen(&mut self, now: clock::Now, calls: &mut Vec<Call>) -> bool {
        let Some(lease) = self.lease.filter(|lease| lease.is_valid(now)) else { return false };
        if self.leaving {
            return false;
        }
        let closed = self.owned.iter().filter(|(_, owned)| owned.leaving).take(BATCH);
        let ranges: Tokens = closed.map(|(range, owned)| (*range, owned.fence)).collect();
        if ranges.is_empty() {
            return false;
        }
        self.next_view = now.mono;
        self.start(Call::Take { lease: lease.id, ranges, offered: false }, calls);
        true
    }

    /// Claims ranges without an owner, those first that never had one: their ledger is complete.
    fn claim(
        &mut self,
        now: clock::Now,
        marked: &collections::BTreeSet<u32>,
        calls: &mut Vec<Call>,
    ) {
        let Some(lease) = self.lease.filter(|lease| lease.is_valid(now)) else { return };
        if self.leaving {
            return;
        }
        let room = self.fair_share().saturating_sub(self.owned.len()).min(BATCH);
        let free: Vec<u32> =
            self.preferred().into_iter().filter(|range| !self.owners.contains_key(range)).collect();
        let first = free.iter().any(|range| !marked.contains(range));
        let ranges: Vec<u32> =
            free.into_iter().filter(|range| marked.contains(range) != first).take(room).collect();
        if !ranges.is_empty() {
            self.start(Call::Claim { lease: lease.id, ranges, first }, calls);
        }
    }

    /// Returns all ranges in an order of this sidecar's own, so that claims of several rarely meet.
    fn preferred(&self) -> Vec<u32> {
        let mut ranges: Vec<u32> = (0..key::RANGES).collect();
        ranges.sort_by_cached_key(|range| {
            xxhash_rust::xxh3::xxh3_64_with_seed(self.me.as_str().as_bytes(), u64::from(*range))
        });
        ranges
    }

    /// Returns the call that takes ranges offered by their owner.
    pub fn accept_offer(&mut self, now: clock::Now, ranges: Tokens) -> Option<Call> {
        let lease = self.lease.filter(|lease| lease.is_valid(now) && !self.leaving)?;
        Some(Call::Take { lease: lease.id, ranges, offered: true })
    }

    /// Returns the lease with its validity.
    pub fn current_lease(&self) -> Option<Lease> {
        self.lease
    }

    /// Returns the lease, to be revoked when the process ends.
    pub fn lease(&self) -> Option<LeaseId> {
        self.lease.map(|lease| lease.id)
    }
}
