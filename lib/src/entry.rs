//! Reducer of the entry, which admits requests and runs their stages at sidecars. Each caller gets
//! either one complete answer or one refusal that states correctly whether anything ran.
//!
//! The shell passes one [`Event`] at a time to [`Entry::step`] and carries out the returned
//! [`Effect`]s in order. Bodies and answers stay in the shell; the reducer handles only ids, sizes
//! and offsets.

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

/// Number of redirects of a stage that are followed at once; later ones wait [`REDIRECT_PAUSE`].
const MAX_FAST_REDIRECTS: u32 = 3;
/// Pause before a later redirect is followed, or an upstream or key owner is searched again.
const REDIRECT_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Frame received from a sidecar, without the bytes of the answer.
#[derive(Clone, Debug)]
pub enum FrameInfo {
    /// The attempt is queued or running.
    Accepted(wire::Load),
    /// The attempt was sent to the upstream.
    Started,
    /// The upstream answered with this HTTP status.
    Head(u16),
    /// A part of the answer arrived.
    Chunk {
        /// Offset of its first byte in the answer.
        offset: u64,
        /// Number of bytes.
        bytes: u64,
    },
    /// The answer is complete.
    End {
        /// Size of the whole answer, in bytes.
        total: u64,
        /// Load report of the sidecar.
        load: wire::Load,
    },
    /// The attempt was refused or failed, so that it has no complete answer.
    Refused(wire::Refused),
}

/// Input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force.
    Configured(revision::ActiveConfig),
    /// A new instance list arrived.
    InstancesListed(membership::Instances),
    /// The number of running entries changed; teams' limits are divided by it.
    EntryCount(u32),
    /// A request arrived with its complete body.
    RequestArrived(request::Arrival),
    /// The body of a stage cannot be built, or the answer of a stage cannot be used.
    BadInput {
        /// Request that the stage belongs to.
        request: id::RequestId,
        /// Kind of the refusal that the caller gets.
        kind: refusal::Kind,
        /// Description of the error, sent to the caller.
        message: String,
    },
    /// A body of this many bytes was sent for an attempt.
    BodySent(id::AttemptId, u64),
    /// A frame of an attempt arrived from its sidecar.
    Frame(id::AttemptId, FrameInfo),
    /// There is no memory for the rest of an attempt's answer.
    AnswerTooLarge(id::AttemptId),
    /// The connection of an attempt broke.
    ConnectionLost {
        /// Attempt whose connection broke.
        attempt: id::AttemptId,
        /// Whether any byte may have reached the sidecar.
        sent: bool,
    },
    /// The caller closed its connection before the answer was complete.
    CallerGone(id::RequestId),
    /// The process shuts down; new requests are refused from now on.
    Drain,
    /// The shell's timer fired; deadlines, timeouts and due retries are checked.
    Tick,
}

/// Action that the shell carries out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Build the stage's body and send it to a sidecar.
    SendAttempt {
        /// Stage whose body is sent.
        stage: plan::StageIndex,
        /// Plan of the request, from which the body is built.
        plan: sync::Arc<plan::Plan>,
        /// Address of the sidecar.
        address: net::SocketAddr,
        /// Distance of the sidecar.
        tier: routing::Tier,
        /// Message that precedes the body.
        open: Box<wire::OpenAttempt>,
    },
    /// Ask a sidecar for the outcome of an attempt and for the rest of its answer.
    Attach(net::SocketAddr, wire::AttachAttempt),
    /// Drop the connection of an attempt and cancel it at its sidecar.
    Cancel(net::SocketAddr, id::AttemptId),
    /// Free the connection and the data of an attempt that has ended.
    Forget(id::AttemptId),
    /// Start the caller's answer with the head of the attempt's answer.
    RelayHead(id::RequestId, id::AttemptId),
    /// Forward the current chunk to the caller, without its first `skip` bytes.
    RelayChunk {
        /// Request whose caller gets the chunk.
        request: id::RequestId,
        /// Bytes of the chunk that were forwarded before.
        skip: u64,
    },
    /// Append the current chunk to the buffered answer of an attempt, without its first `skip`
    /// bytes.
    BufferChunk {
        /// Attempt whose answer is buffered.
        attempt: id::AttemptId,
        /// Bytes of the chunk that were appended before.
        skip: u64,
    },
    /// Use the buffered answer of the attempt as the result of the stage.
    StoreResult(id::RequestId, plan::StageIndex, id::AttemptId),
    /// Send the buffered answer of the attempt to the caller.
    SendAnswer(id::RequestId, id::AttemptId),
    /// End the caller's stream, which is complete.
    EndStream(id::RequestId),
    /// Refuse the request, or end its stream with an error if it has started.
    Refuse(id::RequestId, refusal::Refusal),
    /// Notify a sidecar that the instance list shows it as leaving.
    NotifyLeaving(net::SocketAddr),
    /// Fetch the configuration from this sidecar, which reported a newer revision of it.
    FetchConfig(net::SocketAddr, id::Revision),
    /// Write a log line.
    Log(telemetry::Line),
}

/// State machine of an entry.
#[derive(Debug)]
pub struct Entry {
    address: net::SocketAddr,
    active_config: revision::ActiveConfig,
    membership: membership::Membership,
    router: routing::Router,
    requests: collections::BTreeMap<id::RequestId, request::Request>,
    attempts: collections::BTreeMap<id::AttemptId, request::Attempt>,
    retry_budgets: collections::BTreeMap<id::ServiceId, retry::Budget>,
    /// Moving averages of the services' latencies, in seconds.
    mean_latencies: collections::BTreeMap<id::ServiceId, f64>,
    /// Owners of key ranges that sidecars reported.
    key_owners: collections::BTreeMap<(id::ServiceId, u32), wire::Owner>,
    /// Completed attempts to acknowledge with the next attempt to each sidecar.
    acks: collections::BTreeMap<net::SocketAddr, Vec<id::AttemptId>>,
    teams: team::TeamLimits,
    draining: bool,
    /// Wall clock at the current event, since the Unix epoch.
    wall_time: time::Duration,
    rng: fastrand::Rng,
}

impl Entry {
    /// Creates an entry without a configuration; it refuses all requests until it gets one.
    /// Everything random is derived from `seed`.
    pub fn new(
        instance: id::InstanceId,
        domain: id::DomainId,
        address: net::SocketAddr,
        seed: u64,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Self {
            address,
            active_config: revision::ActiveConfig::default(),
            membership: membership::Membership::default(),
            router: routing::Router::new(instance, domain, rng.u64(..)),
            requests: collections::BTreeMap::new(),
            attempts: collections::BTreeMap::new(),
            retry_budgets: collections::BTreeMap::new(),
            mean_latencies: collections::BTreeMap::new(),
            key_owners: collections::BTreeMap::new(),
            acks: collections::BTreeMap::new(),
            teams: team::TeamLimits::default(),
            draining: false,
            wall_time: time::Duration::ZERO,
            rng,
        }
    }

    /// Processes one event and appends the resulting effects.
    pub fn step(&mut self, now: clock::Now, event: Event, effects: &mut Vec<Effect>) {
        self.wall_time = now.wall;
        let now = now.mono;
        match event {
            Event::Configured(active_config) => self.configure(active_config),
            Event::InstancesListed(list) => self.update_instances(now, list, effects),
            Event::EntryCount(count) => self.teams.set_entry_count(count),
            Event::RequestArrived(arrival) => self.on_arrival(now, arrival, effects),
            Event::BadInput { request, kind, message } => {
                self.refuse_request(request, kind, message, effects);
            }
            Event::BodySent(attempt, bytes) => self.charge_sent(now, attempt, bytes),
            Event::Frame(attempt, frame) => self.on_frame(now, attempt, frame, effects),
            Event::ConnectionLost { attempt, sent } => self.on_lost(now, attempt, sent, effects),
            Event::AnswerTooLarge(attempt) => self.drop_large_answer(now, attempt, effects),
            Event::CallerGone(request) => self.end_request(request, effects),
            Event::Drain => self.draining = true,
            Event::Tick => self.tick(now, effects),
        }
    }

    /// Returns the number of requests in progress.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of attempts in progress.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the name of a stage, or `None` if the request is not in progress.
    pub fn stage_name(&self, request: id::RequestId, stage: plan::StageIndex) -> Option<String> {
        let state = self.requests.get(&request)?;
        state.plan.steps.get(stage).map(|step| step.name.to_string())
    }

    /// Activates a configuration, unless a newer one is active.
    fn configure(&mut self, active_config: revision::ActiveConfig) {
        if active_config.revision < self.active_config.revision {
            return;
        }
        self.active_config = active_config;
        self.update_router();
    }

    /// Passes the instances and the drained ones among them to the router.
    fn update_router(&mut self) {
        let draining = &self.active_config.stored.draining;
        self.router.update(&self.active_config.config, self.membership.instances(), draining);
    }

    /// Takes over a new instance list, and notifies the sidecars that it shows as leaving.
    fn update_instances(
        &mut self,
        now: time::Duration,
        list: membership::Instances,
        effects: &mut Vec<Effect>,
    ) {
        self.membership.update(now, list);
        self.update_router();
        effects.extend(self.router.listed_leaving().into_iter().map(Effect::NotifyLeaving));
    }

    /// Starts a request, or refuses it if it is not admitted.
    fn on_arrival(
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
                self.teams.request_started(&arrival.team);
                self.requests.insert(request, request::Request::new(now, arrival, plan));
                self.start_ready_stages(now, request, effects);
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

    /// Decides whether a request is accepted, and returns its plan if so.
    fn admit(
        &mut self,
        now: time::Duration,
        arrival: &request::Arrival,
    ) -> Result<sync::Arc<plan::Plan>, refusal::Refusal> {
        use refusal::Kind;
        let refuse =
            |kind, message: &str| Err(refusal::Refusal::new(kind, refusal::Ran::No, message));
        if self.draining {
            return refuse(Kind::Draining, "this entry is shutting down");
        }
        if self.active_config.revision == id::Revision(0) {
            return refuse(Kind::NotReady, "no configuration is known yet");
        }
        let config = self.active_config.config.clone();
        let Some(plan) = plan::plan(&config, &arrival.target) else {
            return refuse(Kind::NotFound, "no such pipeline or service");
        };
        if self.requests.len() >= config.limits.requests as usize {
            return refuse(Kind::Overloaded, "this entry holds as many requests as it may");
        }
        if arrival.budget.is_some_and(|budget| budget < plan.minimum.duration()) {
            return refuse(Kind::DeadlineUnreachable, "the deadline is below the stages' minimums");
        }
        let Some(team) = config.teams.get(&arrival.team) else {
            return refuse(Kind::Unauthorized, "the team is not configured any more");
        };
        if !self.teams.admit(now, &arrival.team, team) {
            return refuse(Kind::TeamLimit, "the team is over its limit");
        }
        Ok(plan)
    }

    /// Starts all stages of a request whose input stages are done.
    fn start_ready_stages(
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
            let share = self.active_config.config.limits.retry_share.0;
            self.retry_budgets.entry(service).or_default().deposit(share);
            self.try_stage(now, request, stage, effects);
        }
    }

    /// Ends a request: frees its state and cancels its attempts.
    fn end_request(&mut self, request: id::RequestId, effects: &mut Vec<Effect>) {
        let Some(state) = self.requests.remove(&request) else { return };
        self.teams.request_ended(&state.team);
        for attempt in self.attempts_of(request, None) {
            self.cancel_attempt(attempt, effects);
        }
    }

    /// Refuses a request and ends it. The refusal states whether anything ran, which is unknown
    /// while attempts are in flight.
    fn refuse_request(
        &mut self,
        request: id::RequestId,
        kind: refusal::Kind,
        message: impl Into<String>,
        effects: &mut Vec<Effect>,
    ) {
        let in_flight = !self.attempts_of(request, None).is_empty();
        let Some(state) = self.requests.get_mut(&request) else { return };
        // Unless the owner of the key has ruled it out, an earlier request with the same key may
        // have run.
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
        self.end_request(request, effects);
    }

    /// Returns the attempts in flight of a request, or of one of its stages.
    fn attempts_of(
        &self,
        request: id::RequestId,
        stage: Option<plan::StageIndex>,
    ) -> Vec<id::AttemptId> {
        // The upper half of an attempt id is the request id, so the attempts are adjacent.
        let (first, last) = attempt_id_range(request);
        self.attempts
            .range(first..=last)
            .filter(|(_, attempt)| {
                attempt.request == request && stage.is_none_or(|stage| attempt.stage == stage)
            })
            .map(|(id, _)| *id)
            .collect()
    }
}

/// Returns the lowest and highest id that an attempt of the request can have.
fn attempt_id_range(request: id::RequestId) -> (id::AttemptId, id::AttemptId) {
    let first = request.0 << 64;
    (id::AttemptId(first), id::AttemptId(first | u128::from(u64::MAX)))
}

/// Whether a refusal of a request with a key tells nothing about earlier requests with the same
/// key. The other kinds are faults of the request itself, for which an earlier one would have been
/// refused as well.
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
