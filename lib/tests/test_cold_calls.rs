//! Tests of the gateway's reducer in front of cold upstreams: what it sends, and which requests it
//! refuses.

use std::collections;
use std::sync;
use std::time;

use bramleyshelf_lib::{clock, cold, fleet, gateway, id, refusal, roster, shedding, table, unit};
use bramleyshelf_testutils::values::{ms, name};

/// Rate of a cold upstream; with the allowance below, one of three gateways may send five calls in a
/// second.
const RATE: f64 = 17.0;
const ALLOWANCE: cold::Allowance = cold::Allowance { excess: 1.5, slack: 5.0 };
const SHARE: usize = 5;

fn route(prefix: &str, kind: table::RequestKind, rank: u8) -> sync::Arc<table::Route> {
    sync::Arc::new(table::Route {
        name: prefix.trim_matches('/').to_owned(),
        host: "shop".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: ms(4_000),
        target: ms(1_000),
        start_timeout: ms(3_000),
        max_attempts: 3,
        rank,
        split: vec![(name("app"), 1)],
        is_public: true,
        stages: Vec::new(),
        allowed_regions: table::RegionBound::default(),
    })
}

fn table(cold_rate: Option<f64>) -> table::Table {
    let stage = table::Stage {
        service: name("scan"),
        depends_on: Vec::new(),
        result_size: unit::ByteSize(1_000),
    };
    let staged = table::Route {
        stages: vec![stage],
        ..(*route("/guide/", table::RequestKind::Idempotent, 1)).clone()
    };
    let bound_stages = table::Route {
        prefix: "/guide-bound/".to_owned(),
        allowed_regions: table::RegionBound::only([name("east"), name("west")]),
        ..staged.clone()
    };
    let bound = table::Route {
        allowed_regions: table::RegionBound::only([name("east")]),
        ..(*route("/bound/", table::RequestKind::Idempotent, 2)).clone()
    };
    let batching = table::Batching {
        slots: 1,
        max_queued: 2,
        max_pieces: 2,
        call_time: ms(10),
        piece_time: ms(1),
        result_memory: unit::ByteSize(40_000_000),
        retention: ms(4_000),
    };
    let cold_rate = cold_rate.map(unit::PerSecond);
    let app = table::Service { max_connections: 64, cold_rate, ..table::Service::default() };
    let scan = table::Service { batching: Some(batching), ..app.clone() };
    table::Table {
        version: table::Version(1),
        routes: vec![
            route("/first/", table::RequestKind::Idempotent, 0),
            route("/last/", table::RequestKind::Idempotent, 2),
            route("/again/", table::RequestKind::Resumable, 2),
            sync::Arc::new(staged),
            sync::Arc::new(bound),
            sync::Arc::new(bound_stages),
        ],
        services: [(name("app"), app), (name("scan"), scan)].into(),
        ..table::Table::default()
    }
}

/// A gateway with a simulated clock that counts what it sends to each upstream.
struct Harness {
    gateway: gateway::Gateway,
    now: clock::Now,
    requests: u128,
    sent: Vec<(time::Duration, id::InstanceId)>,
}

impl Harness {
    /// Makes gateway `g0` of region `east`, which knows these gateways and their failure domains.
    fn new(cold_rate: Option<f64>, gateways: &[(&str, &str)]) -> Self {
        let regions = [("a", "east"), ("b", "east"), ("c", "west")];
        let settings = gateway::Settings {
            instance: name("g0"),
            domain: name("a"),
            regions: regions.map(|(domain, region)| (name(domain), name(region))).into(),
            revocation_bound: None,
            retry_share: 1.0,
            cold_allowance: ALLOWANCE,
            overload: shedding::Overload::Due,
        };
        let now = clock::Now { mono: ms(10_000), wall: ms(1_000_000) };
        let gateway = gateway::Gateway::new(settings, 7);
        let mut harness = Self { gateway, now, requests: 0, sent: Vec::new() };
        let peers = gateways.iter().map(|(instance, domain)| roster::Peer {
            instance: name(instance),
            address: "10.0.0.2:81".parse().expect("an address"),
            domain: name(domain),
            weight: 100,
        });
        harness.step(gateway::Event::GatewaysListed(peers.collect::<Vec<_>>().into()));
        let table = sync::Arc::new(table(cold_rate));
        harness.step(gateway::Event::TableRead { confirmed: Some(now), table });
        harness
    }

    /// Makes a gateway that is the only one and has used its quotas for long.
    fn alone(cold_rate: Option<f64>) -> Self {
        let mut harness = Self::new(cold_rate, &[("g0", "a")]);
        harness.advance(ms(5_000));
        harness
    }

    fn step(&mut self, event: gateway::Event) -> Vec<gateway::Effect> {
        let mut effects = Vec::new();
        self.gateway.step(self.now, event, &mut effects);
        let now = self.now.mono;
        self.sent.extend(effects.iter().filter_map(|effect| match effect {
            gateway::Effect::SendRequest(call) => Some((now, call.instance.clone())),
            gateway::Effect::SendBatch(call) => Some((now, call.instance.clone())),
            gateway::Effect::FreeResults { process, .. } => Some((now, process.instance.clone())),
            _ => None,
        }));
        effects
    }

    fn advance(&mut self, duration: time::Duration) -> Vec<gateway::Effect> {
        self.now = self.now.after(duration);
        self.step(gateway::Event::Tick)
    }

    /// Lists upstreams with their failure domains; the first letter tells their service.
    fn list(&mut self, upstreams: &[(&str, &str)], cold_ms: u64) {
        let entry = |(instance, domain): &(&str, &str)| fleet::ListEntry {
            instance: name(instance),
            service: name(if instance.starts_with('s') { "scan" } else { "app" }),
            address: "10.0.0.1:80".parse().expect("an address"),
            domain: name(domain),
            version: name("v1"),
            leaving: false,
            started_ms: Some(1),
            cold_left: (cold_ms > 0)
                .then_some(cold::Left { time: unit::Millis(cold_ms), sequence: 1 }),
        };
        self.step(gateway::Event::UpstreamsListed(upstreams.iter().map(entry).collect()));
    }

    fn arrive(&mut self, path: &str) -> (id::RequestId, Vec<gateway::Effect>) {
        self.requests += 1;
        let request = id::RequestId(self.requests);
        let arrival = gateway::Arrival {
            external_id: format!("r{}", self.requests),
            host: "shop".to_owned(),
            path: path.to_owned(),
            budget: Some(ms(4_000)),
            piece_counts: if path.starts_with("/guide") { vec![1] } else { Vec::new() },
            input_key: Some("k".to_owned()),
            ..gateway::Arrival::default()
        };
        (request, self.step(gateway::Event::RequestArrived(request, Box::new(arrival))))
    }

    /// Checks that no second had more messages to an upstream than one gateway may send.
    fn assert_within_share(&self) {
        let mut by_upstream: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        for (at, upstream) in &self.sent {
            by_upstream.entry(upstream).or_default().push(*at);
        }
        for (upstream, times) in by_upstream {
            for start in &times {
                let count = times
                    .iter()
                    .filter(|at| *at >= start && at.saturating_sub(*start) <= ms(1_000));
                assert!(count.count() <= SHARE, "{upstream} from {start:?}");
            }
        }
    }
}

fn call_of(effects: &[gateway::Effect]) -> Option<&gateway::RequestCall> {
    effects.iter().find_map(|effect| match effect {
        gateway::Effect::SendRequest(call) => Some(&**call),
        _ => None,
    })
}

/// Returns the refused requests, each with whether it ran and its `Retry-After`.
fn refusals(
    effects: &[gateway::Effect],
) -> Vec<(id::RequestId, refusal::Ran, Option<time::Duration>)> {
    let refused = effects.iter().filter_map(|effect| match effect {
        gateway::Effect::Refuse { request, refusal, retry_after } => {
            assert_eq!(refusal.kind, refusal::Kind::NoUpstream);
            Some((*request, refusal.ran, *retry_after))
        }
        _ => None,
    });
    refused.collect()
}

/// Guards against a change for services that have no limit, whatever their entries say.
#[test]
fn service_without_a_limit_is_called_as_before() {
    let mut harness = Harness::new(None, &[]);
    harness.list(&[("u1", "a")], 3_000);
    for _ in 0..50 {
        let (_, effects) = harness.arrive("/last/1");
        assert!(call_of(&effects).is_some());
    }
}

#[test]
fn cold_upstream_gets_the_share_and_a_warm_one_the_rest() {
    let mut harness = Harness::alone(Some(RATE));
    harness.list(&[("u1", "a")], 3_000);
    harness.list(&[("u1", "a"), ("u2", "b")], 3_000);
    harness.advance(ms(100));
    for _ in 0..10 {
        harness.arrive("/last/1");
    }
    assert_eq!(harness.sent.len(), 10);
    harness.assert_within_share();
    // The other upstream appeared with the second list and stays cold for as long.
    harness.advance(ms(3_000));
    for _ in 0..20 {
        let (_, effects) = harness.arrive("/last/1");
        assert!(call_of(&effects).is_some(), "all are warm");
    }
}

/// Guards against calls that are drawn to an upstream again right after it crashed: the list shows it as
/// warm for more than a second, and no call of this gateway is in flight there any more.
#[test]
fn upstream_whose_connection_broke_counts_as_cold_at_once() {
    let broken = |cause| gateway::Outcome::Broken { last: None, cause };
    for (outcome, is_cold) in [
        (gateway::Outcome::Unsent, true),
        (broken(gateway::BreakCause::ConnectionLost), true),
        (broken(gateway::BreakCause::Timeout), false),
        (gateway::Outcome::Answered { status: 200 }, false),
    ] {
        let mut harness = Harness::alone(Some(RATE));
        harness.list(&[("u1", "a")], 0);
        let (_, effects) = harness.arrive("/last/1");
        let call = call_of(&effects).expect("it is sent").call;
        harness.step(gateway::Event::CallEnded { call, outcome, load: None });
        for _ in 0..20 {
            harness.arrive("/last/1");
        }
        assert_eq!(harness.sent.len() <= SHARE, is_cold, "{outcome:?}");
    }
}

/// Guards against attempts after the first one, and continued streams, that are not counted.
#[test]
fn retries_and_resumed_streams_count() {
    let not_run = gateway::Outcome::NotRun { elsewhere: false, inputs_gone: false };
    let cause = gateway::BreakCause::Timeout;
    let broken = gateway::Outcome::Broken { last: Some(3), cause };
    for (path, outcome) in [("/last/1", not_run), ("/again/1", broken)] {
        let mut harness = Harness::alone(Some(RATE));
        harness.list(&[("u1", "a"), ("u2", "b")], 3_000);
        for _ in 0..12 {
            let (_, effects) = harness.arrive(path);
            let mut next = call_of(&effects).map(|call| call.call);
            while let Some(call) = next {
                let ended = gateway::Event::CallEnded { call, outcome, load: None };
                next = call_of(&harness.step(ended)).map(|call| call.call);
            }
        }
        assert_eq!(harness.sent.len(), 2 * SHARE, "{path}");
        harness.assert_within_share();
    }
}

/// Guards against a pool that becomes cold while it is in use: the calls of the last second count.
#[test]
fn calls_before_an_upstream_becomes_cold_again_count() {
    let mut harness = Harness::alone(Some(RATE));
    harness.list(&[("u1", "a")], 0);
    for _ in 0..20 {
        harness.arrive("/last/1");
    }
    assert_eq!(harness.sent.len(), 20, "it is warm");
    harness.advance(ms(100));
    harness.list(&[("u1", "a")], 3_000);
    harness.arrive("/last/1");
    harness.advance(ms(300));
    harness.arrive("/last/1");
    assert_eq!(harness.sent.len(), 20);
    harness.advance(ms(700));
    for _ in 0..20 {
        harness.arrive("/last/1");
    }
    assert_eq!(harness.sent.len(), 20 + SHARE);
}

#[test]
fn gateway_without_quota_uses_another_region() {
    // Many gateways in this region, so that g0 has no quota for some upstream there.
    let gateways: Vec<_> = (0..12).map(|index| (format!("g{index}"), "a")).collect();
    let gateways: Vec<_> = gateways.iter().map(|(g, domain)| (g.as_str(), *domain)).collect();
    let mut calls = 0;
    for index in 0..12 {
        let mut harness = Harness::new(Some(RATE), &gateways);
        let near = format!("u{index}");
        harness.advance(ms(4_000));
        harness.list(&[(&near, "a"), ("u-west", "c")], 0);
        harness.advance(ms(900));
        harness.list(&[("u-west", "c")], 0);
        // The near upstream comes back and counts as cold; the far one is warm.
        harness.advance(ms(900));
        harness.list(&[(&near, "a"), ("u-west", "c")], 0);
        for _ in 0..8 {
            let (_, effects) = harness.arrive("/last/1");
            assert!(call_of(&effects).is_some(), "{near}");
        }
        let to_near = harness.sent.iter().filter(|(_, upstream)| *upstream == name(&near)).count();
        assert!(to_near <= SHARE, "{near} got {to_near}");
        calls += usize::from(to_near > 0);
    }
    assert!(calls > 0 && calls < 12, "{calls} of 12 upstreams were called");
}

/// Guards against a flood of calls to a domain that returns from an evacuation, as its upstreams may
/// have restarted meanwhile.
#[test]
fn upstreams_of_a_returned_domain_count_as_cold() {
    let mut harness = Harness::alone(Some(RATE));
    harness.list(&[("u1", "a")], 0);
    harness.advance(ms(5_000));
    harness.step(gateway::Event::DomainsEvacuated([name("a")].into()));
    let (_, effects) = harness.arrive("/last/1");
    assert!(call_of(&effects).is_none());
    harness.advance(ms(2_000));
    harness.step(gateway::Event::DomainsEvacuated(collections::BTreeSet::new()));
    for _ in 0..20 {
        harness.arrive("/last/1");
    }
    assert_eq!(harness.sent.len(), SHARE);
}

/// Returns the batch that was sent.
fn batch_of(effects: &[gateway::Effect]) -> Option<&gateway::BatchCall> {
    effects.iter().find_map(|effect| match effect {
        gateway::Effect::SendBatch(call) => Some(&**call),
        _ => None,
    })
}

/// Guards against a call without the results of the stages: a request that waits for quota moves to
/// another region, where its stages run again.
#[test]
fn request_that_moves_while_it_waits_is_called_after_its_stages() {
    let mut harness = Harness::alone(Some(RATE));
    harness.list(&[("s1", "a"), ("u1", "a"), ("s2", "c"), ("u2", "c")], 3_000);
    for _ in 0..SHARE {
        assert!(call_of(&harness.arrive("/bound/1").1).is_some());
    }
    harness.advance(ms(800));
    let (_, effects) = harness.arrive("/guide-bound/1");
    let batch = batch_of(&effects).expect("the stage runs").batch;
    let done = || {
        let handle = gateway::Handle("h".to_owned());
        gateway::BatchOutcome::Done(vec![gateway::PieceOutcome::Done(handle)])
    };
    let outcome = done();
    let effects = harness.step(gateway::Event::BatchEnded { batch, outcome, load: None });
    assert!(call_of(&effects).is_none(), "it waits for quota");
    let effects = harness.step(gateway::Event::DomainsEvacuated([name("a")].into()));
    let again = batch_of(&effects).expect("the stage runs again in the other region").batch;
    let effects = harness.advance(ms(20));
    assert!(call_of(&effects).is_none(), "its stage has not ended");
    let outcome = done();
    let effects = harness.step(gateway::Event::BatchEnded { batch: again, outcome, load: None });
    let call = call_of(&effects).expect("it is called");
    assert_eq!((call.instance.as_str(), call.inputs.len()), ("u2", 1));
}

/// Guards against a restricted request that leaves its region because no cold upstream there may be
/// called.
#[test]
fn restricted_request_does_not_leave_its_cold_region() {
    let mut harness = Harness::new(Some(RATE), &[("g1", "a"), ("g2", "a"), ("g3", "a")]);
    harness.list(&[("u-west", "c")], 0);
    // The far upstream no longer counts as new when the near one appears.
    harness.advance(ms(2_600));
    harness.list(&[("u-west", "c"), ("u1", "a")], 0);
    for _ in 0..10 {
        let (request, effects) = harness.arrive("/bound/1");
        assert!(call_of(&effects).is_none());
        let [(refused, ran, Some(_))] = refusals(&effects)[..] else {
            panic!("it is refused with a delay: {effects:?}")
        };
        assert_eq!((refused, ran), (request, refusal::Ran::No));
    }
    let (_, effects) = harness.arrive("/last/1");
    assert!(call_of(&effects).is_some(), "the far upstream is warm");
}

#[test]
fn request_for_a_cold_pool_is_refused_as_not_run() {
    // Another gateway may have quota, so that the caller can try again soon.
    let mut harness = Harness::new(Some(RATE), &[("g1", "a"), ("g2", "a"), ("g3", "a")]);
    harness.list(&[("u1", "a")], 3_000);
    let mut delays = collections::BTreeSet::new();
    for _ in 0..20 {
        let (request, effects) = harness.arrive("/last/1");
        let [(refused, ran, Some(delay))] = refusals(&effects)[..] else {
            panic!("it is refused at once")
        };
        assert_eq!((refused, ran), (request, refusal::Ran::No));
        assert!(delay >= ms(200) && delay <= ms(4_200), "{delay:?}");
        delays.insert(delay);
    }
    assert!(harness.sent.is_empty());
    assert!(delays.len() > 10, "callers would return at the same time");
}

/// Guards against the first comers taking the little that a cold pool takes.
#[test]
fn requests_of_high_rank_take_the_turns_of_others() {
    let mut harness = Harness::alone(Some(RATE));
    harness.list(&[("u1", "a")], 5_000);
    for _ in 0..SHARE {
        let (_, effects) = harness.arrive("/last/1");
        assert!(call_of(&effects).is_some(), "the quota is not used up");
    }
    harness.advance(ms(700));
    // The quota is free again in 300 ms. Five requests can wait for that.
    let mut last = Vec::new();
    for _ in 0..SHARE {
        let (request, effects) = harness.arrive("/last/1");
        assert!(refusals(&effects).is_empty() && call_of(&effects).is_none(), "it waits");
        last.push(request);
    }
    let (too_many, effects) = harness.arrive("/last/1");
    assert_eq!(refusals(&effects).iter().map(|one| one.0).collect::<Vec<_>>(), [too_many]);
    let mut first = Vec::new();
    for _ in 0..2 {
        let (request, effects) = harness.arrive("/first/1");
        let refused: Vec<_> = refusals(&effects).iter().map(|one| one.0).collect();
        assert!(refused.len() == 1 && last.contains(&refused[0]), "{refused:?}");
        last.retain(|request| *request != refused[0]);
        first.push(request);
    }
    let mut served = Vec::new();
    for _ in 0..40 {
        let effects = harness.advance(ms(10));
        served.extend(effects.iter().filter_map(|effect| match effect {
            gateway::Effect::SendRequest(call) => Some(call.request),
            _ => None,
        }));
        assert!(refusals(&effects).is_empty(), "those that wait are served");
    }
    assert_eq!(served.len(), SHARE);
    assert_eq!(served[..2], first[..], "the higher rank goes first");
    harness.assert_within_share();
}

/// Guards against a process that is stopping while its successor of the same name uses the quota.
#[test]
fn gateway_that_stops_gives_up_its_quotas() {
    let mut harness = Harness::alone(Some(RATE));
    harness.list(&[("u1", "a"), ("u2", "b")], 3_000);
    let (_, effects) = harness.arrive("/last/1");
    let call = call_of(&effects).expect("it is sent").call;
    harness.step(gateway::Event::Drain { left: ms(7_000) });
    harness.arrive("/last/1");
    let own = roster::Peer {
        instance: name("g0"),
        address: "10.0.0.2:81".parse().expect("an address"),
        domain: name("a"),
        weight: 100,
    };
    harness.step(gateway::Event::GatewaysListed(vec![own].into()));
    harness.advance(ms(2_600));
    let outcome = gateway::Outcome::NotRun { elsewhere: false, inputs_gone: false };
    harness.step(gateway::Event::CallEnded { call, outcome, load: None });
    assert_eq!(harness.sent.len(), 1);
}

/// Guards against batch calls, and messages that free results, beside the limit.
#[test]
fn batches_and_freed_results_count() {
    let mut harness = Harness::alone(Some(RATE));
    harness.list(&[("s1", "a"), ("u1", "a")], 0);
    let mut effects = Vec::new();
    for _ in 0..400 {
        harness.now = harness.now.after(ms(10));
        if harness.now.mono == ms(16_000) {
            harness.list(&[("s1", "a"), ("u1", "a")], 3_000);
            harness.sent.clear();
        }
        effects.extend(harness.step(gateway::Event::Tick));
        effects.extend(harness.arrive("/guide/1").1);
        for effect in std::mem::take(&mut effects) {
            effects.extend(match effect {
                gateway::Effect::SendBatch(call) => {
                    let handle = |item: &gateway::BatchItem| {
                        gateway::PieceOutcome::Done(gateway::Handle(item.external_id.clone()))
                    };
                    let outcome =
                        gateway::BatchOutcome::Done(call.items.iter().map(handle).collect());
                    let batch = call.batch;
                    harness.step(gateway::Event::BatchEnded { batch, outcome, load: None })
                }
                gateway::Effect::SendRequest(call) => {
                    let outcome = gateway::Outcome::Answered { status: 200 };
                    let call = call.call;
                    harness.step(gateway::Event::CallEnded { call, outcome, load: None })
                }
                _ => Vec::new(),
            });
        }
    }
    // Warm upstreams were called more often before, and while they were cold they got calls, too.
    let cold_until = ms(18_900);
    harness.sent.retain(|(at, _)| *at < cold_until);
    let to_stage = harness.sent.iter().filter(|(_, upstream)| *upstream == name("s1")).count();
    assert!(to_stage >= SHARE, "{to_stage}");
    harness.assert_within_share();
}
