//! Evacuated failure domains: what upstreams there still get, what becomes of requests that wait for
//! them, and which reads count.

use std::collections;
use std::sync;
use std::time;

use bramleyshelf_lib::{
    clock, cold, evacuation, fleet, gateway, handoff, id, refusal, relay, roster, shedding,
    store_era, table, unit,
};
use bramleyshelf_testutils::values::{ms, name};

const DOMAINS: [(&str, &str); 3] = [("a", "east"), ("b", "east"), ("c", "west")];
/// Upstreams: instance, service and failure domain.
const UPSTREAMS: [(&str, &str, &str); 7] = [
    ("app1", "app", "a"),
    ("app2", "app", "b"),
    ("app3", "app", "c"),
    ("scan1", "scan", "a"),
    ("scan2", "scan", "b"),
    ("scan3", "scan", "c"),
    ("solo1", "solo", "b"),
];
const BROKEN: gateway::Outcome =
    gateway::Outcome::Broken { last: Some(3), cause: gateway::BreakCause::ConnectionLost };
const NOT_RUN: gateway::Outcome = gateway::Outcome::NotRun { elsewhere: false, inputs_gone: false };

fn domain_of(instance: &id::InstanceId) -> &'static str {
    let known = UPSTREAMS.iter().find(|(known, ..)| *known == instance.as_str());
    known.expect("an upstream of the test").2
}

fn domains(names: &[&str]) -> collections::BTreeSet<id::DomainId> {
    names.iter().map(|domain| name(domain)).collect()
}

fn table(of_routes: &[&str]) -> table::Table {
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
    let stage = |depends_on: &[usize]| table::Stage {
        service: name("scan"),
        depends_on: depends_on.to_vec(),
        result_size: unit::ByteSize(100_000),
    };
    let bound = if of_routes.is_empty() {
        table::RegionBound::default()
    } else {
        table::RegionBound::only(of_routes.iter().map(|region| name(region)))
    };
    let route = |prefix: &str, service: &str, stages: &[table::Stage]| {
        sync::Arc::new(table::Route {
            name: prefix.trim_matches('/').to_owned(),
            host: "shop.example".to_owned(),
            prefix: prefix.to_owned(),
            kind: table::RequestKind::Resumable,
            timeout: ms(4_000),
            target: ms(1_000),
            start_timeout: ms(3_000),
            max_attempts: 3,
            rank: 1,
            split: vec![(name(service), 1)],
            is_public: true,
            stages: stages.to_vec(),
            allowed_regions: bound.clone(),
        })
    };
    let stages = [stage(&[]), stage(&[0])];
    table::Table {
        version: table::Version(1),
        routes: vec![
            route("/stock/", "app", &[]),
            route("/guide/", "app", &stages),
            route("/solo/", "solo", &[]),
            route("/tour/", "solo", &stages),
        ],
        services: [
            ("app", plain.clone()),
            ("solo", plain.clone()),
            ("scan", table::Service { batching: Some(batching), ..plain }),
        ]
        .into_iter()
        .map(|(service, pool)| (name(service), pool))
        .collect(),
        teams: None,
        limits: table::Limits::default(),
    }
}

/// A gateway in failure domain `b` with a simulated clock.
struct Harness {
    gateway: gateway::Gateway,
    now: clock::Now,
    request_count: u128,
    /// Log lines of the latest step.
    lines: Vec<String>,
}

impl Harness {
    fn new(of_routes: &[&str]) -> Self {
        let settings = gateway::Settings {
            instance: name("g1"),
            domain: name("b"),
            regions: DOMAINS.iter().map(|(d, r)| (name(d), name(r))).collect(),
            revocation_bound: None,
            retry_share: 1.0,
            cold_allowance: cold::Allowance::default(),
            overload: shedding::Overload::Due,
        };
        let now = clock::Now { mono: ms(10_000), wall: ms(1_000_000) };
        let gateway = gateway::Gateway::new(settings, 7);
        let mut harness = Self { gateway, now, request_count: 0, lines: Vec::new() };
        harness.list();
        let table = sync::Arc::new(table(of_routes));
        harness.step(gateway::Event::TableRead { confirmed: Some(now), table });
        harness
    }

    fn step(&mut self, event: gateway::Event) -> Vec<gateway::Effect> {
        let mut effects = Vec::new();
        self.gateway.step(self.now, event, &mut effects);
        self.lines.clear();
        effects.retain(|effect| match effect {
            gateway::Effect::Log(line) => {
                self.lines.push(line.to_string());
                false
            }
            _ => true,
        });
        effects
    }

    fn list(&mut self) {
        let entry = |(instance, service, domain): &(&str, &str, &str)| fleet::ListEntry {
            instance: name(instance),
            service: name(service),
            address: "10.0.0.1:80".parse().expect("an address"),
            domain: name(domain),
            version: name("v1"),
            leaving: false,
            started_ms: None,
            cold_left: None,
        };
        self.step(gateway::Event::UpstreamsListed(UPSTREAMS.iter().map(entry).collect()));
    }

    fn advance(&mut self, duration: time::Duration) -> Vec<gateway::Effect> {
        self.now = self.now.after(duration);
        self.step(gateway::Event::Tick)
    }

    fn evacuate(&mut self, names: &[&str]) -> Vec<gateway::Effect> {
        self.step(gateway::Event::DomainsEvacuated(domains(names)))
    }

    fn arrive(&mut self, path: &str) -> Vec<gateway::Effect> {
        self.request_count += 1;
        let has_stages = path.starts_with("/guide") || path.starts_with("/tour");
        let arrival = gateway::Arrival {
            external_id: format!("r{}", self.request_count),
            host: "shop.example".to_owned(),
            path: path.to_owned(),
            budget: Some(ms(4_000)),
            piece_counts: if has_stages { vec![2, 3] } else { Vec::new() },
            input_key: Some("k".to_owned()),
            ..gateway::Arrival::default()
        };
        let request = id::RequestId(self.request_count);
        self.step(gateway::Event::RequestArrived(request, Box::new(arrival)))
    }

    fn end_call(
        &mut self,
        call: gateway::CallId,
        outcome: gateway::Outcome,
    ) -> Vec<gateway::Effect> {
        self.step(gateway::Event::CallEnded { call, outcome, load: None })
    }

    fn end_batch(&mut self, call: &gateway::BatchCall) -> Vec<gateway::Effect> {
        let handle = |item: &gateway::BatchItem| {
            gateway::Handle(format!("{}/{}/{}", item.external_id, item.stage, item.piece))
        };
        let outcomes =
            call.items.iter().map(|item| gateway::PieceOutcome::Done(handle(item))).collect();
        let outcome = gateway::BatchOutcome::Done(outcomes);
        self.step(gateway::Event::BatchEnded { batch: call.batch, outcome, load: None })
    }
}

fn batches(effects: &[gateway::Effect]) -> Vec<gateway::BatchCall> {
    let sent = effects.iter().filter_map(|effect| match effect {
        gateway::Effect::SendBatch(call) => Some((**call).clone()),
        _ => None,
    });
    sent.collect()
}

fn answer_call(effects: &[gateway::Effect]) -> Option<(gateway::CallId, &'static str)> {
    effects.iter().find_map(|effect| match effect {
        gateway::Effect::SendRequest(send) => Some((send.call, domain_of(&send.instance))),
        _ => None,
    })
}

/// Returns the failure domains to whose upstreams something is sent.
fn reached(effects: &[gateway::Effect]) -> collections::BTreeSet<&'static str> {
    let instances = effects.iter().filter_map(|effect| match effect {
        gateway::Effect::SendRequest(send) => Some(&send.instance),
        gateway::Effect::SendBatch(batch) => Some(&batch.instance),
        gateway::Effect::FreeResults { process, .. } => Some(&process.instance),
        _ => None,
    });
    instances.map(domain_of).collect()
}

fn refusal_of(effects: &[gateway::Effect]) -> Option<(refusal::Kind, refusal::Ran, bool)> {
    effects.iter().find_map(|effect| match effect {
        gateway::Effect::Refuse { refusal, retry_after, .. } => {
            Some((refusal.kind, refusal.ran, retry_after.is_some()))
        }
        _ => None,
    })
}

const HOPELESS: Option<(refusal::Kind, refusal::Ran, bool)> =
    Some((refusal::Kind::NoUpstream, refusal::Ran::No, false));

/// Guards against requests and pieces that go to the nearest upstreams although their domain is
/// evacuated.
#[test]
fn evacuated_domain_gets_nothing_after_the_read() {
    for path in ["/stock/1", "/guide/1"] {
        let mut harness = Harness::new(&[]);
        let before: collections::BTreeSet<_> =
            (0..10).flat_map(|_| reached(&harness.arrive(path))).collect();
        assert!(before.contains("b"), "{path}: it is used otherwise");
        let mut harness = Harness::new(&[]);
        harness.evacuate(&["b"]);
        for _ in 0..10 {
            let mut effects = harness.arrive(path);
            loop {
                assert!(!reached(&effects).contains("b"), "{path}: {effects:?}");
                let Some(batch) = batches(&effects).first().cloned() else { break };
                effects = harness.end_batch(&batch);
            }
            assert!(answer_call(&effects).is_some(), "{path}: it is served elsewhere");
        }
    }
}

/// Guards against calls in progress that are cut, and against their retries and resumed streams,
/// which are new calls.
#[test]
fn evacuated_domain_ends_its_work_and_gets_no_retries() {
    for outcome in [gateway::Outcome::Unsent, NOT_RUN, BROKEN] {
        let mut harness = Harness::new(&[]);
        let effects = harness.arrive("/stock/1");
        let (call, domain) = answer_call(&effects).expect("a call");
        assert_eq!(domain, "b");
        assert!(harness.evacuate(&["a", "b"]).is_empty(), "the call goes on");
        let mut effects = harness.end_call(call, outcome);
        assert!(answer_call(&effects).is_some(), "{outcome:?}: it is tried elsewhere");
        while let Some((call, domain)) = answer_call(&effects) {
            assert_eq!(domain, "c", "{outcome:?}");
            effects = harness.end_call(call, outcome);
        }
    }
    let mut harness = Harness::new(&[]);
    let effects = harness.arrive("/stock/1");
    let (call, _) = answer_call(&effects).expect("a call");
    harness.evacuate(&["b"]);
    let effects = harness.end_call(call, gateway::Outcome::Answered { status: 200 });
    assert!(effects.iter().any(|effect| matches!(effect, gateway::Effect::DeliverAnswer(..))));
}

/// Guards against pieces that were queued before the read and are sent after it.
#[test]
fn queued_pieces_leave_an_evacuated_domain() {
    let mut harness = Harness::new(&[]);
    let mut running = Vec::new();
    for _ in 0..6 {
        running.extend(batches(&harness.arrive("/guide/1")));
    }
    assert!(running.len() < 6, "some wait");
    harness.evacuate(&["b"]);
    for _ in 0..40 {
        let Some(batch) = running.pop() else { break };
        let effects = harness.end_batch(&batch);
        assert!(!reached(&effects).contains("b"), "{effects:?}");
        running.extend(batches(&effects));
    }
}

/// Guards against pieces of other gateways, whose domain is evacuated while they wait here.
#[test]
fn pieces_of_other_gateways_leave_an_evacuated_domain() {
    let mut harness = Harness::new(&[]);
    let message = |number: u32| handoff::Handover {
        version: handoff::VERSION,
        from: name("g2"),
        upcoming: Default::default(),
        external_id: format!("x{number}"),
        service: name("scan"),
        region: name("east"),
        stage: 0,
        pieces: (0..8).collect(),
        due_ms: 500,
        budget_ms: unit::Millis(2_000),
        rank: 0,
        result_size: unit::ByteSize(8_000),
        input: gateway::PieceInput::Key("k".to_owned()),
        near_domain: Some(name("b")),
        shedding: None,
    };
    let mut running = Vec::new();
    for number in 0..6 {
        let handover = gateway::HandoverId(number.into());
        let event = gateway::Event::HandoverReceived(handover, Box::new(message(number)));
        running.extend(batches(&harness.step(event)));
    }
    harness.evacuate(&["b"]);
    let mut sent = 0;
    while !running.is_empty() {
        let effects = harness.end_batch(&running.remove(0));
        assert!(!reached(&effects).contains("b"), "{effects:?}");
        running.extend(batches(&effects));
        sent += 1;
    }
    assert_eq!(sent, 6, "all are run");
}

/// Guards against calls that free results, and against an account that counts results as gone while
/// they still take memory, or for ever.
#[test]
fn results_in_an_evacuated_domain_are_not_freed_and_expire() {
    let held_kb = |harness: &mut Harness| {
        // The upstream is the only one of the pool that is not evacuated.
        harness.evacuate(&["a", "c"]);
        let batch = batches(&harness.arrive("/guide/1")).remove(0);
        let line = harness.lines.iter().find(|line| line.contains("event=batch ")).cloned();
        harness.step(gateway::Event::BatchEnded {
            batch: batch.batch,
            outcome: gateway::BatchOutcome::Full,
            load: None,
        });
        let line = line.expect("a line");
        let (_, rest) = line.split_once("held_kb=").expect("a field");
        rest.split(' ').next().expect("a value").parse::<u64>().expect("a number")
    };
    let mut harness = Harness::new(&[]);
    harness.evacuate(&["a", "c"]);
    let effects = harness.arrive("/guide/1");
    let first = batches(&effects).remove(0);
    let second = batches(&harness.end_batch(&first)).remove(0);
    harness.evacuate(&["b"]);
    harness.step(gateway::Event::CallerGone(id::RequestId(1)));
    harness.end_batch(&second);
    assert_eq!(reached(&harness.advance(ms(100))), collections::BTreeSet::new());
    // A result that another gateway names is left alone as well.
    let release = handoff::Release {
        version: handoff::VERSION,
        instance: name("scan2"),
        handles: vec![gateway::Handle("r1/0/0".to_owned())],
    };
    let effects = harness.step(gateway::Event::ReleaseReceived(release));
    assert_eq!(reached(&effects), collections::BTreeSet::new());
    harness.evacuate(&[]);
    assert_eq!(reached(&harness.advance(ms(100))), collections::BTreeSet::new());
    // Five results, and two pieces of the next batch, for which memory is reserved.
    assert_eq!(held_kb(&mut harness), 700);
    harness.advance(ms(5_000));
    harness.list();
    assert_eq!(held_kb(&mut harness), 200);
}

#[test]
fn domain_serves_again_once_its_evacuation_is_taken_back() {
    let mut harness = Harness::new(&[]);
    harness.evacuate(&["b"]);
    assert!(harness.lines.iter().any(|line| line.contains("event=domain_evacuated domain=b")));
    harness.evacuate(&["b"]);
    assert!(harness.lines.is_empty(), "it is no news");
    assert_ne!(answer_call(&harness.arrive("/stock/1")).map(|(_, domain)| domain), Some("b"));
    harness.evacuate(&[]);
    assert!(harness.lines.iter().any(|line| line.contains("event=domain_returned domain=b")));
    assert_eq!(answer_call(&harness.arrive("/stock/1")).map(|(_, domain)| domain), Some("b"));
}

/// Guards against callers that wait, and stages that run, for an answer that no upstream can give.
#[test]
fn requests_are_refused_at_once_if_all_their_upstreams_are_evacuated() {
    for (path, evacuated) in [
        ("/stock/1", &["a", "b", "c"][..]),
        ("/guide/1", &["a", "b", "c"]),
        ("/solo/1", &["b"]),
        ("/tour/1", &["b"]),
    ] {
        let mut harness = Harness::new(&[]);
        harness.evacuate(evacuated);
        let effects = harness.arrive(path);
        assert_eq!((refusal_of(&effects), effects.len()), (HOPELESS, 1), "{path}: {effects:?}");
    }
    let mut harness = Harness::new(&["east"]);
    harness.evacuate(&["a", "b"]);
    for path in ["/stock/1", "/guide/1"] {
        let effects = harness.arrive(path);
        assert_eq!((refusal_of(&effects), effects.len()), (HOPELESS, 1), "{path}: {effects:?}");
    }
}

/// Guards against requests that wait until their deadline for stages in an evacuated domain.
#[test]
fn waiting_requests_move_or_are_refused_when_a_domain_is_evacuated() {
    let mut harness = Harness::new(&[]);
    let effects = harness.arrive("/guide/1");
    let batch = batches(&effects).remove(0);
    let effects = harness.evacuate(&["a", "b"]);
    assert_eq!(reached(&effects), collections::BTreeSet::from(["c"]), "the stages begin again");
    assert!(batches(&harness.end_batch(&batch)).is_empty(), "the earlier pieces are not used");
    let effects = harness.evacuate(&["a", "b", "c"]);
    assert_eq!(refusal_of(&effects), HOPELESS);
    let mut harness = Harness::new(&["east"]);
    assert!(!batches(&harness.arrive("/guide/1")).is_empty());
    assert_eq!(refusal_of(&harness.evacuate(&["a", "b"])), HOPELESS, "west is not allowed");
}

/// Guards against a request that is computed elsewhere though its results are there already.
#[test]
fn finished_stages_stay_finished_when_their_domain_is_evacuated() {
    let mut harness = Harness::new(&[]);
    let mut effects = harness.arrive("/guide/1");
    while let Some(batch) = batches(&effects).first().cloned() {
        effects = harness.end_batch(&batch);
    }
    let (call, _) = answer_call(&effects).expect("a call");
    harness.evacuate(&["a", "b"]);
    let effects = harness.end_call(call, NOT_RUN);
    assert!(batches(&effects).is_empty());
    assert_eq!(answer_call(&effects).map(|(_, domain)| domain), Some("c"));
}

quickcheck::quickcheck! {
    /// Whatever arrives, ends or fails, nothing is sent to a domain that is evacuated.
    fn evacuated_domains_get_nothing_at_all(events: Vec<(u8, u8)>) -> bool {
        let mut harness = Harness::new(&[]);
        let mut evacuated: Vec<&str> = Vec::new();
        let (mut calls, mut running) = (Vec::new(), Vec::new());
        for (kind, detail) in events {
            let effects = match kind % 8 {
                0..=2 => {
                    let paths = ["/stock/1", "/guide/1", "/solo/1", "/tour/1"];
                    harness.arrive(paths[usize::from(detail % 4)])
                }
                3 if !calls.is_empty() => {
                    let call: gateway::CallId = calls.remove(usize::from(detail) % calls.len());
                    let gone = gateway::Outcome::NotRun { elsewhere: false, inputs_gone: true };
                    let outcomes = [gateway::Outcome::Ended, NOT_RUN, BROKEN, gone];
                    harness.end_call(call, outcomes[usize::from(detail % 4)])
                }
                4 if !running.is_empty() => {
                    let index = usize::from(detail) % running.len();
                    let batch: gateway::BatchCall = running.remove(index);
                    if detail % 3 == 0 {
                        let outcome = gateway::BatchOutcome::Broken;
                        let batch = batch.batch;
                        harness.step(gateway::Event::BatchEnded { batch, outcome, load: None })
                    } else {
                        harness.end_batch(&batch)
                    }
                }
                5 => {
                    let all = ["a", "b", "c"].into_iter().enumerate();
                    let chosen = all.filter(|(index, _)| detail & (1 << index) != 0);
                    evacuated = chosen.map(|(_, domain)| domain).collect();
                    harness.evacuate(&evacuated)
                }
                6 => {
                    let request = id::RequestId(u128::from(detail % 16));
                    harness.step(gateway::Event::CallerGone(request))
                }
                _ => harness.advance(ms(u64::from(detail))),
            };
            if reached(&effects).iter().any(|domain| evacuated.contains(domain)) {
                return false;
            }
            calls.extend(answer_call(&effects).map(|(call, _)| call));
            running.extend(batches(&effects));
        }
        true
    }
}

/// Guards against a read that another gateway passes on and that is older than the own one.
#[test]
fn older_read_does_not_reopen_a_domain() {
    let mut tracker = evacuation::Tracker::default();
    tracker.record_read(ms(1_000), ms(990), true, domains(&["b"]));
    tracker.record_read(ms(1_100), ms(900), true, domains(&[]));
    assert_eq!(*tracker.in_force(), domains(&["b"]));
    // Neither does an older one that names another domain.
    tracker.record_read(ms(1_200), ms(989), true, domains(&["a"]));
    assert_eq!(*tracker.in_force(), domains(&["b"]));
    tracker.record_read(ms(1_300), ms(1_250), true, domains(&[]));
    assert_eq!(*tracker.in_force(), domains(&[]));
}

/// Guards against a domain that opens because the copy of the store is older than its key.
#[test]
fn restored_store_does_not_reopen_a_domain() {
    let mut tracker = evacuation::Tracker::default();
    tracker.record_read(ms(1_000), ms(1_000), true, domains(&["b"]));
    tracker.record_restore(ms(2_000));
    tracker.record_read(ms(2_000), ms(1_990), false, domains(&["a"]));
    assert_eq!(*tracker.in_force(), domains(&["a", "b"]));
    // The configuration was written again, but the key may follow after it.
    tracker.record_read(ms(2_500), ms(2_490), true, domains(&["a"]));
    assert_eq!(*tracker.in_force(), domains(&["a", "b"]));
    // A second restore in between loses nothing.
    tracker.record_restore(ms(3_000));
    tracker.record_read(ms(4_900), ms(4_890), false, domains(&[]));
    assert_eq!(*tracker.in_force(), domains(&["a", "b"]));
    tracker.record_read(ms(5_000), ms(4_990), false, domains(&["b"]));
    assert_eq!(*tracker.in_force(), domains(&["a", "b"]), "the era is not settled");
    tracker.record_read(ms(5_100), ms(5_090), true, domains(&["b"]));
    assert_eq!(*tracker.in_force(), domains(&["b"]));
}

/// Guards against a gateway that starts on a restored store and takes its first set for the whole one.
#[test]
fn first_set_is_complete_after_a_while_or_if_others_vouch_for_it() {
    let mut tracker = evacuation::Tracker::default();
    tracker.record_read(ms(60_000), ms(60_000), true, domains(&[]));
    assert!(!tracker.is_complete());
    tracker.record_read(ms(61_900), ms(61_900), true, domains(&["b"]));
    assert!(!tracker.is_complete());
    tracker.record_read(ms(62_000), ms(62_000), true, domains(&["b"]));
    assert!(tracker.is_complete());
    // An earlier set is kept over a restore.
    tracker.record_restore(ms(63_000));
    tracker.record_read(ms(63_000), ms(63_000), false, domains(&[]));
    assert!(tracker.is_complete());
    let mut tracker = evacuation::Tracker::default();
    tracker.record_read(ms(60_000), ms(60_000), true, domains(&[]));
    tracker.record_complete();
    assert!(tracker.is_complete());
}

/// Guards against a gateway that reads through another one and learns of no evacuation, or takes a
/// gateway that does not follow evacuations for one that knows of none.
#[test]
fn response_carries_evacuated_domains() {
    let at = |millis| clock::Now { mono: ms(millis), wall: ms(1_700_000_000_000 + millis) };
    for evacuated in [None, Some(domains(&[])), Some(domains(&["a", "b"]))] {
        let table = table::Table { version: table::Version(1), ..table::Table::default() };
        let table = relay::KnownTable { table: sync::Arc::new(table), ..Default::default() };
        let listing = roster::Listing::default();
        let mut reads =
            relay::Snapshot::new(at(1_000), store_era::Era(1), table, Vec::new(), listing);
        reads.evacuated.clone_from(&evacuated);
        for available in [None, Some(&reads)] {
            let request = relay::Snapshot::to_request(available);
            let response = reads.to_response(at(1_100), request).expect("it is fresh");
            let bytes = rmp_serde::to_vec(&response).expect("it can be encoded");
            let response = rmp_serde::from_slice(&bytes).expect("it can be decoded");
            let received = relay::Snapshot::from_response(at(1_100), response, available);
            assert_eq!(received.map(|reads| reads.evacuated), Some(evacuated.clone()));
        }
    }
}
