//! Ownership of ranges of idempotency keys by sidecars, under leases of the platform's store.
//!
//! The claim of a range is an entry of the store that is attached to the owner's lease and deleted
//! with it. The owner counts the lease from when it sent the grant or renewal, by the faster of its
//! two clocks, so that it stops running calls before the store lets another sidecar take over.
//! As with the leases of the NQNFS paper, nothing is recovered after a crash. Instead, the mint
//! time of a key decides whether an earlier owner may have run it ([`crate::key`]).

use std::collections;
use std::net;
use std::time;

use crate::claim;
use crate::clock;
use crate::id;
use crate::key;
use crate::wire;

/// Time between two reads of the store that look for ranges without an owner.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Shortest time between two reads of the store, used while this sidecar hands its ranges over or
/// a caller waits for an owner.
const MIN_REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Largest number of ranges in one transaction or handover.
const MAX_BATCH_RANGES: usize = 32;

/// A range that this sidecar owns.
#[derive(Clone, Debug)]
struct OwnedRange {
    fence: id::FencingToken,
    /// Whether the range is offered to another sidecar, so that it runs no new keys.
    closed: bool,
}

/// State machine that claims, keeps and hands over the ranges of one sidecar.
#[derive(Debug)]
pub struct Ownership {
    instance: id::InstanceId,
    address: net::SocketAddr,
    incarnation: id::Incarnation,
    ttl: time::Duration,
    lease: Option<claim::Lease>,
    owned: collections::BTreeMap<u32, OwnedRange>,
    /// Owners of all ranges in the last snapshot, and claims of this sidecar made since.
    owners: wire::Owners,
    members: claim::Members,
    /// Whether a call that grants or renews the lease is in progress.
    lease_pending: bool,
    /// Whether any other call is in progress, except the take of an accepted offer.
    call_pending: bool,
    /// When the store is read next, on the monotonic clock.
    next_refresh: time::Duration,
    last_refresh: time::Duration,
    leaving: bool,
    /// Whether the member registration was deleted because this sidecar is leaving.
    deregistered: bool,
    /// Whether the current or latest read of the store began while this sidecar was leaving.
    reads_leaving: bool,
    /// Whether `members` was read while this sidecar was leaving, so that it shows every sidecar
    /// that registered before.
    members_recent: bool,
    /// Whether ranges moved or an offer failed since the last snapshot of the store; no range is
    /// offered before the next snapshot.
    snapshot_stale: bool,
    /// Whether a range was taken since the current read of the store began, so that its snapshot
    /// is discarded.
    read_stale: bool,
}

impl Ownership {
    /// Creates the ownership of a sidecar that has no lease and owns no range.
    pub fn new(
        instance: id::InstanceId,
        address: net::SocketAddr,
        incarnation: id::Incarnation,
    ) -> Self {
        Self {
            instance,
            address,
            incarnation,
            ttl: time::Duration::from_secs(15),
            lease: None,
            owned: collections::BTreeMap::new(),
            owners: wire::Owners::new(),
            members: claim::Members::new(),
            lease_pending: false,
            call_pending: false,
            next_refresh: time::Duration::ZERO,
            last_refresh: time::Duration::ZERO,
            leaving: false,
            deregistered: false,
            reads_leaving: false,
            members_recent: false,
            snapshot_stale: false,
            read_stale: false,
        }
    }

    /// Sets the validity that the next grant of a lease asks for.
    pub fn set_ttl(&mut self, ttl: time::Duration) {
        self.ttl = ttl;
    }

    /// Starts or stops handing over all ranges, because this sidecar drains or resumes.
    pub fn set_leaving(&mut self, leaving: bool) {
        if self.leaving && !leaving {
            // The registration was deleted; a new one is written together with a new lease.
            self.deregistered = false;
            self.lease = None;
        }
        self.leaving = leaving;
        self.reads_leaving = false;
        self.members_recent = false;
        self.next_refresh = time::Duration::ZERO;
    }

    /// Whether this sidecar may run new keys of the range: its lease is valid and the range is not
    /// being handed over.
    pub fn owns(&self, now: clock::Now, range: u32) -> bool {
        self.lease.is_some_and(|lease| lease.is_valid(now))
            && self.owned.get(&range).is_some_and(|owned| !owned.closed)
    }

    /// Whether the range is being handed over.
    pub fn is_handing_over(&self, range: u32) -> bool {
        self.owned.get(&range).is_some_and(|owned| owned.closed)
    }

    /// Whether all ranges are being handed over because this sidecar drains.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the number of ranges owned, including those that are being handed over.
    pub fn range_count(&self) -> usize {
        self.owned.len()
    }

    /// Returns the owner of a range in the last snapshot of the store, or `None` if it is unknown
    /// or this sidecar.
    pub fn owner(&self, range: u32) -> Option<&wire::Owner> {
        self.owners.get(&range).filter(|owner| owner.incarnation != self.incarnation)
    }

    /// Gives up the range if `fence` belongs to a newer claim; returns whether it was given up.
    pub fn release_superseded(&mut self, range: u32, fence: id::FencingToken) -> bool {
        let is_superseded = self.owned.get(&range).is_some_and(|owned| owned.fence < fence);
        if is_superseded {
            self.owned.remove(&range);
            self.next_refresh = time::Duration::ZERO;
        }
        is_superseded
    }

    /// Schedules the next read of the store as early as the minimum interval between reads allows.
    pub fn request_refresh(&mut self, now: clock::Now) {
        self.next_refresh =
            self.next_refresh.min(now.mono.max(self.last_refresh + MIN_REFRESH_INTERVAL));
    }

    /// Appends the calls that are due; `is_idle` is false for ranges with queued or running calls.
    pub fn tick(
        &mut self,
        now: clock::Now,
        is_idle: impl Fn(u32) -> bool,
        calls: &mut Vec<claim::Call>,
    ) {
        self.tick_lease(now, calls);
        if self.call_pending {
            return;
        }
        if self.leaving && !self.deregistered {
            self.deregistered = true;
            self.start_call(claim::Call::Deregister, calls);
            return;
        }
        if let Some(offer) = self.next_offer(now, is_idle) {
            self.start_call(offer, calls);
            return;
        }
        if now.mono >= self.next_refresh {
            let interval = if self.leaving { MIN_REFRESH_INTERVAL } else { REFRESH_INTERVAL };
            self.last_refresh = now.mono;
            self.read_stale = false;
            self.reads_leaving = self.leaving;
            self.next_refresh = now.mono + interval;
            self.start_call(claim::Call::Read, calls);
        }
    }

    /// Appends a call that is not about the lease; `call_pending` is set until its reply.
    fn start_call(&mut self, call: claim::Call, calls: &mut Vec<claim::Call>) {
        self.call_pending = true;
        calls.push(call);
    }

    /// Appends the calls that grant or renew the lease, without claiming or offering ranges.
    pub fn tick_lease(&mut self, now: clock::Now, calls: &mut Vec<claim::Call>) {
        if self.lease_pending {
            return;
        }
        match self.lease {
            Some(lease) if !lease.is_valid(now) => {
                // The store may have deleted the claims already, so each range needs a new claim.
                self.lease = None;
                self.owned.clear();
            }
            Some(lease) if now.elapsed_max(lease.requested_at) * 3 >= lease.ttl => {
                self.lease_pending = true;
                calls.push(claim::Call::KeepAlive { lease: lease.id });
            }
            Some(_) => {}
            None if self.leaving => {}
            None => {
                self.lease_pending = true;
                calls.push(claim::Call::Grant { ttl: self.ttl });
            }
        }
    }

    /// Picks idle ranges to hand over: while leaving, an equal part of all for each other member;
    /// otherwise those above the fair share.
    fn next_offer(
        &mut self,
        now: clock::Now,
        is_idle: impl Fn(u32) -> bool,
    ) -> Option<claim::Call> {
        if self.snapshot_stale || !self.lease.is_some_and(|lease| lease.is_valid(now)) {
            return None;
        }
        let (to, receiver_count) = self.least_loaded()?;
        let count = self.surplus_for(receiver_count);
        let idle = self.owned.iter_mut().filter(|(range, _)| is_idle(**range));
        let mut ranges = claim::RangeTokens::new();
        for (range, owned) in idle.take(count.min(MAX_BATCH_RANGES)) {
            // The ledger is sent with the offer, so it must not change from now on.
            owned.closed = true;
            ranges.insert(*range, owned.fence);
        }
        (!ranges.is_empty()).then_some(claim::Call::Offer { ranges, to })
    }

    /// Returns how many ranges to hand to a member that owns `receiver_count`.
    fn surplus_for(&self, receiver_count: usize) -> usize {
        let owned_count = self.owned.len();
        if self.leaving {
            let others = self.members.keys().filter(|instance| **instance != self.instance).count();
            return owned_count.div_ceil(others.max(1));
        }
        let fair = self.fair_share();
        owned_count.saturating_sub(fair).min(fair.saturating_sub(receiver_count))
    }

    /// Returns the address of the other member with the fewest ranges, and how many it owns.
    fn least_loaded(&self) -> Option<(net::SocketAddr, usize)> {
        let mut counts: collections::BTreeMap<id::Incarnation, usize> =
            collections::BTreeMap::new();
        for owner in self.owners.values() {
            *counts.entry(owner.incarnation).or_default() += 1;
        }
        self.members
            .iter()
            .filter(|(instance, _)| **instance != self.instance)
            .map(|(_, m)| (m.address, counts.get(&m.incarnation).copied().unwrap_or(0)))
            .min_by_key(|(_, count)| *count)
    }

    /// Whether a leaving sidecar has handed over all ranges, or no other sidecar can take them.
    ///
    /// The latter is known only from a read of the store since it began to leave: other sidecars
    /// may have registered after an earlier read.
    pub fn has_handed_over(&self) -> bool {
        if self.owned.is_empty() || self.lease.is_none() {
            return true;
        }
        let has_successor = self.members.keys().any(|instance| *instance != self.instance);
        self.members_recent && !has_successor
    }

    /// Returns the number of ranges per member if they are divided evenly, rounded up.
    fn fair_share(&self) -> usize {
        let others = self.members.keys().filter(|instance| **instance != self.instance).count();
        (key::RANGE_COUNT as usize).div_ceil(others + 1)
    }

    /// Handles the result of a call, and appends follow-up calls and the resulting changes.
    pub fn reply(
        &mut self,
        now: clock::Now,
        reply: claim::Reply,
        calls: &mut Vec<claim::Call>,
        changes: &mut Vec<claim::Change>,
    ) {
        match reply {
            claim::Reply::LeaseGranted { id, requested_at, ttl } => {
                self.lease_pending = false;
                if self.lease.is_none_or(|old| old.id != id) {
                    self.owned.clear();
                    self.next_refresh = time::Duration::ZERO;
                }
                self.lease = Some(claim::Lease { id, requested_at, ttl });
            }
            claim::Reply::LeaseExpired => {
                self.lease_pending = false;
                self.lease = None;
                self.owned.clear();
            }
            claim::Reply::LeaseCallFailed => self.lease_pending = false,
            claim::Reply::Snapshot { owners, members, ever_owned } => {
                self.call_pending = false;
                if self.read_stale {
                    // It shows some ranges as they were before this sidecar took them over.
                    self.next_refresh = time::Duration::ZERO;
                    return;
                }
                self.snapshot_stale = false;
                self.owners = owners;
                self.members = members;
                self.members_recent = self.reads_leaving;
                self.apply_snapshot(now, &ever_owned, calls, changes);
            }
            claim::Reply::Claimed { lease, ranges, fence, never_owned } => {
                self.call_pending = false;
                if !self.is_current_lease(lease) {
                    return;
                }
                let since = if never_owned { time::Duration::ZERO } else { now.wall };
                for range in ranges {
                    self.set_owned(range, fence);
                    changes.push(claim::Change::Claimed { range, since });
                }
                self.next_refresh = time::Duration::ZERO;
            }
            claim::Reply::ClaimRefused => {
                self.call_pending = false;
                self.next_refresh = time::Duration::ZERO;
            }
            claim::Reply::Taken { lease, ranges, fence, offered } => {
                if !offered {
                    self.call_pending = false;
                }
                if self.is_current_lease(lease) {
                    self.read_stale = true;
                    self.snapshot_stale = true;
                    for range in ranges {
                        self.set_owned(range, fence);
                        if offered {
                            changes.push(claim::Change::Received(range));
                        }
                    }
                    // The ranges were accepted against a list of members that may be outdated. A
                    // new snapshot shows whether some of them exceed the fair share.
                    self.request_refresh(now);
                }
            }
            claim::Reply::TakeFailed => {}
            claim::Reply::OfferEnded { ranges, accepted } => {
                self.call_pending = false;
                self.next_refresh = time::Duration::ZERO;
                self.end_offer(ranges, accepted, changes);
            }
            claim::Reply::Failed => self.call_pending = false,
        }
    }

    /// Whether the lease is the current one; the store deletes claims together with their lease.
    fn is_current_lease(&self, lease: claim::LeaseId) -> bool {
        self.lease.is_some_and(|current| current.id == lease)
    }

    /// Gives up the ranges of an accepted offer, and leaves those of any other offer closed.
    fn end_offer(&mut self, ranges: Vec<u32>, accepted: bool, changes: &mut Vec<claim::Change>) {
        // Unless the offer was accepted, the receiver may still take the ranges with the ledgers
        // that it was sent. They stay closed until a claim with a new token rules that out.
        self.snapshot_stale = true;
        if !accepted {
            return;
        }
        for range in ranges {
            self.owned.remove(&range);
            changes.push(claim::Change::HandedOver(range));
        }
    }

    /// Records a claim of this sidecar under the token `fence`.
    fn set_owned(&mut self, range: u32, fence: id::FencingToken) {
        self.owned.insert(range, OwnedRange { fence, closed: false });
        let owner = wire::Owner {
            instance: self.instance.clone(),
            address: self.address,
            incarnation: self.incarnation,
            fence,
        };
        self.owners.insert(range, owner);
    }

    /// Corrects the owned ranges by the claims in the store, then claims closed or free ranges.
    fn apply_snapshot(
        &mut self,
        now: clock::Now,
        ever_owned: &collections::BTreeSet<u32>,
        calls: &mut Vec<claim::Call>,
        changes: &mut Vec<claim::Change>,
    ) {
        for range in 0..key::RANGE_COUNT {
            let own_claim = self.owners.get(&range).filter(|o| o.incarnation == self.incarnation);
            match (own_claim.map(|o| o.fence), self.owned.get_mut(&range)) {
                // The reply to this claim was lost. The ledger counts as complete from now on,
                // which is later than the claim and therefore safe.
                (Some(fence), None) if self.lease.is_some() => {
                    self.set_owned(range, fence);
                    changes.push(claim::Change::Claimed { range, since: now.wall });
                }
                (Some(fence), Some(owned)) if owned.fence < fence => {
                    // The reply to a renewed claim was lost; offers with the old token are void.
                    *owned = OwnedRange { fence, closed: self.leaving };
                }
                (None, Some(_)) => {
                    self.owned.remove(&range);
                }
                _ => {}
            }
        }
        if !self.reclaim_closed(now, calls) {
            self.claim_free(now, ever_owned, calls);
        }
    }

    /// Claims ranges again that were closed for a handover that was not accepted; returns whether
    /// there are any.
    fn reclaim_closed(&mut self, now: clock::Now, calls: &mut Vec<claim::Call>) -> bool {
        let Some(lease) = self.lease.filter(|lease| lease.is_valid(now)) else { return false };
        if self.leaving {
            return false;
        }
        let closed = self.owned.iter().filter(|(_, owned)| owned.closed).take(MAX_BATCH_RANGES);
        let ranges: claim::RangeTokens =
            closed.map(|(range, owned)| (*range, owned.fence)).collect();
        if ranges.is_empty() {
            return false;
        }
        self.next_refresh = now.mono;
        self.start_call(claim::Call::Take { lease: lease.id, ranges, offered: false }, calls);
        true
    }

    /// Claims ranges without an owner. Ranges that never had one come first, because their ledgers
    /// are complete from the start.
    fn claim_free(
        &mut self,
        now: clock::Now,
        ever_owned: &collections::BTreeSet<u32>,
        calls: &mut Vec<claim::Call>,
    ) {
        let Some(lease) = self.lease.filter(|lease| lease.is_valid(now)) else { return };
        if self.leaving {
            return;
        }
        let room = self.fair_share().saturating_sub(self.owned.len()).min(MAX_BATCH_RANGES);
        let free: Vec<u32> = self
            .claim_order()
            .into_iter()
            .filter(|range| !self.owners.contains_key(range))
            .collect();
        let never_owned = free.iter().any(|range| !ever_owned.contains(range));
        let ranges: Vec<u32> = free
            .into_iter()
            .filter(|range| ever_owned.contains(range) != never_owned)
            .take(room)
            .collect();
        if !ranges.is_empty() {
            self.start_call(claim::Call::Claim { lease: lease.id, ranges, never_owned }, calls);
        }
    }

    /// Returns all ranges in an order that differs by sidecar, so that claims rarely conflict.
    fn claim_order(&self) -> Vec<u32> {
        let mut ranges: Vec<u32> = (0..key::RANGE_COUNT).collect();
        ranges.sort_by_cached_key(|range| {
            xxhash_rust::xxh3::xxh3_64_with_seed(
                self.instance.as_str().as_bytes(),
                u64::from(*range),
            )
        });
        ranges
    }

    /// Returns the call that takes over ranges offered by their owner, or `None` to decline them.
    ///
    /// With `surplus` the owner stays and hands over only what is above its fair share. Then
    /// nothing is taken beyond this sidecar's own fair share: several owners that read the same
    /// snapshot may offer ranges to the same sidecar, and only that sidecar can add the offers up.
    /// Each accepted offer brings the shares closer together, so that the handovers terminate.
    pub fn accept_offer(
        &mut self,
        now: clock::Now,
        ranges: claim::RangeTokens,
        surplus: bool,
    ) -> Option<claim::Call> {
        let lease = self.lease.filter(|lease| lease.is_valid(now) && !self.leaving)?;
        if surplus && self.owned.len() + ranges.len() > self.fair_share() {
            // The fair share may be computed from an outdated list of members.
            self.request_refresh(now);
            return None;
        }
        Some(claim::Call::Take { lease: lease.id, ranges, offered: true })
    }

    /// Returns the current lease with its validity; it may have expired already.
    pub fn current_lease(&self) -> Option<claim::Lease> {
        self.lease
    }

    /// Returns the id of the current lease, which is revoked when the process ends.
    pub fn lease_id(&self) -> Option<claim::LeaseId> {
        self.lease.map(|lease| lease.id)
    }
}
