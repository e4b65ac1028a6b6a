//! Reducer of the sidecar under duplicates, losses, late copies and restarts.

use std::collections;
use std::sync;
use std::time;

use bramleyshelf_lib::{attempt, check, claim, clock, config, id, key, refusal, sidecar, wire};

const TEXT: &str = include_str!("../../examples/takbaerer.json");
const DIGEST: [u8; 32] = [1; 32];
const START_WALL: time::Duration = time::Duration::from_secs(1_700_000_000);
const ME: id::Incarnation = id::Incarnation(77);

/// A sidecar with a clock, and what it asked the shell to do.
struct Bench {
    sidecar: sidecar::Sidecar,
    now: clock::Now,
    effects: Vec<sidecar::Effect>,
}

fn configuration() -> config::Config {
    check::parse(TEXT).expect("the example is valid")
}

impl Bench {
    fn new(service: &str) -> Self {
        Self::with_config(service, configuration())
    }

    fn with_config(service: &str, config: config::Config) -> Self {
        let identity = sidecar::Identity {
            instance: "sidecar-0".parse().expect("valid"),
            service: service.parse().expect("valid"),
            address: ([127, 0, 0, 1], 9_000).into(),
            incarnation: ME,
        };
        let start = time::Duration::from_secs(1_000);
        let now = clock::Now { mono: start, wall: START_WALL };
        let mut bench = Self { sidecar: sidecar::Sidecar::new(identity), now, effects: Vec::new() };
        let config = sync::Arc::new(config);
        bench.step(sidecar::Event::Configured(config, id::Revision(5)));
        bench
    }

    /// Makes the sidecar the first owner of all ranges.
    fn own_all(mut self) -> Self {
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

    fn pass(&mut self, millis: u64) {
        self.now = self.now.after(time::Duration::from_millis(millis));
        self.step(sidecar::Event::Tick);
    }

    fn open(&mut self, conn: u64, attempt: u128) {
        self.open_as(conn, message(attempt), DIGEST);
    }

    fn open_as(&mut self, conn: u64, open: wire::OpenAttempt, digest: [u8; 32]) {
        let conn = attempt::ConnId(conn);
        self.step(sidecar::Event::Open { conn, open, digest });
    }

    fn open_key(&mut self, conn: u64, attempt: u128, text: &str, digest: [u8; 32]) {
        let range = key::range_of(text);
        let key = wire::Key { text: text.to_owned(), range, fence: id::FencingToken(0) };
        let sent = self.now.wall.into();
        let open = wire::OpenAttempt { key: Some(key), sent, ..message(attempt) };
        self.open_as(conn, open, digest);
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

    fn starts(&self, attempt: u128) -> usize {
        let hits = self.effects.iter().filter(
            |effect| matches!(effect, sidecar::Effect::Start { attempt: a, .. } if a.0 == attempt),
        );
        hits.count()
    }

    fn aborted(&self, attempt: u128) -> bool {
        self.effects.iter().any(|e| matches!(e, sidecar::Effect::Abort(a) if a.0 == attempt))
    }

    /// Returns what a connection was refused with.
    fn refusal(&self, conn: u64) -> Option<(refusal::Kind, refusal::Ran)> {
        self.effects.iter().find_map(|effect| match effect {
            sidecar::Effect::Refuse(c, refused) if c.0 == conn => Some((refused.kind, refused.ran)),
            _ => None,
        })
    }

    /// Returns how an attempt failed for those who wait for it.
    fn failure(&self, attempt: u128) -> Option<(refusal::Kind, refusal::Ran)> {
        self.effects.iter().find_map(|effect| match effect {
            sidecar::Effect::Fail(a, refused) if a.0 == attempt => {
                Some((refused.kind, refused.ran))
            }
            _ => None,
        })
    }

    /// Returns the attempt whose answer a connection gets.
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
        incarnation: Some(ME),
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
fn open_starts_once_for_two_copies() {
    let mut bench = Bench::new("deposits");
    bench.open(1, 10);
    bench.open(2, 10);
    assert_eq!(bench.starts(10), 1);
    assert_eq!(bench.subscription(2), Some(10));
}

#[test]
fn attach_before_open_tombstones_late_copy() {
    let mut bench = Bench::new("deposits");
    bench.attach(1, 10, Some(ME));
    bench.open(2, 10);
    assert_eq!(bench.refusal(1), Some((Kind::Tombstoned, Ran::No)));
    assert_eq!(bench.refusal(2), Some((Kind::Tombstoned, Ran::No)));
    assert_eq!(bench.starts(10), 0);
}

#[test]
fn attach_to_other_life_is_unknown() {
    let cases = [None, Some(id::Incarnation(1))];
    for (conn, incarnation) in (1..).zip(cases) {
        let mut bench = Bench::new("deposits");
        bench.attach(conn, 10, incarnation);
        assert_eq!(bench.refusal(conn), Some((Kind::WrongIncarnation, Ran::Unknown)));
    }
}

#[test]
fn open_for_other_life_is_not_run() {
    let cases = [
        ("deposits", None, Some((Kind::WrongIncarnation, Ran::No))),
        ("deposits", Some(id::Incarnation(1)), Some((Kind::WrongIncarnation, Ran::No))),
        ("deposits", Some(ME), None),
        ("encoder", None, None),
        ("encoder", Some(id::Incarnation(1)), Some((Kind::WrongIncarnation, Ran::No))),
    ];
    for (service, incarnation, expected) in cases {
        let mut bench = Bench::new(service);
        bench.open_as(1, wire::OpenAttempt { incarnation, ..message(10) }, DIGEST);
        assert_eq!(bench.refusal(1), expected, "{service} {incarnation:?}");
        assert_eq!(bench.starts(10), usize::from(expected.is_none()));
    }
}

#[test]
fn late_copy_is_refused_after_everything_is_forgotten() {
    // A frozen sidecar can find a copy in its socket that is older than all that it remembers.
    let mut bench = Bench::new("deposits");
    bench.attach(1, 10, Some(ME));
    for _ in 0..60 {
        bench.pass(1_000);
    }
    bench.open(2, 10);
    assert_eq!(bench.refusal(1), Some((Kind::Tombstoned, Ran::No)));
    assert_eq!(bench.refusal(2), Some((Kind::Stale, Ran::No)));
    assert_eq!(bench.starts(10), 0);
}

#[test]
fn open_with_other_version_is_refused() {
    let mut bench = Bench::new("encoder");
    bench.open_as(1, wire::OpenAttempt { version: wire::MAJOR_VERSION + 1, ..message(10) }, DIGEST);
    assert_eq!(bench.refusal(1), Some((Kind::VersionMismatch, Ran::No)));
}

/// Fills the upstream, so that the next attempt has to wait.
fn fill(bench: &mut Bench) -> u128 {
    let limit = u128::from(bench.sidecar.load().limit);
    for number in 0..limit {
        bench.open(100 + number as u64, 100 + number);
    }
    limit
}

#[test]
fn queued_attempt_past_deadline_never_runs() {
    let mut bench = Bench::new("deposits");
    fill(&mut bench);
    bench.open(1, 10);
    bench.pass(6_000);
    bench.step(sidecar::Event::CallFinished(id::AttemptId(100), 200));
    bench.open(2, 10);
    assert_eq!(bench.failure(10), Some((Kind::DeadlineExceeded, Ran::No)));
    assert_eq!(bench.refusal(2), Some((Kind::Tombstoned, Ran::No)));
    assert_eq!(bench.starts(10), 0);
}

#[test]
fn cancel_table() {
    // Service, whether the attempt waits, then: whether it is aborted, and how it fails.
    let cases = [
        ("deposits", true, false, Some((Kind::Cancelled, Ran::No))),
        ("deposits", false, false, None),
        ("encoder", true, false, Some((Kind::Cancelled, Ran::No))),
        ("encoder", false, true, Some((Kind::Cancelled, Ran::Unknown))),
    ];
    for (service, waits, aborted, failure) in cases {
        let mut bench = Bench::new(service);
        if waits {
            fill(&mut bench);
        }
        bench.open(1, 10);
        bench.step(sidecar::Event::Cancel(id::AttemptId(10)));
        assert_eq!(bench.aborted(10), aborted, "{service} waits={waits}");
        assert_eq!(bench.failure(10), failure, "{service} waits={waits}");
    }
}

#[test]
fn cancel_before_open_tombstones_late_copy() {
    let mut bench = Bench::new("encoder");
    bench.step(sidecar::Event::Cancel(id::AttemptId(10)));
    bench.open(1, 10);
    assert_eq!(bench.starts(10), 0);
}

#[test]
fn closed_repeatable_call_is_given_up_after_grace() {
    let cases = [("encoder", true), ("deposits", false)];
    for (service, aborted) in cases {
        let mut bench = Bench::new(service);
        bench.open(1, 10);
        bench.step(sidecar::Event::ConnectionClosed(attempt::ConnId(1)));
        bench.pass(2_000);
        assert!(!bench.aborted(10), "within the grace");
        bench.pass(1_500);
        assert_eq!(bench.aborted(10), aborted, "{service}");
    }
}

#[test]
fn finished_call_is_replayed_until_acknowledged() {
    let mut bench = Bench::new("deposits");
    bench.open(1, 10);
    bench.step(sidecar::Event::CallFinished(id::AttemptId(10), 200));
    bench.attach(2, 10, Some(ME));
    assert_eq!(bench.subscription(2), Some(10));
    bench.open_as(3, wire::OpenAttempt { acks: vec![id::AttemptId(10)], ..message(11) }, DIGEST);
    bench.attach(4, 10, Some(ME));
    assert_eq!(bench.refusal(4), Some((Kind::AnswerDropped, Ran::Yes)));
}

#[test]
fn failed_call_tells_whether_it_ran() {
    let cases = [
        (sidecar::CallError::NotSent, Kind::UpstreamUnreachable, Ran::No),
        (sidecar::CallError::Broken, Kind::UpstreamBroken, Ran::Unknown),
    ];
    for (error, kind, ran) in cases {
        let mut bench = Bench::new("deposits");
        bench.open(1, 10);
        bench.step(sidecar::Event::CallFailed(id::AttemptId(10), error));
        assert_eq!(bench.failure(10), Some((kind, ran)));
        bench.attach(2, 10, Some(ME));
        assert_eq!(bench.refusal(2), Some((kind, ran)), "asked later");
    }
}

#[test]
fn full_ledger_refuses_and_never_vouches() {
    let mut config = configuration();
    config.limits.ledger_entries = 2;
    let mut bench = Bench::with_config("deposits", config);
    bench.open(1, 10);
    bench.open(2, 11);
    bench.open(3, 12);
    assert_eq!(bench.refusal(3), Some((Kind::LedgerFull, Ran::No)));
    bench.attach(4, 13, Some(ME));
    assert_eq!(bench.refusal(4), Some((Kind::LedgerFull, Ran::Unknown)));
}

#[test]
fn kept_answers_are_bounded() {
    let mut config = configuration();
    config.limits.kept_bytes.0 = 1_000;
    let mut bench = Bench::with_config("deposits", config);
    for attempt in [10, 11] {
        bench.open(attempt as u64, attempt);
        bench.step(sidecar::Event::Progress(id::AttemptId(attempt), 600));
        bench.step(sidecar::Event::CallFinished(id::AttemptId(attempt), 200));
    }
    bench.attach(20, 10, Some(ME));
    assert_eq!(bench.refusal(20), Some((Kind::AnswerDropped, Ran::Yes)));
    bench.attach(21, 11, Some(ME));
    assert_eq!(bench.subscription(21), Some(11));
}

#[test]
fn too_large_answer_fails() {
    let mut bench = Bench::new("encoder");
    bench.open(1, 10);
    bench.step(sidecar::Event::Progress(id::AttemptId(10), 4_000_001));
    assert_eq!(bench.failure(10), Some((Kind::AnswerTooLarge, Ran::Yes)));
    assert!(bench.aborted(10));
}

#[test]
fn drain_refuses_new_work_and_finishes_old() {
    for cause in [
        sidecar::DrainCause::Configuration,
        sidecar::DrainCause::InstanceList,
        sidecar::DrainCause::Signal,
    ] {
        let mut bench = Bench::new("encoder");
        bench.open(1, 10);
        bench.step(sidecar::Event::Drain(cause, true));
        bench.open(2, 11);
        assert_eq!(bench.refusal(2), Some((Kind::Draining, Ran::No)), "{cause}");
        assert!(!bench.sidecar.is_drained(), "{cause}");
        bench.step(sidecar::Event::CallFinished(id::AttemptId(10), 200));
        assert!(bench.sidecar.is_drained(), "{cause}");
        assert!(!bench.aborted(10), "{cause}");
    }
}

#[test]
fn drain_by_instance_list_ends_when_not_repeated() {
    let mut bench = Bench::new("encoder");
    bench.step(sidecar::Event::Drain(sidecar::DrainCause::InstanceList, true));
    bench.pass(20_000);
    bench.step(sidecar::Event::Drain(sidecar::DrainCause::InstanceList, true));
    bench.pass(20_000);
    assert!(bench.sidecar.is_draining());
    bench.pass(11_000);
    assert!(!bench.sidecar.is_draining());
}

#[test]
fn key_joins_call_in_flight_and_replays_it_later() {
    let mut bench = Bench::new("bookings").own_all();
    bench.open_key(1, 10, "counter/a", DIGEST);
    bench.open_key(2, 11, "counter/a", DIGEST);
    assert_eq!(bench.subscription(2), Some(10));
    bench.step(sidecar::Event::CallFinished(id::AttemptId(10), 200));
    bench.open_key(3, 12, "counter/a", DIGEST);
    assert_eq!(bench.subscription(3), Some(10));
    bench.attach(4, 12, Some(ME));
    assert_eq!(bench.subscription(4), Some(10), "the joined attempt resolves to the first");
    assert_eq!((bench.starts(10), bench.starts(11), bench.starts(12)), (1, 0, 0));
}

#[test]
fn key_with_other_body_is_refused() {
    let mut bench = Bench::new("bookings").own_all();
    bench.open_key(1, 10, "counter/a", DIGEST);
    bench.open_key(2, 11, "counter/a", [9; 32]);
    assert_eq!(bench.refusal(2), Some((Kind::KeyMismatch, Ran::No)));
}

#[test]
fn key_runs_again_only_after_call_that_did_not_run() {
    let cases = [
        (sidecar::CallError::NotSent, 1, None),
        (sidecar::CallError::Broken, 0, Some((Kind::UpstreamBroken, Ran::Unknown))),
    ];
    for (error, starts, refusal) in cases {
        let mut bench = Bench::new("bookings").own_all();
        bench.open_key(1, 10, "counter/a", DIGEST);
        bench.step(sidecar::Event::CallFailed(id::AttemptId(10), error));
        bench.open_key(2, 11, "counter/a", DIGEST);
        assert_eq!(bench.starts(11), starts, "{error:?}");
        assert_eq!(bench.refusal(2), refusal, "{error:?}");
    }
}

#[test]
fn key_without_ownership_is_refused() {
    let mut bench = Bench::new("bookings");
    bench.open_key(1, 10, "counter/a", DIGEST);
    assert_eq!(bench.refusal(1), Some((Kind::LeaseLapsed, Ran::No)));
    assert_eq!(bench.starts(10), 0);
}

#[test]
fn key_after_lapsed_lease_is_refused_on_either_clock() {
    let cases =
        [("both", 20_000, 20_000), ("frozen machine", 0, 20_000), ("wall set back", 20_000, 0)];
    for (name, mono, wall) in cases {
        let mut bench = Bench::new("bookings").own_all();
        bench.open_key(1, 10, "counter/a", DIGEST);
        bench.step(sidecar::Event::CallFinished(id::AttemptId(10), 200));
        bench.now.mono += time::Duration::from_millis(mono);
        bench.now.wall += time::Duration::from_millis(wall);
        bench.open_key(2, 11, "counter/b", DIGEST);
        assert_eq!(bench.refusal(2), Some((Kind::LeaseLapsed, Ran::No)), "{name}");
        bench.open_key(3, 12, "counter/a", DIGEST);
        assert_eq!(bench.subscription(3), Some(10), "{name}: what ran is still known");
    }
}

#[test]
fn key_with_higher_fence_ends_ownership() {
    let mut bench = Bench::new("bookings").own_all();
    let text = "counter/a";
    let key = wire::Key {
        text: text.to_owned(),
        range: key::range_of(text),
        fence: id::FencingToken(10),
    };
    bench.open_as(1, wire::OpenAttempt { key: Some(key), ..message(10) }, DIGEST);
    assert_eq!(bench.starts(10), 0);
}

#[test]
fn handover_passes_ledger_on() {
    let mut giver = Bench::new("bookings").own_all();
    giver.open_key(1, 10, "counter/a", DIGEST);
    giver.step(sidecar::Event::CallFinished(id::AttemptId(10), 200));
    let other =
        claim::Member { address: ([127, 0, 0, 1], 9_001).into(), incarnation: id::Incarnation(78) };
    let members = collections::BTreeMap::from([("sidecar-1".parse().expect("valid"), other)]);
    giver.step(sidecar::Event::Drain(sidecar::DrainCause::Signal, true));
    giver.step(sidecar::Event::Ownership(claim::Reply::Snapshot {
        owners: wire::Owners::new(),
        members,
        ever_owned: collections::BTreeSet::new(),
    }));
    // The view shows no owners, so that the giver owns nothing any more; it must not offer.
    giver.pass(100);
    assert!(!giver.effects.iter().any(|e| matches!(e, sidecar::Effect::HandOver(..))));

    let range = key::range_of("counter/a");
    let record = key::Record {
        digest: DIGEST,
        attempt: id::AttemptId(10),
        expires_at: (giver.now.wall + time::Duration::from_mins(1)).into(),
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
    for (taken, started) in [(true, 0), (false, 0)] {
        let mut taker = Bench::new("bookings");
        taker.step(sidecar::Event::Tick);
        let ttl = time::Duration::from_secs(15);
        let lease = claim::Reply::LeaseGranted { id: 2, requested_at: taker.now, ttl };
        taker.step(sidecar::Event::Ownership(lease));
        let sizes = collections::BTreeMap::from([(id::AttemptId(10), 3)]);
        let conn = attempt::ConnId(50);
        taker.step(sidecar::Event::Offered {
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
        taker.step(sidecar::Event::Ownership(reply));
        let verdict = taker.effects.iter().find_map(|effect| match effect {
            sidecar::Effect::OfferResult(c, verdict) if *c == conn => Some(*verdict),
            _ => None,
        });
        assert_eq!(verdict, Some(taken));
        taker.open_key(1, 11, "counter/a", DIGEST);
        assert_eq!(taker.starts(11), started, "taken={taken}");
        assert_eq!(taker.subscription(1), taken.then_some(10), "taken={taken}");
    }
}

#[test]
fn claim_under_lost_lease_is_ignored() {
    let mut bench = Bench::new("bookings");
    bench.step(sidecar::Event::Tick);
    let claimed = claim::Reply::Claimed {
        lease: 1,
        ranges: (0..key::RANGE_COUNT).collect(),
        fence: id::FencingToken(9),
        never_owned: false,
    };
    bench.step(sidecar::Event::Ownership(claimed));
    assert_eq!(bench.sidecar.owned_count(), 0);
}

/// One step of a random run.
#[derive(Clone, Copy, Debug)]
enum Act {
    Open(u8),
    Attach(u8),
    Cancel(u8),
    Close(u8),
    Finish(u8),
    Break(u8),
    NotSent(u8),
    Pass(u16),
    Drain(bool),
}

impl quickcheck::Arbitrary for Act {
    fn arbitrary(g: &mut quickcheck::Gen) -> Self {
        let attempt = u8::arbitrary(g) % 6;
        match u8::arbitrary(g) % 12 {
            0..=3 => Self::Open(attempt),
            4 => Self::Attach(attempt),
            5 => Self::Cancel(attempt),
            6 => Self::Close(u8::arbitrary(g)),
            7 | 8 => Self::Finish(attempt),
            9 => Self::Break(attempt),
            10 => Self::NotSent(attempt),
            _ if bool::arbitrary(g) => Self::Pass(u16::arbitrary(g) % 7_000),
            _ => Self::Drain(bool::arbitrary(g)),
        }
    }
}

fn play(service: &str, acts: &[Act]) -> Bench {
    let mut config = configuration();
    for service in config.services.values_mut() {
        service.concurrency = 2;
    }
    let mut bench = Bench::with_config(service, config);
    for (conn, act) in (1_u64..).zip(acts) {
        let id = |attempt: u8| id::AttemptId(u128::from(attempt));
        match *act {
            Act::Open(attempt) => bench.open(conn, u128::from(attempt)),
            Act::Attach(attempt) => bench.attach(conn, u128::from(attempt), Some(ME)),
            Act::Cancel(attempt) => bench.step(sidecar::Event::Cancel(id(attempt))),
            Act::Close(c) => {
                bench.step(sidecar::Event::ConnectionClosed(attempt::ConnId(u64::from(c))));
            }
            Act::Finish(attempt) => bench.step(sidecar::Event::CallFinished(id(attempt), 200)),
            Act::Break(attempt) => {
                bench.step(sidecar::Event::CallFailed(id(attempt), sidecar::CallError::Broken));
            }
            Act::NotSent(attempt) => {
                bench.step(sidecar::Event::CallFailed(id(attempt), sidecar::CallError::NotSent));
            }
            Act::Pass(millis) => bench.pass(u64::from(millis)),
            Act::Drain(on) => bench.step(sidecar::Event::Drain(sidecar::DrainCause::Signal, on)),
        }
    }
    bench
}

/// Returns whether some attempt that was told as not run was handed to the upstream, other than in
/// a call of which no byte was sent.
fn lies(bench: &Bench) -> bool {
    let mut started = collections::BTreeSet::new();
    let mut not_run = collections::BTreeSet::new();
    for effect in &bench.effects {
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
    fn random_events_never_start_twice(acts: Vec<Act>, once: bool) -> bool {
        let bench = play(if once { "deposits" } else { "encoder" }, &acts);
        (0..6).all(|attempt| bench.starts(attempt) <= 1)
    }

    fn random_events_never_lie(acts: Vec<Act>, once: bool) -> bool {
        !lies(&play(if once { "deposits" } else { "encoder" }, &acts))
    }

    fn random_events_answer_every_connection(acts: Vec<Act>) -> bool {
        let bench = play("encoder", &acts);
        (1_u64..).zip(&acts).all(|(conn, act)| match act {
            Act::Open(_) | Act::Attach(_) => {
                bench.refusal(conn).is_some() != bench.subscription(conn).is_some()
            }
            _ => true,
        })
    }

    fn random_events_keep_concurrency(acts: Vec<Act>) -> bool {
        let bench = play("encoder", &acts);
        let load = bench.sidecar.load();
        load.running <= 2 && bench.sidecar.open_count() >= load.running as usize
    }
}
