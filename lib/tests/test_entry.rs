//! Reducer of the entry under losses, late frames, redirects and restarts.

use std::collections;
use std::sync;
use std::time;

use bramleyshelf_lib::{
    check, clock, entry, id, key, membership, plan, refusal, request, revision, wire,
};
use refusal::{Kind, Ran};

const TEXT: &str = include_str!("../../examples/takbaerer.json");
const LIFE: id::Incarnation = id::Incarnation(5);

/// An entry with a clock, and what it asked the shell to do.
struct Bench {
    entry: entry::Entry,
    now: clock::Now,
    effects: Vec<entry::Effect>,
    next: u128,
}

/// An attempt as it was sent.
#[derive(Clone, Debug)]
struct Sent {
    attempt: id::AttemptId,
    stage: plan::StageIndex,
    address: std::net::SocketAddr,
    open: wire::OpenAttempt,
}

fn load() -> wire::Load {
    wire::Load {
        incarnation: LIFE,
        revision: id::Revision(5),
        running: 0,
        limit: 8,
        queued: 0,
        latency: bramleyshelf_lib::unit::Millis(5),
        draining: false,
    }
}

fn instances() -> membership::Instances {
    let services = ["encoder", "retriever", "reranker", "generator", "deposits", "bookings"];
    let mut all = membership::Instances::new();
    for (index, service) in services.iter().enumerate() {
        for number in 0..3_usize {
            let listed = membership::ListedInstance {
                service: service.parse().expect("valid"),
                address: ([127, 0, 0, 1], (9_000 + index * 10 + number) as u16).into(),
                domain: ["east-1", "east-2", "west-1"][number].parse().expect("valid"),
                leaving: false,
            };
            all.insert(format!("{service}-{number}").parse().expect("valid"), listed);
        }
    }
    all
}

impl Bench {
    fn new() -> Self {
        Self::with_text(TEXT)
    }

    fn with_text(text: &str) -> Self {
        let domain = "east-1".parse().expect("valid");
        let me = "entry-0".parse().expect("valid");
        let entry = entry::Entry::new(me, domain, ([127, 0, 0, 1], 8_000).into(), 1);
        let now = clock::Now { mono: time::Duration::from_secs(100), ..clock::Now::default() };
        let mut bench = Self { entry, now, effects: Vec::new(), next: 1 };
        bench.step(entry::Event::Configured(revision::ActiveConfig {
            revision: id::Revision(5),
            stored: sync::Arc::default(),
            config: sync::Arc::new(check::parse(text).expect("valid")),
            source: revision::Source::Store,
            previous: Vec::new(),
        }));
        bench.step(entry::Event::InstancesListed(instances()));
        bench
    }

    fn step(&mut self, event: entry::Event) {
        self.entry.step(self.now, event, &mut self.effects);
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now.after(time::Duration::from_millis(millis));
        self.step(entry::Event::Tick);
    }

    fn arrive(
        &mut self,
        target: &str,
        change: impl FnOnce(&mut request::Arrival),
    ) -> id::RequestId {
        let request = id::RequestId(self.next);
        self.next += 1;
        let target = match target.split_once('/') {
            Some(("pipeline", name)) => plan::Target::Pipeline(name.parse().expect("valid")),
            _ => plan::Target::Service(target.parse().expect("valid")),
        };
        let mut arrival = request::Arrival {
            request,
            team: "counter".parse().expect("valid"),
            target,
            budget: None,
            key: None,
            prefix_hash: None,
            streaming: false,
        };
        change(&mut arrival);
        self.step(entry::Event::RequestArrived(arrival));
        request
    }

    fn sent(&self) -> Vec<Sent> {
        let sends = self.effects.iter().filter_map(|effect| match effect {
            entry::Effect::SendAttempt { stage, address, open, .. } => Some(Sent {
                attempt: open.attempt,
                stage: *stage,
                address: *address,
                open: (**open).clone(),
            }),
            _ => None,
        });
        sends.collect()
    }

    fn last(&self) -> Sent {
        self.sent().pop().expect("an attempt was sent")
    }

    fn frame(&mut self, attempt: id::AttemptId, frame: entry::FrameInfo) {
        self.step(entry::Event::Frame(attempt, frame));
    }

    /// Lets an attempt succeed with an answer of the given length.
    fn succeed(&mut self, attempt: id::AttemptId, bytes: u64) {
        self.frame(attempt, entry::FrameInfo::Accepted(load()));
        self.frame(attempt, entry::FrameInfo::Started);
        self.frame(attempt, entry::FrameInfo::Head(200));
        self.frame(attempt, entry::FrameInfo::Chunk { offset: 0, bytes });
        self.frame(attempt, entry::FrameInfo::End { total: bytes, load: load() });
    }

    fn refuse(&mut self, attempt: id::AttemptId, kind: Kind, ran: Ran) {
        let refused = wire::Refused { kind, ran, owner: None, load: load() };
        self.frame(attempt, entry::FrameInfo::Refused(refused));
    }

    /// Sends the first attempt of a once-only service to a sidecar whose life is known.
    fn deposit(&mut self) -> (id::RequestId, Sent) {
        let request = self.arrive("deposits", |_| {});
        let first = self.last();
        if first.open.incarnation.is_some() {
            return (request, first);
        }
        self.refuse(first.attempt, Kind::WrongIncarnation, Ran::No);
        (request, self.last())
    }

    fn attaches(&self) -> Vec<wire::AttachAttempt> {
        let all = self.effects.iter().filter_map(|effect| match effect {
            entry::Effect::Attach(_, attach) => Some(attach.clone()),
            _ => None,
        });
        all.collect()
    }

    fn refusal(&self, request: id::RequestId) -> Option<(Kind, Ran)> {
        self.effects.iter().find_map(|effect| match effect {
            entry::Effect::Refuse(r, refusal) if *r == request => Some((refusal.kind, refusal.ran)),
            _ => None,
        })
    }

    fn answers(&self, request: id::RequestId) -> usize {
        let ends = self.effects.iter().filter(|effect| match effect {
            entry::Effect::SendAnswer(r, _) | entry::Effect::EndStream(r) => *r == request,
            _ => false,
        });
        ends.count()
    }

    fn cancelled(&self) -> collections::BTreeSet<id::AttemptId> {
        let all = self.effects.iter().filter_map(|effect| match effect {
            entry::Effect::Cancel(_, attempt) => Some(*attempt),
            _ => None,
        });
        all.collect()
    }
}

#[test]
fn admit_table() {
    type Case = (&'static str, &'static str, Option<u64>, &'static str, Option<Kind>);
    let cases: [Case; 5] = [
        ("good", "encoder", None, "counter", None),
        ("no such service", "nothing", None, "counter", Some(Kind::NotFound)),
        ("no such pipeline", "pipeline/nothing", None, "counter", Some(Kind::NotFound)),
        (
            "deadline below the minimum",
            "pipeline/fitting-guide",
            Some(10),
            "counter",
            Some(Kind::DeadlineUnreachable),
        ),
        ("team is gone", "encoder", None, "nobody", Some(Kind::Unauthorized)),
    ];
    for (name, target, budget, team, expected) in cases {
        let mut bench = Bench::new();
        let request = bench.arrive(target, |arrival| {
            arrival.budget = budget.map(time::Duration::from_millis);
            arrival.team = team.parse().expect("valid");
        });
        let expected = expected.map(|kind| (kind, Ran::No));
        assert_eq!(bench.refusal(request), expected, "{name}");
        assert_eq!(bench.sent().is_empty(), expected.is_some(), "{name}");
    }
}

#[test]
fn drain_refuses_new_and_finishes_old_requests() {
    let mut bench = Bench::new();
    let old = bench.arrive("encoder", |_| {});
    let attempt = bench.last().attempt;
    bench.step(entry::Event::Drain);
    let new = bench.arrive("encoder", |_| {});
    assert_eq!(bench.refusal(new), Some((Kind::Draining, Ran::No)));
    bench.succeed(attempt, 3);
    assert_eq!(bench.answers(old), 1);
}

#[test]
fn team_limits_are_shared_among_entries() {
    let text = TEXT.replace("\"rate\": 200", "\"rate\": 20");
    for (entries, expected) in [(1, 20), (4, 5)] {
        let mut bench = Bench::with_text(&text);
        bench.step(entry::Event::EntryCount(entries));
        let team = |arrival: &mut request::Arrival| {
            arrival.team = "cooperative".parse().expect("valid");
        };
        let all: Vec<_> = (0..30).map(|_| bench.arrive("encoder", team)).collect();
        let admitted = all.iter().filter(|r| bench.refusal(**r).is_none()).count();
        assert_eq!(admitted, expected, "{entries} entries");
    }
}

#[test]
fn pipeline_runs_stages_in_order_of_dependency() {
    let mut bench = Bench::new();
    let request = bench.arrive("pipeline/fitting-guide", |_| {});
    let mut stages = Vec::new();
    for _ in 0..4 {
        let sent = bench.last();
        stages.push(bench.entry.stage_name(request, sent.stage).expect("a stage"));
        bench.succeed(sent.attempt, 10);
    }
    assert_eq!(stages, ["embed", "search", "rank", "draft"]);
    assert_eq!(bench.answers(request), 1);
    assert_eq!((bench.entry.open_count(), bench.entry.attempt_count()), (0, 0));
}

#[test]
fn parallel_stages_start_at_once_and_may_end_in_any_order() {
    let mut value: serde_json::Value = serde_json::from_str(TEXT).expect("JSON");
    value["pipelines"]["wide"] = serde_json::json!({
        "deadline_ms": 5000, "answer": "join", "stages": {
            "a": { "service": "encoder" },
            "b": { "service": "retriever" },
            "join": { "service": "reranker", "after": ["a", "b"] },
        },
    });
    for order in [[0, 1], [1, 0]] {
        let mut bench = Bench::with_text(&value.to_string());
        let request = bench.arrive("pipeline/wide", |_| {});
        let first = bench.sent();
        assert_eq!(first.len(), 2);
        for index in order {
            bench.succeed(first[index].attempt, 10);
            // A second end of the same attempt changes nothing.
            bench.frame(first[index].attempt, entry::FrameInfo::End { total: 10, load: load() });
        }
        let join = bench.last();
        assert_eq!(bench.sent().len(), 3);
        bench.succeed(join.attempt, 5);
        assert_eq!(bench.answers(request), 1);
    }
}

#[test]
fn lost_table_for_repeatable_call() {
    for sent in [false, true] {
        let mut bench = Bench::new();
        let request = bench.arrive("encoder", |_| {});
        let first = bench.last();
        bench.step(entry::Event::ConnectionLost { attempt: first.attempt, sent });
        let second = bench.last();
        assert_ne!(first.address, second.address, "tries another upstream");
        bench.succeed(first.attempt, 3);
        assert_eq!(bench.answers(request), 0, "a late answer of a lost attempt does not count");
        bench.succeed(second.attempt, 3);
        assert_eq!(bench.answers(request), 1);
    }
}

#[test]
fn once_only_call_goes_elsewhere_only_when_not_run() {
    // What happens to the first attempt; whether another one follows; how the request ends.
    type Play = fn(&mut Bench, id::AttemptId);
    type Case = (&'static str, Play, bool, Option<(Kind, Ran)>);
    let cases: [Case; 7] = [
        (
            "never sent",
            |b, a| b.step(entry::Event::ConnectionLost { attempt: a, sent: false }),
            true,
            None,
        ),
        (
            "sent and lost",
            |b, a| b.step(entry::Event::ConnectionLost { attempt: a, sent: true }),
            false,
            None,
        ),
        (
            "resolved as not run",
            |b, a| {
                b.step(entry::Event::ConnectionLost { attempt: a, sent: true });
                b.refuse(a, Kind::Tombstoned, Ran::No);
            },
            true,
            None,
        ),
        (
            "resolved by another life",
            |b, a| {
                b.step(entry::Event::ConnectionLost { attempt: a, sent: true });
                b.refuse(a, Kind::WrongIncarnation, Ran::Unknown);
            },
            false,
            Some((Kind::WrongIncarnation, Ran::Unknown)),
        ),
        ("queue full", |b, a| b.refuse(a, Kind::QueueFull, Ran::No), true, None),
        (
            "upstream broke",
            |b, a| b.refuse(a, Kind::UpstreamBroken, Ran::Unknown),
            false,
            Some((Kind::UpstreamBroken, Ran::Unknown)),
        ),
        (
            "answer dropped",
            |b, a| b.refuse(a, Kind::AnswerDropped, Ran::Yes),
            false,
            Some((Kind::AnswerDropped, Ran::Yes)),
        ),
    ];
    for (name, play, again, refusal) in cases {
        let mut bench = Bench::new();
        let (request, first) = bench.deposit();
        play(&mut bench, first.attempt);
        assert_eq!(bench.last().attempt != first.attempt, again, "{name}");
        assert_eq!(bench.refusal(request), refusal, "{name}");
    }
}

#[test]
fn once_only_call_is_resolved_at_same_sidecar_until_deadline() {
    let mut bench = Bench::new();
    let (request, first) = bench.deposit();
    bench.step(entry::Event::ConnectionLost { attempt: first.attempt, sent: true });
    for _ in 0..5 {
        bench.step(entry::Event::ConnectionLost { attempt: first.attempt, sent: false });
        bench.pass(200);
    }
    assert!(bench.attaches().len() > 3);
    assert!(bench.attaches().iter().all(|attach| attach.incarnation == Some(LIFE)));
    bench.pass(9_000);
    assert_eq!(bench.refusal(request), Some((Kind::DeadlineExceeded, Ran::Unknown)));
    assert_eq!(bench.last().attempt, first.attempt, "it never went elsewhere");
}

#[test]
fn silent_sidecar_is_left_only_by_repeatable_calls() {
    let mut bench = Bench::new();
    bench.arrive("encoder", |_| {});
    let first = bench.last();
    bench.pass(800);
    assert_ne!(bench.last().attempt, first.attempt);
    assert!(bench.cancelled().contains(&first.attempt));

    let mut bench = Bench::new();
    let (_, first) = bench.deposit();
    bench.pass(800);
    assert_eq!(bench.last().attempt, first.attempt);
    assert_eq!(bench.attaches().len(), 1);
}

#[test]
fn gap_or_short_end_is_never_an_answer() {
    let cases = [
        ("gap", entry::FrameInfo::Chunk { offset: 9, bytes: 2 }),
        ("short", entry::FrameInfo::End { total: 9, load: load() }),
    ];
    for (name, frame) in cases {
        let mut bench = Bench::new();
        let request = bench.arrive("encoder", |_| {});
        let attempt = bench.last().attempt;
        bench.frame(attempt, entry::FrameInfo::Accepted(load()));
        bench.frame(attempt, entry::FrameInfo::Head(200));
        bench.frame(attempt, entry::FrameInfo::Chunk { offset: 0, bytes: 5 });
        bench.frame(attempt, frame);
        bench.frame(attempt, entry::FrameInfo::End { total: 5, load: load() });
        assert_eq!(bench.answers(request), 0, "{name}");
    }
}

#[test]
fn repeated_bytes_are_skipped() {
    let mut bench = Bench::new();
    bench.arrive("encoder", |_| {});
    let attempt = bench.last().attempt;
    bench.frame(attempt, entry::FrameInfo::Head(200));
    for (offset, bytes, expected) in [(0, 5, 0), (2, 6, 3), (0, 8, 8)] {
        bench.effects.clear();
        bench.frame(attempt, entry::FrameInfo::Chunk { offset, bytes });
        let skip = bench.effects.iter().find_map(|effect| match effect {
            entry::Effect::AppendBody { skip, .. } => Some(*skip),
            _ => None,
        });
        assert_eq!(skip, Some(expected));
    }
}

/// Starts a stream and passes its first five bytes on.
fn begin_stream(bench: &mut Bench) -> (id::RequestId, Sent) {
    let request = bench.arrive("generator", |arrival| arrival.streaming = true);
    let first = bench.last();
    bench.frame(first.attempt, entry::FrameInfo::Accepted(load()));
    bench.frame(first.attempt, entry::FrameInfo::Head(200));
    bench.frame(first.attempt, entry::FrameInfo::Chunk { offset: 0, bytes: 5 });
    (request, first)
}

#[test]
fn broken_stream_is_read_on_where_it_is_and_then_elsewhere() {
    let mut bench = Bench::new();
    let (request, first) = begin_stream(&mut bench);
    bench.step(entry::Event::ConnectionLost { attempt: first.attempt, sent: true });
    assert_eq!(bench.attaches()[0].offset, 5);
    bench.step(entry::Event::ConnectionLost { attempt: first.attempt, sent: false });
    let second = bench.last();
    assert_ne!(second.attempt, first.attempt);
    assert_eq!(second.open.offset, 5);
    bench.frame(second.attempt, entry::FrameInfo::Head(200));
    bench.frame(second.attempt, entry::FrameInfo::Chunk { offset: 5, bytes: 4 });
    bench.frame(second.attempt, entry::FrameInfo::End { total: 9, load: load() });
    let heads = bench.effects.iter().filter(|e| matches!(e, entry::Effect::RelayHead(..)));
    assert_eq!(heads.count(), 1, "the caller gets one beginning");
    assert_eq!(bench.answers(request), 1);
}

#[test]
fn ended_stream_frees_its_attempt() {
    let mut bench = Bench::new();
    let (request, first) = begin_stream(&mut bench);
    bench.frame(first.attempt, entry::FrameInfo::End { total: 5, load: load() });
    assert_eq!(bench.answers(request), 1);
    let freed = bench.effects.iter().any(
        |effect| matches!(effect, entry::Effect::Forget(attempt) if *attempt == first.attempt),
    );
    assert!(freed, "the shell keeps the head and the connection until it is told");
}

#[test]
fn broken_stream_that_cannot_resume_is_an_error() {
    let text = TEXT.replace("\"resumes\": true", "\"resumes\": false");
    let mut bench = Bench::with_text(&text);
    let (request, first) = begin_stream(&mut bench);
    bench.step(entry::Event::ConnectionLost { attempt: first.attempt, sent: true });
    bench.step(entry::Event::ConnectionLost { attempt: first.attempt, sent: false });
    assert_eq!(bench.last().attempt, first.attempt);
    assert_eq!(bench.refusal(request), Some((Kind::SidecarLost, Ran::Unknown)));
    assert_eq!(bench.answers(request), 0);
}

#[test]
fn stream_takes_bytes_of_one_attempt_only() {
    let mut bench = Bench::new();
    // A first request teaches how long calls usually take, so that the next slow one is hedged.
    bench.arrive("generator", |_| {});
    let usual = bench.last();
    bench.succeed(usual.attempt, 5);
    let request = bench.arrive("generator", |arrival| arrival.streaming = true);
    let first = bench.last();
    bench.frame(first.attempt, entry::FrameInfo::Accepted(load()));
    bench.pass(500);
    let second = bench.last();
    assert_ne!(first.attempt, second.attempt, "the slow attempt is hedged");
    bench.frame(second.attempt, entry::FrameInfo::Head(200));
    bench.frame(second.attempt, entry::FrameInfo::Chunk { offset: 0, bytes: 4 });
    assert!(bench.cancelled().contains(&first.attempt));
    bench.frame(first.attempt, entry::FrameInfo::Head(200));
    bench.frame(first.attempt, entry::FrameInfo::Chunk { offset: 0, bytes: 9 });
    let relayed = bench.effects.iter().filter(|e| matches!(e, entry::Effect::RelayChunk { .. }));
    assert_eq!(relayed.count(), 1);
    bench.frame(second.attempt, entry::FrameInfo::End { total: 4, load: load() });
    assert_eq!(bench.answers(request), 1);
}

#[test]
fn gone_caller_cancels_every_attempt() {
    let mut bench = Bench::new();
    let request = bench.arrive("pipeline/fitting-guide", |_| {});
    let attempt = bench.last().attempt;
    bench.step(entry::Event::CallerGone(request));
    assert!(bench.cancelled().contains(&attempt));
    assert_eq!((bench.entry.open_count(), bench.entry.attempt_count()), (0, 0));
}

#[test]
fn deadline_before_any_attempt_was_accepted_is_unknown() {
    let mut bench = Bench::new();
    let (request, _) = bench.deposit();
    bench.pass(10_000);
    assert_eq!(bench.refusal(request), Some((Kind::DeadlineExceeded, Ran::Unknown)));
}

#[test]
fn retries_stop_at_the_budget() {
    let mut bench = Bench::new();
    let mut failed = 0;
    for _ in 0..40 {
        let request = bench.arrive("encoder", |_| {});
        while bench.refusal(request).is_none() {
            let attempt = bench.last().attempt;
            failed += 1;
            bench.refuse(attempt, Kind::UpstreamBroken, Ran::Unknown);
        }
    }
    // 40 first attempts, a reserve of 10 retries and a fifth of the traffic.
    assert!(failed <= 40 + 10 + 8, "{failed} attempts");
}

#[test]
fn leaving_upstream_gets_no_attempt() {
    let mut bench = Bench::new();
    let mut list = instances();
    for (name, listed) in &mut list {
        listed.leaving = name.as_str() != "encoder-2" && name.as_str().starts_with("encoder");
    }
    bench.step(entry::Event::InstancesListed(list));
    let hints = bench.effects.iter().filter(|e| matches!(e, entry::Effect::NotifyLeaving(_)));
    assert_eq!(hints.count(), 2, "the leaving sidecars are told");
    for _ in 0..20 {
        bench.arrive("encoder", |_| {});
        assert_eq!(bench.last().address.port(), 9_002);
    }
}

fn keyed(arrival: &mut request::Arrival) {
    arrival.key = Some("counter/a".to_owned());
}

#[test]
fn key_is_sent_to_the_owner_that_a_sidecar_names() {
    let mut bench = Bench::new();
    let request = bench.arrive("bookings", keyed);
    let first = bench.last();
    let owner = wire::Owner {
        instance: "bookings-9".parse().expect("valid"),
        address: ([127, 0, 0, 1], 9_999).into(),
        incarnation: id::Incarnation(42),
        fence: id::FencingToken(17),
    };
    let refused = wire::Refused {
        kind: Kind::NotOwner,
        ran: Ran::No,
        owner: Some(owner.clone()),
        load: load(),
    };
    bench.frame(first.attempt, entry::FrameInfo::Refused(refused));
    let second = bench.last();
    assert_eq!(second.address, owner.address);
    assert_eq!(second.open.incarnation, Some(owner.incarnation));
    let sent = second.open.key.as_ref().expect("the key travels");
    assert_eq!((sent.range, sent.fence), (key::range_of("counter/a"), owner.fence));
    bench.succeed(second.attempt, 3);
    assert_eq!(bench.answers(request), 1);
    bench.arrive("bookings", keyed);
    assert_eq!(bench.last().address, owner.address, "the owner is remembered");
}

#[test]
fn key_without_owner_is_unknown_after_a_bounded_wait() {
    let mut bench = Bench::new();
    let request = bench.arrive("bookings", keyed);
    let start = bench.now;
    while bench.refusal(request).is_none() {
        let last = bench.last();
        bench.refuse(last.attempt, Kind::LeaseLapsed, Ran::No);
        bench.pass(100);
    }
    assert_eq!(bench.refusal(request), Some((Kind::LeaseLapsed, Ran::Unknown)));
    assert!(bench.now.elapsed_max(start) < time::Duration::from_secs(4));
}

#[test]
fn refusal_of_key_is_not_run_only_if_the_owner_says_so() {
    // How the attempts end, again and again, and what the caller may be told.
    let cases = [
        (Kind::SidecarLost, Ran::Unknown),
        (Kind::LeaseLapsed, Ran::Unknown),
        (Kind::NotOwner, Ran::Unknown),
        (Kind::Draining, Ran::Unknown),
        (Kind::QueueFull, Ran::No),
        (Kind::UpstreamUnreachable, Ran::No),
        (Kind::KeyMismatch, Ran::No),
    ];
    for (kind, expected) in cases {
        let mut bench = Bench::new();
        let request = bench.arrive("bookings", keyed);
        for _ in 0..300 {
            let last = bench.last();
            if kind == Kind::SidecarLost {
                bench.step(entry::Event::ConnectionLost { attempt: last.attempt, sent: false });
            } else {
                bench.refuse(last.attempt, kind, Ran::No);
            }
            bench.pass(100);
        }
        assert_eq!(bench.refusal(request).map(|(_, ran)| ran), Some(expected), "{kind}");
    }
    let mut bench = Bench::new();
    bench.step(entry::Event::Drain);
    let request = bench.arrive("bookings", keyed);
    assert_eq!(bench.refusal(request), Some((Kind::Draining, Ran::Unknown)));
}

#[test]
fn owner_is_looked_for_at_every_member() {
    // Two members are dead, and the nearest ones; the third knows the owner.
    let mut bench = Bench::new();
    bench.arrive("bookings", keyed);
    let mut seen = collections::BTreeSet::new();
    for _ in 0..12 {
        let last = bench.last();
        seen.insert(last.address.port());
        bench.step(entry::Event::ConnectionLost { attempt: last.attempt, sent: false });
        bench.pass(110);
    }
    let ports: Vec<_> = bench.sent().iter().map(|sent| sent.address.port()).collect();
    assert_eq!(seen.len(), 3);
    let third = ports.iter().filter(|port| **port == 9_052).count();
    assert!(third >= 3, "{ports:?}");
}

/// One step of a random run: which attempt it concerns, and what happens to it.
#[derive(Clone, Copy, Debug)]
enum Act {
    Arrive { stream: bool },
    Accept(u8),
    Head(u8, bool),
    Chunk(u8, u8, u8),
    End(u8),
    Refuse(u8, u8),
    Lose(u8, bool),
    Gone(u8),
    Pass(u16),
}

impl quickcheck::Arbitrary for Act {
    fn arbitrary(g: &mut quickcheck::Gen) -> Self {
        let index = u8::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0..=2 => Self::Arrive { stream: bool::arbitrary(g) },
            3 => Self::Accept(index),
            4 | 5 => Self::Head(index, u8::arbitrary(g) % 4 > 0),
            6..=8 => Self::Chunk(index, u8::arbitrary(g) % 12, u8::arbitrary(g) % 8),
            9 | 10 => Self::End(index),
            11 => Self::Refuse(index, u8::arbitrary(g)),
            12 => Self::Lose(index, bool::arbitrary(g)),
            13 => Self::Gone(index),
            _ => Self::Pass(u16::arbitrary(g) % 1_500),
        }
    }
}

const REFUSALS: [(Kind, Ran); 6] = [
    (Kind::QueueFull, Ran::No),
    (Kind::Draining, Ran::No),
    (Kind::Tombstoned, Ran::No),
    (Kind::WrongIncarnation, Ran::Unknown),
    (Kind::UpstreamBroken, Ran::Unknown),
    (Kind::AnswerDropped, Ran::Yes),
];

fn play(target: &str, acts: &[Act]) -> (Bench, Vec<id::RequestId>) {
    let mut bench = Bench::new();
    let mut requests = Vec::new();
    for act in acts {
        let sent = bench.sent();
        // Frames reach any attempt that was ever sent, also those that are long over.
        let attempt = |index: u8| sent.get(index as usize % sent.len().max(1)).map(|s| s.attempt);
        let frame = match *act {
            Act::Arrive { stream } => {
                requests.push(bench.arrive(target, |arrival| arrival.streaming = stream));
                continue;
            }
            Act::Pass(millis) => {
                bench.pass(u64::from(millis));
                continue;
            }
            Act::Gone(index) => {
                if !requests.is_empty() {
                    let request = requests[index as usize % requests.len()];
                    bench.step(entry::Event::CallerGone(request));
                }
                continue;
            }
            Act::Lose(index, sent) => {
                if let Some(attempt) = attempt(index) {
                    bench.step(entry::Event::ConnectionLost { attempt, sent });
                }
                continue;
            }
            Act::Accept(index) => (index, entry::FrameInfo::Accepted(load())),
            Act::Head(index, good) => (index, entry::FrameInfo::Head(if good { 200 } else { 500 })),
            Act::Chunk(index, offset, bytes) => {
                let (offset, bytes) = (u64::from(offset), u64::from(bytes));
                (index, entry::FrameInfo::Chunk { offset, bytes })
            }
            Act::End(index) => (index, entry::FrameInfo::End { total: 10, load: load() }),
            Act::Refuse(index, kind) => {
                let (kind, ran) = REFUSALS[kind as usize % REFUSALS.len()];
                let refused = wire::Refused { kind, ran, owner: None, load: load() };
                (index, entry::FrameInfo::Refused(refused))
            }
        };
        if let Some(attempt) = attempt(frame.0) {
            bench.frame(attempt, frame.1);
        }
    }
    (bench, requests)
}

fn ends(bench: &Bench, request: id::RequestId) -> usize {
    bench.answers(request) + usize::from(bench.refusal(request).is_some())
}

/// Replays the effects and tells whether a once-only call was ever under way twice, or again after
/// an attempt that was not told as not run.
fn runs_twice(acts: &[Act]) -> bool {
    let (bench, requests) = play("deposits", acts);
    requests.iter().any(|request| {
        let sent: Vec<_> =
            bench.sent().into_iter().filter(|s| s.open.request == *request).collect();
        // Every attempt but the last has to be over before the next one, as not run. An attempt
        // that was abandoned without an answer shows by a cancellation.
        sent.iter().rev().skip(1).any(|s| bench.cancelled().contains(&s.attempt))
    })
}

quickcheck::quickcheck! {
    fn random_events_end_each_request_at_most_once(acts: Vec<Act>, generate: bool) -> bool {
        let (bench, requests) = play(if generate { "generator" } else { "deposits" }, &acts);
        requests.iter().all(|request| ends(&bench, *request) <= 1)
    }

    fn random_events_leave_nothing_behind(acts: Vec<Act>, generate: bool) -> bool {
        let target = if generate { "generator" } else { "deposits" };
        let (mut bench, requests) = play(target, &acts);
        bench.pass(10_000);
        let gone = |request| acts.iter().any(|a| matches!(a, Act::Gone(_))) || ends(&bench, request) == 1;
        requests.iter().all(|request| gone(*request))
            && bench.entry.open_count() == 0
            && bench.entry.attempt_count() == 0
    }

    fn random_events_never_run_once_only_call_twice(acts: Vec<Act>) -> bool {
        !runs_twice(&acts)
    }

    fn random_events_begin_each_stream_once(acts: Vec<Act>) -> bool {
        let (bench, requests) = play("generator", &acts);
        requests.iter().all(|request| {
            let begins = bench.effects.iter().filter(|e| {
                matches!(e, entry::Effect::RelayHead(r, _) if r == request)
            });
            begins.count() <= 1
        })
    }
}
