//! Decisions of the memory budget and of the connection limit, with crowds replayed without sockets.

use std::collections;
use std::net;
use std::time;

use bramleyshelf_lib::gateway_settings;
use bramleyshelf_lib::memory_budget::{self, connections, ledger};

const TOTAL: usize = 40_000_000;
const BODY: usize = 4 << 20;
const PIECE: usize = 64 << 10;

fn at(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn budget_of(bytes: usize) -> memory_budget::Budget {
    memory_budget::Budget::with_limits(memory_budget::Limits { bytes, callers: 10, peers: 10 })
}

fn caller(number: u8) -> net::IpAddr {
    net::IpAddr::from([10, 0, 0, number])
}

/// Bodies that are being received, as the reader accounts for them.
#[derive(Debug)]
struct Crowd {
    ledger: ledger::Ledger,
    sizes: collections::BTreeMap<ledger::HolderId, (usize, usize)>,
    refused: usize,
    evicted: collections::BTreeSet<ledger::HolderId>,
}

impl Crowd {
    fn new() -> Self {
        Self {
            ledger: ledger::Ledger::new(TOTAL),
            sizes: collections::BTreeMap::new(),
            refused: 0,
            evicted: collections::BTreeSet::new(),
        }
    }

    fn open(&mut self, now: time::Duration, caller: Option<net::IpAddr>) -> ledger::HolderId {
        let id = self.ledger.open(now, ledger::Purpose::Arriving, caller);
        self.sizes.insert(id, (0, 0));
        id
    }

    /// Adds bytes to a body; returns whether it is still being received.
    fn receive(&mut self, now: time::Duration, id: ledger::HolderId, bytes: usize) -> bool {
        let Some((length, capacity)) = self.sizes.get(&id).copied() else { return false };
        let needed = length + bytes;
        let mut new_capacity = capacity;
        if needed > capacity {
            new_capacity = ledger::next_capacity(capacity, needed, BODY);
            let grant = self.ledger.resize(now, id, new_capacity);
            for evicted in grant.evicted {
                self.sizes.remove(&evicted);
                self.evicted.insert(evicted);
            }
            if !grant.is_granted {
                self.ledger.close(id);
                self.sizes.remove(&id);
                self.refused += 1;
                return false;
            }
        }
        self.ledger.progress(now, id, bytes);
        self.sizes.insert(id, (needed, new_capacity));
        let held: usize = self.sizes.values().map(|(_, capacity)| capacity).sum();
        assert_eq!(held, self.ledger.used(), "the ledger knows what is held");
        assert!(held <= TOTAL);
        true
    }
}

/// Guards against a crowd of bodies that stop just short and keep ordinary bodies out for good.
#[test]
fn body_is_received_beside_a_crowd_that_stopped_short() {
    let mut crowd = Crowd::new();
    let ids: Vec<_> = (0..60).map(|_| crowd.open(at(0), Some(caller(1)))).collect();
    for piece in 0..(BODY / PIECE) - 1 {
        for id in &ids {
            crowd.receive(at(piece as u64 * 10), *id, PIECE);
        }
    }
    let ordinary = crowd.open(at(2_000), Some(caller(2)));
    for piece in 0..BODY / PIECE {
        assert!(crowd.receive(at(2_000 + piece as u64 * 10), ordinary, PIECE), "piece {piece}");
    }
    assert!(!crowd.evicted.is_empty());
}

/// Guards against callers that keep their bodies by sending a byte now and then.
#[test]
fn body_that_trickles_is_evicted_before_one_that_arrives() {
    let mut crowd = Crowd::new();
    let trickling = crowd.open(at(0), Some(caller(1)));
    crowd.receive(at(0), trickling, BODY - 10_000);
    let arriving = crowd.open(at(0), Some(caller(2)));
    crowd.receive(at(0), arriving, PIECE);
    for step in 1..20 {
        crowd.receive(at(step * 100), trickling, 1);
        crowd.receive(at(step * 100), arriving, PIECE);
    }
    let others: Vec<_> = (0..7).map(|_| crowd.open(at(2_000), Some(caller(3)))).collect();
    for id in others {
        crowd.receive(at(2_000), id, BODY);
    }
    assert!(crowd.evicted.contains(&trickling));
    assert!(!crowd.evicted.contains(&arriving));
}

/// Guards against one caller that displaces the bodies of all others which stalled as long.
#[test]
fn caller_that_holds_most_loses_a_body_first() {
    let mut crowd = Crowd::new();
    let single = crowd.open(at(0), Some(caller(1)));
    crowd.receive(at(0), single, BODY);
    let many: Vec<_> = (0..6).map(|_| crowd.open(at(10), Some(caller(2)))).collect();
    for id in &many {
        crowd.receive(at(10), *id, BODY);
    }
    let new = crowd.open(at(1_000), Some(caller(3)));
    assert!(crowd.receive(at(1_000), new, BODY));
    assert_eq!(crowd.evicted.len(), 1);
    assert!(crowd.evicted.is_subset(&many.into_iter().collect()));
}

/// Guards against running work that fails because bodies that are arriving hold the memory.
#[test]
fn running_work_evicts_arriving_bodies_and_is_not_evicted() {
    let mut crowd = Crowd::new();
    let ids: Vec<_> = (0..7).map(|_| crowd.open(at(0), Some(caller(1)))).collect();
    for id in &ids {
        crowd.receive(at(0), *id, BODY);
    }
    let mut answers = Vec::new();
    for _ in 0..8 {
        let answer = crowd.ledger.open(at(0), ledger::Purpose::Answer, None);
        assert!(crowd.ledger.resize(at(0), answer, BODY).is_granted);
        answers.push(answer);
    }
    let arriving = crowd.ledger.open(at(9_000), ledger::Purpose::Arriving, Some(caller(2)));
    assert!(!crowd.ledger.resize(at(9_000), arriving, BODY).is_granted, "answers are not evicted");
    assert!(crowd.ledger.resize(at(9_000), arriving, 1_000).is_granted, "small bodies have room");
    let small = crowd.ledger.open(at(9_000), ledger::Purpose::Answer, None);
    assert!(crowd.ledger.resize(at(9_000), small, 60_000).is_granted, "and so have small answers");
}

/// Guards against small answers that fail because large ones take all memory for answers, and against
/// shares that are not given back.
#[test]
fn memory_budget_leaves_small_answers_alone() {
    let budget = budget_of(1_000_000);
    let share = || budget.share(ledger::Purpose::Answer, None);
    let (mut large, mut other, mut small) = (share(), share(), share());
    assert!(large.resize(800_000).is_ok());
    assert!(other.resize(800_000).is_err(), "the budget is shared");
    assert!(other.resize(60_000).is_ok() && small.resize(60_000).is_ok());
    assert!(
        large.resize(60_000).is_ok() && other.resize(700_000).is_ok(),
        "what is free is shared"
    );
    drop(other);
    assert!(large.resize(800_000).is_ok());
    assert!(large.resize(2_000_000).is_err() && large.resize(800_000).is_ok());
}

/// Guards against upstreams that send without an end and fill the budget of a large instance.
#[test]
fn answers_being_received_have_a_bound_of_their_own() {
    let mut ledger = ledger::Ledger::new(10 * TOTAL);
    let mut received = 0;
    for _ in 0..20 {
        let answer = ledger.open(at(0), ledger::Purpose::Receiving, None);
        received += usize::from(ledger.resize(at(0), answer, BODY).is_granted);
    }
    assert_eq!(received, 8);
    let small = ledger.open(at(0), ledger::Purpose::Receiving, None);
    assert!(ledger.resize(at(0), small, 60_000).is_granted);
}

/// Guards against bytes whose share ends while they are still referenced, for example by a socket.
#[test]
fn share_ends_with_the_last_reference() {
    let budget = budget_of(1_000_000);
    let mut share = budget.share(ledger::Purpose::Arriving, None);
    share.append(&vec![1; 700_000], 700_000).expect("room");
    let body = share.into_bytes(ledger::Purpose::Kept).expect("not evicted");
    let part = body.slice(10..20);
    drop(body);
    let mut other = budget.share(ledger::Purpose::Answer, None);
    assert!(other.resize(700_000).is_err());
    drop(part);
    assert!(other.resize(700_000).is_ok());
}

/// Guards against a buffer that is kept after its holder was evicted.
#[test]
fn evicted_share_holds_no_bytes() {
    let budget = budget_of(1_000_000);
    let mut body = budget.share(ledger::Purpose::Arriving, Some(caller(1)));
    body.append(&vec![1; 700_000], 700_000).expect("room");
    let mut answer = budget.share(ledger::Purpose::Answer, None);
    assert!(answer.resize(800_000).is_ok());
    assert!(body.append(&[1], 700_000).is_err());
    assert!(body.into_bytes(ledger::Purpose::Kept).is_err());
}

/// Guards against limits that refuse a single body or answer of legal size on the smallest instance.
#[test]
fn smallest_instance_has_room_for_legal_sizes() {
    let capacity =
        gateway_settings::Capacity { memory_mb: 120, max_files: 3_075, ..Default::default() };
    let limits = memory_budget::Limits::new(capacity);
    assert!(limits.callers + limits.peers < capacity.max_files / 2 + limits.peers);
    assert!(limits.callers >= 1_000 && limits.peers >= 300, "{limits:?}");
    let budget = memory_budget::Budget::new(capacity);
    let mut body = budget.share(ledger::Purpose::Arriving, Some(caller(1)));
    body.append(&vec![1; BODY], BODY).expect("a body of legal size");
    let _body = body.into_bytes(ledger::Purpose::Kept).expect("not evicted");
    let mut answer = budget.share(ledger::Purpose::Answer, None);
    assert!(answer.resize(8 << 20).is_ok(), "the largest answer");
}

quickcheck::quickcheck! {
    /// Guards against a ledger that exceeds its total or evicts anything but arriving bodies.
    fn ledger_stays_within_its_total(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut ledger = ledger::Ledger::new(10_000_000);
        let mut holders = collections::BTreeMap::new();
        for (step, (number, purpose, kilobytes)) in steps.into_iter().enumerate() {
            let now = at(step as u64 * 50);
            let purposes = [ledger::Purpose::Arriving, ledger::Purpose::Kept, ledger::Purpose::Answer];
            let purpose = purposes[usize::from(purpose % 3)];
            let (id, purpose) = *holders
                .entry(number % 16)
                .or_insert_with(|| (ledger.open(now, purpose, Some(caller(number % 4))), purpose));
            let grant = ledger.resize(now, id, usize::from(kilobytes) * 100);
            if purpose != ledger::Purpose::Arriving && grant.evicted.contains(&id) {
                return false;
            }
            let kept = |id: &ledger::HolderId| {
                holders.values().any(|(other, purpose)| {
                    other == id && *purpose != ledger::Purpose::Arriving
                })
            };
            if grant.evicted.iter().any(kept) || ledger.used() > ledger.total() {
                return false;
            }
            holders.retain(|_, (id, _)| !grant.evicted.contains(id));
        }
        for (id, _) in holders.into_values() {
            ledger.close(id);
        }
        ledger.used() == 0
    }
}

/// Guards against a new connection that closes one whose request is running, or an idle one while others
/// are inside a body.
#[test]
fn connection_that_waited_longest_makes_way() {
    use connections::{Admission, ConnectionId, State};
    let mut open = connections::Connections::new(4);
    for number in 0..4 {
        assert_eq!(open.admit(at(number), ConnectionId(number)), Admission::Admitted);
    }
    open.set_state(at(10), ConnectionId(0), State::Running);
    open.set_state(at(20), ConnectionId(1), State::Idle);
    let admit =
        |open: &mut connections::Connections, number| open.admit(at(1_000), ConnectionId(number));
    assert_eq!(admit(&mut open, 4), Admission::InPlaceOf(ConnectionId(2)));
    assert_eq!(admit(&mut open, 5), Admission::Refused, "only an eighth may be closing");
    open.remove(ConnectionId(2));
    assert_eq!(admit(&mut open, 6), Admission::InPlaceOf(ConnectionId(3)));
    open.remove(ConnectionId(3));
    open.set_state(at(1_000), ConnectionId(4), State::Running);
    open.set_state(at(1_000), ConnectionId(6), State::Running);
    assert_eq!(admit(&mut open, 7), Admission::InPlaceOf(ConnectionId(1)), "the idle one");
    open.set_state(at(1_001), ConnectionId(1), State::Running);
    open.remove(ConnectionId(1));
    open.set_state(at(1_001), ConnectionId(7), State::Running);
    assert_eq!(admit(&mut open, 8), Admission::Refused, "all are running");
    assert_eq!(open.count(), 4);
}
