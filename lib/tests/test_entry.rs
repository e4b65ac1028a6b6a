//! Reducer of the entry with lost connections, late frames, redirects and restarts of sidecars.

use std::collections;
use std::sync;
use std::time;

use bramleyshelf_lib::{
    check, clock, entry, id, key, membership, plan, refusal, request, revision, wire,
};
use refusal::{Kind, Ran};

const CONFIG_TEXT: &str = include_str!("../../examples/takbaerer.json");
const INCARNATION: id::Incarnation = id::Incarnation(5);

/// An entry with a simulated clock, and all effects that it has emitted.
struct Harness {
    entry: entry::Entry,
    now: clock::Now,
    effects: Vec<entry::Effect>,
    next_id: u128,
}

/// An attempt that the entry sent.
#[derive(Clone, Debug)]
struct SentAttempt {
    attempt: id::AttemptId,
    stage: plan::StageIndex,
    address: std::net::SocketAddr,
    open: wire::OpenAttempt,
}

fn load() -> wire::Load {
    wire::Load {
        incarnation: INCARNATION,
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

impl Harness {
    fn new() -> Self {
        Self::with_text(CONFIG_TEXT)
    }

    fn with_text(text: &str) -> Self {
        let domain = "east-1".parse().expect("valid");
        let instance = "entry-0".parse().expect("valid");
        let entry = entry::Entry::new(instance, domain, ([127, 0, 0, 1], 8_000).into(), 1);
        let now = clock::Now { mono: time::Duration::from_secs(100), ..clock::Now::default() };
        let mut harness = Self { entry, now, effects: Vec::new(), next_id: 1 };
        harness.step(entry::Event::Configured(revision::ActiveConfig {
            revision: id::Revision(5),
            stored: sync::Arc::default(),
            config: sync::Arc::new(check::parse(text).expect("valid")),
            source: revision::Source::Store,
            previous: Vec::new(),
        }));
        harness.step(entry::Event::InstancesListed(instances()));
        harness
    }

    fn step(&mut self, event: entry::Event) {
        self.entry.step(self.now, event, &mut self.effects);
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now.after(time::Duration::from_millis(millis));
        self.step(entry::Event::Tick);
    }

    fn arrive(
        &mut self,
        target: &str,
        change: impl FnOnce(&mut request::Arrival),
    ) -> id::RequestId {
        let request = id::RequestId(self.next_id);
        self.next_id += 1;
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

    /// Lists all upstreams of a service as leaving.
    fn list_leaving(&mut self, service: &str) {
        let mut list = instances();
        for (name, listed) in &mut list {
            listed.leaving = name.as_str().starts_with(service);
        }
        self.step(entry::Event::InstancesListed(list));
    }

    fn sent_attempts(&self) -> Vec<SentAttempt> {
        let sends = self.effects.iter().filter_map(|effect| match effect {
            entry::Effect::SendAttempt { stage, address, open, .. } => Some(SentAttempt {
                attempt: open.attempt,
                stage: *stage,
                address: *address,
                open: (**open).clone(),
            }),
            _ => None,
        });
        sends.collect()
    }

    fn last_sent(&self) -> SentAttempt {
        self.sent_attempts().pop().expect("an attempt was sent")
    }

    fn frame(&mut self, attempt: id::AttemptId, frame: entry::FrameInfo) {
        self.step(entry::Event::Frame(attempt, frame));
    }

    /// Completes an attempt with an answer of the given size.
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

    /// Sends a request to a once-only service, up to the first attempt at a sidecar whose
    /// incarnation the entry has received.
    fn send_deposit(&mut self) -> (id::RequestId, SentAttempt) {
        let request = self.arrive("deposits", |_| {});
        let first = self.last_sent();
        if first.open.incarnation.is_some() {
            return (request, first);
        }
        self.refuse(first.attempt, Kind::WrongIncarnation, Ran::No);
        (request, self.last_sent())
    }

    fn attach_messages(&self) -> Vec<wire::AttachAttempt> {
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

    fn answer_count(&self, request: id::RequestId) -> usize {
        let answers = self.effects.iter().filter(|effect| match effect {
            entry::Effect::SendAnswer(r, _) | entry::Effect::EndStream(r) => *r == request,
            _ => false,
        });
        answers.count()
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
        let mut harness = Harness::new();
        let request = harness.arrive(target, |arrival| {
            arrival.budget = budget.map(time::Duration::from_millis);
            arrival.team = team.parse().expect("valid");
        });
        let expected = expected.map(|kind| (kind, Ran::No));
        assert_eq!(harness.refusal(request), expected, "{name}");
        assert_eq!(harness.sent_attempts().is_empty(), expected.is_some(), "{name}");
    }
}

#[test]
fn drain_refuses_new_and_finishes_old_requests() {
    // A restart of an entry must not cut requests that are in progress.
    let mut harness = Harness::new();
    let old = harness.arrive("encoder", |_| {});
    let attempt = harness.last_sent().attempt;
    harness.step(entry::Event::Drain);
    let new = harness.arrive("encoder", |_| {});
    assert_eq!(harness.refusal(new), Some((Kind::Draining, Ran::No)));
    harness.succeed(attempt, 3);
    assert_eq!(harness.answer_count(old), 1);
}

#[test]
fn team_limits_are_shared_among_entries() {
    let text = CONFIG_TEXT.replace("\"rate\": 200", "\"rate\": 20");
    for (entries, expected) in [(1, 20), (4, 5)] {
        let mut harness = Harness::with_text(&text);
        harness.step(entry::Event::EntryCount(entries));
        let team = |arrival: &mut request::Arrival| {
            arrival.team = "cooperative".parse().expect("valid");
        };
        let all: Vec<_> = (0..30).map(|_| harness.arrive("encoder", team)).collect();
        let admitted = all.iter().filter(|r| harness.refusal(**r).is_none()).count();
        assert_eq!(admitted, expected, "{entries} entries");
    }
}

#[test]
fn pipeline_runs_stages_in_order_of_dependency() {
    let mut harness = Harness::new();
    let request = harness.arrive("pipeline/fitting-guide", |_| {});
    let mut stages = Vec::new();
    for _ in 0..4 {
        let sent = harness.last_sent();
        stages.push(harness.entry.stage_name(request, sent.stage).expect("a stage"));
        harness.succeed(sent.attempt, 10);
    }
    assert_eq!(stages, ["embed", "search", "rank", "draft"]);
    assert_eq!(harness.answer_count(request), 1);
    assert_eq!((harness.entry.request_count(), harness.entry.attempt_count()), (0, 0));
}

#[test]
fn parallel_stages_start_at_once_and_may_end_in_any_order() {
    // A stage with two inputs must start when both are there, and only once.
    let mut value: serde_json::Value = serde_json::from_str(CONFIG_TEXT).expect("JSON");
    value["pipelines"]["wide"] = serde_json::json!({
        "deadline_ms": 5000, "answer": "join", "stages": {
            "a": { "service": "encoder" },
            "b": { "service": "retriever" },
            "join": { "service": "reranker", "after": ["a", "b"] },
        },
    });
    for order in [[0, 1], [1, 0]] {
        let mut harness = Harness::with_text(&value.to_string());
        let request = harness.arrive("pipeline/wide", |_| {});
        let first = harness.sent_attempts();
        assert_eq!(first.len(), 2);
        for index in order {
            harness.succeed(first[index].attempt, 10);
            // A second end frame of the same attempt has no effect.
            harness.frame(first[index].attempt, entry::FrameInfo::End { total: 10, load: load() });
        }
        let join = harness.last_sent();
        assert_eq!(harness.sent_attempts().len(), 3);
        harness.succeed(join.attempt, 5);
        assert_eq!(harness.answer_count(request), 1);
    }
}

#[test]
fn repeatable_call_is_retried_after_lost_connection() {
    // The lost attempt may still answer. The caller must not get its answer besides the other one.
    for sent in [false, true] {
        let mut harness = Harness::new();
        let request = harness.arrive("encoder", |_| {});
        let first = harness.last_sent();
        harness.step(entry::Event::ConnectionLost { attempt: first.attempt, sent });
        let second = harness.last_sent();
        assert_ne!(first.address, second.address, "the retry goes to another upstream");
        harness.succeed(first.attempt, 3);
        assert_eq!(harness.answer_count(request), 0, "a late answer of a lost attempt is ignored");
        harness.succeed(second.attempt, 3);
        assert_eq!(harness.answer_count(request), 1);
    }
}

#[test]
fn once_only_call_is_retried_only_if_not_run() {
    // Name, events of the first attempt, whether another attempt follows, and how the request ends.
    type Scenario = fn(&mut Harness, id::AttemptId);
    type Case = (&'static str, Scenario, bool, Option<(Kind, Ran)>);
    let cases: [Case; 7] = [
        (
            "never sent",
            |h, a| h.step(entry::Event::ConnectionLost { attempt: a, sent: false }),
            true,
            None,
        ),
        (
            "sent and lost",
            |h, a| h.step(entry::Event::ConnectionLost { attempt: a, sent: true }),
            false,
            None,
        ),
        (
            "resolved as not run",
            |h, a| {
                h.step(entry::Event::ConnectionLost { attempt: a, sent: true });
                h.refuse(a, Kind::Tombstoned, Ran::No);
            },
            true,
            None,
        ),
        (
            "resolved by another incarnation",
            |h, a| {
                h.step(entry::Event::ConnectionLost { attempt: a, sent: true });
                h.refuse(a, Kind::WrongIncarnation, Ran::Unknown);
            },
            false,
            Some((Kind::WrongIncarnation, Ran::Unknown)),
        ),
        ("queue full", |h, a| h.refuse(a, Kind::QueueFull, Ran::No), true, None),
        (
            "upstream broke",
            |h, a| h.refuse(a, Kind::UpstreamBroken, Ran::Unknown),
            false,
            Some((Kind::UpstreamBroken, Ran::Unknown)),
        ),
        (
            "answer dropped",
            |h, a| h.refuse(a, Kind::AnswerDropped, Ran::Yes),
            false,
            Some((Kind::AnswerDropped, Ran::Yes)),
        ),
    ];
    for (name, scenario, is_retried, refusal) in cases {
        let mut harness = Harness::new();
        let (request, first) = harness.send_deposit();
        scenario(&mut harness, first.attempt);
        assert_eq!(harness.last_sent().attempt != first.attempt, is_retried, "{name}");
        assert_eq!(harness.refusal(request), refusal, "{name}");
    }
}

/// Guards against an upstream's status that reaches the caller as the promise that nothing ran.
#[test]
fn answer_that_only_looks_like_a_refusal_is_not_sent() {
    for status in [408, 421, 429, 503] {
        for service in ["deposits", "encoder"] {
            let mut harness = Harness::new();
            let request = harness.arrive(service, |_| {});
            let first = harness.last_sent();
            if service == "deposits" && first.open.incarnation.is_none() {
                harness.refuse(first.attempt, Kind::WrongIncarnation, Ran::No);
            }
            let mut sent = 0;
            while harness.refusal(request).is_none() {
                let attempt = harness.last_sent().attempt;
                harness.frame(attempt, entry::FrameInfo::Accepted(load()));
                harness.frame(attempt, entry::FrameInfo::Started);
                harness.frame(attempt, entry::FrameInfo::Head(status));
                harness.frame(attempt, entry::FrameInfo::End { total: 0, load: load() });
                sent += 1;
                assert!(sent < 10 && harness.answer_count(request) == 0, "{service} {status}");
            }
            let refused = Some((Kind::StageFailed, Ran::Unknown));
            assert_eq!(harness.refusal(request), refused, "{service} {status}");
            assert_eq!(sent == 1, service == "deposits", "{service} {status}: sent {sent} times");
        }
    }
}

#[test]
fn once_only_call_is_resolved_at_same_sidecar_until_deadline() {
    // Only the sidecar that received the call can tell whether it ran. While it cannot be reached,
    // another attempt could run the call twice.
    let mut harness = Harness::new();
    let (request, first) = harness.send_deposit();
    harness.step(entry::Event::ConnectionLost { attempt: first.attempt, sent: true });
    for _ in 0..5 {
        harness.step(entry::Event::ConnectionLost { attempt: first.attempt, sent: false });
        harness.advance(200);
    }
    assert!(harness.attach_messages().len() > 3);
    assert!(harness.attach_messages().iter().all(|attach| attach.incarnation == Some(INCARNATION)));
    harness.advance(9_000);
    assert_eq!(harness.refusal(request), Some((Kind::DeadlineExceeded, Ran::Unknown)));
    assert_eq!(harness.last_sent().attempt, first.attempt, "it was sent only once");
}

#[test]
fn unresponsive_sidecar_is_abandoned_only_by_repeatable_calls() {
    let mut harness = Harness::new();
    harness.arrive("encoder", |_| {});
    let first = harness.last_sent();
    harness.advance(800);
    assert_ne!(harness.last_sent().attempt, first.attempt);
    assert!(harness.cancelled().contains(&first.attempt));

    let mut harness = Harness::new();
    let (_, first) = harness.send_deposit();
    harness.advance(800);
    assert_eq!(harness.last_sent().attempt, first.attempt);
    assert_eq!(harness.attach_messages().len(), 1);
}

/// Returns a harness in which the retry budget of a service is used up for good.
fn without_retries(service: &str) -> Harness {
    let mut value: serde_json::Value = serde_json::from_str(CONFIG_TEXT).expect("JSON");
    value["limits"]["retry_share"] = 0.into();
    let mut harness = Harness::with_text(&value.to_string());
    for _ in 0..10 {
        let request = harness.arrive(service, |_| {});
        while harness.refusal(request).is_none() {
            let sent = harness.last_sent();
            match sent.open.incarnation {
                Some(_) => harness.refuse(sent.attempt, Kind::QueueFull, Ran::No),
                None => harness.refuse(sent.attempt, Kind::WrongIncarnation, Ran::No),
            }
        }
    }
    harness
}

/// Guards against sound calls that were given up at a silent sidecar before it was known that no retry
/// was left.
#[test]
fn silent_sidecar_without_retry_is_awaited() {
    let mut harness = without_retries("encoder");
    let request = harness.arrive("encoder", |_| {});
    let first = harness.last_sent();
    for _ in 0..12 {
        harness.advance(100);
    }
    assert_eq!(harness.refusal(request), None);
    assert!(!harness.cancelled().contains(&first.attempt));
    harness.succeed(first.attempt, 3);
    assert_eq!(harness.answer_count(request), 1);
}

/// Guards against streams that were given up after a silence although nobody could continue them.
#[test]
fn silent_stream_is_awaited_if_no_upstream_takes_it() {
    for has_other in [false, true] {
        let mut harness = Harness::new();
        let (request, first) = start_stream(&mut harness);
        if !has_other {
            harness.list_leaving("generator");
        }
        for _ in 0..31 {
            harness.advance(100);
        }
        assert_eq!(harness.refusal(request), None);
        assert_eq!(harness.last_sent().attempt != first.attempt, has_other);
        assert_eq!(harness.cancelled().contains(&first.attempt), has_other);
        let attempt = harness.last_sent().attempt;
        harness.frame(attempt, entry::FrameInfo::Head(200));
        harness.frame(attempt, entry::FrameInfo::Chunk { offset: 5, bytes: 4 });
        harness.frame(attempt, entry::FrameInfo::End { total: 9, load: load() });
        assert_eq!(harness.answer_count(request), 1, "another upstream: {has_other}");
    }
}

/// Guards against calls in progress that ended because no upstream was left for a second attempt.
#[test]
fn slow_call_is_awaited_if_no_upstream_takes_a_second_attempt() {
    let mut harness = Harness::new();
    harness.arrive("encoder", |_| {});
    let earlier = harness.last_sent();
    harness.succeed(earlier.attempt, 5);
    let request = harness.arrive("encoder", |_| {});
    let first = harness.last_sent();
    harness.frame(first.attempt, entry::FrameInfo::Accepted(load()));
    harness.list_leaving("encoder");
    for _ in 0..20 {
        harness.advance(100);
    }
    assert_eq!(harness.refusal(request), None);
    harness.succeed(first.attempt, 3);
    assert_eq!(harness.answer_count(request), 1);
}

/// Guards against once-only calls that were refused after a silent sidecar had not got their message.
#[test]
fn call_resolved_as_not_run_is_sent_again_without_retry_budget() {
    let mut harness = without_retries("deposits");
    let (request, first) = harness.send_deposit();
    harness.advance(800);
    harness.refuse(first.attempt, Kind::Tombstoned, Ran::No);
    let second = harness.last_sent();
    assert_ne!(second.attempt, first.attempt);
    harness.succeed(second.attempt, 3);
    assert_eq!(harness.answer_count(request), 1);
}

/// Guards against calls that were lost with a connection although the sidecar still had them.
#[test]
fn lost_connection_without_retry_is_resolved_at_same_sidecar() {
    for is_back in [true, false] {
        let mut harness = without_retries("encoder");
        let request = harness.arrive("encoder", |_| {});
        let first = harness.last_sent();
        harness.frame(first.attempt, entry::FrameInfo::Accepted(load()));
        harness.step(entry::Event::ConnectionLost { attempt: first.attempt, sent: true });
        assert_eq!(harness.refusal(request), None);
        assert_eq!(harness.attach_messages().last().map(|a| a.attempt), Some(first.attempt));
        if is_back {
            harness.succeed(first.attempt, 3);
            assert_eq!(harness.answer_count(request), 1);
        } else {
            harness.step(entry::Event::ConnectionLost { attempt: first.attempt, sent: false });
            assert_eq!(harness.refusal(request), Some((Kind::SidecarLost, Ran::Unknown)));
        }
    }
}

#[test]
fn incomplete_answer_is_never_sent() {
    // A chunk is missing, or the end frame announces more bytes than arrived. Nothing of such an
    // answer may be sent to the caller as complete.
    let cases = [
        ("gap", entry::FrameInfo::Chunk { offset: 9, bytes: 2 }),
        ("short", entry::FrameInfo::End { total: 9, load: load() }),
    ];
    for (name, frame) in cases {
        let mut harness = Harness::new();
        let request = harness.arrive("encoder", |_| {});
        let attempt = harness.last_sent().attempt;
        harness.frame(attempt, entry::FrameInfo::Accepted(load()));
        harness.frame(attempt, entry::FrameInfo::Head(200));
        harness.frame(attempt, entry::FrameInfo::Chunk { offset: 0, bytes: 5 });
        harness.frame(attempt, frame);
        harness.frame(attempt, entry::FrameInfo::End { total: 5, load: load() });
        assert_eq!(harness.answer_count(request), 0, "{name}");
    }
}

#[test]
fn repeated_bytes_are_skipped() {
    // After an attach the sidecar may repeat bytes that arrived before. Each case has the offset
    // and size of a chunk, and how many of its bytes are skipped.
    let mut harness = Harness::new();
    harness.arrive("encoder", |_| {});
    let attempt = harness.last_sent().attempt;
    harness.frame(attempt, entry::FrameInfo::Head(200));
    for (offset, bytes, expected) in [(0, 5, 0), (2, 6, 3), (0, 8, 8)] {
        harness.effects.clear();
        harness.frame(attempt, entry::FrameInfo::Chunk { offset, bytes });
        let skip = harness.effects.iter().find_map(|effect| match effect {
            entry::Effect::BufferChunk { skip, .. } => Some(*skip),
            _ => None,
        });
        assert_eq!(skip, Some(expected));
    }
}

/// Starts a stream and relays its first five bytes.
fn start_stream(harness: &mut Harness) -> (id::RequestId, SentAttempt) {
    let request = harness.arrive("generator", |arrival| arrival.streaming = true);
    let first = harness.last_sent();
    harness.frame(first.attempt, entry::FrameInfo::Accepted(load()));
    harness.frame(first.attempt, entry::FrameInfo::Head(200));
    harness.frame(first.attempt, entry::FrameInfo::Chunk { offset: 0, bytes: 5 });
    (request, first)
}

#[test]
fn broken_stream_resumes_at_same_sidecar_then_elsewhere() {
    let mut harness = Harness::new();
    let (request, first) = start_stream(&mut harness);
    harness.step(entry::Event::ConnectionLost { attempt: first.attempt, sent: true });
    assert_eq!(harness.attach_messages()[0].offset, 5);
    harness.step(entry::Event::ConnectionLost { attempt: first.attempt, sent: false });
    let second = harness.last_sent();
    assert_ne!(second.attempt, first.attempt);
    assert_eq!(second.open.offset, 5);
    harness.frame(second.attempt, entry::FrameInfo::Head(200));
    harness.frame(second.attempt, entry::FrameInfo::Chunk { offset: 5, bytes: 4 });
    harness.frame(second.attempt, entry::FrameInfo::End { total: 9, load: load() });
    let heads = harness.effects.iter().filter(|e| matches!(e, entry::Effect::RelayHead(..)));
    assert_eq!(heads.count(), 1, "the caller gets one head");
    assert_eq!(harness.answer_count(request), 1);
}

#[test]
fn ended_stream_frees_its_attempt() {
    let mut harness = Harness::new();
    let (request, first) = start_stream(&mut harness);
    harness.frame(first.attempt, entry::FrameInfo::End { total: 5, load: load() });
    assert_eq!(harness.answer_count(request), 1);
    let freed = harness.effects.iter().any(
        |effect| matches!(effect, entry::Effect::Forget(attempt) if *attempt == first.attempt),
    );
    assert!(freed, "the shell frees the head and the connection only on this effect");
}

#[test]
fn broken_stream_without_resumption_is_refused() {
    let text = CONFIG_TEXT.replace("\"resumes\": true", "\"resumes\": false");
    let mut harness = Harness::with_text(&text);
    let (request, first) = start_stream(&mut harness);
    harness.step(entry::Event::ConnectionLost { attempt: first.attempt, sent: true });
    harness.step(entry::Event::ConnectionLost { attempt: first.attempt, sent: false });
    assert_eq!(harness.last_sent().attempt, first.attempt);
    assert_eq!(harness.refusal(request), Some((Kind::SidecarLost, Ran::Unknown)));
    assert_eq!(harness.answer_count(request), 0);
}

#[test]
fn stream_relays_bytes_of_one_attempt_only() {
    // Two attempts of a hedged call stream at the same time. Their bytes must not be mixed.
    let mut harness = Harness::new();
    // A first request sets the mean latency of the service, so that the next slow one is hedged.
    harness.arrive("generator", |_| {});
    let earlier = harness.last_sent();
    harness.succeed(earlier.attempt, 5);
    let request = harness.arrive("generator", |arrival| arrival.streaming = true);
    let first = harness.last_sent();
    harness.frame(first.attempt, entry::FrameInfo::Accepted(load()));
    harness.advance(500);
    let second = harness.last_sent();
    assert_ne!(first.attempt, second.attempt, "the slow attempt is hedged");
    harness.frame(second.attempt, entry::FrameInfo::Head(200));
    harness.frame(second.attempt, entry::FrameInfo::Chunk { offset: 0, bytes: 4 });
    assert!(harness.cancelled().contains(&first.attempt));
    harness.frame(first.attempt, entry::FrameInfo::Head(200));
    harness.frame(first.attempt, entry::FrameInfo::Chunk { offset: 0, bytes: 9 });
    let relayed = harness.effects.iter().filter(|e| matches!(e, entry::Effect::RelayChunk { .. }));
    assert_eq!(relayed.count(), 1);
    harness.frame(second.attempt, entry::FrameInfo::End { total: 4, load: load() });
    assert_eq!(harness.answer_count(request), 1);
}

#[test]
fn caller_disconnect_cancels_all_attempts() {
    let mut harness = Harness::new();
    let request = harness.arrive("pipeline/fitting-guide", |_| {});
    let attempt = harness.last_sent().attempt;
    harness.step(entry::Event::CallerGone(request));
    assert!(harness.cancelled().contains(&attempt));
    assert_eq!((harness.entry.request_count(), harness.entry.attempt_count()), (0, 0));
}

#[test]
fn deadline_before_acceptance_leaves_outcome_unknown() {
    // The sidecar may have received the call although it has sent no frame.
    let mut harness = Harness::new();
    let (request, _) = harness.send_deposit();
    harness.advance(10_000);
    assert_eq!(harness.refusal(request), Some((Kind::DeadlineExceeded, Ran::Unknown)));
}

#[test]
fn retries_stay_within_budget() {
    // Unbounded retries would multiply the load while an upstream is broken.
    let mut harness = Harness::new();
    let mut failed = 0;
    for _ in 0..40 {
        let request = harness.arrive("encoder", |_| {});
        while harness.refusal(request).is_none() {
            let attempt = harness.last_sent().attempt;
            failed += 1;
            harness.refuse(attempt, Kind::UpstreamBroken, Ran::Unknown);
        }
    }
    // 40 first attempts, 10 retries of the initial budget, and a fifth of the traffic.
    assert!(failed <= 40 + 10 + 8, "{failed} attempts");
}

#[test]
fn leaving_upstream_gets_no_attempt() {
    let mut harness = Harness::new();
    let mut list = instances();
    for (name, listed) in &mut list {
        listed.leaving = name.as_str() != "encoder-2" && name.as_str().starts_with("encoder");
    }
    harness.step(entry::Event::InstancesListed(list));
    let notices = harness.effects.iter().filter(|e| matches!(e, entry::Effect::NotifyLeaving(_)));
    assert_eq!(notices.count(), 2, "the leaving sidecars are notified");
    for _ in 0..20 {
        harness.arrive("encoder", |_| {});
        assert_eq!(harness.last_sent().address.port(), 9_002);
    }
}

fn with_key(arrival: &mut request::Arrival) {
    arrival.key = Some("counter/a".to_owned());
}

#[test]
fn key_is_sent_to_owner_reported_by_sidecar() {
    let mut harness = Harness::new();
    let request = harness.arrive("bookings", with_key);
    let first = harness.last_sent();
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
    harness.frame(first.attempt, entry::FrameInfo::Refused(refused));
    let second = harness.last_sent();
    assert_eq!(second.address, owner.address);
    assert_eq!(second.open.incarnation, Some(owner.incarnation));
    let sent = second.open.key.as_ref().expect("the attempt has a key");
    assert_eq!((sent.range, sent.fence), (key::range_of("counter/a"), owner.fence));
    harness.succeed(second.attempt, 3);
    assert_eq!(harness.answer_count(request), 1);
    harness.arrive("bookings", with_key);
    assert_eq!(
        harness.last_sent().address,
        owner.address,
        "the next request goes directly to the owner"
    );
}

#[test]
fn key_without_owner_is_refused_after_bounded_wait() {
    // The lease of the owner has lapsed, and no other sidecar takes the range over.
    let mut harness = Harness::new();
    let request = harness.arrive("bookings", with_key);
    let start = harness.now;
    while harness.refusal(request).is_none() {
        let last = harness.last_sent();
        harness.refuse(last.attempt, Kind::LeaseLapsed, Ran::No);
        harness.advance(100);
    }
    assert_eq!(harness.refusal(request), Some((Kind::LeaseLapsed, Ran::Unknown)));
    assert!(harness.now.elapsed_max(start) < time::Duration::from_secs(4));
}

#[test]
fn keyed_refusal_is_not_run_only_if_from_owner() {
    // An earlier request with the key may have run at the owner, which a refusal by another sidecar
    // does not rule out.
    // Refusal of every attempt, and whether the caller may be told that nothing ran.
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
        let mut harness = Harness::new();
        let request = harness.arrive("bookings", with_key);
        for _ in 0..300 {
            let last = harness.last_sent();
            if kind == Kind::SidecarLost {
                harness.step(entry::Event::ConnectionLost { attempt: last.attempt, sent: false });
            } else {
                harness.refuse(last.attempt, kind, Ran::No);
            }
            harness.advance(100);
        }
        assert_eq!(harness.refusal(request).map(|(_, ran)| ran), Some(expected), "{kind}");
    }
    let mut harness = Harness::new();
    harness.step(entry::Event::Drain);
    let request = harness.arrive("bookings", with_key);
    assert_eq!(harness.refusal(request), Some((Kind::Draining, Ran::Unknown)));
}

#[test]
fn owner_is_searched_at_every_member() {
    // The connections to all three members break. The two nearest ones must not be tried again and
    // again at the expense of the third.
    let mut harness = Harness::new();
    harness.arrive("bookings", with_key);
    let mut tried_ports = collections::BTreeSet::new();
    for _ in 0..12 {
        let last = harness.last_sent();
        tried_ports.insert(last.address.port());
        harness.step(entry::Event::ConnectionLost { attempt: last.attempt, sent: false });
        harness.advance(110);
    }
    let ports: Vec<_> = harness.sent_attempts().iter().map(|sent| sent.address.port()).collect();
    assert_eq!(tried_ports.len(), 3);
    let third = ports.iter().filter(|port| **port == 9_052).count();
    assert!(third >= 3, "{ports:?}");
}

/// One step of a random run. The first number selects an attempt or request.
#[derive(Clone, Copy, Debug)]
enum Action {
    Arrive { stream: bool },
    Accept(u8),
    Head(u8, bool),
    Chunk(u8, u8, u8),
    End(u8),
    Refuse(u8, u8),
    LoseConnection(u8, bool),
    CallerGone(u8),
    Advance(u16),
}

impl quickcheck::Arbitrary for Action {
    fn arbitrary(g: &mut quickcheck::Gen) -> Self {
        let index = u8::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0..=2 => Self::Arrive { stream: bool::arbitrary(g) },
            3 => Self::Accept(index),
            4 | 5 => Self::Head(index, u8::arbitrary(g) % 4 > 0),
            6..=8 => Self::Chunk(index, u8::arbitrary(g) % 12, u8::arbitrary(g) % 8),
            9 | 10 => Self::End(index),
            11 => Self::Refuse(index, u8::arbitrary(g)),
            12 => Self::LoseConnection(index, bool::arbitrary(g)),
            13 => Self::CallerGone(index),
            _ => Self::Advance(u16::arbitrary(g) % 1_500),
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

fn run_actions(target: &str, actions: &[Action]) -> (Harness, Vec<id::RequestId>) {
    let mut harness = Harness::new();
    let mut requests = Vec::new();
    for action in actions {
        let sent = harness.sent_attempts();
        // Frames can arrive for any attempt that was ever sent, even if it has ended.
        let attempt = |index: u8| sent.get(index as usize % sent.len().max(1)).map(|s| s.attempt);
        let frame = match *action {
            Action::Arrive { stream } => {
                requests.push(harness.arrive(target, |arrival| arrival.streaming = stream));
                continue;
            }
            Action::Advance(millis) => {
                harness.advance(u64::from(millis));
                continue;
            }
            Action::CallerGone(index) => {
                if !requests.is_empty() {
                    let request = requests[index as usize % requests.len()];
                    harness.step(entry::Event::CallerGone(request));
                }
                continue;
            }
            Action::LoseConnection(index, sent) => {
                if let Some(attempt) = attempt(index) {
                    harness.step(entry::Event::ConnectionLost { attempt, sent });
                }
                continue;
            }
            Action::Accept(index) => (index, entry::FrameInfo::Accepted(load())),
            Action::Head(index, is_success) => {
                (index, entry::FrameInfo::Head(if is_success { 200 } else { 500 }))
            }
            Action::Chunk(index, offset, bytes) => {
                let (offset, bytes) = (u64::from(offset), u64::from(bytes));
                (index, entry::FrameInfo::Chunk { offset, bytes })
            }
            Action::End(index) => (index, entry::FrameInfo::End { total: 10, load: load() }),
            Action::Refuse(index, kind) => {
                let (kind, ran) = REFUSALS[kind as usize % REFUSALS.len()];
                let refused = wire::Refused { kind, ran, owner: None, load: load() };
                (index, entry::FrameInfo::Refused(refused))
            }
        };
        if let Some(attempt) = attempt(frame.0) {
            harness.frame(attempt, frame.1);
        }
    }
    (harness, requests)
}

fn end_count(harness: &Harness, request: id::RequestId) -> usize {
    harness.answer_count(request) + usize::from(harness.refusal(request).is_some())
}

/// Whether the entry sent a once-only call again although an earlier attempt may have run, in a run
/// of the actions.
fn sends_again_after_possible_run(actions: &[Action]) -> bool {
    let (harness, requests) = run_actions("deposits", actions);
    requests.iter().any(|request| {
        let sent: Vec<_> =
            harness.sent_attempts().into_iter().filter(|s| s.open.request == *request).collect();
        // Every attempt but the last must have ended as not run before the next one was sent. If it
        // was abandoned instead, the entry has cancelled it.
        sent.iter().rev().skip(1).any(|s| harness.cancelled().contains(&s.attempt))
    })
}

quickcheck::quickcheck! {
    fn random_events_end_each_request_at_most_once(actions: Vec<Action>, generate: bool) -> bool {
        let (harness, requests) =
            run_actions(if generate { "generator" } else { "deposits" }, &actions);
        requests.iter().all(|request| end_count(&harness, *request) <= 1)
    }

    fn random_events_free_all_state(actions: Vec<Action>, generate: bool) -> bool {
        let target = if generate { "generator" } else { "deposits" };
        let (mut harness, requests) = run_actions(target, &actions);
        harness.advance(10_000);
        let is_over = |request| {
            actions.iter().any(|a| matches!(a, Action::CallerGone(_)))
                || end_count(&harness, request) == 1
        };
        requests.iter().all(|request| is_over(*request))
            && harness.entry.request_count() == 0
            && harness.entry.attempt_count() == 0
    }

    fn random_events_never_run_once_only_call_twice(actions: Vec<Action>) -> bool {
        !sends_again_after_possible_run(&actions)
    }

    fn random_events_begin_each_stream_once(actions: Vec<Action>) -> bool {
        let (harness, requests) = run_actions("generator", &actions);
        requests.iter().all(|request| {
            let begins = harness.effects.iter().filter(|e| {
                matches!(e, entry::Effect::RelayHead(r, _) if r == request)
            });
            begins.count() <= 1
        })
    }
}
