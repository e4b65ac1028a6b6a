//! Requests whose route or team is bound to regions: which upstreams and gateways get something of
//! them, and when they are refused.

use std::collections;
use std::sync;
use std::time;

use bramleyshelf_lib::{
    clock, cold, fleet, gateway, id, placement, refusal, roster, shedding, table, unit,
    upstream_notice,
};
use bramleyshelf_testutils::values::{ms, name};

const DOMAINS: [(&str, &str); 4] = [("a", "east"), ("b", "east"), ("c", "west"), ("d", "north")];
/// Upstreams: instance, service and failure domain.
const UPSTREAMS: [(&str, &str, &str); 14] = [
    ("app1", "app", "a"),
    ("app2", "app", "b"),
    ("app3", "app", "c"),
    ("app4", "app", "c"),
    ("app5", "app", "d"),
    ("llm1", "llm", "a"),
    ("llm2", "llm", "b"),
    ("llm3", "llm", "c"),
    ("llm4", "llm", "c"),
    ("llm5", "llm", "d"),
    ("scan1", "scan", "a"),
    ("scan2", "scan", "b"),
    ("scan3", "scan", "c"),
    ("scan4", "scan", "d"),
];
const BROKEN: gateway::Outcome =
    gateway::Outcome::Broken { last: Some(3), cause: gateway::BreakCause::ConnectionLost };
const NOT_RUN: gateway::Outcome = gateway::Outcome::NotRun { elsewhere: false, inputs_gone: false };

fn region_of(domain: &str) -> &'static str {
    DOMAINS.iter().find(|(known, _)| *known == domain).expect("a domain of the test").1
}

fn region_of_upstream(instance: &id::InstanceId) -> &'static str {
    let known = UPSTREAMS.iter().find(|(known, ..)| *known == instance.as_str());
    region_of(known.expect("an upstream of the test").2)
}

/// A bound that allows these regions; all if there are none.
fn bound(regions: &[&str]) -> table::RegionBound {
    if regions.is_empty() {
        return table::RegionBound::default();
    }
    table::RegionBound::only(regions.iter().map(|region| name(region)))
}

/// A table whose routes all have one bound and whose team has another.
fn table(version: u64, of_routes: &[&str], of_team: &[&str]) -> table::Table {
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
    let engine = table::Engine { slots: 64, token_capacity: 400_000 };
    let stage = |depends_on: &[usize]| table::Stage {
        service: name("scan"),
        depends_on: depends_on.to_vec(),
        result_size: unit::ByteSize(8_000),
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
            is_public: false,
            stages: stages.to_vec(),
            allowed_regions: bound(of_routes),
        })
    };
    let stages = [stage(&[]), stage(&[0])];
    let team = table::Team { name: name("ski"), rank: None, allowed_regions: bound(of_team) };
    table::Table {
        version: table::Version(version),
        routes: vec![
            route("/stock/", "app", &[]),
            route("/talk/", "llm", &[]),
            route("/guide/", "app", &stages),
            route("/tour/", "llm", &stages),
        ],
        services: [
            ("app", plain.clone()),
            ("llm", table::Service { engine: Some(engine), ..plain.clone() }),
            ("scan", table::Service { batching: Some(batching), ..plain }),
        ]
        .into_iter()
        .map(|(service, pool)| (name(service), pool))
        .collect(),
        teams: Some([(table::Credential("key".into()), team)].into_iter().collect()),
        limits: table::Limits::default(),
    }
}

/// A gateway in failure domain `a`, region `east`, with a simulated clock.
struct Harness {
    gateway: gateway::Gateway,
    now: clock::Now,
    request_count: u128,
}

impl Harness {
    fn new(table: table::Table) -> Self {
        let settings = gateway::Settings {
            instance: name("g1"),
            domain: name("a"),
            regions: DOMAINS.iter().map(|(d, r)| (name(d), name(r))).collect(),
            revocation_bound: None,
            retry_share: 1.0,
            cold_allowance: cold::Allowance::default(),
            overload: shedding::Overload::Due,
        };
        let now = clock::Now { mono: ms(10_000), wall: ms(1_000_000) };
        let mut harness =
            Self { gateway: gateway::Gateway::new(settings, 7), now, request_count: 0 };
        harness.apply(table);
        harness.list_without(&[]);
        harness
    }

    fn step(&mut self, event: gateway::Event) -> Vec<gateway::Effect> {
        let mut effects = Vec::new();
        self.gateway.step(self.now, event, &mut effects);
        effects.retain(|effect| !matches!(effect, gateway::Effect::Log(_)));
        effects
    }

    fn advance(&mut self, duration: time::Duration) -> Vec<gateway::Effect> {
        self.now = self.now.after(duration);
        self.step(gateway::Event::Tick)
    }

    fn apply(&mut self, table: table::Table) -> Vec<gateway::Effect> {
        let confirmed = Some(self.now);
        self.step(gateway::Event::TableRead { confirmed, table: sync::Arc::new(table) })
    }

    /// Lists all upstreams but these, a while after the list before.
    fn list_without(&mut self, missing: &[&str]) -> Vec<gateway::Effect> {
        self.now = self.now.after(ms(10));
        let listed = UPSTREAMS.iter().filter(|(instance, ..)| !missing.contains(instance));
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
        let list = listed.map(entry).collect();
        self.step(gateway::Event::UpstreamsListed(list))
    }

    /// Lists gateways: instance and failure domain.
    fn list_gateways(&mut self, gateways: &[(&str, &str)]) {
        let peer = |(instance, domain): &(&str, &str)| roster::Peer {
            instance: name(instance),
            address: format!("10.0.1.{}:81", domain.as_bytes()[0]).parse().expect("an address"),
            domain: name(domain),
            weight: 100,
        };
        let peers: Vec<_> = gateways.iter().map(peer).collect();
        self.step(gateway::Event::GatewaysListed(peers.into()));
    }

    fn arrive(&mut self, path: &str) -> Vec<gateway::Effect> {
        self.arrive_with(path, &[1, 2], 100)
    }

    /// Lets a request arrive with a prompt of these parts, each of `tokens`; without parts it is no
    /// generation.
    fn arrive_with(&mut self, path: &str, parts: &[u64], tokens: u64) -> Vec<gateway::Effect> {
        self.request_count += 1;
        let has_stages = path.starts_with("/guide") || path.starts_with("/tour");
        let arrival = gateway::Arrival {
            external_id: format!("r{}", self.request_count),
            host: "shop.example:80".to_owned(),
            path: path.to_owned(),
            credential: Some(table::Credential("key".to_owned())),
            budget: Some(ms(4_000)),
            piece_counts: if has_stages { vec![2, 3] } else { Vec::new() },
            input_key: Some("k".to_owned()),
            prompt_parts: parts
                .iter()
                .map(|id| placement::PromptPart { id: *id, tokens })
                .collect(),
            ..gateway::Arrival::default()
        };
        let request = id::RequestId(self.request_count);
        self.step(gateway::Event::RequestArrived(request, Box::new(arrival)))
    }

    fn end_call(&mut self, call: &Call, outcome: gateway::Outcome) -> Vec<gateway::Effect> {
        self.step(gateway::Event::CallEnded { call: call.call, outcome, load: None })
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

    /// Ends batches until a call that answers is made or nothing is sent any more. Returns the regions
    /// in which batches ran, and the last effects.
    fn run_stages(
        &mut self,
        mut effects: Vec<gateway::Effect>,
    ) -> (collections::BTreeSet<&'static str>, Vec<gateway::Effect>) {
        let mut regions = collections::BTreeSet::new();
        while let Some(batch) = batches(&effects).first().copied().cloned() {
            regions.insert(region_of_upstream(&batch.instance));
            effects = self.end_batch(&batch);
        }
        (regions, effects)
    }
}

/// A call that is to answer a request.
#[derive(Clone, Debug)]
struct Call {
    call: gateway::CallId,
    region: &'static str,
}

fn answer_call(effects: &[gateway::Effect]) -> Option<Call> {
    effects.iter().find_map(|effect| match effect {
        gateway::Effect::SendRequest(send) => {
            Some(Call { call: send.call, region: region_of_upstream(&send.instance) })
        }
        _ => None,
    })
}

fn batches(effects: &[gateway::Effect]) -> Vec<&gateway::BatchCall> {
    let sent = effects.iter().filter_map(|effect| match effect {
        gateway::Effect::SendBatch(call) => Some(&**call),
        _ => None,
    });
    sent.collect()
}

/// Kind of the refusal, whether the request ran, and whether the caller may try again.
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
const NOT_NOW: Option<(refusal::Kind, refusal::Ran, bool)> =
    Some((refusal::Kind::NoUpstream, refusal::Ran::No, true));

/// Guards against an answer from the nearest region although only another one is allowed.
#[test]
fn bound_answer_comes_from_an_allowed_region() {
    for (of_routes, of_team) in [(&["west"][..], &[][..]), (&[], &["west"])] {
        for path in ["/stock/1", "/talk/1"] {
            let mut harness = Harness::new(table(1, of_routes, of_team));
            for parts in [&[][..], &[1, 2], &[3, 4], &[5, 6]] {
                let effects = harness.arrive_with(path, parts, 13_000);
                let region = answer_call(&effects).map(|call| call.region);
                assert_eq!(region, Some("west"), "{path} {parts:?}");
            }
        }
    }
}

#[test]
fn unbound_answer_comes_from_the_nearest_region() {
    let mut harness = Harness::new(table(1, &[], &[]));
    assert_eq!(answer_call(&harness.arrive("/talk/1")).map(|call| call.region), Some("east"));
}

/// Guards against a retry that leaves the region once all of its upstreams were tried.
#[test]
fn bound_retry_stays_in_an_allowed_region() {
    for path in ["/stock/1", "/talk/1"] {
        for outcome in [gateway::Outcome::Unsent, NOT_RUN, BROKEN] {
            let mut harness = Harness::new(table(1, &["west"], &[]));
            let mut effects = harness.arrive(path);
            let mut calls = 0;
            while let Some(call) = answer_call(&effects) {
                assert_eq!(call.region, "west", "{path} {outcome:?} call {calls}");
                calls += 1;
                effects = harness.end_call(&call, outcome);
            }
            assert!(calls >= 2, "{path} {outcome:?}: it is tried again, {calls} calls");
        }
    }
}

/// Guards against a stream that is continued in another region than the one that began it.
#[test]
fn bound_stream_is_resumed_in_an_allowed_region() {
    for path in ["/talk/1", "/tour/1"] {
        let mut harness = Harness::new(table(1, &["west"], &[]));
        // Requests that are served pay for the retry.
        for _ in 0..3 {
            let effects = harness.arrive("/talk/1");
            let call = answer_call(&effects).expect("a call");
            harness.end_call(&call, gateway::Outcome::Ended);
        }
        let effects = harness.arrive(path);
        let (_, effects) = harness.run_stages(effects);
        let first = answer_call(&effects).expect("a call");
        harness.step(gateway::Event::AnswerStarted(first.call));
        let effects = harness.end_call(&first, BROKEN);
        // Results that were freed after the start are computed again.
        let (regions, effects) = harness.run_stages(effects);
        assert!(regions.iter().all(|region| *region == "west"), "{path} {regions:?}");
        let second = answer_call(&effects).expect("the stream is resumed");
        assert_eq!((first.region, second.region), ("west", "west"), "{path}");
    }
}

/// Guards against stages in one region and the answer in another, each of which is allowed.
#[test]
fn bound_stages_and_their_answer_share_an_allowed_region() {
    let cases: [&[&str]; 3] = [&["west"], &["north", "west"], &["east", "west"]];
    for allowed in cases {
        for path in ["/guide/1", "/tour/1"] {
            for parts in [&[][..], &[1, 2], &[7, 8], &[9, 10]] {
                let mut harness = Harness::new(table(1, allowed, &[]));
                let effects = harness.arrive_with(path, parts, 13_000);
                let (regions, effects) = harness.run_stages(effects);
                let answer = answer_call(&effects).expect("a call").region;
                assert!(allowed.contains(&answer), "{allowed:?} {path} {answer}");
                assert_eq!(regions.into_iter().collect::<Vec<_>>(), [answer], "{allowed:?} {path}");
            }
        }
    }
}

/// Guards against a region that has the upstreams of the stages but none that answers.
#[test]
fn bound_stages_run_only_where_the_answer_can_come_from() {
    let mut harness = Harness::new(table(1, &["north", "west"], &[]));
    harness.list_without(&["app5"]);
    let effects = harness.arrive("/guide/1");
    let (regions, effects) = harness.run_stages(effects);
    assert_eq!(regions.into_iter().collect::<Vec<_>>(), ["west"]);
    assert_eq!(answer_call(&effects).map(|call| call.region), Some("west"));
}

/// Guards against pieces that go to a gateway outside the allowed regions, which would run them at
/// its own upstreams.
#[test]
fn bound_pieces_are_handed_to_gateways_of_the_region() {
    let mut harness = Harness::new(table(1, &["west"], &[]));
    harness.list_gateways(&[("g1", "a"), ("g2", "b"), ("g3", "c"), ("g4", "d")]);
    let effects = harness.arrive("/guide/1");
    let region = effects.iter().find_map(|effect| match effect {
        gateway::Effect::HandOver { message, address, .. } => {
            Some((message.region.clone(), address.ip().to_string()))
        }
        _ => None,
    });
    assert_eq!(region, Some((name("west"), format!("10.0.1.{}", b'c'))));
    assert!(batches(&effects).is_empty());
}

/// Guards against the bound of a team that replaces that of the route, or the other way round.
#[test]
fn route_and_team_bounds_hold_together() {
    let cases: [(&[&str], &[&str], Option<&str>); 5] = [
        (&["east", "west"], &["west", "north"], Some("west")),
        (&["north"], &["north", "east"], Some("north")),
        (&["north"], &[], Some("north")),
        (&["east"], &["west"], None),
        (&["nowhere"], &[], None),
    ];
    for (of_routes, of_team, region) in cases {
        for path in ["/stock/1", "/talk/1", "/guide/1", "/tour/1"] {
            let mut harness = Harness::new(table(1, of_routes, of_team));
            let effects = harness.arrive(path);
            if region.is_none() {
                assert_eq!(refusal_of(&effects), HOPELESS, "{of_routes:?} {of_team:?} {path}");
            }
            let (stages, effects) = harness.run_stages(effects);
            assert_eq!(answer_call(&effects).map(|call| call.region), region, "{path}");
            assert!(stages.iter().all(|stage| Some(*stage) == region), "{path} {stages:?}");
        }
    }
}

/// Guards against stages that run, and callers that wait, for a request that no allowed region can
/// serve.
#[test]
fn bound_request_is_refused_at_once_without_upstreams() {
    let mut harness = Harness::new(table(1, &["north"], &[]));
    harness.list_without(&["app5", "llm5"]);
    for path in ["/stock/1", "/talk/1", "/guide/1", "/tour/1"] {
        let effects = harness.arrive(path);
        assert_eq!(refusal_of(&effects), HOPELESS, "{path}");
        assert_eq!(effects.len(), 1, "{path}: nothing else happens: {effects:?}");
    }
    harness.list_without(&["scan4"]);
    for path in ["/guide/1", "/tour/1"] {
        let effects = harness.arrive(path);
        assert_eq!((refusal_of(&effects), effects.len()), (HOPELESS, 1), "{path}: {effects:?}");
    }
    assert!(answer_call(&harness.arrive("/stock/1")).is_some(), "it needs no stage");
}

/// Guards against callers that are told to give up although the region is only busy.
#[test]
fn bound_request_may_be_tried_again_if_the_region_is_paused() {
    for path in ["/stock/1", "/guide/1"] {
        let mut harness = Harness::new(table(1, &["north"], &[]));
        let process = upstream_notice::Process { instance: name("app5"), started_ms: None };
        let notice = upstream_notice::Notice { pause: Some(ms(2_000)), ..Default::default() };
        let sent_at = harness.now.mono;
        harness.step(gateway::Event::UpstreamNoticed { process, notice, sent_at });
        let effects = harness.arrive(path);
        assert_eq!((refusal_of(&effects), effects.len()), (NOT_NOW, 1), "{path}: {effects:?}");
    }
}

/// Guards against a newer table that does not reach requests in progress: their retries and stages
/// obey it too.
#[test]
fn newer_bound_holds_for_requests_in_progress() {
    for (of_routes, of_team) in [(&["west"][..], &[][..]), (&[], &["west"])] {
        let mut harness = Harness::new(table(1, &[], &[]));
        let effects = harness.arrive("/stock/1");
        let first = answer_call(&effects).expect("a call");
        let effects = harness.arrive("/guide/1");
        let batch = batches(&effects)[0].clone();
        assert_eq!((first.region, region_of_upstream(&batch.instance)), ("east", "east"));
        // The pieces in progress are given up, and all stages begin again in the allowed region.
        let effects = harness.apply(table(2, of_routes, of_team));
        let (regions, effects) = harness.run_stages(effects);
        assert_eq!(regions.into_iter().collect::<Vec<_>>(), ["west"]);
        assert_eq!(answer_call(&effects).map(|call| call.region), Some("west"));
        assert!(batches(&harness.end_batch(&batch)).is_empty(), "its results are not used");
        let effects = harness.end_call(&first, NOT_RUN);
        assert_eq!(answer_call(&effects).map(|call| call.region), Some("west"));
    }
}

/// Guards against a newer table that frees requests from the bound under which they arrived.
#[test]
fn earlier_bound_holds_for_requests_in_progress() {
    let mut harness = Harness::new(table(1, &["west", "north"], &[]));
    let effects = harness.arrive("/stock/1");
    let first = answer_call(&effects).expect("a call");
    harness.apply(table(2, &[], &[]));
    let effects = harness.end_call(&first, NOT_RUN);
    let second = answer_call(&effects).expect("a call");
    assert_ne!(second.region, "east");
    // Without a region that both tables allow, it is refused.
    harness.apply(table(3, &["east"], &[]));
    assert_eq!(refusal_of(&harness.end_call(&second, NOT_RUN)), HOPELESS);
}

/// Guards against pieces that another gateway goes on running in a region that a newer table has
/// excluded.
#[test]
fn newer_bound_takes_back_pieces_that_were_handed_over() {
    let mut harness = Harness::new(table(1, &[], &[]));
    harness.list_gateways(&[("g2", "b"), ("g3", "c")]);
    harness.arrive("/guide/1");
    let effects = harness.apply(table(2, &["west"], &[]));
    let is_cancelled =
        |effect: &gateway::Effect| matches!(effect, gateway::Effect::CancelHandover(_));
    assert!(effects.iter().any(is_cancelled), "{effects:?}");
    let region = effects.iter().find_map(|effect| match effect {
        gateway::Effect::HandOver { message, .. } => Some(message.region.clone()),
        _ => None,
    });
    assert_eq!(region, Some(name("west")));
}

/// Guards against a lost gateway whose pieces are then run near this one.
#[test]
fn bound_pieces_of_a_lost_gateway_stay_in_the_region() {
    let mut harness = Harness::new(table(1, &["west"], &[]));
    harness.list_gateways(&[("g1", "a"), ("g3", "c")]);
    harness.arrive("/guide/1");
    let event = gateway::Event::PeerProbed { peer: name("g3"), is_alive: false };
    let effects = harness.step(event);
    let (regions, effects) = harness.run_stages(effects);
    assert_eq!(regions.into_iter().collect::<Vec<_>>(), ["west"]);
    assert_eq!(answer_call(&effects).map(|call| call.region), Some("west"));
}

/// Regions of a bound, one bit for each; a number without any of them allows all.
fn mask(number: u8) -> u8 {
    match number & 7 {
        0 => 7,
        mask => mask,
    }
}

fn regions_in(mask: u8) -> Vec<&'static str> {
    let all = ["east", "west", "north"].into_iter().enumerate();
    all.filter(|(index, _)| mask & (1 << index) != 0).map(|(_, region)| region).collect()
}

/// Returns the list in the configuration that stands for the regions.
fn regions_of(mask: u8) -> Vec<&'static str> {
    if mask == 7 { Vec::new() } else { regions_in(mask) }
}

quickcheck::quickcheck! {
    /// Whatever is listed, fails or changes meanwhile, nothing of a request is sent to a region that
    /// the table of its arrival or the one in force excludes.
    fn bound_requests_never_reach_other_regions(
        of_routes: u8, of_team: u8, later: u8, events: Vec<(u8, u8)>
    ) -> bool {
        let mut harness = Harness::new(table(1, &regions_of(of_routes), &regions_of(of_team)));
        harness.list_gateways(&[("g1", "a")]);
        let (of_routes, of_team, later) = (mask(of_routes), mask(of_team), mask(later));
        let mut bounds = collections::BTreeMap::new();
        let (mut calls, mut running) = (Vec::new(), Vec::new());
        for (kind, detail) in events {
            let effects = match kind % 8 {
                0..=2 => {
                    let paths = ["/stock/1", "/talk/1", "/guide/1", "/tour/1"];
                    let parts = [u64::from(detail / 4), u64::from(detail)];
                    let is_later = harness.gateway.table_version() == table::Version(2);
                    let arrival = if is_later { later } else { of_routes & of_team };
                    bounds.insert(format!("r{}", harness.request_count + 1), arrival);
                    harness.arrive_with(paths[usize::from(detail % 4)], &parts, 5_000)
                }
                3 if !calls.is_empty() => {
                    let call: Call = calls.remove(usize::from(detail) % calls.len());
                    let gone = gateway::Outcome::NotRun { elsewhere: false, inputs_gone: true };
                    let outcomes = [gateway::Outcome::Unsent, NOT_RUN, BROKEN, gone];
                    harness.end_call(&call, outcomes[usize::from(detail % 4)])
                }
                4 if !running.is_empty() => {
                    let batch: gateway::BatchCall = running.remove(usize::from(detail) % running.len());
                    if detail % 3 == 0 {
                        let outcome = gateway::BatchOutcome::Broken;
                        let batch = batch.batch;
                        harness.step(gateway::Event::BatchEnded { batch, outcome, load: None })
                    } else {
                        harness.end_batch(&batch)
                    }
                }
                5 => {
                    let missing: Vec<_> = UPSTREAMS.iter().enumerate()
                        .filter(|(index, _)| (usize::from(detail) + index) % 3 == 0)
                        .map(|(_, (instance, ..))| *instance)
                        .collect();
                    harness.list_without(&missing)
                }
                6 if detail % 4 == 0 => {
                    for known in bounds.values_mut() {
                        *known &= later;
                    }
                    harness.apply(table(2, &regions_of(later), &[]))
                }
                _ => harness.advance(ms(u64::from(detail))),
            };
            for effect in &effects {
                let (requests, instance) = match effect {
                    gateway::Effect::SendRequest(send) => {
                        let region = region_of_upstream(&send.instance);
                        calls.push(Call { call: send.call, region });
                        (vec![format!("r{}", send.request.0)], &send.instance)
                    }
                    gateway::Effect::SendBatch(batch) => {
                        running.push((**batch).clone());
                        let requests = batch.items.iter().map(|item| item.external_id.clone());
                        (requests.collect(), &batch.instance)
                    }
                    _ => continue,
                };
                let region = region_of_upstream(instance);
                if !requests.iter().all(|request| regions_in(bounds[request]).contains(&region)) {
                    return false;
                }
            }
        }
        true
    }
}
