//! Replays load through the reducers of a few gateways, with a simulated clock and upstreams that
//! take the stated time. There is no network, and callers that are refused come back after the delay
//! that they are given.

use std::collections;
use std::net;
use std::sync;
use std::time;

use bramleyshelf_lib::{clock, cold, fleet, gateway, id, roster, shedding, table, unit};
use bramleyshelf_testutils::values::{ms, name};

/// Time that a message between two processes takes.
const LINK_TIME: time::Duration = time::Duration::from_millis(2);
/// Time until an engine begins its answer.
const ENGINE_TIME: time::Duration = time::Duration::from_millis(200);
/// Interval between two ticks of a gateway.
const TICK: time::Duration = time::Duration::from_millis(20);
/// Interval between two lists of upstreams and gateways.
const LIST_INTERVAL: time::Duration = time::Duration::from_millis(900);

/// One kind of requests.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub rank: u8,
    pub target: time::Duration,
    pub deadline: time::Duration,
    /// Service, pieces and result size of each stage; each stage depends on the one before.
    pub stages: Vec<(&'static str, u32, u64)>,
    /// Requests per second under the usual load.
    pub rate: f64,
}

/// One stage service.
#[derive(Clone, Debug)]
pub struct Stage {
    pub service: &'static str,
    pub upstreams: usize,
    pub piece_time: time::Duration,
    pub max_pieces: usize,
    pub memory: u64,
}

/// What happened to the requests of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub on_time: u32,
    pub late: u32,
    /// Never answered, and told so without a long wait.
    pub refused: u32,
    /// Never answered, after an attempt that was held for longer than the target.
    pub in_vain: u32,
}

impl Tally {
    pub fn total(&self) -> u32 {
        self.on_time + self.late + self.refused + self.in_vain
    }

    /// Returns the share of requests that were answered.
    pub fn served(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.total().max(1))
    }
}

#[derive(Debug)]
struct Caller {
    kind: usize,
    first_at: time::Duration,
    attempt_at: time::Duration,
    was_held: bool,
    answered_at: Option<time::Duration>,
}

enum Action {
    Arrive(usize),
    Event(usize, gateway::Event),
    Tick(usize),
    List,
}

pub struct Replay {
    now: time::Duration,
    actions: collections::BTreeMap<(time::Duration, u64), Action>,
    serial: u64,
    gateways: Vec<gateway::Gateway>,
    kinds: Vec<Kind>,
    stages: Vec<Stage>,
    callers: Vec<Caller>,
    /// Caller of each request.
    requests: collections::BTreeMap<id::RequestId, usize>,
    /// Caller of each call to an engine, by gateway and call.
    calls: collections::BTreeMap<(usize, u64), usize>,
    /// Gateway and group that a handover came from.
    handovers: collections::BTreeMap<u64, (usize, bramleyshelf_lib::batch::GroupId)>,
    /// Time at which an upstream has done all calls that it has got.
    busy_until: collections::BTreeMap<id::InstanceId, time::Duration>,
    table: sync::Arc<table::Table>,
    rng: fastrand::Rng,
}

impl Replay {
    pub fn new(
        overload: shedding::Overload,
        gateway_count: usize,
        kinds: &[Kind],
        stages: &[Stage],
    ) -> Self {
        let gateways = (0..gateway_count).map(|index| new_gateway(overload, index));
        let mut replay = Self {
            now: ms(10_000),
            actions: collections::BTreeMap::new(),
            serial: 0,
            gateways: gateways.collect(),
            kinds: kinds.to_vec(),
            stages: stages.to_vec(),
            callers: Vec::new(),
            requests: collections::BTreeMap::new(),
            calls: collections::BTreeMap::new(),
            handovers: collections::BTreeMap::new(),
            busy_until: collections::BTreeMap::new(),
            table: make_table(kinds, stages),
            rng: fastrand::Rng::with_seed(3),
        };
        replay.list();
        for index in 0..gateway_count {
            replay.schedule(TICK, Action::Tick(index));
        }
        replay
    }

    /// Lets requests arrive for some seconds at a multiple of the usual rate of each kind, and
    /// returns the numbers of the first caller and of the one after the last.
    pub fn load(&mut self, seconds: f64, factor: impl Fn(&Kind) -> f64) -> (usize, usize) {
        let start = self.now;
        let first = self.callers.len();
        let end = start + time::Duration::from_secs_f64(seconds);
        let mut rng = fastrand::Rng::with_seed(start.as_millis() as u64);
        for kind in 0..self.kinds.len() {
            let rate = self.kinds[kind].rate * factor(&self.kinds[kind]);
            let mut at = start;
            loop {
                // Exponential gaps between requests.
                at += time::Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate.max(1e-9));
                if at >= end {
                    break;
                }
                self.callers.push(Caller {
                    kind,
                    first_at: at,
                    attempt_at: at,
                    was_held: false,
                    answered_at: None,
                });
                self.schedule_at(at, Action::Arrive(self.callers.len() - 1));
            }
        }
        self.run_until(end);
        (first, self.callers.len())
    }

    /// Lets time pass until all requests have ended.
    pub fn finish(&mut self) {
        let longest = self.kinds.iter().map(|kind| kind.deadline).max().unwrap_or_default();
        self.run_until(self.now + longest + ms(1_000));
    }

    /// Returns what happened to callers, by the name of their kind.
    pub fn tally(&self, range: (usize, usize)) -> collections::BTreeMap<&'static str, Tally> {
        let mut tallies: collections::BTreeMap<_, Tally> = collections::BTreeMap::new();
        for caller in &self.callers[range.0..range.1] {
            let kind = &self.kinds[caller.kind];
            let tally = tallies.entry(kind.name).or_default();
            match caller.answered_at {
                Some(at) if at <= caller.first_at + kind.target => tally.on_time += 1,
                Some(_) => tally.late += 1,
                None if caller.was_held => tally.in_vain += 1,
                None => tally.refused += 1,
            }
        }
        tallies
    }

    pub fn caller_count(&self) -> usize {
        self.callers.len()
    }

    fn schedule(&mut self, delay: time::Duration, action: Action) {
        self.schedule_at(self.now + delay, action);
    }

    fn schedule_at(&mut self, at: time::Duration, action: Action) {
        self.serial += 1;
        self.actions.insert((at, self.serial), action);
    }

    fn run_until(&mut self, end: time::Duration) {
        while let Some(entry) = self.actions.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), action) = entry.remove_entry();
            self.now = at;
            match action {
                Action::Arrive(caller) => self.arrive(caller),
                Action::Event(index, event) => {
                    if let gateway::Event::AnswerStarted(call) = &event
                        && let Some(caller) = self.calls.remove(&(index, call.0))
                    {
                        self.callers[caller].answered_at.get_or_insert(at);
                    }
                    self.step(index, event);
                }
                Action::Tick(index) => {
                    self.step(index, gateway::Event::Tick);
                    self.schedule(TICK, Action::Tick(index));
                }
                Action::List => self.list(),
            }
        }
        self.now = end;
    }

    /// Passes the table and the lists to all gateways.
    fn list(&mut self) {
        let now = self.clock();
        let upstreams = list_upstreams(&self.stages);
        let peers = list_gateways(self.gateways.len());
        for index in 0..self.gateways.len() {
            let table = sync::Arc::clone(&self.table);
            self.step(index, gateway::Event::TableRead { confirmed: Some(now), table });
            self.step(index, gateway::Event::UpstreamsListed(upstreams.clone()));
            self.step(index, gateway::Event::GatewaysListed(peers.clone().into()));
        }
        self.schedule(LIST_INTERVAL, Action::List);
    }

    fn clock(&self) -> clock::Now {
        clock::Now { mono: self.now, wall: self.now }
    }

    fn arrive(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        caller.attempt_at = self.now;
        let kind = &self.kinds[caller.kind];
        let request = id::RequestId(u128::from(self.serial) + 1);
        self.serial += 1;
        self.requests.insert(request, index);
        let arrival = gateway::Arrival {
            external_id: format!("{}-{index}", kind.name),
            host: "shop.example".to_owned(),
            path: format!("/{}/1", kind.name),
            budget: Some((caller.first_at + kind.deadline).saturating_sub(self.now)),
            piece_counts: kind.stages.iter().map(|(_, pieces, _)| *pieces).collect(),
            input_key: Some("k".to_owned()),
            ..gateway::Arrival::default()
        };
        let gateway = self.rng.usize(0..self.gateways.len());
        self.step(gateway, gateway::Event::RequestArrived(request, Box::new(arrival)));
    }

    fn step(&mut self, index: usize, event: gateway::Event) {
        let mut effects = Vec::new();
        let now = self.clock();
        self.gateways[index].step(now, event, &mut effects);
        for effect in effects {
            self.carry_out(index, effect);
        }
    }

    fn carry_out(&mut self, index: usize, effect: gateway::Effect) {
        use gateway::{Effect, Event};
        match effect {
            Effect::SendRequest(call) => {
                self.calls.insert((index, call.call.0), self.requests[&call.request]);
                self.schedule(ENGINE_TIME, Action::Event(index, Event::AnswerStarted(call.call)));
                let ended = Event::CallEnded {
                    call: call.call,
                    outcome: gateway::Outcome::Ended,
                    load: None,
                };
                self.schedule(ENGINE_TIME + ms(200), Action::Event(index, ended));
            }
            Effect::SendBatch(call) => self.run_batch(index, &call),
            Effect::HandOver { group, address, message, .. } => {
                self.serial += 1;
                self.handovers.insert(self.serial, (index, group));
                let event = Event::HandoverReceived(gateway::HandoverId(self.serial), message);
                self.schedule(LINK_TIME, Action::Event(index_of(address), event));
            }
            Effect::CancelHandover(group) => {
                let found = self.handovers.iter().find(|(_, from)| **from == (index, group));
                if let Some(handover) = found.map(|(handover, _)| *handover) {
                    for holder in 0..self.gateways.len() {
                        let event = Event::HandoverCancelled(gateway::HandoverId(handover));
                        self.schedule(LINK_TIME, Action::Event(holder, event));
                    }
                }
            }
            Effect::AnswerHandover(handover, result) => {
                if let Some((owner, group)) = self.handovers.remove(&handover.0) {
                    let event = Event::HandoverEnded(group, Some(result));
                    self.schedule(LINK_TIME, Action::Event(owner, event));
                }
            }
            Effect::ForwardRelease { address, message } => {
                let event = Event::ReleaseReceived(message);
                self.schedule(LINK_TIME, Action::Event(index_of(address), event));
            }
            Effect::FreeResults { process, handles, .. } => {
                let event = Event::ResultsFreed { instance: process.instance, handles };
                self.schedule(LINK_TIME, Action::Event(index, event));
            }
            Effect::ProbePeer { peer, .. } => {
                let event = Event::PeerProbed { peer, is_alive: true };
                self.schedule(LINK_TIME, Action::Event(index, event));
            }
            Effect::Refuse { request, retry_after, .. } => self.refused(request, retry_after),
            Effect::CancelCall(call) => {
                self.calls.remove(&(index, call.0));
            }
            Effect::EndCall(_)
            | Effect::FindStreams
            | Effect::DeliverAnswer(..)
            | Effect::DropRequest(_)
            | Effect::Log(_) => {}
        }
    }

    /// Runs a batch call at its upstream, which processes one call at a time.
    fn run_batch(&mut self, index: usize, call: &gateway::BatchCall) {
        let stage = self
            .stages
            .iter()
            .find(|stage| {
                call.instance.as_str().trim_end_matches(char::is_numeric) == stage.service
            })
            .expect("the upstream belongs to a stage");
        let work = ms(150) + stage.piece_time * u32::try_from(call.items.len()).unwrap_or(u32::MAX);
        let busy_until = self.busy_until.entry(call.instance.clone()).or_default();
        *busy_until = self.now.max(*busy_until) + work;
        let took = busy_until.saturating_sub(self.now);
        let outcome = |item: &gateway::BatchItem| {
            if item.budget < took {
                return gateway::PieceOutcome::Late;
            }
            let handle = format!("{}/{}/{}", item.external_id, item.stage, item.piece);
            gateway::PieceOutcome::Done(gateway::Handle(handle))
        };
        let outcome = gateway::BatchOutcome::Done(call.items.iter().map(outcome).collect());
        let ended = gateway::Event::BatchEnded { batch: call.batch, outcome, load: None };
        self.schedule(took + LINK_TIME, Action::Event(index, ended));
    }

    fn refused(&mut self, request: id::RequestId, retry_after: Option<time::Duration>) {
        let index = self.requests[&request];
        let caller = &mut self.callers[index];
        caller.was_held |=
            self.now.saturating_sub(caller.attempt_at) >= self.kinds[caller.kind].target;
        let deadline = caller.first_at + self.kinds[caller.kind].deadline;
        if let Some(delay) = retry_after
            && self.now + delay < deadline
        {
            self.schedule(delay, Action::Arrive(index));
        }
    }
}

/// Makes a gateway without a table, upstreams or peers.
pub fn new_gateway(overload: shedding::Overload, index: usize) -> gateway::Gateway {
    let settings = gateway::Settings {
        instance: gateway_name(index),
        domain: name("a"),
        regions: collections::BTreeMap::from([(name("a"), name("east"))]),
        revocation_bound: None,
        retry_share: 0.1,
        overload,
        cold_allowance: cold::Allowance::default(),
    };
    gateway::Gateway::new(settings, index as u64 + 1)
}

/// Makes the entry of an upstream in the list.
fn list_entry(instance: &str, service: &str) -> fleet::ListEntry {
    fleet::ListEntry {
        instance: name(instance),
        service: name(service),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: name("a"),
        version: name("v1"),
        leaving: false,
        started_ms: None,
        cold_left: None,
    }
}

/// Makes the list of all upstreams.
pub fn list_upstreams(stages: &[Stage]) -> Vec<fleet::ListEntry> {
    let mut list: Vec<_> = (0..20).map(|i| list_entry(&format!("e{i}"), "engine")).collect();
    for stage in stages {
        let service = stage.service;
        list.extend((0..stage.upstreams).map(|i| list_entry(&format!("{service}{i}"), service)));
    }
    list
}

/// Makes the list of gateways.
pub fn list_gateways(count: usize) -> Vec<roster::Peer> {
    let peer = |index| roster::Peer {
        instance: gateway_name(index),
        address: address(index),
        domain: name("a"),
        weight: 100,
    };
    (0..count).map(peer).collect()
}

fn gateway_name(index: usize) -> id::InstanceId {
    name(&format!("g{index}"))
}

fn address(index: usize) -> net::SocketAddr {
    let port = u16::try_from(index).expect("few gateways") + 1;
    net::SocketAddr::from(([10, 0, 0, 2], port))
}

fn index_of(address: net::SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

/// Makes a table with one route for each kind.
pub fn make_table(kinds: &[Kind], stages: &[Stage]) -> sync::Arc<table::Table> {
    let routes = kinds.iter().map(|kind| {
        let stages =
            kind.stages.iter().enumerate().map(|(index, (service, _, size))| table::Stage {
                service: name(service),
                depends_on: index.checked_sub(1).into_iter().collect(),
                result_size: unit::ByteSize(*size),
            });
        sync::Arc::new(table::Route {
            name: kind.name.to_owned(),
            host: "shop.example".to_owned(),
            prefix: format!("/{}/", kind.name),
            kind: table::RequestKind::Stream,
            timeout: kind.deadline,
            target: kind.target,
            start_timeout: kind.deadline,
            max_attempts: 1,
            rank: kind.rank,
            split: vec![(name("engine"), 1)],
            is_public: true,
            allowed_regions: table::RegionBound::default(),
            stages: stages.collect(),
        })
    });
    let plain = table::Service { max_connections: 64, ..table::Service::default() };
    let mut services = collections::BTreeMap::from([(name("engine"), plain.clone())]);
    for stage in stages {
        let batching = table::Batching {
            slots: 1,
            max_queued: 2,
            max_pieces: stage.max_pieces,
            call_time: ms(150),
            piece_time: stage.piece_time,
            result_memory: unit::ByteSize(stage.memory),
            retention: ms(4_000),
        };
        let service = table::Service { batching: Some(batching), ..plain.clone() };
        services.insert(name(stage.service), service);
    }
    sync::Arc::new(table::Table {
        version: table::Version(1),
        routes: routes.collect(),
        services,
        teams: None,
        limits: table::Limits::default(),
    })
}
