//! Reducer of the entry: takes requests in, runs their stages at sidecars, and sees to it that each
//! caller gets one whole answer or one true refusal.
//!
//! The shell feeds one [`Event`] at a time to [`Entry::step`] and carries out the [`Effect`]s in
//! their order. Bodies and answers stay in the shell; the reducer sees ids, lengths and offsets.

mod attempts;
mod recovery;

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::clock;
use crate::id;
use crate::membership;
use crate::plan;
use crate::refusal;
use crate::request;
use crate::retry;
use crate::revision;
use crate::routing;
use crate::team;
use crate::telemetry;
use crate::wire;

/// Redirects that are followed at once; later ones wait.
const FAST_REDIRECTS: u32 = 3;
/// Pause before a redirect is followed or an owner is looked for again.
const REDIRECT_PAUSE: time::Duration = time::Duration::from_millis(100);

/// A frame of a sidecar without its bytes.
#[derive(Clone, Debug)]
pub enum FrameInfo {
    /// The attempt waits or runs.
    Accepted(wire::Load),
    /// The upstream has been asked.
    Started,
    /// The upstream answered with an HTTP status.
    Head(u16),
    /// Bytes at an offset arrived.
    Chunk {
        /// Offset of the first byte.
        offset: u64,
        /// Number of bytes.
        bytes: u64,
    },
    /// The answer is whole.
    End {
        /// Its length.
        total: u64,
        /// State of the sidecar.
        load: wire::Load,
    },
    /// The attempt has no whole answer.
    Refused(wire::Refused),
}

/// What happens to an entry.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force.
    Configured(revision::ActiveConfig),
    /// A new instance list arrived.
    InstancesListed(membership::Instances),
    /// The number of entries, over which teams' limits are shared.
    EntryCount(u32),
    /// A request arrived whole.
    RequestArrived(request::Arrival),
    /// The body of a stage cannot be built, or its answer is of no use.
    BadInput {
        /// The request.
        request: id::RequestId,
        /// Kind of the refusal that follows.
        kind: refusal::Kind,
        /// What is wrong.
        message: String,
    },
    /// A body of so many bytes was sent for an attempt.
    BodySent(id::AttemptId, u64),
    /// A frame arrived.
    Frame(id::AttemptId, FrameInfo),
    /// The connection of an attempt broke; `sent` is false if no byte left.
    ConnectionLost {
        /// The attempt.
        attempt: id::AttemptId,
        /// Whether any byte may have reached the sidecar.
        sent: bool,
    },
    /// The caller went away.
    CallerGone(id::RequestId),
    /// The process is to stop.
    Drain,
    /// Time passed.
    Tick,
}

/// What the shell has to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Build the stage's body and send it to a sidecar.
    SendAttempt {
        /// Stage whose body is sent.
        stage: plan::StageIndex,
        /// The plan of the request.
        plan: sync::Arc<plan::Plan>,
        /// Address of the sidecar.
        address: net::SocketAddr,
        /// How far the sidecar is.
        tier: routing::Tier,
        /// The message.
        open: Box<wire::OpenAttempt>,
    },
    /// Ask a sidecar what became of an attempt.
    Attach(net::SocketAddr, wire::AttachAttempt),
    /// Drop the connection of an attempt and cancel it.
    Cancel(net::SocketAddr, id::AttemptId),
    /// Forget an attempt that has ended.
    Forget(id::AttemptId),
    /// Begin the caller's answer with the head of the attempt.
    RelayHead(id::RequestId, id::AttemptId),
    /// Pass the current chunk on to the caller, without its first `skip` bytes.
    RelayChunk {
        /// The request.
        request: id::RequestId,
        /// Bytes that the caller has already.
        skip: u64,
    },
    /// Keep the current chunk for the attempt, without its first `skip` bytes.
    AppendBody {
        /// The attempt.
        attempt: id::AttemptId,
        /// Bytes that are there already.
        skip: u64,
    },
    /// Make what was kept for the attempt the result of the stage.
    StoreResult(id::RequestId, plan::StageIndex, id::AttemptId),
    /// Answer the caller with what was kept for the attempt.
    SendAnswer(id::RequestId, id::AttemptId),
    /// End the caller's stream; it is whole.
    EndStream(id::RequestId),
    /// Refuse the request, or break its stream off.
    Refuse(id::RequestId, refusal::Refusal),
    /// Tell a sidecar that the instance list shows it as leaving.
    NotifyLeaving(net::SocketAddr),
    /// A sidecar shows a higher revision of the configuration.
    NewerRevision(net::SocketAddr, id::Revision),
    /// Write a log line.
    Log(telemetry::Line),
}

/// State of an entry.
#[derive(Debug)]
pub struct Entry {
    address: net::SocketAddr,
    in_force: revision::ActiveConfig,
    membership: membership::Membership,
    router: routing::Router,
    requests: collections::BTreeMap<id::RequestId, request::Request>,
    attempts: collections::BTreeMap<id::AttemptId, request::Attempt>,
    budgets: collections::BTreeMap<id::ServiceId, retry::Budget>,
    latencies: collections::BTreeMap<id::ServiceId, f64>,
    owners: collections::BTreeMap<(id::ServiceId, u32), wire::Owner>,
    acks: collections::BTreeMap<net::SocketAddr, Vec<id::AttemptId>>,
    teams: team::Teams,
    draining: bool,
    wall: time::Duration,
    rng: fastrand::Rng,
}

impl Entry {
    /// Makes an entry that has no configuration yet.
    pub fn new(
        me: id::InstanceId,
        domain: id::DomainId,
        address: net::SocketAddr,
        seed: u64,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Self {
            address,
            in_force: revision::ActiveConfig::default(),
            membership: membership::Membership::default(),
            router: routing::Router::new(me, domain, rng.u64(..)),
            requests: collections::BTreeMap::new(),
            attempts: collections::BTreeMap::new(),
            budgets: collections::BTreeMap::new(),
            latencies: collections::BTreeMap::new(),
            owners: collections::BTreeMap::new(),
            acks: collections::BTreeMap::new(),
            teams: team::Teams::default(),
            draining: false,
            wall: time::Duration::ZERO,
            rng,
        }
    }

    /// Takes in one event and appends what has to be done.
    pub fn step(&mut self, now: clock::Now, event: Event, effects: &mut Vec<Effect>) {
        self.wall = now.wall;
        let now = now.mono;
        match event {
            Event::Configured(in_force) => self.configure(in_force),
            Event::InstancesListed(list) => self.list(now, list, effects),
            Event::EntryCount(count) => self.teams.set_entries(count),
            Event::RequestArrived(arrival) => self.arrive(now, arrival, effects),
            Event::BadInput { request, kind, message } => {
                self.refuse(request, kind, message, effects);
            }
            Event::BodySent(attempt, bytes) => self.note_sent(now, attempt, bytes),
            Event::Frame(attempt, frame) => self.frame(now, attempt, frame, effects),
            Event::ConnectionLost { attempt, sent } => self.lost(now, attempt, sent, effects),
            Event::CallerGone(request) => self.finish(request, effects),
            Event::Drain => self.draining = true,
            Event::Tick => self.tick(now, effects),
        }
    }

    /// Returns the number of requests in progress.
    pub fn open_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of attempts in progress.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the name of a stage of a request in progress.
    pub fn stage_name(&self, request: id::RequestId, stage: plan::StageIndex) -> Option<String> {
        let state = self.requests.get(&request)?;
        state.plan.steps.get(stage).map(|step| step.name.to_string())
    }

    fn configure(&mut self, in_force: revision::ActiveConfig) {
        if in_force.revision < self.in_force.revision {
            return;
        }
        self.in_force = in_force;
        self.update_router();
    }

    fn update_router(&mut self) {
        let draining = &self.in_force.stored.draining;
        self.router.update(&self.in_force.config, self.membership.instances(), draining);
    }

    fn list(
        &mut self,
        now: time::Duration,
        list: membership::Instances,
        effects: &mut Vec<Effect>,
    ) {
        self.membership.update(now, list);
        self.update_router();
        effects.extend(self.router.listed_leaving().into_iter().map(Effect::NotifyLeaving));
    }

    fn arrive(
        &mut self,
        now: time::Duration,
        arrival: request::Arrival,
        effects: &mut Vec<Effect>,
    ) {
        let request = arrival.request;
        match self.admit(now, &arrival) {
            Ok(plan) => {
                let line = telemetry::Line::new("arrive")
                    .with("request", request)
                    .with("team", &arrival.team)
                    .with("target", &arrival.target);
                effects.push(Effect::Log(line));
                self.teams.enter(&arrival.team);
                self.requests.insert(request, request::Request::new(now, arrival, plan));
                self.start_ready(now, request, effects);
            }
            Err(mut refusal) => {
                if arrival.key.is_some() && leaves_outcome_unknown(refusal.kind) {
                    refusal.ran = refusal::Ran::Unknown;
                }
                let line = telemetry::Line::new("refuse")
                    .with("request", request)
                    .with("kind", refusal.kind)
                    .with("ran", refusal.ran);
                effects.push(Effect::Log(line));
                effects.push(Effect::Refuse(request, refusal));
            }
        }
    }

    /// Decides whether a request is taken in.
    fn admit(
        &mut self,
        now: time::Duration,
        arrival: &request::Arrival,
    ) -> Result<sync::Arc<plan::Plan>, refusal::Refusal> {
        use refusal::Kind;
        let no = |kind, message: &str| Err(refusal::Refusal::new(kind, refusal::Ran::No, message));
        if self.draining {
            return no(Kind::Draining, "this entry is shutting down");
        }
        if self.in_force.revision == id::Revision(0) {
            return no(Kind::NotReady, "no configuration is known yet");
        }
        let config = self.in_force.config.clone();
        let Some(plan) = plan::plan(&config, &arrival.target) else {
            return no(Kind::NotFound, "no such pipeline or service");
        };
        if self.requests.len() >= config.limits.requests as usize {
            return no(Kind::Overloaded, "this entry holds as many requests as it may");
        }
        if arrival.budget.is_some_and(|budget| budget < plan.minimum.duration()) {
            return no(Kind::DeadlineUnreachable, "the deadline is below the stages' minimums");
        }
        let Some(team) = config.teams.get(&arrival.team) else {
            return no(Kind::Unauthorized, "the team is not configured any more");
        };
        if !self.teams.admit(now, &arrival.team, team) {
            return no(Kind::TeamLimit, "the team is over its limit");
        }
        Ok(plan)
    }

    fn start_ready(
        &mut self,
        now: time::Duration,
        request: id::RequestId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        let ready = plan::ready_stages(&state.plan, &state.done_stages, &state.started_stages);
        for stage in ready {
            let Some(state) = self.requests.get_mut(&request) else { return };
            state.started_stages.insert(stage);
            state.stage_runs.insert(stage, request::StageRun::default());
            let service = state.plan.steps[stage].service.clone();
            let share = self.in_force.config.limits.retry_share.0;
            self.budgets.entry(service).or_default().deposit(share);
            self.try_stage(now, request, stage, effects);
        }
    }

    /// Ends a request: frees everything that belongs to it and cancels what still runs.
    fn finish(&mut self, request: id::RequestId, effects: &mut Vec<Effect>) {
        let Some(state) = self.requests.remove(&request) else { return };
        self.teams.leave(&state.team);
        for attempt in self.attempts_of(request, None) {
            self.cancel(attempt, effects);
        }
    }

    fn refuse(
        &mut self,
        request: id::RequestId,
        kind: refusal::Kind,
        message: impl Into<String>,
        effects: &mut Vec<Effect>,
    ) {
        let in_flight = !self.attempts_of(request, None).is_empty();
        let Some(state) = self.requests.get_mut(&request) else { return };
        // Without a word of the owner nobody can say whether an earlier request with the key ran.
        if in_flight || state.is_possible_repeat() {
            state.record_ran(refusal::Ran::Unknown);
        }
        let refusal = refusal::Refusal::new(kind, state.ran, message);
        let line = telemetry::Line::new("refuse")
            .with("request", request)
            .with("kind", refusal.kind)
            .with("ran", refusal.ran)
            .with("message", &refusal.message);
        effects.push(Effect::Log(line));
        effects.push(Effect::Refuse(request, refusal));
        self.finish(request, effects);
    }

    fn attempts_of(
        &self,
        request: id::RequestId,
        stage: Option<plan::StageIndex>,
    ) -> Vec<id::AttemptId> {
        // Attempts of a request share its upper half, so that they stand together.
        let (first, last) = attempt_span(request);
        self.attempts
            .range(first..=last)
            .filter(|(_, attempt)| {
                attempt.request == request && stage.is_none_or(|stage| attempt.stage == stage)
            })
            .map(|(id, _)| *id)
            .collect()
    }
}

/// Returns the first and last attempt that a request can have.
fn attempt_span(request: id::RequestId) -> (id::AttemptId, id::AttemptId) {
    let first = request.0 << 64;
    (id::AttemptId(first), id::AttemptId(first | u128::from(u64::MAX)))
}

/// Whether a refusal of a request with a key says nothing about earlier requests with it. The other
/// kinds are faults of the request itself, which an earlier one would have had as well.
pub fn leaves_outcome_unknown(kind: refusal::Kind) -> bool {
    use refusal::Kind;
    matches!(
        kind,
        Kind::Draining
            | Kind::NotReady
            | Kind::Overloaded
            | Kind::TeamLimit
            | Kind::DeadlineUnreachable
    )
}
