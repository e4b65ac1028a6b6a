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

use crate::claim;
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

/// A range that this sidecar owns.
#[derive(Clone, Debug)]
struct Owned {
    fence: id::FencingToken,
    leaving: bool,
}

/// Ownership of ranges by one sidecar.
#[derive(Debug)]
pub struct Ownership {
    me: id::InstanceId,
    address: net::SocketAddr,
    incarnation: id::Incarnation,
    ttl: time::Duration,
    lease: Option<claim::Lease>,
    owned: collections::BTreeMap<u32, Owned>,
    owners: wire::Owners,
    members: claim::Members,
    lease_busy: bool,
    busy: bool,
    next_view: time::Duration,
    last_view: time::Duration,
    leaving: bool,
    left: bool,
    /// Whether ranges moved, or an offer came to nothing, since the last view: nothing is offered
    /// before the next one.
    outdated: bool,
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
            members: claim::Members::new(),
            lease_busy: false,
            busy: false,
            next_view: time::Duration::ZERO,
            last_view: time::Duration::ZERO,
            leaving: false,
            left: false,
            outdated: false,
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

    /// Whether all ranges are being handed over because this sidecar goes.
    pub fn is_withdrawing(&self) -> bool {
        self.leaving
    }

    /// Returns the number of ranges owned.
    pub fn range_count(&self) -> usize {
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
    pub fn tick(
        &mut self,
        now: clock::Now,
        is_idle: impl Fn(u32) -> bool,
        calls: &mut Vec<claim::Call>,
    ) {
        self.tick_lease(now, calls);
        if self.busy {
            return;
        }
        if self.leaving && !self.left {
            self.left = true;
            self.start(claim::Call::Deregister, calls);
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
            self.start(claim::Call::Read, calls);
        }
    }

    fn start(&mut self, call: claim::Call, calls: &mut Vec<claim::Call>) {
        self.busy = true;
        calls.push(call);
    }

    /// Emits the calls that keep the lease, without looking after ranges.
    pub fn tick_lease(&mut self, now: clock::Now, calls: &mut Vec<claim::Call>) {
        if self.lease_busy {
            return;
        }
        match self.lease {
            Some(lease) if !lease.is_valid(now) => {
                // The claims may be gone already; owning again takes a new claim.
                self.lease = None;
                self.owned.clear();
            }
            Some(lease) if now.elapsed_max(lease.requested_at) * 3 >= lease.ttl => {
                self.lease_busy = true;
                calls.push(claim::Call::KeepAlive { lease: lease.id });
            }
            Some(_) => {}
            None if self.leaving => {}
            None => {
                self.lease_busy = true;
                calls.push(claim::Call::Grant { ttl: self.ttl });
            }
        }
    }

    /// Picks idle ranges to hand over: while leaving a share for each other member, else what is
    /// above the fair share.
    fn next_offer(
        &mut self,
        now: clock::Now,
        is_idle: impl Fn(u32) -> bool,
    ) -> Option<claim::Call> {
        if self.outdated || !self.lease.is_some_and(|lease| lease.is_valid(now)) {
            return None;
        }
        let (to, theirs) = self.least_loaded()?;
        let count = self.surplus(theirs);
        let idle = self.owned.iter_mut().filter(|(range, _)| is_idle(**range));
        let mut ranges = claim::RangeTokens::new();
        for (range, owned) in idle.take(count.min(BATCH)) {
            // From now on the ledger must not change.
            owned.leaving = true;
            ranges.insert(*range, owned.fence);
        }
        (!ranges.is_empty()).then_some(claim::Call::Offer { ranges, to })
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
        (key::RANGE_COUNT as usize).div_ceil(others + 1)
    }

    /// Takes in how a call ended.
    pub fn reply(
        &mut self,
        now: clock::Now,
        reply: claim::Reply,
        calls: &mut Vec<claim::Call>,
        changes: &mut Vec<claim::Change>,
    ) {
        match reply {
            claim::Reply::LeaseGranted { id, requested_at, ttl } => {
                self.lease_busy = false;
                if self.lease.is_none_or(|old| old.id != id) {
                    self.owned.clear();
                    self.next_view = time::Duration::ZERO;
                }
                self.lease = Some(claim::Lease { id, requested_at, ttl });
            }
            claim::Reply::LeaseExpired => {
                self.lease_busy = false;
                self.lease = None;
                self.owned.clear();
            }
            claim::Reply::LeaseCallFailed => self.lease_busy = false,
            claim::Reply::Snapshot { owners, members, ever_owned } => {
                self.busy = false;
                if self.overtaken {
                    // It shows some ranges as they were before this sidecar took them.
                    self.next_view = time::Duration::ZERO;
                    return;
                }
                self.outdated = false;
                self.owners = owners;
                self.members = members;
                self.take_view(now, &ever_owned, calls, changes);
            }
            claim::Reply::Claimed { lease, ranges, fence, never_owned: first } => {
                self.busy = false;
                if !self.holds(lease) {
                    return;
                }
                let since = if first { time::Duration::ZERO } else { now.wall };
                for range in ranges {
                    self.own(range, fence);
                    changes.push(claim::Change::Claimed { range, since });
                }
                self.next_view = time::Duration::ZERO;
            }
            claim::Reply::Refused => {
                self.busy = false;
                self.next_view = time::Duration::ZERO;
            }
            claim::Reply::Taken { lease, ranges, fence, offered } => {
                if !offered {
                    self.busy = false;
                }
                if self.holds(lease) {
                    self.overtaken = true;
                    self.outdated = true;
                    for range in ranges {
                        self.own(range, fence);
                        if offered {
                            changes.push(claim::Change::Received(range));
                        }
                    }
                    // The list of members under which they were taken may be old: what is above
                    // the share by a new one goes on at once.
                    self.look(now);
                }
            }
            claim::Reply::TakeFailed => {}
            claim::Reply::OfferEnded { ranges, accepted } => {
                self.busy = false;
                self.next_view = time::Duration::ZERO;
                self.end_offer(ranges, accepted, changes);
            }
            claim::Reply::Failed => self.busy = false,
        }
    }

    /// Whether a claim under the lease is still good; the store drops it with its lease.
    fn holds(&self, lease: claim::LeaseId) -> bool {
        self.lease.is_some_and(|own| own.id == lease)
    }

    fn end_offer(&mut self, ranges: Vec<u32>, accepted: bool, changes: &mut Vec<claim::Change>) {
        // Without a clear answer the other sidecar may still take the ranges with the ledgers that
        // it was sent: they stay closed until a claim with a new token rules that out.
        self.outdated = true;
        if !accepted {
            return;
        }
        for range in ranges {
            self.owned.remove(&range);
            changes.push(claim::Change::HandedOver(range));
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
        calls: &mut Vec<claim::Call>,
        changes: &mut Vec<claim::Change>,
    ) {
        for range in 0..key::RANGE_COUNT {
            let mine = self.owners.get(&range).filter(|o| o.incarnation == self.incarnation);
            match (mine.map(|o| o.fence), self.owned.get_mut(&range)) {
                // A claim whose answer was lost; counting from now on is safe, because it is later.
                (Some(fence), None) if self.lease.is_some() => {
                    self.own(range, fence);
                    changes.push(claim::Change::Claimed { range, since: now.wall });
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
    fn reopen(&mut self, now: clock::Now, calls: &mut Vec<claim::Call>) -> bool {
        let Some(lease) = self.lease.filter(|lease| lease.is_valid(now)) else { return false };
        if self.leaving {
            return false;
        }
        let closed = self.owned.iter().filter(|(_, owned)| owned.leaving).take(BATCH);
        let ranges: claim::RangeTokens =
            closed.map(|(range, owned)| (*range, owned.fence)).collect();
        if ranges.is_empty() {
            return false;
        }
        self.next_view = now.mono;
        self.start(claim::Call::Take { lease: lease.id, ranges, offered: false }, calls);
        true
    }

    /// Claims ranges without an owner, those first that never had one: their ledger is complete.
    fn claim(
        &mut self,
        now: clock::Now,
        marked: &collections::BTreeSet<u32>,
        calls: &mut Vec<claim::Call>,
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
            self.start(claim::Call::Claim { lease: lease.id, ranges, never_owned: first }, calls);
        }
    }

    /// Returns all ranges in an order of this sidecar's own, so that claims of several rarely meet.
    fn preferred(&self) -> Vec<u32> {
        let mut ranges: Vec<u32> = (0..key::RANGE_COUNT).collect();
        ranges.sort_by_cached_key(|range| {
            xxhash_rust::xxh3::xxh3_64_with_seed(self.me.as_str().as_bytes(), u64::from(*range))
        });
        ranges
    }

    /// Returns the call that takes ranges offered by their owner.
    ///
    /// `surplus` tells that the owner stays. Then nothing is taken beyond the fair share: owners
    /// that looked at the store at the same time offer to the same sidecar, which alone knows the
    /// sum. So each such move brings the fleet nearer to even shares, and the moves come to an end.
    pub fn accept_offer(
        &mut self,
        now: clock::Now,
        ranges: claim::RangeTokens,
        surplus: bool,
    ) -> Option<claim::Call> {
        let lease = self.lease.filter(|lease| lease.is_valid(now) && !self.leaving)?;
        if surplus && self.owned.len() + ranges.len() > self.fair_share() {
            // The share may come from an old list of members.
            self.look(now);
            return None;
        }
        Some(claim::Call::Take { lease: lease.id, ranges, offered: true })
    }

    /// Returns the lease with its validity.
    pub fn current_lease(&self) -> Option<claim::Lease> {
        self.lease
    }

    /// Returns the lease, to be revoked when the process ends.
    pub fn lease_id(&self) -> Option<claim::LeaseId> {
        self.lease.map(|lease| lease.id)
    }
}
