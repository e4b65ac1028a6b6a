//! The gateway's reducer: who runs a request, how often, and what its caller is told.

use std::collections;
use std::sync;
use std::time;

use bramleyshelf_lib::{
    batch, clock, fleet, gateway, handoff, id, placement, refusal, roster, table, unit,
};
use bramleyshelf_testutils::values::{ms, name};

fn route(prefix: &str, kind: table::RequestKind, attempts: u32) -> sync::Arc<table::Route> {
    sync::Arc::new(table::Route {
        name: prefix.trim_matches('/').to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: ms(4_000),
        target: ms(1_000),
        start_timeout: ms(3_000),
        max_attempts: attempts,
        rank: 1,
        split: vec![(name("app"), 1)],
        is_public: false,
        stages: Vec::new(),
    })
}

fn staged() -> sync::Arc<table::Route> {
    let stage = |service: &str, after: &[usize], size| table::Stage {
        service: name(service),
        depends_on: after.to_vec(),
        result_size: unit::ByteSize(size),
    };
    let stages = vec![stage("scan", &[], 8_000), stage("rank", &[0], 6_000)];
    let plain = route("/guide/", table::RequestKind::Stream, 1);
    sync::Arc::new(table::Route { stages, ..(*plain).clone() })
}

fn table(version: u64, keys: &[&str]) -> sync::Arc<table::Table> {
    let batching = table::Batching {
        slots: 1,
        max_queued: 2,
        max_pieces: 8,
        call_time: ms(150),
        piece_time: ms(10),
        result_memory: unit::ByteSize(40_000_000),
        retention: ms(4_000),
    };
    let plain = table::Service { max_connections: 64, ..table::Service::default() };
    let stage = table::Service { batching: Some(batching), ..plain.clone() };
    let team = table::Team { name: name("ski"), rank: None };
    sync::Arc::new(table::Table {
        version: table::Version(version),
        routes: vec![
            route("/book/", table::RequestKind::Once, 2),
            route("/stock/", table::RequestKind::Idempotent, 2),
            route("/chat/", table::RequestKind::Stream, 1),
            route("/again/", table::RequestKind::Resumable, 2),
            staged(),
        ],
        services: [("app", plain), ("scan", stage.clone()), ("rank", stage)]
            .into_iter()
            .map(|(service, pool)| (name(service), pool))
            .collect(),
        teams: keys.iter().map(|key| (table::Credential((*key).into()), team.clone())).collect(),
        limits: table::Limits::default(),
    })
}

/// A gateway with a clock that the test moves.
struct Bench {
    gateway: gateway::Gateway,
    now: clock::Now,
    next: u128,
}

impl Bench {
    fn new() -> Self {
        let regions = [("a", "east")].map(|(d, r)| (name(d), name(r)));
        let terms = gateway::Settings {
            instance: name("g1"),
            domain: name("a"),
            regions: collections::BTreeMap::from(regions),
            revocation_bound: Some(ms(5_000)),
            retry_share: 0.1,
        };
        let now = clock::Now { mono: ms(10_000), wall: ms(1_000_000) };
        let mut bench = Self { gateway: gateway::Gateway::new(terms, 7), now, next: 0 };
        bench.confirm(&table(5, &["key"]));
        bench.list(&["u1", "u2"]);
        bench
    }

    fn step(&mut self, event: gateway::Event) -> Vec<gateway::Effect> {
        let mut effects = Vec::new();
        self.gateway.step(self.now, event, &mut effects);
        effects.retain(|effect| !matches!(effect, gateway::Effect::Log(_)));
        effects
    }

    fn pass(&mut self, span: time::Duration) -> Vec<gateway::Effect> {
        self.now = self.now.after(span);
        self.step(gateway::Event::Tick)
    }

    fn confirm(&mut self, table: &sync::Arc<table::Table>) {
        let asked = self.now;
        self.step(gateway::Event::TableRead { sent: asked, table: sync::Arc::clone(table) });
    }

    fn list(&mut self, apps: &[&str]) {
        let entry = |instance: &str, service: &str| fleet::ListEntry {
            instance: name(instance),
            service: name(service),
            address: "10.0.0.1:80".parse().expect("an address"),
            domain: name("a"),
            leaving: false,
            started_ms: None,
        };
        let mut list: Vec<_> = apps.iter().map(|app| entry(app, "app")).collect();
        list.extend([entry("s1", "scan"), entry("r1", "rank")]);
        self.step(gateway::Event::UpstreamsListed(list));
    }

    fn arrive(&mut self, path: &str) -> (id::RequestId, Vec<gateway::Effect>) {
        self.next += 1;
        let request = id::RequestId(self.next);
        let arrival = gateway::Arrival {
            external_id: format!("r{}", self.next),
            host: "shop.example:80".to_owned(),
            path: path.to_owned(),
            credential: Some(table::Credential("key".to_owned())),
            budget: Some(ms(4_000)),
            piece_counts: if path.starts_with("/guide") { vec![1, 3] } else { Vec::new() },
            input_key: Some("k".to_owned()),
            prompt_parts: vec![placement::PromptPart { id: 1, tokens: 100 }],
            ..gateway::Arrival::default()
        };
        (request, self.step(gateway::Event::RequestArrived(request, Box::new(arrival))))
    }

    fn end(&mut self, call: gateway::CallId, outcome: gateway::Outcome) -> Vec<gateway::Effect> {
        self.step(gateway::Event::CallEnded { call, outcome, load: None })
    }

    fn done(&mut self, run: &gateway::BatchCall) -> Vec<gateway::Effect> {
        let handle = |item: &gateway::BatchItem| {
            gateway::Handle(format!("{}/{}/{}", item.external_id, item.stage, item.piece))
        };
        let outcomes =
            run.items.iter().map(|item| gateway::PieceOutcome::Done(handle(item))).collect();
        self.batch(run, gateway::BatchOutcome::Done(outcomes))
    }

    fn batch(
        &mut self,
        run: &gateway::BatchCall,
        outcome: gateway::BatchOutcome,
    ) -> Vec<gateway::Effect> {
        self.step(gateway::Event::BatchEnded { batch: run.batch, outcome, load: None })
    }
}

fn sent(effects: &[gateway::Effect]) -> Option<&gateway::RequestCall> {
    effects.iter().find_map(|effect| match effect {
        gateway::Effect::SendRequest(send) => Some(&**send),
        _ => None,
    })
}

fn run(effects: &[gateway::Effect]) -> &gateway::BatchCall {
    effects
        .iter()
        .find_map(|effect| match effect {
            gateway::Effect::SendBatch(run) => Some(&**run),
            _ => None,
        })
        .expect("a batch is sent")
}

fn refused(effects: &[gateway::Effect]) -> Option<(refusal::Kind, refusal::Ran)> {
    effects.iter().find_map(|effect| match effect {
        gateway::Effect::Refuse { refusal, .. } => Some((refusal.kind, refusal.ran)),
        _ => None,
    })
}

#[test]
fn ended_table() {
    use gateway::Outcome;
    let not_run = Outcome::NotRun { elsewhere: false, inputs_gone: false };
    let broken = Outcome::Broken { last: None };
    // Path, how the first call ends, whether a second one follows, and else whether it may have run.
    let cases = [
        ("/book/1", Outcome::Unsent, true, None),
        ("/book/1", not_run, true, None),
        ("/book/1", broken, false, Some(refusal::Ran::Unknown)),
        ("/book/1", Outcome::Answered { status: 500 }, false, None),
        ("/stock/1", broken, true, None),
        ("/stock/1", Outcome::Answered { status: 500 }, true, None),
        ("/stock/1", Outcome::Answered { status: 200 }, false, None),
        ("/chat/1", broken, false, Some(refusal::Ran::Unknown)),
        ("/chat/1", not_run, true, None),
        ("/again/1", Outcome::Broken { last: Some(3) }, true, None),
    ];
    for (path, outcome, again, ran) in cases {
        let mut bench = Bench::new();
        let (_, effects) = bench.arrive(path);
        let first = sent(&effects).expect("it is sent").clone();
        let effects = bench.end(first.call, outcome);
        let second = sent(&effects);
        assert_eq!(second.is_some(), again, "{path} {outcome:?}");
        if let Some(second) = second {
            assert_ne!(second.instance, first.instance, "{path} {outcome:?}");
            let last = if let Outcome::Broken { last } = outcome { last } else { None };
            assert_eq!(second.last_event, last, "it goes on after what the caller has");
        }
        assert_eq!(refused(&effects).map(|(_, ran)| ran), ran, "{path} {outcome:?}");
    }
}

#[test]
fn ended_never_runs_on_more_upstreams_than_allowed() {
    let mut bench = Bench::new();
    bench.list(&["u1", "u2", "u3", "u4"]);
    let (_, effects) = bench.arrive("/stock/1");
    let first = sent(&effects).expect("it is sent").call;
    let effects = bench.end(first, gateway::Outcome::Broken { last: None });
    let second = sent(&effects).expect("one repeat is allowed").call;
    let effects = bench.end(second, gateway::Outcome::Broken { last: None });
    assert!(sent(&effects).is_none());
    assert_eq!(refused(&effects).map(|(_, ran)| ran), Some(refusal::Ran::Unknown));
}

#[test]
fn arrive_needs_a_lease_on_the_table() {
    let mut bench = Bench::new();
    bench.now = bench.now.after(ms(4_900));
    let (_, effects) = bench.arrive("/book/1");
    assert_eq!(refused(&effects), Some((refusal::Kind::NotReady, refusal::Ran::No)));
    // A frozen instance: only the wall clock went on.
    let mut bench = Bench::new();
    bench.now.wall += ms(6_000);
    let (_, effects) = bench.arrive("/book/1");
    assert_eq!(refused(&effects), Some((refusal::Kind::NotReady, refusal::Ran::No)));
}

#[test]
fn arrive_table() {
    use refusal::Kind;
    let mut bench = Bench::new();
    let (_, effects) = bench.arrive("/nowhere/1");
    assert_eq!(refused(&effects), Some((Kind::NotFound, refusal::Ran::No)));
    bench.confirm(&table(6, &["other"]));
    let (_, effects) = bench.arrive("/book/1");
    assert_eq!(refused(&effects), Some((Kind::Unauthorized, refusal::Ran::No)));
    // An older version is an old read: it neither comes into force nor confirms anything.
    bench.now = bench.now.after(ms(4_000));
    bench.confirm(&table(5, &["key"]));
    assert_eq!(bench.gateway.table_version(), table::Version(6));
    bench.now = bench.now.after(ms(1_000));
    let (_, effects) = bench.arrive("/book/1");
    assert_eq!(refused(&effects), Some((Kind::NotReady, refusal::Ran::No)));
}

#[test]
fn tick_ends_requests_at_their_time() {
    let mut bench = Bench::new();
    let (request, effects) = bench.arrive("/chat/1");
    let call = sent(&effects).expect("it is sent").call;
    let effects = bench.pass(ms(3_001));
    assert_eq!(refused(&effects).map(|(_, ran)| ran), Some(refusal::Ran::Unknown));
    assert!(effects.iter().any(|e| matches!(e, gateway::Effect::CancelCall(c) if *c == call)));
    assert!(effects.iter().any(|e| matches!(e, gateway::Effect::DropRequest(r) if *r == request)));
    // One that has begun may go on until the route's timeout, and is then broken off.
    bench.confirm(&table(5, &["key"]));
    let (request, effects) = bench.arrive("/chat/1");
    bench.step(gateway::Event::AnswerStarted(sent(&effects).expect("it is sent").call));
    assert!(bench.pass(ms(3_500)).is_empty());
    let effects = bench.pass(ms(600));
    assert!(refused(&effects).is_none(), "the caller has the beginning already");
    assert!(effects.iter().any(|e| matches!(e, gateway::Effect::DropRequest(r) if *r == request)));
    assert_eq!(bench.gateway.request_count(), 0);
}

#[test]
fn drain_takes_requests_in_only_while_they_can_end() {
    // Found by a hunt: a stream that came 3.02 s after the request to stop was cut at the stop.
    let mut bench = Bench::new();
    bench.step(gateway::Event::Drain);
    assert!(!bench.gateway.is_ready(bench.now));
    bench.pass(ms(2_400));
    let (_, effects) = bench.arrive("/chat/1");
    assert!(sent(&effects).is_some(), "callers that come meanwhile are served");
    bench.pass(ms(200));
    let (_, effects) = bench.arrive("/chat/1");
    assert_eq!(refused(&effects), Some((refusal::Kind::Draining, refusal::Ran::No)));
}

#[test]
fn gone_cancels_work_at_upstreams() {
    let mut bench = Bench::new();
    let (request, effects) = bench.arrive("/chat/1");
    let call = sent(&effects).expect("it is sent").call;
    let effects = bench.step(gateway::Event::CallerGone(request));
    assert!(effects.iter().any(|e| matches!(e, gateway::Effect::CancelCall(c) if *c == call)));
}

#[test]
fn stages_pass_results_on_and_free_them() {
    let mut bench = Bench::new();
    let (_, effects) = bench.arrive("/guide/1");
    let scan = run(&effects).clone();
    assert_eq!(scan.items.len(), 1);
    assert_eq!(scan.items[0].input, gateway::PieceInput::Key("k".to_owned()));
    let effects = bench.done(&scan);
    let rank = run(&effects).clone();
    assert_eq!(rank.items.len(), 3);
    let input = gateway::Handle("r1/0/0".to_owned());
    assert_eq!(rank.items[0].input, gateway::PieceInput::Results(vec![input.clone()]));
    let effects = bench.done(&rank);
    let send = sent(&effects).expect("all stages are done").clone();
    assert_eq!(send.inputs.len(), 3);
    let freed = bench.pass(ms(20));
    assert!(
        matches!(&freed[..], [gateway::Effect::FreeResults { handles, .. }] if *handles == [input])
    );
    bench.step(gateway::Event::AnswerStarted(send.call));
    let freed = bench.pass(ms(20));
    assert!(
        matches!(&freed[..], [gateway::Effect::FreeResults { handles, .. }] if handles.len() == 3)
    );
}

#[test]
fn stages_make_lost_inputs_again() {
    let mut bench = Bench::new();
    let (_, effects) = bench.arrive("/guide/1");
    let scan = run(&effects).clone();
    let effects = bench.done(&scan);
    let rank = run(&effects).clone();
    let gone = vec![gateway::PieceOutcome::InputGone; 3];
    let effects = bench.batch(&rank, gateway::BatchOutcome::Done(gone));
    let again = run(&effects).clone();
    assert_eq!((again.items.len(), again.items[0].stage), (1, 0), "the first stage is done again");
    let effects = bench.done(&again);
    assert_eq!(run(&effects).items.len(), 3, "with all its inputs, the second one too");
}

#[test]
fn stages_free_results_of_requests_that_are_gone() {
    let mut bench = Bench::new();
    let (request, effects) = bench.arrive("/guide/1");
    let scan = run(&effects).clone();
    bench.step(gateway::Event::CallerGone(request));
    bench.done(&scan);
    let freed = bench.pass(ms(20));
    assert!(
        matches!(&freed[..], [gateway::Effect::FreeResults { handles, .. }] if handles.len() == 1)
    );
}

fn peers(instances: &[&str]) -> gateway::Event {
    let peer = |instance: &&str| roster::Peer {
        instance: name(instance),
        address: "10.0.0.9:81".parse().expect("an address"),
        domain: name("a"),
        weight: 100,
    };
    gateway::Event::PeersListed(instances.iter().map(peer).collect())
}

fn handed(effects: &[gateway::Effect]) -> Option<batch::GroupId> {
    effects.iter().find_map(|effect| match effect {
        gateway::Effect::HandOver { group, .. } => Some(*group),
        _ => None,
    })
}

#[test]
fn handover_falls_back_when_its_holder_is_lost() {
    let mut bench = Bench::new();
    // Only the other gateway is alive in the list, so it forms all batches.
    bench.step(peers(&["g2"]));
    let (_, effects) = bench.arrive("/guide/1");
    let group = handed(&effects).expect("the pieces are handed over");
    let effects = bench.pass(ms(300));
    assert!(effects.iter().any(|e| matches!(e, gateway::Effect::ProbePeer { .. })), "it is silent");
    let effects = bench.step(gateway::Event::PeerProbed { peer: name("g2"), is_alive: false });
    assert!(effects.iter().any(|e| matches!(e, gateway::Effect::CancelHandover(g) if *g == group)));
    assert_eq!(run(&effects).items.len(), 1, "the pieces are made here");
    // A late answer of the holder changes nothing.
    assert!(bench.step(gateway::Event::HandoverEnded(group, None)).is_empty());
}

#[test]
fn handover_stays_with_a_gateway_that_is_about_to_stop() {
    // A planned stop takes the batcher off the list at once; it finishes what it holds. Making that
    // again elsewhere doubled the work of each roll of the gateways.
    let mut bench = Bench::new();
    bench.step(peers(&["g2"]));
    let (_, effects) = bench.arrive("/guide/1");
    let group = handed(&effects).expect("the pieces are handed over");
    bench.step(peers(&["g1"]));
    let effects = bench.pass(ms(100));
    assert!(effects.is_empty(), "nothing is taken back: {effects:?}");
    bench.pass(ms(300));
    let effects = bench.step(gateway::Event::PeerProbed { peer: name("g2"), is_alive: true });
    assert!(effects.is_empty(), "it is alive: {effects:?}");
    let handle = gateway::Handle("h".to_owned());
    let pieces = vec![handoff::Outcome::Done { instance: name("s1"), handle }];
    let outcomes =
        handoff::HandoverResult { outcomes: pieces, wait: batch::WaitEstimate::default() };
    let effects = bench.step(gateway::Event::HandoverEnded(group, Some(outcomes)));
    assert_eq!(run(&effects).items[0].stage, 1, "its result is used");
}

#[test]
fn handover_brings_results_back() {
    let mut bench = Bench::new();
    bench.step(peers(&["g2"]));
    let (_, effects) = bench.arrive("/guide/1");
    let group = handed(&effects).expect("the pieces are handed over");
    let handle = gateway::Handle("h".to_owned());
    let pieces = vec![handoff::Outcome::Done { instance: name("s1"), handle }];
    let outcomes =
        handoff::HandoverResult { outcomes: pieces, wait: batch::WaitEstimate::default() };
    let effects = bench.step(gateway::Event::HandoverEnded(group, Some(outcomes)));
    assert!(handed(&effects).is_some(), "the next stage is handed over");
}

#[test]
fn handover_is_waited_for_beyond_the_request() {
    // If the wait for a handover ended with the request, the holder would look lost, and all its
    // pieces would be made twice at the worst moment.
    let mut bench = Bench::new();
    bench.step(peers(&["g2"]));
    let (_, effects) = bench.arrive("/guide/1");
    let patience = effects.iter().find_map(|effect| match effect {
        gateway::Effect::HandOver { timeout: patience, .. } => Some(*patience),
        _ => None,
    });
    assert!(patience.expect("the pieces are handed over") > ms(3_000));
    let effects = bench.pass(ms(3_001));
    assert!(effects.iter().any(|e| matches!(e, gateway::Effect::CancelHandover(_))));
    assert_eq!(refused(&effects).map(|(_, ran)| ran), Some(refusal::Ran::No));
}

#[test]
fn take_over_answers_the_other_gateway_once() {
    let mut bench = Bench::new();
    let message = handoff::Handover {
        version: handoff::VERSION,
        from: name("g2"),
        upcoming: batch::PiecesByRank::default(),
        external_id: "x".to_owned(),
        service: name("scan"),
        region: name("east"),
        stage: 0,
        pieces: vec![0, 1],
        due_ms: 500,
        budget_ms: unit::Millis(2_000),
        rank: 0,
        result_size: unit::ByteSize(8_000),
        input: gateway::PieceInput::Key("k".to_owned()),
        input_domain: None,
    };
    let ticket = gateway::HandoverId(4);
    let effects = bench.step(gateway::Event::HandoverReceived(ticket, Box::new(message.clone())));
    let first = run(&effects).clone();
    let effects = bench.done(&first);
    assert!(matches!(
        &effects[..],
        [gateway::Effect::AnswerHandover(t, outcomes)] if *t == ticket && outcomes.outcomes.len() == 2
    ));
    // One that is withdrawn frees what was made.
    let ticket = gateway::HandoverId(5);
    let effects = bench.step(gateway::Event::HandoverReceived(ticket, Box::new(message)));
    let second = run(&effects).clone();
    bench.step(gateway::Event::HandoverCancelled(ticket));
    let effects = bench.done(&second);
    assert!(!effects.iter().any(|e| matches!(e, gateway::Effect::AnswerHandover(..))));
    let freed = bench.pass(ms(20));
    assert!(
        matches!(&freed[..], [gateway::Effect::FreeResults { handles, .. }] if handles.len() == 2)
    );
}

quickcheck::quickcheck! {
    /// Whatever happens to its calls, a request that may run once is never sent again after it may
    /// have run, and never told "not run" then.
    fn once_only_runs_at_most_once(outcomes: Vec<u8>) -> bool {
        let mut bench = Bench::new();
        bench.list(&["u1", "u2", "u3"]);
        let (_, mut effects) = bench.arrive("/book/1");
        let mut may_have_run = false;
        for outcome in outcomes {
            let Some(call) = sent(&effects).map(|send| send.call) else { break };
            if may_have_run {
                return false;
            }
            let outcome = match outcome % 4 {
                0 => gateway::Outcome::Unsent,
                1 => gateway::Outcome::NotRun { elsewhere: false, inputs_gone: false },
                2 => gateway::Outcome::Broken { last: None },
                _ => gateway::Outcome::Answered { status: 503 },
            };
            may_have_run = matches!(
                outcome,
                gateway::Outcome::Broken { .. } | gateway::Outcome::Answered { .. }
            );
            effects = bench.end(call, outcome);
            if refused(&effects).is_some_and(|(_, ran)| may_have_run && ran == refusal::Ran::No) {
                return false;
            }
        }
        true
    }
}
