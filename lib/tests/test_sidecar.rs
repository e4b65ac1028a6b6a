//! Reducer of the sidecar with duplicate, lost and late messages, and after restarts.

use std::collections;
use std::sync;
use std::time;

use bramleyshelf_lib::{attempt, check, claim, clock, config, id, key, refusal, sidecar, wire};

const CONFIG_TEXT: &str = include_str!("../../examples/takbaerer.json");
const DIGEST: [u8; 32] = [1; 32];
const START_WALL: time::Duration = time::Duration::from_secs(1_700_000_000);
const INCARNATION: id::Incarnation = id::Incarnation(77);

/// A sidecar with a simulated clock, and all effects that it has emitted.
struct Harness {
    sidecar: sidecar::Sidecar,
    now: clock::Now,
    effects: Vec<sidecar::Effect>,
}

fn configuration() -> config::Config {
    check::parse(CONFIG_TEXT).expect("the example is valid")
}

impl Harness {
    fn new(service: &str) -> Self {
        Self::with_config(service, configuration())
    }

    fn with_config(service: &str, config: config::Config) -> Self {
        let identity = sidecar::Identity {
            instance: "sidecar-0".parse().expect("valid"),
            service: service.parse().expect("valid"),
            address: ([127, 0, 0, 1], 9_000).into(),
            incarnation: INCARNATION,
        };
        let start = time::Duration::from_secs(1_000);
        let now = clock::Now { mono: start, wall: START_WALL };
        let mut harness =
            Self { sidecar: sidecar::Sidecar::new(identity), now, effects: Vec::new() };
        let config = sync::Arc::new(config);
        harness.step(sidecar::Event::Configured(config, id::Revision(5)));
        harness
    }

    /// Grants the sidecar a lease and makes it the first owner of all ranges.
    fn with_all_ranges(mut self) -> Self {
        self.step(sidecar::Event::Tick);
        let lease = claim::Reply::LeaseGranted {
            id: 1,
            requested_at: self.now,
            ttl: time::Duration::from_secs(15),
        };
        self.step(sidecar::Event::Ownership(lease));
        let ranges: Vec<_> = (0..key::RANGE_COUNT).collect();
        let claimed = claim::Reply::Claimed {
            lease: 1,
            ranges,
            fence: id::FencingToken(9),
            never_owned: true,
        };
        self.step(sidecar::Event::Ownership(claimed));
        self
    }

    fn step(&mut self, event: sidecar::Event) {
        self.sidecar.step(self.now, event, &mut self.effects);
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now.after(time::Duration::from_millis(millis));
        self.step(sidecar::Event::Tick);
    }

    fn open(&mut self, conn: u64, attempt: u128) {
        self.open_message(conn, message(attempt), DIGEST);
    }

    fn open_message(&mut self, conn: u64, open: wire::OpenAttempt, digest: [u8; 32]) {
        let conn = attempt::ConnId(conn);
        self.step(sidecar::Event::Open { conn, open, digest });
    }

    fn open_key(&mut self, conn: u64, attempt: u128, text: &str, digest: [u8; 32]) {
        let range = key::range_of(text);
        let key = wire::Key { text: text.to_owned(), range, fence: id::FencingToken(0) };
        let sent = self.now.wall.into();
        let open = wire::OpenAttempt { key: Some(key), sent, ..message(attempt) };
        self.open_message(conn, open, digest);
    }

    fn attach(&mut self, conn: u64, attempt: u128, incarnation: Option<id::Incarnation>) {
        let attach = wire::AttachAttempt {
            version: wire::MAJOR_VERSION,
            attempt: id::AttemptId(attempt),
            incarnation,
            offset: 0,
        };
        self.step(sidecar::Event::Attach { conn: attempt::ConnId(conn), attach });
    }

    fn start_count(&self, attempt: u128) -> usize {
        let starts = self.effects.iter().filter(
            |effect| matches!(effect, sidecar::Effect::Start { attempt: a, .. } if a.0 == attempt),
        );
        starts.count()
    }

    fn is_aborted(&self, attempt: u128) -> bool {
        self.effects.iter().any(|e| matches!(e, sidecar::Effect::Abort(a) if a.0 == attempt))
    }

    /// Returns the refusal that was sent to a connection.
    fn refusal(&self, conn: u64) -> Option<(refusal::Kind, refusal::Ran)> {
        self.effects.iter().find_map(|effect| match effect {
            sidecar::Effect::Refuse(c, refused) if c.0 == conn => Some((refused.kind, refused.ran)),
            _ => None,
        })
    }

    /// Returns the refusal that was sent to all connections of an attempt.
    fn failure(&self, attempt: u128) -> Option<(refusal::Kind, refusal::Ran)> {
        self.effects.iter().find_map(|effect| match effect {
            sidecar::Effect::Fail(a, refused) if a.0 == attempt => {
                Some((refused.kind, refused.ran))
            }
            _ => None,
        })
    }

    /// Returns the attempt whose answer is sent to a connection.
    fn subscription(&self, conn: u64) -> Option<u128> {
        self.effects.iter().find_map(|effect| match effect {
            sidecar::Effect::Subscribe { conn: c, attempt, .. } if c.0 == conn => Some(attempt.0),
            _ => None,
        })
    }
}

fn message(attempt: u128) -> wire::OpenAttempt {
    wire::OpenAttempt {
        version: wire::MAJOR_VERSION,
        request: id::RequestId(attempt),
        attempt: id::AttemptId(attempt),
        sender: ([127, 0, 0, 1], 8_000).into(),
        incarnation: Some(INCARNATION),
        budget: time::Duration::from_secs(5).into(),
        sent: START_WALL.into(),
        team: "counter".parse().expect("valid"),
        revision: id::Revision(5),
        offset: 0,
        key: None,
        acks: Vec::new(),
    }
}

use refusal::{Kind, Ran};

#[test]
fn duplicate_open_starts_once() {
    // An entry whose connection broke may send the message of an attempt again.
    let mut harness = Harness::new("deposits");
    harness.open(1, 10);
    harness.open(2, 10);
    assert_eq!(harness.start_count(10), 1);
    assert_eq!(harness.subscription(2), Some(10));
}

#[test]
fn attach_before_open_tombstones_late_copy() {
    // The entry asks about an attempt whose message is delayed, and is told that it did not run.
    // When the message arrives, the attempt must not run.
    let mut harness = Harness::new("deposits");
    harness.attach(1, 10, Some(INCARNATION));
    harness.open(2, 10);
    assert_eq!(harness.refusal(1), Some((Kind::Tombstoned, Ran::No)));
    assert_eq!(harness.refusal(2), Some((Kind::Tombstoned, Ran::No)));
    assert_eq!(harness.start_count(10), 0);
}

#[test]
fn attach_to_other_incarnation_is_unknown() {
    // A restarted sidecar has lost its ledger, and cannot tell what ran before the restart.
    let cases = [None, Some(id::Incarnation(1))];
    for (conn, incarnation) in (1..).zip(cases) {
        let mut harness = Harness::new("deposits");
        harness.attach(conn, 10, incarnation);
        assert_eq!(harness.refusal(conn), Some((Kind::WrongIncarnation, Ran::Unknown)));
    }
}

#[test]
fn open_for_other_incarnation_is_not_run() {
    let cases = [
        ("deposits", None, Some((Kind::WrongIncarnation, Ran::No))),
        ("deposits", Some(id::Incarnation(1)), Some((Kind::WrongIncarnation, Ran::No))),
        ("deposits", Some(INCARNATION), None),
        ("encoder", None, None),
        ("encoder", Some(id::Incarnation(1)), Some((Kind::WrongIncarnation, Ran::No))),
    ];
    for (service, incarnation, expected) in cases {
        let mut harness = Harness::new(service);
        harness.open_message(1, wire::OpenAttempt { incarnation, ..message(10) }, DIGEST);
        assert_eq!(harness.refusal(1), expected, "{service} {incarnation:?}");
        assert_eq!(harness.start_count(10), usize::from(expected.is_none()));
    }
}

#[test]
fn late_copy_is_refused_after_ledger_expired() {
    // After its instance was suspended, a sidecar can receive a copy of an attempt that is older
    // than all entries of its ledger.
    let mut harness = Harness::new("deposits");
    harness.attach(1, 10, Some(INCARNATION));
    for _ in 0..60 {
        harness.advance(1_000);
    }
    harness.open(2, 10);
    assert_eq!(harness.refusal(1), Some((Kind::Tombstoned, Ran::No)));
    assert_eq!(harness.refusal(2), Some((Kind::Stale, Ran::No)));
    assert_eq!(harness.start_count(10), 0);
}

#[test]
fn open_with_other_version_is_refused() {
    let mut harness = Harness::new("encoder");
    harness.open_message(
        1,
        wire::OpenAttempt { version: wire::MAJOR_VERSION + 1, ..message(10) },
        DIGEST,
    );
    assert_eq!(harness.refusal(1), Some((Kind::VersionMismatch, Ran::No)));
}

/// Starts as many calls as the upstream may run, so that the next attempt is queued.
fn fill_upstream(harness: &mut Harness) -> u128 {
    let limit = u128::from(harness.sidecar.load().limit);
    for number in 0..limit {
        harness.open(100 + number as u64, 100 + number);
    }
    limit
}

#[test]
fn queued_attempt_past_deadline_never_runs() {
    // The caller has been told that the attempt did not run, so neither a free slot nor a copy may
    // start it.
    let mut harness = Harness::new("deposits");
    fill_upstream(&mut harness);
    harness.open(1, 10);
    harness.advance(6_000);
    harness.step(sidecar::Event::CallFinished(id::AttemptId(100), 200));
    harness.open(2, 10);
    assert_eq!(harness.failure(10), Some((Kind::DeadlineExceeded, Ran::No)));
    assert_eq!(harness.refusal(2), Some((Kind::Tombstoned, Ran::No)));
    assert_eq!(harness.start_count(10), 0);
}

#[test]
fn cancel_table() {
    // Service, whether the attempt is queued, whether it is aborted, and its refusal.
    let cases = [
        ("deposits", true, false, Some((Kind::Cancelled, Ran::No))),
        ("deposits", false, false, None),
        ("encoder", true, false, Some((Kind::Cancelled, Ran::No))),
        ("encoder", false, true, Some((Kind::Cancelled, Ran::Unknown))),
    ];
    for (service, is_queued, is_aborted, failure) in cases {
        let mut harness = Harness::new(service);
        if is_queued {
            fill_upstream(&mut harness);
        }
        harness.open(1, 10);
        harness.step(sidecar::Event::Cancel(id::AttemptId(10)));
        assert_eq!(harness.is_aborted(10), is_aborted, "{service} queued={is_queued}");
        assert_eq!(harness.failure(10), failure, "{service} queued={is_queued}");
    }
}

#[test]
fn cancel_before_open_tombstones_late_copy() {
    // The cancellation overtakes the message of the attempt.
    let mut harness = Harness::new("encoder");
    harness.step(sidecar::Event::Cancel(id::AttemptId(10)));
    harness.open(1, 10);
    assert_eq!(harness.start_count(10), 0);
}

#[test]
fn orphaned_repeatable_call_is_aborted_after_grace() {
    let cases = [("encoder", true), ("deposits", false)];
    for (service, is_aborted) in cases {
        let mut harness = Harness::new(service);
        harness.open(1, 10);
        harness.step(sidecar::Event::ConnectionClosed(attempt::ConnId(1)));
        harness.advance(2_000);
        assert!(!harness.is_aborted(10), "within the grace");
        harness.advance(1_500);
        assert_eq!(harness.is_aborted(10), is_aborted, "{service}");
    }
}

#[test]
fn finished_call_is_replayed_until_acknowledged() {
    let mut harness = Harness::new("deposits");
    harness.open(1, 10);
    harness.step(sidecar::Event::CallFinished(id::AttemptId(10), 200));
    harness.attach(2, 10, Some(INCARNATION));
    assert_eq!(harness.subscription(2), Some(10));
    harness.open_message(
        3,
        wire::OpenAttempt { acks: vec![id::AttemptId(10)], ..message(11) },
        DIGEST,
    );
    harness.attach(4, 10, Some(INCARNATION));
    assert_eq!(harness.refusal(4), Some((Kind::AnswerDropped, Ran::Yes)));
}

#[test]
fn failed_call_reports_whether_it_ran() {
    let cases = [
        (sidecar::CallError::NotSent, Kind::UpstreamUnreachable, Ran::No),
        (sidecar::CallError::Broken, Kind::UpstreamBroken, Ran::Unknown),
    ];
    for (error, kind, ran) in cases {
        let mut harness = Harness::new("deposits");
        harness.open(1, 10);
        harness.step(sidecar::Event::CallFailed(id::AttemptId(10), error));
        assert_eq!(harness.failure(10), Some((kind, ran)));
        harness.attach(2, 10, Some(INCARNATION));
        assert_eq!(harness.refusal(2), Some((kind, ran)), "on a later attach");
    }
}

#[test]
fn full_ledger_refuses_and_leaves_outcome_unknown() {
    // Without room for a tombstone, a late copy could run after the refusal of an attach.
    let mut config = configuration();
    config.limits.ledger_entries = 2;
    let mut harness = Harness::with_config("deposits", config);
    harness.open(1, 10);
    harness.open(2, 11);
    harness.open(3, 12);
    assert_eq!(harness.refusal(3), Some((Kind::LedgerFull, Ran::No)));
    harness.attach(4, 13, Some(INCARNATION));
    assert_eq!(harness.refusal(4), Some((Kind::LedgerFull, Ran::Unknown)));
}

#[test]
fn kept_answers_are_bounded() {
    let mut config = configuration();
    config.limits.kept_bytes.0 = 1_000;
    let mut harness = Harness::with_config("deposits", config);
    for attempt in [10, 11] {
        harness.open(attempt as u64, attempt);
        harness.step(sidecar::Event::Progress(id::AttemptId(attempt), 600));
        harness.step(sidecar::Event::CallFinished(id::AttemptId(attempt), 200));
    }
    harness.attach(20, 10, Some(INCARNATION));
    assert_eq!(harness.refusal(20), Some((Kind::AnswerDropped, Ran::Yes)));
    harness.attach(21, 11, Some(INCARNATION));
    assert_eq!(harness.subscription(21), Some(11));
}

#[test]
fn too_large_answer_fails() {
    let mut harness = Harness::new("encoder");
    harness.open(1, 10);
    harness.step(sidecar::Event::Progress(id::AttemptId(10), 4_000_001));
    assert_eq!(harness.failure(10), Some((Kind::AnswerTooLarge, Ran::Yes)));
    assert!(harness.is_aborted(10));
}

#[test]
fn drain_refuses_new_work_and_finishes_old() {
    for cause in [
        sidecar::DrainCause::Configuration,
        sidecar::DrainCause::InstanceList,
        sidecar::DrainCause::Signal,
    ] {
        let mut harness = Harness::new("encoder");
        harness.open(1, 10);
        harness.step(sidecar::Event::Drain(cause, true));
        harness.open(2, 11);
        assert_eq!(harness.refusal(2), Some((Kind::Draining, Ran::No)), "{cause}");
        assert!(!harness.sidecar.is_drained(), "{cause}");
        harness.step(sidecar::Event::CallFinished(id::AttemptId(10), 200));
        assert!(harness.sidecar.is_drained(), "{cause}");
        assert!(!harness.is_aborted(10), "{cause}");
    }
}

#[test]
fn drain_by_instance_list_ends_when_not_repeated() {
    // Entries repeat that the instance list shows the sidecar as leaving. If they stop, the list
    // has changed, and the sidecar must accept work again.
    let mut harness = Harness::new("encoder");
    harness.step(sidecar::Event::Drain(sidecar::DrainCause::InstanceList, true));
    harness.advance(20_000);
    harness.step(sidecar::Event::Drain(sidecar::DrainCause::InstanceList, true));
    harness.advance(20_000);
    assert!(harness.sidecar.is_draining());
    harness.advance(11_000);
    assert!(!harness.sidecar.is_draining());
}

#[test]
fn key_joins_running_call_and_gets_its_answer_later() {
    let mut harness = Harness::new("bookings").with_all_ranges();
    harness.open_key(1, 10, "counter/a", DIGEST);
    harness.open_key(2, 11, "counter/a", DIGEST);
    assert_eq!(harness.subscription(2), Some(10));
    harness.step(sidecar::Event::CallFinished(id::AttemptId(10), 200));
    harness.open_key(3, 12, "counter/a", DIGEST);
    assert_eq!(harness.subscription(3), Some(10));
    harness.attach(4, 12, Some(INCARNATION));
    assert_eq!(
        harness.subscription(4),
        Some(10),
        "an attach to the joined attempt gets the first one's answer"
    );
    assert_eq!(
        (harness.start_count(10), harness.start_count(11), harness.start_count(12)),
        (1, 0, 0)
    );
}

#[test]
fn key_with_other_body_is_refused() {
    let mut harness = Harness::new("bookings").with_all_ranges();
    harness.open_key(1, 10, "counter/a", DIGEST);
    harness.open_key(2, 11, "counter/a", [9; 32]);
    assert_eq!(harness.refusal(2), Some((Kind::KeyMismatch, Ran::No)));
}

#[test]
fn key_runs_again_only_after_call_that_did_not_run() {
    let cases = [
        (sidecar::CallError::NotSent, 1, None),
        (sidecar::CallError::Broken, 0, Some((Kind::UpstreamBroken, Ran::Unknown))),
    ];
    for (error, start_count, refusal) in cases {
        let mut harness = Harness::new("bookings").with_all_ranges();
        harness.open_key(1, 10, "counter/a", DIGEST);
        harness.step(sidecar::Event::CallFailed(id::AttemptId(10), error));
        harness.open_key(2, 11, "counter/a", DIGEST);
        assert_eq!(harness.start_count(11), start_count, "{error:?}");
        assert_eq!(harness.refusal(2), refusal, "{error:?}");
    }
}

#[test]
fn key_without_ownership_is_refused() {
    // The range may have another owner, which may have run the key.
    let mut harness = Harness::new("bookings");
    harness.open_key(1, 10, "counter/a", DIGEST);
    assert_eq!(harness.refusal(1), Some((Kind::LeaseLapsed, Ran::No)));
    assert_eq!(harness.start_count(10), 0);
}

#[test]
fn key_after_lapsed_lease_is_refused_on_either_clock() {
    // The monotonic clock may stop while an instance is suspended, and the wall clock may be set
    // back. Neither may make a lapsed lease look valid.
    let cases =
        [("both", 20_000, 20_000), ("suspended instance", 0, 20_000), ("wall set back", 20_000, 0)];
    for (name, mono, wall) in cases {
        let mut harness = Harness::new("bookings").with_all_ranges();
        harness.open_key(1, 10, "counter/a", DIGEST);
        harness.step(sidecar::Event::CallFinished(id::AttemptId(10), 200));
        harness.now.mono += time::Duration::from_millis(mono);
        harness.now.wall += time::Duration::from_millis(wall);
        harness.open_key(2, 11, "counter/b", DIGEST);
        assert_eq!(harness.refusal(2), Some((Kind::LeaseLapsed, Ran::No)), "{name}");
        harness.open_key(3, 12, "counter/a", DIGEST);
        assert_eq!(
            harness.subscription(3),
            Some(10),
            "{name}: a call that ran is still in the ledger"
        );
    }
}

#[test]
fn key_with_higher_fence_ends_ownership() {
    // The message shows a newer claim of the range, so another sidecar owns it now.
    let mut harness = Harness::new("bookings").with_all_ranges();
    let text = "counter/a";
    let key = wire::Key {
        text: text.to_owned(),
        range: key::range_of(text),
        fence: id::FencingToken(10),
    };
    harness.open_message(1, wire::OpenAttempt { key: Some(key), ..message(10) }, DIGEST);
    assert_eq!(harness.start_count(10), 0);
}

#[test]
fn handover_transfers_ledger() {
    let mut sender = Harness::new("bookings").with_all_ranges();
    sender.open_key(1, 10, "counter/a", DIGEST);
    sender.step(sidecar::Event::CallFinished(id::AttemptId(10), 200));
    let other =
        claim::Member { address: ([127, 0, 0, 1], 9_001).into(), incarnation: id::Incarnation(78) };
    let members = collections::BTreeMap::from([("sidecar-1".parse().expect("valid"), other)]);
    sender.step(sidecar::Event::Drain(sidecar::DrainCause::Signal, true));
    sender.step(sidecar::Event::Ownership(claim::Reply::Snapshot {
        owners: wire::Owners::new(),
        members,
        ever_owned: collections::BTreeSet::new(),
    }));
    // The snapshot has no owners, so the sidecar owns no ranges any more and must not offer any.
    sender.advance(100);
    assert!(!sender.effects.iter().any(|e| matches!(e, sidecar::Effect::HandOver(..))));

    let range = key::range_of("counter/a");
    let record = key::Record {
        digest: DIGEST,
        attempt: id::AttemptId(10),
        expires_at: (sender.now.wall + time::Duration::from_mins(1)).into(),
    };
    let ledger = sidecar::RangeLedger {
        fence: id::FencingToken(9),
        complete_since: bramleyshelf_lib::unit::Millis(0),
        records: collections::BTreeMap::from([("counter/a".to_owned(), record)]),
    };
    let handover = sidecar::Handover {
        version: wire::MAJOR_VERSION,
        ranges: collections::BTreeMap::from([(range, ledger)]),
        answers_kept: collections::BTreeMap::from([(id::AttemptId(10), true)]),
        surplus: false,
    };
    // Without the take, the receiver is no owner and may not run the key either.
    for (taken, start_count) in [(true, 0), (false, 0)] {
        let mut receiver = Harness::new("bookings");
        receiver.step(sidecar::Event::Tick);
        let ttl = time::Duration::from_secs(15);
        let lease = claim::Reply::LeaseGranted { id: 2, requested_at: receiver.now, ttl };
        receiver.step(sidecar::Event::Ownership(lease));
        let sizes = collections::BTreeMap::from([(id::AttemptId(10), 3)]);
        let conn = attempt::ConnId(50);
        receiver.step(sidecar::Event::Offered {
            conn,
            handover: handover.clone(),
            answer_sizes: sizes,
        });
        let fence = id::FencingToken(12);
        let reply = if taken {
            claim::Reply::Taken { lease: 2, ranges: vec![range], fence, offered: true }
        } else {
            claim::Reply::TakeFailed
        };
        receiver.step(sidecar::Event::Ownership(reply));
        let is_accepted = receiver.effects.iter().find_map(|effect| match effect {
            sidecar::Effect::OfferResult(c, accepted) if *c == conn => Some(*accepted),
            _ => None,
        });
        assert_eq!(is_accepted, Some(taken));
        receiver.open_key(1, 11, "counter/a", DIGEST);
        assert_eq!(receiver.start_count(11), start_count, "taken={taken}");
        assert_eq!(receiver.subscription(1), taken.then_some(10), "taken={taken}");
    }
}

#[test]
fn claim_under_lost_lease_is_ignored() {
    // The store deletes claims together with their lease, so a late reply to a claim must not make
    // this sidecar an owner.
    let mut harness = Harness::new("bookings");
    harness.step(sidecar::Event::Tick);
    let claimed = claim::Reply::Claimed {
        lease: 1,
        ranges: (0..key::RANGE_COUNT).collect(),
        fence: id::FencingToken(9),
        never_owned: false,
    };
    harness.step(sidecar::Event::Ownership(claimed));
    assert_eq!(harness.sidecar.owned_count(), 0);
}

/// One step of a random run.
#[derive(Clone, Copy, Debug)]
enum Action {
    Open(u8),
    Attach(u8),
    Cancel(u8),
    Close(u8),
    Finish(u8),
    BreakCall(u8),
    NotSent(u8),
    Advance(u16),
    Drain(bool),
}

impl quickcheck::Arbitrary for Action {
    fn arbitrary(g: &mut quickcheck::Gen) -> Self {
        let attempt = u8::arbitrary(g) % 6;
        match u8::arbitrary(g) % 12 {
            0..=3 => Self::Open(attempt),
            4 => Self::Attach(attempt),
            5 => Self::Cancel(attempt),
            6 => Self::Close(u8::arbitrary(g)),
            7 | 8 => Self::Finish(attempt),
            9 => Self::BreakCall(attempt),
            10 => Self::NotSent(attempt),
            _ if bool::arbitrary(g) => Self::Advance(u16::arbitrary(g) % 7_000),
            _ => Self::Drain(bool::arbitrary(g)),
        }
    }
}

fn run_actions(service: &str, actions: &[Action]) -> Harness {
    let mut config = configuration();
    for service in config.services.values_mut() {
        service.concurrency = 2;
    }
    let mut harness = Harness::with_config(service, config);
    for (conn, action) in (1_u64..).zip(actions) {
        let id = |attempt: u8| id::AttemptId(u128::from(attempt));
        match *action {
            Action::Open(attempt) => harness.open(conn, u128::from(attempt)),
            Action::Attach(attempt) => harness.attach(conn, u128::from(attempt), Some(INCARNATION)),
            Action::Cancel(attempt) => harness.step(sidecar::Event::Cancel(id(attempt))),
            Action::Close(c) => {
                harness.step(sidecar::Event::ConnectionClosed(attempt::ConnId(u64::from(c))));
            }
            Action::Finish(attempt) => harness.step(sidecar::Event::CallFinished(id(attempt), 200)),
            Action::BreakCall(attempt) => {
                harness.step(sidecar::Event::CallFailed(id(attempt), sidecar::CallError::Broken));
            }
            Action::NotSent(attempt) => {
                harness.step(sidecar::Event::CallFailed(id(attempt), sidecar::CallError::NotSent));
            }
            Action::Advance(millis) => harness.advance(u64::from(millis)),
            Action::Drain(on) => {
                harness.step(sidecar::Event::Drain(sidecar::DrainCause::Signal, on));
            }
        }
    }
    harness
}

/// Whether an attempt was reported as not run although it was started, except for calls of which no
/// byte was sent.
fn has_false_not_run(harness: &Harness) -> bool {
    let mut started = collections::BTreeSet::new();
    let mut not_run = collections::BTreeSet::new();
    for effect in &harness.effects {
        match effect {
            sidecar::Effect::Start { attempt, .. } => {
                started.insert(*attempt);
                if not_run.contains(attempt) {
                    return true;
                }
            }
            sidecar::Effect::Fail(attempt, refused) if refused.ran == Ran::No => {
                if started.contains(attempt) && refused.kind != Kind::UpstreamUnreachable {
                    return true;
                }
                not_run.insert(*attempt);
            }
            _ => {}
        }
    }
    false
}

quickcheck::quickcheck! {
    fn random_events_never_start_twice(actions: Vec<Action>, is_once_only: bool) -> bool {
        let harness = run_actions(if is_once_only { "deposits" } else { "encoder" }, &actions);
        (0..6).all(|attempt| harness.start_count(attempt) <= 1)
    }

    fn random_events_never_report_started_as_not_run(
        actions: Vec<Action>,
        is_once_only: bool
    ) -> bool {
        !has_false_not_run(&run_actions(
            if is_once_only { "deposits" } else { "encoder" },
            &actions
        ))
    }

    fn random_events_answer_every_connection(actions: Vec<Action>) -> bool {
        let harness = run_actions("encoder", &actions);
        (1_u64..).zip(&actions).all(|(conn, action)| match action {
            Action::Open(_) | Action::Attach(_) => {
                harness.refusal(conn).is_some() != harness.subscription(conn).is_some()
            }
            _ => true,
        })
    }

    fn random_events_respect_concurrency_limit(actions: Vec<Action>) -> bool {
        let harness = run_actions("encoder", &actions);
        let load = harness.sidecar.load();
        load.running <= 2 && harness.sidecar.open_count() >= load.running as usize
    }
}
