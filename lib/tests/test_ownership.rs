//! A fleet of sidecars on a model of the store divides the key ranges and then moves none.

use std::collections;
use std::net;
use std::time;

use bramleyshelf_lib::{claim, clock, id, key, ownership, wire};

const TTL: time::Duration = time::Duration::from_secs(15);
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time by which the assignment must be stable; it leaves room for two reads of the store.
const STABLE_BY: time::Duration = time::Duration::from_secs(8);
const RUN_TIME: time::Duration = time::Duration::from_secs(20);

/// A message that was sent to a sidecar and not delivered yet.
enum Event {
    Reply(claim::Reply),
    /// An offer of another sidecar.
    Offer {
        from: usize,
        ranges: claim::RangeTokens,
    },
    /// The store answered a transaction that takes offered ranges.
    TakeEnded {
        from: usize,
        taken: claim::Reply,
    },
}

/// Sidecars, the state of their shared store, and the messages that are in flight.
struct Fleet {
    sidecars: Vec<ownership::Ownership>,
    starts: Vec<time::Duration>,
    offer_pending: Vec<bool>,
    owners: wire::Owners,
    members: claim::Members,
    fence: u64,
    queue: collections::BTreeMap<(time::Duration, u64), (usize, Event)>,
    sequence: u64,
    rng: fastrand::Rng,
    /// When a sidecar last tried to claim or take ranges.
    last_transaction: time::Duration,
}

fn address(index: usize) -> net::SocketAddr {
    ([127, 0, 0, 1], 9_000 + index as u16).into()
}

fn instance(index: usize) -> id::InstanceId {
    format!("sidecar-{index}").parse().expect("valid")
}

fn incarnation(index: usize) -> id::Incarnation {
    id::Incarnation(100 + index as u64)
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let starts = (0..count).map(|_| time::Duration::from_millis(rng.u64(0..1_000))).collect();
        Self {
            sidecars: (0..count)
                .map(|i| ownership::Ownership::new(instance(i), address(i), incarnation(i)))
                .collect(),
            starts,
            offer_pending: vec![false; count],
            owners: wire::Owners::new(),
            members: claim::Members::new(),
            fence: 1,
            queue: collections::BTreeMap::new(),
            sequence: 0,
            rng,
            last_transaction: time::Duration::ZERO,
        }
    }

    fn now(at: time::Duration) -> clock::Now {
        clock::Now { mono: at, wall: time::Duration::from_secs(1_700_000_000) + at }
    }

    fn send_delayed(&mut self, at: time::Duration, to: usize, event: Event) {
        let delay = time::Duration::from_millis(self.rng.u64(1..60));
        self.sequence += 1;
        self.queue.insert((at + delay, self.sequence), (to, event));
    }

    /// Assigns ranges to a sidecar if the store still has them with the expected tokens; `None`
    /// expects a range without an owner.
    fn transact(
        &mut self,
        at: time::Duration,
        index: usize,
        expected: &[(u32, Option<id::FencingToken>)],
    ) -> Option<id::FencingToken> {
        self.last_transaction = at;
        let is_unchanged = |(range, fence): &(u32, Option<id::FencingToken>)| {
            self.owners.get(range).map(|owner| owner.fence) == *fence
        };
        if !expected.iter().all(is_unchanged) {
            return None;
        }
        self.fence += 1;
        let fence = id::FencingToken(self.fence);
        for (range, _) in expected {
            let owner = wire::Owner {
                instance: instance(index),
                address: address(index),
                incarnation: incarnation(index),
                fence,
            };
            self.owners.insert(*range, owner);
        }
        Some(fence)
    }

    fn handle_call(&mut self, at: time::Duration, index: usize, call: claim::Call) {
        let lease = claim::LeaseId::try_from(index).expect("few sidecars") + 1;
        let reply = match call {
            claim::Call::Grant { .. } => {
                let member =
                    claim::Member { address: address(index), incarnation: incarnation(index) };
                self.members.insert(instance(index), member);
                claim::Reply::LeaseGranted { id: lease, requested_at: Self::now(at), ttl: TTL }
            }
            claim::Call::KeepAlive { .. } => {
                claim::Reply::LeaseGranted { id: lease, requested_at: Self::now(at), ttl: TTL }
            }
            claim::Call::Read => claim::Reply::Snapshot {
                owners: self.owners.clone(),
                members: self.members.clone(),
                ever_owned: self.owners.keys().copied().collect(),
            },
            claim::Call::Claim { lease, ranges, never_owned } => {
                let expected: Vec<_> = ranges.iter().map(|range| (*range, None)).collect();
                match self.transact(at, index, &expected) {
                    Some(fence) => claim::Reply::Claimed { lease, ranges, fence, never_owned },
                    None => claim::Reply::ClaimRefused,
                }
            }
            claim::Call::Take { lease, ranges, offered } => {
                let expected: Vec<_> = ranges.iter().map(|(range, f)| (*range, Some(*f))).collect();
                let ranges = ranges.into_keys().collect();
                match self.transact(at, index, &expected) {
                    Some(fence) => claim::Reply::Taken { lease, ranges, fence, offered },
                    None if offered => claim::Reply::TakeFailed,
                    None => claim::Reply::ClaimRefused,
                }
            }
            claim::Call::Offer { ranges, to } => {
                let receiver = usize::from(to.port() - 9_000);
                self.send_delayed(at, receiver, Event::Offer { from: index, ranges });
                return;
            }
            claim::Call::Revoke { .. } | claim::Call::Deregister => return,
        };
        self.send_delayed(at, index, Event::Reply(reply));
    }

    fn reply(&mut self, at: time::Duration, index: usize, reply: claim::Reply) {
        let mut calls = Vec::new();
        self.sidecars[index].reply(Self::now(at), reply, &mut calls, &mut Vec::new());
        for call in calls {
            self.handle_call(at, index, call);
        }
    }

    fn deliver(&mut self, at: time::Duration, index: usize, event: Event) {
        match event {
            Event::Reply(reply) => self.reply(at, index, reply),
            Event::Offer { from, ranges } => {
                let offered: Vec<u32> = ranges.keys().copied().collect();
                let is_free = !self.offer_pending[index];
                let call = self.sidecars[index].accept_offer(Self::now(at), ranges, true);
                let Some(claim::Call::Take { lease, ranges, .. }) = call.filter(|_| is_free) else {
                    let reply = claim::Reply::OfferEnded { ranges: offered, accepted: false };
                    self.send_delayed(at, from, Event::Reply(reply));
                    return;
                };
                self.offer_pending[index] = true;
                let expected: Vec<_> = ranges.iter().map(|(range, f)| (*range, Some(*f))).collect();
                let taken = match self.transact(at, index, &expected) {
                    Some(fence) => {
                        claim::Reply::Taken { lease, ranges: offered, fence, offered: true }
                    }
                    None => claim::Reply::TakeFailed,
                };
                self.send_delayed(at, index, Event::TakeEnded { from, taken });
            }
            Event::TakeEnded { from, taken } => {
                self.offer_pending[index] = false;
                if let claim::Reply::Taken { ranges, .. } = &taken {
                    let ended = claim::Reply::OfferEnded { ranges: ranges.clone(), accepted: true };
                    self.send_delayed(at, from, Event::Reply(ended));
                }
                self.reply(at, index, taken);
            }
        }
    }

    /// Runs for `RUN_TIME`; returns when a sidecar last tried to claim or take ranges.
    fn run(&mut self) -> time::Duration {
        let mut at = time::Duration::ZERO;
        while at < RUN_TIME {
            while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= at) {
                let (index, event) = entry.remove();
                self.deliver(at, index, event);
            }
            for index in 0..self.sidecars.len() {
                if self.starts[index] > at {
                    continue;
                }
                let mut calls = Vec::new();
                self.sidecars[index].tick(Self::now(at), |_| true, &mut calls);
                for call in calls {
                    self.handle_call(at, index, call);
                }
            }
            at += TICK_INTERVAL;
        }
        self.last_transaction
    }

    fn counts(&self) -> Vec<usize> {
        self.sidecars.iter().map(ownership::Ownership::range_count).collect()
    }
}

#[test]
fn ranges_reach_stable_assignment() {
    // Several owners that read the same snapshot offer ranges to the same sidecar. If it takes them
    // all, it offers some on, and the ranges never stop moving.
    for seed in 0..20 {
        for count in [2, 6, 11] {
            let mut fleet = Fleet::new(count, seed);
            let last_transaction = fleet.run();
            let counts = fleet.counts();
            assert!(
                last_transaction < STABLE_BY,
                "seed {seed}, {count} sidecars: transaction at {last_transaction:?}: {counts:?}"
            );
            assert_eq!(fleet.owners.len(), key::RANGE_COUNT as usize);
            let fair = (key::RANGE_COUNT as usize).div_ceil(count);
            assert!(counts.iter().all(|owned| *owned <= fair), "seed {seed}: {counts:?}");
        }
    }
}

/// Returns a sidecar that owns all ranges and has read a store without other members.
fn sole_owner() -> ownership::Ownership {
    let mut owner = ownership::Ownership::new(instance(0), address(0), incarnation(0));
    let now = Fleet::now(time::Duration::ZERO);
    let granted = claim::Reply::LeaseGranted { id: 1, requested_at: now, ttl: TTL };
    owner.reply(now, granted, &mut Vec::new(), &mut Vec::new());
    let snapshot = claim::Reply::Snapshot {
        owners: wire::Owners::new(),
        members: claim::Members::new(),
        ever_owned: collections::BTreeSet::new(),
    };
    owner.reply(now, snapshot, &mut Vec::new(), &mut Vec::new());
    let ranges = (0..key::RANGE_COUNT).collect();
    let fence = id::FencingToken(2);
    let claimed = claim::Reply::Claimed { lease: 1, ranges, fence, never_owned: true };
    owner.reply(now, claimed, &mut Vec::new(), &mut Vec::new());
    owner
}

/// Returns the claims that the sidecar of `sole_owner` has in the store.
fn all_ranges_owned() -> wire::Owners {
    let owner = wire::Owner {
        instance: instance(0),
        address: address(0),
        incarnation: incarnation(0),
        fence: id::FencingToken(2),
    };
    (0..key::RANGE_COUNT).map(|range| (range, owner.clone())).collect()
}

/// Ticks once and returns the calls other than those about the lease.
fn tick_calls(owner: &mut ownership::Ownership, at: time::Duration) -> Vec<claim::Call> {
    let mut calls = Vec::new();
    owner.tick(Fleet::now(at), |_| true, &mut calls);
    calls.retain(|call| !call.is_lease_call());
    calls
}

// Other sidecars may have registered since the last read of the store, which is seconds ago.
#[test]
fn has_handed_over_waits_for_members_read_while_leaving() {
    let mut owner = sole_owner();
    let at = time::Duration::from_millis(400);
    owner.set_leaving(true);
    assert!(!owner.has_handed_over(), "no member was read since the stop");
    assert!(matches!(tick_calls(&mut owner, at)[..], [claim::Call::Deregister]));
    let failed = claim::Reply::Failed;
    owner.reply(Fleet::now(at), failed, &mut Vec::new(), &mut Vec::new());
    assert!(matches!(tick_calls(&mut owner, at)[..], [claim::Call::Read]));
    assert!(!owner.has_handed_over(), "the read has not been answered");
    let member = claim::Member { address: address(1), incarnation: incarnation(1) };
    let snapshot = claim::Reply::Snapshot {
        owners: all_ranges_owned(),
        members: claim::Members::from([(instance(1), member)]),
        ever_owned: (0..key::RANGE_COUNT).collect(),
    };
    owner.reply(Fleet::now(at), snapshot, &mut Vec::new(), &mut Vec::new());
    assert!(!owner.has_handed_over(), "another member can take the ranges");
}

#[test]
fn has_handed_over_without_other_members() {
    let mut owner = sole_owner();
    let at = time::Duration::from_millis(400);
    owner.set_leaving(true);
    tick_calls(&mut owner, at);
    owner.reply(Fleet::now(at), claim::Reply::Failed, &mut Vec::new(), &mut Vec::new());
    tick_calls(&mut owner, at);
    let snapshot = claim::Reply::Snapshot {
        owners: all_ranges_owned(),
        members: claim::Members::new(),
        ever_owned: (0..key::RANGE_COUNT).collect(),
    };
    owner.reply(Fleet::now(at), snapshot, &mut Vec::new(), &mut Vec::new());
    assert!(owner.has_handed_over(), "no other sidecar can take the ranges");
}
