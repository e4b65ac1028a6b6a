//! Load pattern: long shared prompt parts, and gateways in two regions that each see a part of the
//! prompts. Only a few engines should process each part.

use std::collections;
use std::sync;
use std::time;

use bramleyshelf_lib::{clock, cold, fleet, gateway, id, placement, shedding, table, unit};
use bramleyshelf_testutils::values::{ms, name};

const REGIONS: [(&str, &str); 3] = [("a", "east"), ("b", "east"), ("c", "west")];
const ENGINES: [(&str, &str); 6] =
    [("e1", "a"), ("e2", "a"), ("e3", "b"), ("e4", "b"), ("e5", "c"), ("e6", "c")];
const STAGES: [(&str, &str); 3] = [("s1", "a"), ("s2", "b"), ("s3", "c")];
/// Prompts with a long shared part, each with a different one.
const PROMPTS: u64 = 60;
const LONG_TOKENS: u64 = 13_000;

fn table() -> table::Table {
    let batching = table::Batching {
        slots: 1,
        max_queued: 2,
        max_pieces: 8,
        call_time: ms(150),
        piece_time: ms(16),
        result_memory: unit::ByteSize(40_000_000),
        retention: ms(4_000),
    };
    let stage = table::Stage {
        service: name("photos"),
        depends_on: Vec::new(),
        result_size: unit::ByteSize(3_000_000),
    };
    let route = table::Route {
        name: "summary".to_owned(),
        host: "shop.example".to_owned(),
        prefix: "/summary/".to_owned(),
        kind: table::RequestKind::Resumable,
        timeout: ms(4_000),
        target: ms(1_000),
        start_timeout: ms(3_000),
        max_attempts: 2,
        rank: 0,
        split: vec![(name("llm"), 1)],
        is_public: true,
        stages: vec![stage],
        allowed_regions: table::RegionBound::default(),
    };
    let engine = table::Engine { slots: 64, token_capacity: 400_000 };
    let plain = table::Service { max_connections: 64, ..table::Service::default() };
    let services = [
        ("llm", table::Service { engine: Some(engine), ..plain.clone() }),
        ("photos", table::Service { batching: Some(batching), ..plain }),
    ];
    table::Table {
        version: table::Version(1),
        routes: vec![sync::Arc::new(route)],
        services: services.into_iter().map(|(service, pool)| (name(service), pool)).collect(),
        teams: None,
        limits: table::Limits::default(),
    }
}

/// A gateway alone in its failure domain, so that it forms all batches itself.
struct Harness {
    gateway: gateway::Gateway,
    now: clock::Now,
    requests: u128,
}

/// Where one request ran.
#[derive(Debug, Eq, PartialEq)]
struct Run {
    engine: id::InstanceId,
    /// Upstream that ran its pieces; `None` if it had none.
    stage: Option<id::InstanceId>,
}

impl Harness {
    fn new(domain: &str) -> Self {
        let regions = REGIONS.map(|(domain, region)| (name(domain), name(region)));
        let settings = gateway::Settings {
            instance: name("g"),
            domain: name(domain),
            regions: collections::BTreeMap::from(regions),
            revocation_bound: None,
            retry_share: 0.1,
            cold_allowance: cold::Allowance::default(),
            overload: shedding::Overload::Due,
        };
        let now = clock::Now { mono: ms(10_000), wall: ms(1_000_000) };
        let mut harness = Self { gateway: gateway::Gateway::new(settings, 7), now, requests: 0 };
        let table = sync::Arc::new(table());
        harness.step(gateway::Event::TableRead { confirmed: Some(now), table });
        harness.list(&ENGINES);
        harness
    }

    fn list(&mut self, engines: &[(&str, &str)]) {
        let entry = |service: &str, (instance, domain): &(&str, &str)| fleet::ListEntry {
            instance: name(instance),
            service: name(service),
            address: "10.0.0.1:80".parse().expect("an address"),
            domain: name(domain),
            version: name("v1"),
            leaving: false,
            started_ms: None,
            cold_left: None,
        };
        let engines = engines.iter().map(|engine| entry("llm", engine));
        let stages = STAGES.iter().map(|stage| entry("photos", stage));
        self.step(gateway::Event::UpstreamsListed(engines.chain(stages).collect()));
    }

    fn step(&mut self, event: gateway::Event) -> Vec<gateway::Effect> {
        let mut effects = Vec::new();
        self.gateway.step(self.now, event, &mut effects);
        effects
    }

    /// Runs a request with a shared part, a part of its own and pieces until its engine is called.
    fn run(&mut self, part: u64, tokens: u64, pieces: u32) -> Run {
        self.requests += 1;
        let own = placement::PromptPart { id: 1_000_000 + self.requests as u64, tokens: 3_000 };
        let arrival = gateway::Arrival {
            external_id: format!("r{}", self.requests),
            host: "shop.example".to_owned(),
            path: "/summary/1".to_owned(),
            budget: Some(ms(4_000)),
            piece_counts: vec![pieces],
            input_key: Some("k".to_owned()),
            prompt_parts: vec![placement::PromptPart { id: part, tokens }, own],
            ..gateway::Arrival::default()
        };
        let request = id::RequestId(self.requests);
        let arrived = gateway::Event::RequestArrived(request, Box::new(arrival));
        let mut effects = self.step(arrived);
        let mut stage = None;
        loop {
            let next = effects.iter().find_map(|effect| match effect {
                gateway::Effect::SendRequest(call) => Some(Err(call.clone())),
                gateway::Effect::SendBatch(call) => Some(Ok(call.clone())),
                _ => None,
            });
            self.now = self.now.after(time::Duration::from_millis(200));
            match next.expect("the request goes on") {
                Ok(batch) => {
                    stage = Some(batch.instance.clone());
                    let done =
                        |index| gateway::PieceOutcome::Done(gateway::Handle(format!("{index}")));
                    let outcome =
                        gateway::BatchOutcome::Done((0..batch.items.len()).map(done).collect());
                    let batch = batch.batch;
                    effects = self.step(gateway::Event::BatchEnded { batch, outcome, load: None });
                }
                Err(call) => {
                    let outcome = gateway::Outcome::Ended;
                    self.step(gateway::Event::CallEnded { call: call.call, outcome, load: None });
                    return Run { engine: call.instance, stage };
                }
            }
        }
    }
}

fn domain_of(instance: &id::InstanceId) -> &'static str {
    let all = ENGINES.iter().chain(&STAGES);
    all.into_iter().find(|(other, _)| *other == instance.as_str()).expect("it is listed").1
}

#[test]
fn long_shared_parts_use_one_engine_from_all_regions() {
    let (mut east, mut west) = (Harness::new("a"), Harness::new("c"));
    let mut engines = collections::BTreeSet::new();
    for part in 0..PROMPTS {
        let run = east.run(part, LONG_TOKENS, 2);
        assert_eq!(run.engine, west.run(part, LONG_TOKENS, 2).engine, "part {part}");
        engines.insert(run.engine);
    }
    assert_eq!(engines.len(), ENGINES.len(), "the parts are spread over all engines");
}

#[test]
fn heavy_results_are_made_next_to_the_engine_of_long_parts() {
    let mut east = Harness::new("a");
    for part in 0..PROMPTS {
        let run = east.run(part, LONG_TOKENS, 2);
        let stage = run.stage.expect("it has pieces");
        assert_eq!(domain_of(&stage), domain_of(&run.engine), "part {part}");
    }
}

#[test]
fn short_shared_parts_stay_in_the_region() {
    let (mut east, mut west) = (Harness::new("a"), Harness::new("c"));
    for part in 0..PROMPTS {
        assert_ne!(domain_of(&east.run(part, 300, 0).engine), "c", "part {part}");
        assert_eq!(domain_of(&west.run(part, 300, 0).engine), "c", "part {part}");
    }
}

#[test]
fn long_shared_parts_move_when_their_engine_is_gone() {
    let (mut east, mut west) = (Harness::new("a"), Harness::new("c"));
    let gone = "e5";
    let left: Vec<_> = ENGINES.into_iter().filter(|(engine, _)| *engine != gone).collect();
    let before: Vec<_> = (0..PROMPTS).map(|part| east.run(part, LONG_TOKENS, 0).engine).collect();
    east.list(&left);
    west.list(&left);
    for (part, before) in (0..PROMPTS).zip(before) {
        let engine = east.run(part, LONG_TOKENS, 0).engine;
        assert_eq!(engine, west.run(part, LONG_TOKENS, 0).engine, "part {part}");
        assert!(engine == before || before.as_str() == gone, "part {part} moves needlessly");
    }
}
