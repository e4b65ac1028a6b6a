//! Reducer of a gateway: an entry that calls upstreams itself, without a sidecar beside them.
//!
//! It decides which requests are taken in, batches the pieces of their stages, picks upstreams, and
//! sees to it that each caller gets one whole answer or one true refusal. The shell in
//! [`crate::gateway_shell`] feeds one [`Event`] at a time to [`Gateway::step`] and carries out the
//! [`Effect`]s in their order.

mod batches;
mod calls;
mod groups;
mod request;
mod stages;

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::admission;
use crate::batch;
use crate::clock;
use crate::fleet;
use crate::freshness;
use crate::handoff;
use crate::id;
use crate::place;
use crate::refusal;
use crate::retry;
use crate::roster;
use crate::table;
use crate::telemetry;

/// Time that it costs to do the stages of a request in another region.
const REGION_TIME: time::Duration = time::Duration::from_millis(250);

/// Number of a call to an upstream.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Number of a handover of pieces that another gateway waits for.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Name of a result that an upstream keeps.
#[derive(
    Clone,
    Debug,
    derive_more::Display,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(transparent)]
pub struct Handle(pub String);

/// What decisions on a request depend on.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// The caller's id of the request, which upstreams and logs see.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Its path.
    pub path: String,
    /// Credential of the caller.
    pub credential: Option<table::Credential>,
    /// Time that the caller allows.
    pub budget: Option<time::Duration>,
    /// Last event that the caller has, if it continues a stream.
    pub after: Option<u64>,
    /// Number of pieces of each stage.
    pub pieces: Vec<u32>,
    /// Key that stages without inputs work on.
    pub key: Option<String>,
    /// Parts of the prompt.
    pub parts: Vec<place::Part>,
}

/// A call to an upstream that answers the request.
#[derive(Clone, Debug)]
pub struct Send {
    /// Number of the call.
    pub call: CallId,
    /// The request.
    pub request: id::RequestId,
    /// Upstream that has to answer, and nobody else under its address.
    pub instance: id::InstanceId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Connections that this gateway may have to it.
    pub connections: u32,
    /// Time that is left.
    pub budget: time::Duration,
    /// Time after which the answer is not waited for any more.
    pub patience: time::Duration,
    /// Team of the caller.
    pub team: Option<id::TeamId>,
    /// Results that the run needs.
    pub inputs: Vec<Handle>,
    /// Last event that the caller has.
    pub after: Option<u64>,
    /// Kind of the route.
    pub kind: table::Kind,
    /// Rank of the request; 0 is the highest.
    pub rank: u8,
}

/// One piece of a call with a batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The caller's id of the request.
    pub name: String,
    /// Index of the stage.
    pub stage: usize,
    /// Index of the piece.
    pub piece: u32,
    /// Time that is left for the request.
    pub budget: time::Duration,
    /// What it works on.
    pub source: Source,
}

/// What a piece works on.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Source {
    /// The caller's key.
    Key(String),
    /// Results of earlier stages.
    Results(Vec<Handle>),
}

/// A call with a batch of pieces.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the batch.
    pub batch: batch::BatchId,
    /// Upstream that has to do it.
    pub instance: id::InstanceId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Connections that this gateway may have to it.
    pub connections: u32,
    /// The pieces.
    pub items: Vec<Item>,
    /// Time after which the answer is not waited for any more.
    pub patience: time::Duration,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum Outcome {
    /// No byte reached the upstream.
    #[display("unsent")]
    Unsent,
    /// The upstream says that it did not run the request; `elsewhere` if another one has the
    /// address.
    #[display("not_run")]
    NotRun {
        /// Whether the upstream is not the one that was meant.
        elsewhere: bool,
        /// Whether a result that the run needs is gone.
        inputs_gone: bool,
    },
    /// A whole answer that is not a stream waits in the shell.
    #[display("answered")]
    Answered {
        /// Its status.
        status: u16,
    },
    /// The stream ended whole.
    #[display("ended")]
    Ended,
    /// The answer broke off, cannot be used or did not come in time; the request may have run.
    #[display("broken")]
    Broken {
        /// Last event that the caller has.
        last: Option<u64>,
    },
}

/// How one piece ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PieceOutcome {
    /// Its result is kept under the handle.
    Done(Handle),
    /// Its time had run out.
    Late,
    /// One of its inputs is gone.
    InputGone,
    /// The upstream has no memory for the result.
    NoRoom,
    /// The work failed.
    Failed,
}

/// How a call with a batch ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchOutcome {
    /// Each piece has an outcome, in their order.
    Done(Vec<PieceOutcome>),
    /// The upstream was full.
    Full,
    /// Another upstream has the address.
    Elsewhere,
    /// The call failed otherwise.
    Broken,
}

/// What happens to a gateway.
#[derive(Debug)]
pub enum Event {
    /// The store gave the table in force; asked for at `asked`.
    Table {
        /// When the read was sent.
        asked: clock::Now,
        /// The table.
        table: sync::Arc<table::Table>,
    },
    /// The table has not changed; asked for at `asked`.
    Confirmed {
        /// When the read was sent.
        asked: clock::Now,
    },
    /// The store gave the list of upstreams.
    Listed(Vec<fleet::Listed>),
    /// A request arrived whole.
    Arrive(id::RequestId, Box<Arrival>),
    /// The caller went away.
    Gone(id::RequestId),
    /// The first bytes of a stream go to the caller.
    Begun(CallId),
    /// A call ended.
    Ended {
        /// The call.
        call: CallId,
        /// How.
        outcome: Outcome,
        /// Load that the upstream reported.
        load: Option<fleet::Load>,
    },
    /// A call with a batch ended.
    BatchEnded {
        /// The batch.
        batch: batch::BatchId,
        /// How.
        outcome: BatchOutcome,
        /// Load that the upstream reported.
        load: Option<fleet::Load>,
    },
    /// The store gave the list of gateways that are alive.
    Peers(Vec<roster::Peer>),
    /// Another gateway hands pieces over.
    TakeOver(Ticket, Box<handoff::Pieces>),
    /// The other gateway does not wait for them any more.
    Withdrawn(Ticket),
    /// Another gateway gives results up.
    Released(handoff::Release),
    /// What became of a group that was handed over; nothing if its holder was lost.
    HandedBack(batch::GroupId, Option<handoff::Outcomes>),
    /// Whether a gateway is alive.
    Probed {
        /// The gateway.
        peer: id::InstanceId,
        /// Whether it answered.
        is_alive: bool,
    },
    /// The process is to stop.
    Drain,
    /// Time passed.
    Tick,
}

/// What the shell has to do.
#[derive(Debug)]
pub enum Effect {
    /// Send a request to an upstream.
    Send(Box<Send>),
    /// Drop a call and its connection.
    Cancel(CallId),
    /// Send a batch to an upstream.
    Run(Box<Run>),
    /// Hand a group over to another gateway.
    HandOver {
        /// The group.
        group: batch::GroupId,
        /// Address of the other gateway.
        address: net::SocketAddr,
        /// The pieces.
        message: Box<handoff::Pieces>,
        /// Time after which the answer is not waited for any more.
        patience: time::Duration,
    },
    /// Drop a handover.
    Withdraw(batch::GroupId),
    /// Answer a handover of another gateway.
    HandBack(Ticket, handoff::Outcomes),
    /// Give results up through another gateway.
    Release {
        /// Address of the other gateway.
        address: net::SocketAddr,
        /// The results.
        message: handoff::Release,
    },
    /// Ask another gateway whether it is alive.
    Probe {
        /// The gateway.
        peer: id::InstanceId,
        /// Its address.
        address: net::SocketAddr,
    },
    /// Tell an upstream that results are not needed any more.
    Free {
        /// The upstream.
        instance: id::InstanceId,
        /// Its address.
        address: net::SocketAddr,
        /// The results.
        handles: Vec<Handle>,
    },
    /// Answer the caller with what the call brought.
    Deliver(id::RequestId, CallId),
    /// Refuse the request; the caller may come back after `pause`.
    Refuse {
        /// The request.
        request: id::RequestId,
        /// Why.
        refusal: refusal::Refusal,
        /// When to come back.
        pause: Option<time::Duration>,
    },
    /// Drop what is kept of the request; a stream that has begun and is not whole breaks off.
    Forget(id::RequestId),
    /// Write a log line.
    Log(telemetry::Line),
}

/// Settings of a gateway's decisions.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The gateway itself.
    pub instance: id::InstanceId,
    /// Failure domain of the gateway.
    pub domain: id::DomainId,
    /// Regions of all failure domains.
    pub regions: collections::BTreeMap<id::DomainId, id::RegionId>,
    /// Time after which a credential that was taken away must not be acted on.
    pub revocation: Option<time::Duration>,
    /// Repeats allowed as a share of the requests to a service.
    pub retries: f64,
}

impl Terms {
    /// Returns the own region; a failure domain without one is a region of its own.
    fn region(&self) -> id::RegionId {
        let region = self.regions.get(&self.domain).cloned();
        region.unwrap_or_else(|| {
            self.domain.as_str().parse().expect("names of domains and regions have one form")
        })
    }
}

/// State of a gateway.
#[derive(Debug)]
pub struct Gateway {
    terms: Terms,
    table: sync::Arc<table::Table>,
    has_table: bool,
    freshness: freshness::Freshness,
    fleet: fleet::Fleet,
    placement: place::Placement,
    queues: batch::Queues,
    requests: collections::BTreeMap<id::RequestId, request::Request>,
    cutoffs: collections::BTreeSet<(time::Duration, id::RequestId)>,
    calls: collections::BTreeMap<CallId, calls::Call>,
    groups: collections::BTreeMap<batch::GroupId, groups::Group>,
    tickets: collections::BTreeMap<Ticket, batch::GroupId>,
    batches: collections::BTreeMap<batch::BatchId, batches::Flight>,
    roster: roster::Roster,
    holders: collections::BTreeMap<id::InstanceId, groups::Holder>,
    waits: collections::BTreeMap<roster::PoolId, (time::Duration, batch::Wait)>,
    pledges:
        collections::BTreeMap<(roster::PoolId, id::InstanceId), (time::Duration, batch::Pieces)>,
    biases: collections::BTreeMap<String, f64>,
    longest: collections::BTreeMap<String, time::Duration>,
    freed: collections::BTreeMap<id::InstanceId, Vec<Handle>>,
    budgets: collections::BTreeMap<id::ServiceId, retry::Budget>,
    draining: bool,
    serial: u64,
    now: clock::Now,
    rng: fastrand::Rng,
}

impl Gateway {
    /// Makes a gateway that knows nothing yet.
    pub fn new(terms: Terms, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        Self {
            table: sync::Arc::default(),
            has_table: false,
            freshness: freshness::Freshness::new(terms.revocation),
            fleet: fleet::Fleet::new(terms.domain.clone(), terms.regions.clone()),
            placement: place::Placement::default(),
            queues: batch::Queues::default(),
            requests: collections::BTreeMap::new(),
            cutoffs: collections::BTreeSet::new(),
            calls: collections::BTreeMap::new(),
            groups: collections::BTreeMap::new(),
            tickets: collections::BTreeMap::new(),
            batches: collections::BTreeMap::new(),
            roster: roster::Roster::default(),
            holders: collections::BTreeMap::new(),
            waits: collections::BTreeMap::new(),
            pledges: collections::BTreeMap::new(),
            biases: collections::BTreeMap::new(),
            longest: collections::BTreeMap::new(),
            freed: collections::BTreeMap::new(),
            budgets: collections::BTreeMap::new(),
            draining: false,
            serial: 0,
            now: clock::Now::default(),
            rng,
            terms,
        }
    }

    /// Takes in one event and appends what has to be done.
    pub fn step(&mut self, now: clock::Now, event: Event, effects: &mut Vec<Effect>) {
        self.now = now;
        match event {
            Event::Table { asked, table } => self.adopt(asked, table, effects),
            Event::Confirmed { asked } => self.freshness.confirm(asked),
            Event::Listed(list) => self.list(list, effects),
            Event::Arrive(request, arrival) => self.arrive(request, &arrival, effects),
            Event::Gone(request) => self.leave(request, effects),
            Event::Begun(call) => self.begun(call, effects),
            Event::Ended { call, outcome, load } => self.ended(call, outcome, load, effects),
            Event::BatchEnded { batch, outcome, load } => {
                self.batch_ended(batch, outcome, load, effects);
            }
            Event::Peers(peers) => self.meet(peers, effects),
            Event::TakeOver(ticket, message) => self.take_over(ticket, *message, effects),
            Event::Withdrawn(ticket) => self.withdrawn(ticket),
            Event::Released(message) => self.released(message, effects),
            Event::HandedBack(group, outcomes) => self.handed_back(group, outcomes, effects),
            Event::Probed { peer, is_alive } => self.probed(&peer, is_alive, effects),
            Event::Drain => self.draining = true,
            Event::Tick => self.tick(effects),
        }
        self.dispatch(effects);
    }

    /// Whether new callers should be sent here.
    pub fn is_ready(&self, now: clock::Now) -> bool {
        self.has_table && !self.draining && !self.fleet.is_empty() && self.freshness.is_recent(now)
    }

    /// Returns the number of requests in progress.
    pub fn open_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the version of the table in force.
    pub fn version(&self) -> table::Version {
        self.table.version
    }

    /// Returns the time since the table was last confirmed.
    pub fn table_age(&self, now: clock::Now) -> Option<time::Duration> {
        self.freshness.age(now)
    }

    /// Returns the limits on what callers send.
    pub fn limits(&self) -> table::Limits {
        self.table.limits
    }

    fn adopt(
        &mut self,
        asked: clock::Now,
        table: sync::Arc<table::Table>,
        effects: &mut Vec<Effect>,
    ) {
        // A version that is older than the one in force is an old read; it confirms nothing.
        if self.has_table && table.version < self.table.version {
            let line = telemetry::Line::new("table_ignored")
                .with("version", table.version)
                .with("in_force", self.table.version);
            effects.push(Effect::Log(line));
            return;
        }
        self.freshness.confirm(asked);
        if self.has_table && table.version == self.table.version {
            return;
        }
        let line = telemetry::Line::new("table_in_force")
            .with("version", table.version)
            .with("before", self.table.version)
            .with("routes", table.routes.len());
        effects.push(Effect::Log(line));
        self.table = table;
        self.has_table = true;
    }

    fn list(&mut self, list: Vec<fleet::Listed>, effects: &mut Vec<Effect>) {
        let change = self.fleet.update(self.now.mono, list);
        for (event, instances) in [
            ("upstream_joined", &change.joined),
            ("upstream_leaving", &change.leaving),
            ("upstream_gone", &change.gone),
        ] {
            for instance in instances {
                effects.push(Effect::Log(telemetry::Line::new(event).with("upstream", instance)));
            }
        }
        for instance in &change.gone {
            self.placement.forget(instance);
            self.freed.remove(instance);
        }
    }

    fn meet(&mut self, peers: Vec<roster::Peer>, effects: &mut Vec<Effect>) {
        let (came, went) = self.roster.update(peers);
        for (event, instances) in [("peer_came", came), ("peer_went", went)] {
            for instance in instances {
                effects.push(Effect::Log(telemetry::Line::new(event).with("peer", instance)));
            }
        }
    }

    fn arrive(&mut self, id: id::RequestId, arrival: &Arrival, effects: &mut Vec<Effect>) {
        metrics::counter!("gateway_requests_total").increment(1);
        match self.admit(arrival) {
            Ok((request, load)) => {
                self.log_arrival(&request, &load, effects);
                self.cutoffs.insert((request.end(), id));
                self.requests.insert(id, request);
                self.advance(id, effects);
            }
            Err(rejection) => {
                log_refusal(&arrival.name, &rejection.refusal, rejection.pause, effects);
                let admission::Rejection { refusal, pause } = rejection;
                effects.push(Effect::Refuse { request: id, refusal, pause });
            }
        }
    }

    fn log_arrival(
        &self,
        request: &request::Request,
        load: &admission::Load,
        effects: &mut Vec<Effect>,
    ) {
        let line = telemetry::Line::new("arrive")
            .with("request", &request.name)
            .with("route", &request.route.name)
            .with("table", self.table.version)
            .with("region", &request.region)
            .with("estimate_ms", load.estimate.as_millis())
            .with("late_ms", load.late.as_millis())
            .with("target_ms", load.target.as_millis())
            .with("budget_ms", load.budget.as_millis())
            .with("return", load.is_return);
        effects.push(Effect::Log(line));
    }

    /// Decides whether a request is taken in.
    fn admit(
        &mut self,
        arrival: &Arrival,
    ) -> Result<(request::Request, admission::Load), admission::Rejection> {
        use refusal::Kind;
        if !self.has_table {
            return Err(reject(Kind::NotReady, "no configuration is known yet"));
        }
        let table = sync::Arc::clone(&self.table);
        // Without a recent table, a path that is missing here may have been added meanwhile.
        let Some(route) = table.find(&arrival.host, &arrival.path) else {
            return Err(if self.freshness.is_valid(self.now) {
                reject(Kind::NotFound, "no route matches the host and path")
            } else {
                reject(Kind::NotReady, "the configuration could not be confirmed lately")
            });
        };
        let team = self.authenticate(&table, route, arrival)?;
        let draw = self.rng.f64();
        let Some(service) = route.pick_service(draw) else {
            return Err(reject(Kind::NoUpstream, "the route names no service"));
        };
        let regions = self.regions_for(route);
        let now = self.now.mono;
        let region = regions.first().cloned().unwrap_or_else(|| self.terms.region());
        let mut request =
            request::Request::new(now, arrival, route, team.as_ref(), service.clone(), region)
                .map_err(|message| reject(Kind::BadRequest, message))?;
        if self.fleet.of(service).next().is_none() {
            return Err(reject(Kind::NoUpstream, "no upstream of the service is known"));
        }
        let spent = self.spent(route, request.cutoff.saturating_sub(now));
        request.due = request.due.saturating_sub(spent);
        let load = self.settle_region(&mut request, &regions);
        if admission::check(&load)? == admission::Admitted::Late {
            request.due = request.due.min(now);
        }
        // Late requests yield to others, so that nothing can be learned from the time they take.
        if !load.is_return {
            request.estimate = load.estimate;
        }
        let share = self.terms.retries;
        self.budgets.entry(service.clone()).or_default().earn(share);
        Ok((request, load))
    }

    /// Returns the regions in which all stages of a route can be done: the own one first.
    fn regions_for(&self, route: &table::Route) -> Vec<id::RegionId> {
        let now = self.now.mono;
        let can_serve = |region: &id::RegionId| {
            route.stages.iter().all(|stage| {
                let service = stage.service.clone();
                let pool = roster::PoolId { service, region: region.clone() };
                self.fleet.pool(&pool).any(|(_, up)| !up.health.is_ejected(now))
            })
        };
        self.fleet.regions().into_iter().filter(can_serve).collect()
    }

    /// Moves a request to another region if it would be late in its own one and would not be there.
    fn settle_region(
        &mut self,
        request: &mut request::Request,
        regions: &[id::RegionId],
    ) -> admission::Load {
        let own = self.load_of(request, &request.region.clone());
        if request.stages.is_empty() || own.estimate <= own.target {
            return own;
        }
        let mut best = own;
        for region in regions {
            let mut load = self.load_of(request, region);
            if *region != request.region {
                load.estimate += REGION_TIME;
                load.late += REGION_TIME;
            }
            if load.estimate < best.estimate {
                best = load;
                request.region = region.clone();
            }
        }
        best
    }

    fn authenticate(
        &self,
        table: &table::Table,
        route: &table::Route,
        arrival: &Arrival,
    ) -> Result<Option<table::Team>, admission::Rejection> {
        use refusal::Kind;
        if route.is_public || table.teams.is_empty() {
            return Ok(None);
        }
        if !self.freshness.is_valid(self.now) {
            return Err(reject(Kind::NotReady, "credentials could not be confirmed lately"));
        }
        match arrival.credential.as_ref().and_then(|credential| table.team(credential)) {
            Some(team) => Ok(Some(team.clone())),
            None => Err(reject(Kind::Unauthorized, "the credential belongs to no team")),
        }
    }

    /// Whether work for a request may start: its credential is still known to hold.
    fn may_start(&self, request: &request::Request) -> bool {
        let Some(credential) = &request.credential else { return true };
        self.freshness.is_valid(self.now) && self.table.team(credential).is_some()
    }

    fn tick(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now.mono;
        while let Some((cutoff, request)) = self.cutoffs.first().copied() {
            if cutoff > now {
                break;
            }
            self.cutoffs.remove(&(cutoff, request));
            self.refuse(
                request,
                refusal::Kind::DeadlineExceeded,
                "the time for the answer is over",
                effects,
            );
        }
        self.probe_holders(effects);
        self.flush_freed(effects);
    }

    /// Ends a request that cannot be answered, in the way that its state allows.
    fn refuse(
        &mut self,
        id: id::RequestId,
        kind: refusal::Kind,
        message: &str,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let ran = if request.may_have_run { refusal::Ran::Unknown } else { refusal::Ran::No };
        let refusal = refusal::Refusal::new(kind, ran, message);
        let pause = (ran == refusal::Ran::No).then_some(admission::LEAST_PAUSE);
        log_refusal(&request.name, &refusal, pause, effects);
        if !request.has_begun {
            effects.push(Effect::Refuse { request: id, refusal, pause });
        }
        self.forget(id, effects);
    }

    fn leave(&mut self, id: id::RequestId, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id) else { return };
        let line = telemetry::Line::new("caller_gone")
            .with("request", &request.name)
            .with("after_ms", (self.now.mono.saturating_sub(request.arrived)).as_millis());
        effects.push(Effect::Log(line));
        self.forget(id, effects);
    }

    /// Forgets a request: cancels its calls, takes its pieces out of queues, frees its results.
    fn forget(&mut self, id: id::RequestId, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.cutoffs.remove(&(request.end(), id));
        if let Some(call) = request.call {
            self.cancel(call, effects);
        }
        self.drop_groups(&request, effects);
        for result in request.results() {
            self.free(result);
        }
        effects.push(Effect::Forget(id));
    }

    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }
}

fn reject(kind: refusal::Kind, message: impl Into<String>) -> admission::Rejection {
    let refusal = refusal::Refusal::new(kind, refusal::Ran::No, message);
    let pause = kind.retry_after().map(crate::unit::Millis::duration);
    admission::Rejection { refusal, pause }
}

fn log_refusal(
    name: &str,
    refusal: &refusal::Refusal,
    pause: Option<time::Duration>,
    effects: &mut Vec<Effect>,
) {
    metrics::counter!("gateway_refusals_total", "kind" => refusal.kind.to_string()).increment(1);
    let mut line = telemetry::Line::new("refuse")
        .with("request", name)
        .with("kind", refusal.kind)
        .with("ran", refusal.ran)
        .with("message", &refusal.message);
    if let Some(pause) = pause {
        line = line.with("retry_after_ms", pause.as_millis());
    }
    effects.push(Effect::Log(line));
}
