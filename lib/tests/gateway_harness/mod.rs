//! A gateway's reducer with a simulated clock, for tests of its decisions.

#![allow(dead_code, reason = "each test program uses a part of it")]

use std::collections;
use std::sync;
use std::time;

use bramleyshelf_lib::{
    clock, cold, fleet, gateway, id, placement, refusal, shedding, table, unit,
};
use bramleyshelf_testutils::values::{ms, name};

/// Makes a route to the service `app`.
pub fn route(prefix: &str, kind: table::RequestKind, attempts: u32) -> sync::Arc<table::Route> {
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
        allowed_regions: table::RegionBound::default(),
    })
}

/// Makes a route with two stages.
pub fn staged_route() -> sync::Arc<table::Route> {
    let stage = |service: &str, after: &[usize], size| table::Stage {
        service: name(service),
        depends_on: after.to_vec(),
        result_size: unit::ByteSize(size),
    };
    let stages = vec![stage("scan", &[], 8_000), stage("rank", &[0], 6_000)];
    let plain = route("/guide/", table::RequestKind::Stream, 1);
    sync::Arc::new(table::Route { stages, ..(*plain).clone() })
}

/// Makes a table with a route of each kind, whose callers use one of these credentials.
pub fn table(version: u64, keys: &[&str]) -> sync::Arc<table::Table> {
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
    let team = table::Team {
        name: name("ski"),
        rank: None,
        allowed_regions: table::RegionBound::default(),
    };
    sync::Arc::new(table::Table {
        version: table::Version(version),
        routes: vec![
            route("/book/", table::RequestKind::Once, 2),
            route("/stock/", table::RequestKind::Idempotent, 2),
            route("/chat/", table::RequestKind::Stream, 1),
            route("/again/", table::RequestKind::Resumable, 2),
            staged_route(),
        ],
        services: [("app", plain), ("scan", stage.clone()), ("rank", stage)]
            .into_iter()
            .map(|(service, pool)| (name(service), pool))
            .collect(),
        teams: Some(
            keys.iter().map(|key| (table::Credential((*key).into()), team.clone())).collect(),
        ),
        limits: table::Limits::default(),
    })
}

/// A gateway with a simulated clock.
pub struct Harness {
    /// The reducer.
    pub gateway: gateway::Gateway,
    /// Time of the next event.
    pub now: clock::Now,
    /// Number of requests so far, from which their ids are made.
    request_count: u128,
}

impl Harness {
    /// Makes a gateway with two upstreams for requests and one for each stage.
    pub fn new() -> Self {
        Self::with_overload(shedding::Overload::Due)
    }

    /// Makes the same gateway with this way to shed load.
    pub fn with_overload(overload: shedding::Overload) -> Self {
        let regions = [("a", "east")].map(|(d, r)| (name(d), name(r)));
        let settings = gateway::Settings {
            instance: name("g1"),
            domain: name("a"),
            regions: collections::BTreeMap::from(regions),
            revocation_bound: Some(ms(5_000)),
            retry_share: 0.1,
            cold_allowance: cold::Allowance::default(),
            overload,
        };
        let now = clock::Now { mono: ms(10_000), wall: ms(1_000_000) };
        let mut harness =
            Self { gateway: gateway::Gateway::new(settings, 7), now, request_count: 0 };
        harness.apply_table(&table(5, &["key"]));
        harness.list_upstreams(&["u1", "u2"]);
        harness
    }

    /// Passes an event to the reducer and returns its effects without log lines.
    pub fn step(&mut self, event: gateway::Event) -> Vec<gateway::Effect> {
        let mut effects = Vec::new();
        self.gateway.step(self.now, event, &mut effects);
        effects.retain(|effect| !matches!(effect, gateway::Effect::Log(_)));
        effects
    }

    /// Lets time pass until the next tick.
    pub fn advance(&mut self, duration: time::Duration) -> Vec<gateway::Effect> {
        self.now = self.now.after(duration);
        self.step(gateway::Event::Tick)
    }

    /// Puts a table into force.
    pub fn apply_table(&mut self, table: &sync::Arc<table::Table>) {
        let sent = self.now;
        self.step(gateway::Event::TableRead {
            confirmed: Some(sent),
            table: sync::Arc::clone(table),
        });
    }

    /// Lists these upstreams for requests, and those of the stages.
    pub fn list_upstreams(&mut self, apps: &[&str]) {
        let entry = |instance: &str, service: &str| fleet::ListEntry {
            instance: name(instance),
            service: name(service),
            address: "10.0.0.1:80".parse().expect("an address"),
            domain: name("a"),
            version: name("v1"),
            leaving: false,
            started_ms: None,
            cold_left: None,
        };
        let mut list: Vec<_> = apps.iter().map(|app| entry(app, "app")).collect();
        list.extend([entry("s1", "scan"), entry("r1", "rank")]);
        self.step(gateway::Event::UpstreamsListed(list));
    }

    /// Lets a request arrive.
    pub fn arrive(&mut self, path: &str) -> (id::RequestId, Vec<gateway::Effect>) {
        self.arrive_with(path, &[1])
    }

    /// Lets a request arrive whose prompt has parts with these ids.
    pub fn arrive_with(
        &mut self,
        path: &str,
        parts: &[u64],
    ) -> (id::RequestId, Vec<gateway::Effect>) {
        self.arrive_as("key", path, parts, None)
    }

    /// Lets a request arrive with a credential, the ids of its parts and the digest of its content.
    pub fn arrive_as(
        &mut self,
        credential: &str,
        path: &str,
        parts: &[u64],
        content: Option<u64>,
    ) -> (id::RequestId, Vec<gateway::Effect>) {
        self.request_count += 1;
        let request = id::RequestId(self.request_count);
        let arrival = gateway::Arrival {
            external_id: format!("r{}", self.request_count),
            host: "shop.example:80".to_owned(),
            path: path.to_owned(),
            credential: Some(table::Credential(credential.to_owned())),
            budget: Some(ms(4_000)),
            piece_counts: if path.starts_with("/guide") { vec![1, 3] } else { Vec::new() },
            content,
            input_key: Some("k".to_owned()),
            prompt_parts: parts
                .iter()
                .map(|id| placement::PromptPart { id: *id, tokens: 100 })
                .collect(),
            ..gateway::Arrival::default()
        };
        (request, self.step(gateway::Event::RequestArrived(request, Box::new(arrival))))
    }

    /// Ends a call that answers a request.
    pub fn end_call(
        &mut self,
        call: gateway::CallId,
        outcome: gateway::Outcome,
    ) -> Vec<gateway::Effect> {
        self.step(gateway::Event::CallEnded { call, outcome, load: None })
    }

    /// Ends a batch whose pieces were all computed.
    pub fn complete_batch(&mut self, call: &gateway::BatchCall) -> Vec<gateway::Effect> {
        let handle = |item: &gateway::BatchItem| {
            gateway::Handle(format!("{}/{}/{}", item.external_id, item.stage, item.piece))
        };
        let outcomes =
            call.items.iter().map(|item| gateway::PieceOutcome::Done(handle(item))).collect();
        self.end_batch(call, gateway::BatchOutcome::Done(outcomes))
    }

    /// Ends a batch.
    pub fn end_batch(
        &mut self,
        call: &gateway::BatchCall,
        outcome: gateway::BatchOutcome,
    ) -> Vec<gateway::Effect> {
        self.step(gateway::Event::BatchEnded { batch: call.batch, outcome, load: None })
    }
}

/// Returns the call that answers a request, if one is sent.
pub fn request_call(effects: &[gateway::Effect]) -> Option<&gateway::RequestCall> {
    effects.iter().find_map(|effect| match effect {
        gateway::Effect::SendRequest(send) => Some(&**send),
        _ => None,
    })
}

/// Returns the batch call that is sent.
pub fn batch_call(effects: &[gateway::Effect]) -> &gateway::BatchCall {
    effects
        .iter()
        .find_map(|effect| match effect {
            gateway::Effect::SendBatch(call) => Some(&**call),
            _ => None,
        })
        .expect("a batch call")
}

/// Returns how a request is refused, if one is.
pub fn refusal_of(effects: &[gateway::Effect]) -> Option<(refusal::Kind, refusal::Ran)> {
    effects.iter().find_map(|effect| match effect {
        gateway::Effect::Refuse { refusal, .. } => Some((refusal.kind, refusal.ran)),
        _ => None,
    })
}
