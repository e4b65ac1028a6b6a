//! Reducer of the entry: takes requests in, runs their stages at sidecars, and sees to it that each
//! caller gets one whole answer or one true refusal.
//!
//! The shell feeds one [`Event`] at a time to [`Entry::step`] and carries out the [`Effect`]s in
//! their order. Bodies and answers stay in the shell; the reducer sees ids, lengths and offsets.

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::clock;
use crate::config;
use crate::id;
use crate::key;
use crate::membership;
use crate::plan;
use crate::refusal;
use crate::request;
use crate::retry;
use crate::revision;
use crate::routing;
use crate::team;
use crate::telemetry;
use crate::unit;
use crate::wire;

/// Time that a sidecar has to accept an attempt before another one is tried.
const ACCEPT_TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Time without any byte after which a stream counts as stalled.
const STREAM_STALL: time::Duration = time::Duration::from_secs(3);
/// Part of a budget that is kept for the way back.
const REPLY_MARGIN: time::Duration = time::Duration::from_millis(60);
/// Attempts at one stage, redirects not counted.
const MAX_ATTEMPTS: u32 = 5;
/// Redirects of one stage, after which the request is refused.
const MAX_REDIRECTS: u32 = 100;
/// Redirects that are followed at once; later ones wait.
const FAST_REDIRECTS: u32 = 3;
/// Pause before a redirect is followed or an owner is looked for again.
const REDIRECT_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Pause before a silent sidecar is asked again what became of an attempt.
const RESOLVE_PAUSE: time::Duration = time::Duration::from_millis(150);
/// Expected time of a call, times this, after which a slow one is hedged.
const HEDGE_FACTOR: u32 = 4;
/// Shortest time after which a call is hedged.
const HEDGE_FLOOR: time::Duration = time::Duration::from_millis(400);
/// Weight of a new sample in the smoothed time of a service's calls.
const SMOOTHING: f64 = 0.1;
/// Acknowledgements that wait for the next attempt to a sidecar.
const MAX_ACKS: usize = 64;

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
    Configured(revision::InForce),
    /// A new instance list arrived.
    Listed(membership::Instances),
    /// The number of entries, over which teams' limits are shared.
    Entries(u32),
    /// A request arrived whole.
    Arrive(request::Arrival),
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
    Sent(id::AttemptId, u64),
    /// A frame arrived.
    Frame(id::AttemptId, FrameInfo),
    /// The connection of an attempt broke; `sent` is false if no byte left.
    Lost {
        /// The attempt.
        attempt: id::AttemptId,
        /// Whether any byte may have reached the sidecar.
        sent: bool,
    },
    /// The caller went away.
    Gone(id::RequestId),
    /// The process is to stop.
    Drain,
    /// Time passed.
    Tick,
}

/// What the shell has to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Build the stage's body and send it to a sidecar.
    Send {
        /// Stage whose body is sent.
        stage: plan::StageIndex,
        /// The plan of the request.
        plan: sync::Arc<plan::Plan>,
        /// Address of the sidecar.
        address: net::SocketAddr,
        /// How far the sidecar is.
        tier: routing::Tier,
        /// The message.
        open: Box<wire::Open>,
    },
    /// Ask a sidecar what became of an attempt.
    Attach(net::SocketAddr, wire::Attach),
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
    Keep {
        /// The attempt.
        attempt: id::AttemptId,
        /// Bytes that are there already.
        skip: u64,
    },
    /// Make what was kept for the attempt the result of the stage.
    Store(id::RequestId, plan::StageIndex, id::AttemptId),
    /// Answer the caller with what was kept for the attempt.
    Answer(id::RequestId, id::AttemptId),
    /// End the caller's stream; it is whole.
    EndStream(id::RequestId),
    /// Refuse the request, or break its stream off.
    Refuse(id::RequestId, refusal::Refusal),
    /// Tell a sidecar that the instance list shows it as leaving.
    Leave(net::SocketAddr),
    /// A sidecar shows a higher revision of the configuration.
    Newer(net::SocketAddr, id::Revision),
    /// Write a log line.
    Log(telemetry::Line),
}

/// State of an entry.
#[derive(Debug)]
pub struct Entry {
    address: net::SocketAddr,
    in_force: revision::InForce,
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
            in_force: revision::InForce::default(),
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
            rng,
        }
    }

    /// Takes in one event and appends what has to be done.
    pub fn step(&mut self, now: clock::Now, event: Event, effects: &mut Vec<Effect>) {
        let now = now.mono;
        match event {
            Event::Configured(in_force) => self.configure(in_force),
            Event::Listed(list) => self.list(now, list, effects),
            Event::Entries(count) => self.teams.set_entries(count),
            Event::Arrive(arrival) => self.arrive(now, arrival, effects),
            Event::BadInput { request, kind, message } => {
                self.refuse(request, kind, message, effects);
            }
            Event::Sent(attempt, bytes) => self.note_sent(now, attempt, bytes),
            Event::Frame(attempt, frame) => self.frame(now, attempt, frame, effects),
            Event::Lost { attempt, sent } => self.lost(now, attempt, sent, effects),
            Event::Gone(request) => self.finish(request, effects),
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

    /// Returns the upstreams with what is known of them.
    pub fn router(&self) -> &routing::Router {
        &self.router
    }

    fn configure(&mut self, in_force: revision::InForce) {
        if in_force.revision < self.in_force.revision {
            return;
        }
        self.in_force = in_force;
        self.update_router();
    }

    fn update_router(&mut self) {
        let draining = &self.in_force.accepted.draining;
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
        effects.extend(self.router.listed_leaving().into_iter().map(Effect::Leave));
    }

    // Requests.

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
            Err(refusal) => {
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
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let ready = plan::ready(&state.plan, &state.done, &state.started);
        for stage in ready {
            let Some(state) = self.requests.get_mut(&request) else {
                return;
            };
            state.started.insert(stage);
            state.runs.insert(stage, request::StageRun::default());
            let service = state.plan.steps[stage].service.clone();
            let share = self.in_force.config.limits.retry_share.0;
            self.budgets.entry(service).or_default().earn(share);
            self.try_stage(now, request, stage, effects);
        }
    }

    /// Ends a request: frees everything that belongs to it and cancels what still runs.
    fn finish(&mut self, request: id::RequestId, effects: &mut Vec<Effect>) {
        let Some(state) = self.requests.remove(&request) else {
            return;
        };
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
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        if in_flight {
            state.note_ran(refusal::Ran::Unknown);
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

    // Attempts.

    /// Starts an attempt of a stage, or refuses the request if nobody can take it.
    fn try_stage(
        &mut self,
        now: time::Duration,
        request: id::RequestId,
        stage: plan::StageIndex,
        effects: &mut Vec<Effect>,
    ) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let budget = state.stage_deadline(stage).saturating_sub(now);
        let Some(budget) = budget.checked_sub(REPLY_MARGIN).filter(|left| !left.is_zero()) else {
            let kind = refusal::Kind::DeadlineExceeded;
            self.refuse(request, kind, "no time is left for the stage", effects);
            return;
        };
        match self.pick(now, request, stage) {
            Some(pick) => self.send(now, request, stage, pick, budget, effects),
            None => self.wait_for_upstream(now, request, stage, effects),
        }
    }

    /// Nobody can take the stage right now: looks again shortly while that makes sense.
    fn wait_for_upstream(
        &mut self,
        now: time::Duration,
        request: id::RequestId,
        stage: plan::StageIndex,
        effects: &mut Vec<Effect>,
    ) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let service = state.plan.steps[stage].service.clone();
        let Some(run) = state.runs.get_mut(&stage) else {
            return;
        };
        run.redirects += 1;
        if run.redirects > FAST_REDIRECTS * 2 {
            let message = format!("no upstream of `{service}` takes work");
            self.refuse(request, refusal::Kind::NoUpstream, message, effects);
        } else {
            run.wake = Some(now + REDIRECT_PAUSE);
        }
    }

    fn pick(
        &mut self,
        now: time::Duration,
        request: id::RequestId,
        stage: plan::StageIndex,
    ) -> Option<routing::Pick> {
        let state = self.requests.get(&request)?;
        let step = &state.plan.steps[stage];
        if let Some(key) = state.stage_key(stage) {
            let range = key::range_of(key);
            if let Some(owner) = self.owners.get(&(step.service.clone(), range)) {
                return Some(routing::Pick {
                    instance: owner.instance.clone(),
                    address: owner.address,
                    incarnation: Some(owner.incarnation),
                    tier: self
                        .router
                        .get(&owner.instance)
                        .map_or(routing::Tier::Region, |up| up.tier),
                    reason: "key_owner",
                });
            }
        }
        let is_engine = step.rules.kind == config::Kind::Engine;
        let want = routing::Want {
            service: &step.service,
            tried: &state.runs.get(&stage)?.tried,
            prefix: state.prefix.filter(|_| is_engine),
        };
        self.router.pick(now, &self.in_force.config, &want)
    }

    fn send(
        &mut self,
        now: time::Duration,
        request: id::RequestId,
        stage: plan::StageIndex,
        pick: routing::Pick,
        budget: time::Duration,
        effects: &mut Vec<Effect>,
    ) {
        let attempt = self.next_attempt(request);
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let step = &state.plan.steps[stage];
        let key = state.stage_key(stage).map(|text| {
            let range = key::range_of(text);
            let owner = self.owners.get(&(step.service.clone(), range));
            let fence = owner.map_or(id::FencingToken(0), |owner| owner.fence);
            wire::Key { text: text.clone(), range, fence }
        });
        let Some(run) = state.runs.get_mut(&stage) else {
            return;
        };
        run.attempts += 1;
        run.wake = None;
        run.tried.insert(pick.instance.clone());
        let line = telemetry::Line::new("route")
            .with("request", request)
            .with("attempt", attempt)
            .with("stage", &step.name)
            .with("service", &step.service)
            .with("upstream", &pick.instance)
            .with("tier", pick.tier)
            .with("reason", pick.reason)
            .with("try", run.attempts)
            .with("budget", unit::Millis::from(budget));
        effects.push(Effect::Log(line));
        let open = wire::Open {
            version: wire::MAJOR,
            request,
            attempt,
            sender: self.address,
            incarnation: pick.incarnation,
            budget: budget.into(),
            team: state.team.clone(),
            revision: self.in_force.revision,
            offset: run.relayed,
            key,
            acks: self.acks.remove(&pick.address).unwrap_or_default(),
        };
        let received = run.relayed;
        effects.push(Effect::Send {
            stage,
            plan: state.plan.clone(),
            address: pick.address,
            tier: pick.tier,
            open: Box::new(open),
        });
        self.router.sent(&pick.instance);
        let record = request::Attempt {
            request,
            stage,
            pick,
            sent: now,
            heard: now,
            accepted: false,
            status: None,
            received,
            resolves: 0,
            resolve_at: None,
        };
        self.attempts.insert(attempt, record);
    }

    fn next_attempt(&mut self, request: id::RequestId) -> id::AttemptId {
        let (first, _) = attempt_span(request);
        id::AttemptId(first.0 | u128::from(self.rng.u64(..)))
    }

    fn note_sent(&mut self, now: time::Duration, attempt: id::AttemptId, bytes: u64) {
        if let Some(record) = self.attempts.get(&attempt) {
            self.router.charge(now, &self.in_force.config, record.pick.tier, bytes);
        }
    }

    /// Cancels an attempt whose answer is not needed any more.
    fn cancel(&mut self, attempt: id::AttemptId, effects: &mut Vec<Effect>) {
        if let Some(record) = self.attempts.remove(&attempt) {
            self.router.ended(&record.pick.instance, None);
            effects.push(Effect::Cancel(record.address(), attempt));
        }
    }

    // Frames.

    fn frame(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        frame: FrameInfo,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get_mut(&attempt) else {
            return;
        };
        record.heard = now;
        record.resolve_at = None;
        match frame {
            FrameInfo::Accepted(load) => {
                record.accepted = true;
                let instance = record.pick.instance.clone();
                self.report(now, &instance, &load, effects);
            }
            FrameInfo::Started => {}
            FrameInfo::Head(status) => self.head(attempt, status, effects),
            FrameInfo::Chunk { offset, bytes } => self.chunk(now, attempt, offset, bytes, effects),
            FrameInfo::End { total, load } => {
                let instance = record.pick.instance.clone();
                let whole = record.received == total;
                self.report(now, &instance, &load, effects);
                if whole {
                    self.complete(now, attempt, effects);
                } else {
                    self.lost(now, attempt, true, effects);
                }
            }
            FrameInfo::Refused(refused) => {
                let instance = record.pick.instance.clone();
                self.report(now, &instance, &refused.load, effects);
                self.refused(now, attempt, refused, effects);
            }
        }
    }

    fn report(
        &mut self,
        now: time::Duration,
        instance: &id::InstanceId,
        load: &wire::Load,
        effects: &mut Vec<Effect>,
    ) {
        self.router.report(now, instance, load);
        if load.revision > self.in_force.revision
            && let Some(up) = self.router.get(instance)
        {
            effects.push(Effect::Newer(up.address, load.revision));
        }
    }

    fn is_relayed(&self, record: &request::Attempt) -> bool {
        let Some(state) = self.requests.get(&record.request) else {
            return false;
        };
        let is_success = record.status.is_some_and(|status| (200..300).contains(&status));
        state.stream && state.plan.answer == record.stage && is_success
    }

    fn head(&mut self, attempt: id::AttemptId, status: u16, effects: &mut Vec<Effect>) {
        let Some(record) = self.attempts.get_mut(&attempt) else {
            return;
        };
        record.status = Some(status);
        let (request, stage) = (record.request, record.stage);
        let relayed = self.attempts.get(&attempt).is_some_and(|record| self.is_relayed(record));
        if !relayed {
            return;
        }
        let Some(run) = self.requests.get_mut(&request).and_then(|s| s.runs.get_mut(&stage)) else {
            return;
        };
        let is_first = run.relaying.is_none();
        run.relaying = Some(attempt);
        if is_first {
            effects.push(Effect::RelayHead(request, attempt));
        }
        // The bytes of two attempts must never mix: from now on only this one counts.
        for other in self.attempts_of(request, Some(stage)) {
            if other != attempt {
                self.cancel(other, effects);
            }
        }
    }

    fn chunk(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        offset: u64,
        bytes: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if offset > record.received {
            // A gap would make the answer another one than the upstream's.
            self.lost(now, attempt, true, effects);
            return;
        }
        let skip = (record.received - offset).min(bytes);
        record.received = record.received.max(offset + bytes);
        let (request, stage, received) = (record.request, record.stage, record.received);
        let relayed = self.attempts.get(&attempt).is_some_and(|record| self.is_relayed(record));
        if !relayed {
            effects.push(Effect::Keep { attempt, skip });
            return;
        }
        let run = self.requests.get_mut(&request).and_then(|state| state.runs.get_mut(&stage));
        if let Some(run) = run.filter(|run| run.relaying == Some(attempt)) {
            run.relayed = received;
            effects.push(Effect::RelayChunk { request, skip });
        }
    }

    /// Takes in that the whole answer of an attempt is there.
    fn complete(&mut self, now: time::Duration, attempt: id::AttemptId, effects: &mut Vec<Effect>) {
        let Some(record) = self.attempts.get(&attempt) else {
            return;
        };
        let (request, stage) = (record.request, record.stage);
        let status = record.status.unwrap_or(502);
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let step = &state.plan.steps[stage];
        let is_success = (200..300).contains(&status);
        let is_own_answer = state.plan.steps.len() == 1;
        if !is_success {
            let may_help = step.rules.idempotent && (status >= 500 || status == 429);
            if may_help || !is_own_answer {
                let ran = if may_help { refusal::Ran::Unknown } else { refusal::Ran::Yes };
                self.fail(now, attempt, refusal::Kind::StageFailed, ran, effects);
                return;
            }
        }
        let relayed = self.attempts.get(&attempt).is_some_and(|record| self.is_relayed(record));
        let Some(record) = self.attempts.remove(&attempt) else {
            return;
        };
        let took = now.saturating_sub(record.sent);
        self.router.ended(&record.pick.instance, Some(took));
        self.router.charge(now, &self.in_force.config, record.pick.tier, record.received);
        self.note_latency(request, stage, took);
        self.acknowledge(record.address(), attempt);
        for other in self.attempts_of(request, Some(stage)) {
            self.cancel(other, effects);
        }
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.done.insert(stage);
        state.note_ran(refusal::Ran::Yes);
        if stage != state.plan.answer {
            effects.push(Effect::Store(request, stage, attempt));
            self.start_ready(now, request, effects);
            return;
        }
        let took = unit::Millis::from(now.saturating_sub(state.arrived));
        let line = telemetry::Line::new("answer").with("request", request).with("status", status);
        effects.push(Effect::Log(line.with("took", took)));
        effects.push(if relayed {
            Effect::EndStream(request)
        } else {
            Effect::Answer(request, attempt)
        });
        self.finish(request, effects);
    }

    fn note_latency(
        &mut self,
        request: id::RequestId,
        stage: plan::StageIndex,
        took: time::Duration,
    ) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let service = state.plan.steps[stage].service.clone();
        let mean = self.latencies.entry(service).or_insert(took.as_secs_f64());
        *mean += (took.as_secs_f64() - *mean) * SMOOTHING;
    }

    fn acknowledge(&mut self, address: net::SocketAddr, attempt: id::AttemptId) {
        let acks = self.acks.entry(address).or_default();
        // What is not acknowledged is forgotten by the sidecar in its own time.
        if acks.len() < MAX_ACKS {
            acks.push(attempt);
        }
    }

    // Failures.

    /// Takes in that the connection of an attempt broke.
    fn lost(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        sent: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let (request, stage) = (record.request, record.stage);
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let rules = &state.plan.steps[stage].rules;
        let is_resolving = record.resolves > 0;
        if !sent && !is_resolving {
            let kind = refusal::Kind::SidecarLost;
            self.fail(now, attempt, kind, refusal::Ran::No, effects);
            return;
        }
        let relayed = state.runs.get(&stage).map_or(0, |run| run.relayed);
        // A call that may repeat goes elsewhere at once; a stream is better read on where it is.
        let is_stream_kept = relayed > 0 && record.resolves == 0;
        if rules.idempotent && !is_stream_kept {
            let kind = refusal::Kind::SidecarLost;
            self.fail(now, attempt, kind, refusal::Ran::Unknown, effects);
            return;
        }
        if record.resolves == 0 {
            self.resolve(now, attempt, effects);
        } else {
            record.resolve_at = Some(now + RESOLVE_PAUSE);
        }
    }

    /// Asks the sidecar what became of an attempt.
    fn resolve(&mut self, now: time::Duration, attempt: id::AttemptId, effects: &mut Vec<Effect>) {
        let Some(record) = self.attempts.get_mut(&attempt) else {
            return;
        };
        record.resolves += 1;
        record.resolve_at = None;
        record.heard = now;
        let line = telemetry::Line::new("resolve")
            .with("request", record.request)
            .with("attempt", attempt)
            .with("upstream", &record.pick.instance)
            .with("try", record.resolves);
        effects.push(Effect::Log(line));
        let attach = wire::Attach {
            version: wire::MAJOR,
            attempt,
            incarnation: record.pick.incarnation,
            offset: record.received,
        };
        effects.push(Effect::Attach(record.address(), attach));
    }

    fn refused(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        refused: wire::Refused,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get(&attempt) else {
            return;
        };
        let (request, stage) = (record.request, record.stage);
        let instance = record.pick.instance.clone();
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let service = state.plan.steps[stage].service.clone();
        if let Some(text) = state.stage_key(stage) {
            let place = (service, key::range_of(text));
            match refused.owner {
                Some(owner) => {
                    self.owners.insert(place, owner);
                }
                None if refused.ran == refusal::Ran::No => {
                    self.owners.remove(&place);
                }
                None => {}
            }
        }
        if refused.kind == refusal::Kind::WrongIncarnation
            && let Some(run) = state.runs.get_mut(&stage)
        {
            // The refusal told the life, so that the same sidecar can be asked properly.
            run.tried.remove(&instance);
        }
        self.fail(now, attempt, refused.kind, refused.ran, effects);
    }

    /// Ends an attempt without an answer, and tries the stage again or refuses the request.
    fn fail(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        kind: refusal::Kind,
        ran: refusal::Ran,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.remove(&attempt) else {
            return;
        };
        effects.push(Effect::Forget(attempt));
        self.router.ended(&record.pick.instance, None);
        if is_upstream_fault(kind) {
            self.note_fault(now, &record.pick.instance, effects);
        }
        let (request, stage) = (record.request, record.stage);
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.note_ran(ran);
        let idempotent = state.plan.steps[stage].rules.idempotent;
        if let Some(key) = state.stage_key(stage)
            && kind == refusal::Kind::SidecarLost
        {
            let place = (state.plan.steps[stage].service.clone(), key::range_of(key));
            self.owners.remove(&place);
        }
        let Some(run) = state.runs.get_mut(&stage) else {
            return;
        };
        run.failure = Some(kind);
        if !self.attempts_of(request, Some(stage)).is_empty() {
            // The other attempt of a hedged stage goes on.
            return;
        }
        if !(idempotent || ran == refusal::Ran::No) {
            let message = describe(&record, state_of(&self.requests, request), kind);
            self.refuse(request, kind, message, effects);
            return;
        }
        self.try_again(now, &record, kind, effects);
    }

    fn try_again(
        &mut self,
        now: time::Duration,
        record: &request::Attempt,
        kind: refusal::Kind,
        effects: &mut Vec<Effect>,
    ) {
        let (request, stage) = (record.request, record.stage);
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let is_keyed = state.stage_key(stage).is_some();
        let step = &state.plan.steps[stage];
        let service = step.service.clone();
        let resumes = step.rules.resumes;
        let Some(run) = state.runs.get_mut(&stage) else {
            return;
        };
        let is_redirect = is_redirect(kind) || is_keyed && kind == refusal::Kind::SidecarLost;
        let is_cut_stream = run.relayed > 0 && !resumes;
        let verdict = if is_cut_stream || !may_repeat(kind) {
            Err(kind)
        } else if is_redirect {
            run.redirects += 1;
            run.attempts -= 1;
            if run.redirects > MAX_REDIRECTS { Err(kind) } else { Ok(run.redirects) }
        } else if run.attempts >= MAX_ATTEMPTS {
            Err(kind)
        } else if self.budgets.entry(service).or_default().spend() {
            Ok(0)
        } else {
            Err(kind)
        };
        match verdict {
            Ok(redirects) if redirects > FAST_REDIRECTS || is_pause(kind) => {
                let wake = now + REDIRECT_PAUSE;
                if wake + REPLY_MARGIN < state.stage_deadline(stage) {
                    if let Some(run) = state.runs.get_mut(&stage) {
                        run.wake = Some(wake);
                        // An owner is looked for among all members again.
                        run.tried.clear();
                    }
                } else {
                    self.give_up(record, kind, effects);
                }
            }
            Ok(_) => self.try_stage(now, request, stage, effects),
            Err(kind) => self.give_up(record, kind, effects),
        }
    }

    /// Refuses the request after the last attempt of a stage.
    fn give_up(
        &mut self,
        record: &request::Attempt,
        kind: refusal::Kind,
        effects: &mut Vec<Effect>,
    ) {
        let request = record.request;
        let message = describe(record, state_of(&self.requests, request), kind);
        if let Some(state) = self.requests.get_mut(&request)
            && state.stage_key(record.stage).is_some()
            && is_redirect(kind)
        {
            // Without the owner nobody can say whether an earlier request with the key ran.
            state.note_ran(refusal::Ran::Unknown);
        }
        self.refuse(request, kind, message, effects);
    }

    fn note_fault(
        &mut self,
        now: time::Duration,
        instance: &id::InstanceId,
        effects: &mut Vec<Effect>,
    ) {
        if self.router.failed(now, &self.in_force.config, instance) {
            effects.push(Effect::Log(telemetry::Line::new("eject").with("upstream", instance)));
        }
    }

    // Time.

    fn tick(&mut self, now: time::Duration, effects: &mut Vec<Effect>) {
        self.end_overdue(now, effects);
        self.wake_stages(now, effects);
        let attempts: Vec<_> = self.attempts.keys().copied().collect();
        for attempt in attempts {
            self.watch_attempt(now, attempt, effects);
        }
    }

    fn end_overdue(&mut self, now: time::Duration, effects: &mut Vec<Effect>) {
        let overdue: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, state)| state.deadline <= now)
            .map(|(request, _)| *request)
            .collect();
        for request in overdue {
            let kind = refusal::Kind::DeadlineExceeded;
            self.refuse(request, kind, "the answer was not whole in time", effects);
        }
    }

    fn wake_stages(&mut self, now: time::Duration, effects: &mut Vec<Effect>) {
        let mut due = Vec::new();
        for (request, state) in &mut self.requests {
            for (stage, run) in &mut state.runs {
                if run.wake.is_some_and(|wake| wake <= now) {
                    run.wake = None;
                    due.push((*request, *stage));
                }
            }
        }
        for (request, stage) in due {
            self.try_stage(now, request, stage, effects);
        }
    }

    /// Looks after an attempt from which nothing was heard for some time.
    fn watch_attempt(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.attempts.get(&attempt) else {
            return;
        };
        let Some(state) = self.requests.get(&record.request) else {
            return;
        };
        let rules = &state.plan.steps[record.stage].rules;
        let silent = now.saturating_sub(record.heard);
        let relayed = state.runs.get(&record.stage).map_or(0, |run| run.relayed);
        if record.resolve_at.is_some_and(|at| at <= now) {
            self.resolve(now, attempt, effects);
        } else if !record.accepted && silent >= ACCEPT_TIMEOUT {
            self.give_up_silent(now, attempt, rules.idempotent, effects);
        } else if relayed > 0 && silent >= STREAM_STALL {
            self.give_up_silent(now, attempt, rules.idempotent && rules.resumes, effects);
        } else if rules.idempotent && relayed == 0 && record.status.is_none() {
            self.hedge(now, attempt, effects);
        }
    }

    fn give_up_silent(
        &mut self,
        now: time::Duration,
        attempt: id::AttemptId,
        elsewhere: bool,
        effects: &mut Vec<Effect>,
    ) {
        if !elsewhere {
            // Only this sidecar can tell whether the call ran.
            self.resolve(now, attempt, effects);
            return;
        }
        if let Some(record) = self.attempts.get(&attempt) {
            effects.push(Effect::Cancel(record.address(), attempt));
        }
        let kind = refusal::Kind::SidecarLost;
        self.fail(now, attempt, kind, refusal::Ran::Unknown, effects);
    }

    /// Starts a second attempt beside one that takes much longer than usual.
    fn hedge(&mut self, now: time::Duration, attempt: id::AttemptId, effects: &mut Vec<Effect>) {
        let Some(record) = self.attempts.get(&attempt) else {
            return;
        };
        let (request, stage) = (record.request, record.stage);
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let step = &state.plan.steps[stage];
        let Some(mean) = self.latencies.get(&step.service) else {
            return;
        };
        let usual = time::Duration::from_secs_f64(*mean) * HEDGE_FACTOR;
        let Some(run) = state.runs.get_mut(&stage) else {
            return;
        };
        if run.hedged || now.saturating_sub(record.sent) < usual.max(HEDGE_FLOOR) {
            return;
        }
        if self.budgets.entry(step.service.clone()).or_default().spend() {
            run.hedged = true;
            self.try_stage(now, request, stage, effects);
        }
    }
}

/// Returns the first and last attempt that a request can have.
fn attempt_span(request: id::RequestId) -> (id::AttemptId, id::AttemptId) {
    let first = request.0 << 64;
    (id::AttemptId(first), id::AttemptId(first | u128::from(u64::MAX)))
}

fn state_of(
    requests: &collections::BTreeMap<id::RequestId, request::Request>,
    request: id::RequestId,
) -> Option<&request::Request> {
    requests.get(&request)
}

fn describe(
    record: &request::Attempt,
    state: Option<&request::Request>,
    kind: refusal::Kind,
) -> String {
    let stage = state.map_or("?", |state| state.plan.steps[record.stage].name.as_str());
    let status = record.status.map(|status| format!(" with status {status}")).unwrap_or_default();
    format!("stage `{stage}` at `{}` failed as {kind}{status}", record.pick.instance)
}

/// Whether a kind tells of a faulty upstream or sidecar, rather than of load or of the request.
fn is_upstream_fault(kind: refusal::Kind) -> bool {
    use refusal::Kind;
    matches!(
        kind,
        Kind::SidecarLost | Kind::UpstreamBroken | Kind::UpstreamUnreachable | Kind::StageFailed
    )
}

/// Whether the attempt was only sent on, without any work done.
fn is_redirect(kind: refusal::Kind) -> bool {
    use refusal::Kind;
    matches!(
        kind,
        Kind::NotOwner
            | Kind::LeaseLapsed
            | Kind::WrongIncarnation
            | Kind::Draining
            | Kind::NotReady
    )
}

/// Whether trying again makes sense only after a pause.
fn is_pause(kind: refusal::Kind) -> bool {
    matches!(kind, refusal::Kind::LeaseLapsed)
}

/// Whether trying again can lead to another result.
fn may_repeat(kind: refusal::Kind) -> bool {
    use refusal::Kind;
    !matches!(
        kind,
        Kind::KeyBeforeTakeover
            | Kind::KeyExpired
            | Kind::KeyFromFuture
            | Kind::KeyMismatch
            | Kind::AnswerDropped
            | Kind::AnswerTooLarge
            | Kind::BadRequest
            | Kind::DeadlineExceeded
            | Kind::VersionMismatch
    )
}
