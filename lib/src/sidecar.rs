//! Reducer of the sidecar: the only process that talks to its upstream, and so the one that decides
//! about concurrency, queueing, fairness and at-most-once there.
//!
//! The shell feeds one [`Event`] at a time to [`Sidecar::step`] and carries out the [`Effect`]s in
//! their order. Bodies and answers stay in the shell.

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::attempt;
use crate::auth;
use crate::clock;
use crate::config;
use crate::id;
use crate::key;
use crate::limit;
use crate::ownership;
use crate::queue;
use crate::refusal;
use crate::telemetry;
use crate::unit;
use crate::wire;

/// How long an attempt may be without a waiting connection before a repeatable call is given up.
const ORPHAN_GRACE: time::Duration = time::Duration::from_secs(3);
/// How long the last word of an entry about the instance list counts.
const LIST_HOLD: time::Duration = time::Duration::from_secs(30);
/// How long a settled attempt is remembered after its deadline.
const MEMORY: time::Duration = time::Duration::from_secs(20);

/// What a sidecar is told at its start.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The instance.
    pub instance: id::InstanceId,
    /// Its service.
    pub service: id::ServiceId,
    /// Address on which it takes attempts.
    pub address: net::SocketAddr,
    /// Its life.
    pub incarnation: id::Incarnation,
}

/// Why a sidecar takes no new work.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// Operators drain the instance through the configuration.
    #[display("configuration")]
    Configuration,
    /// The platform's instance list shows the instance as leaving.
    #[display("instance_list")]
    InstanceList,
    /// The process was asked to stop.
    #[display("signal")]
    Signal,
}

/// How a call to the upstream failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallError {
    /// No byte was sent.
    NotSent,
    /// The connection broke, or the answer was cut or did not end as it must.
    Broken,
    /// The upstream cannot resume the stream at the offset.
    NotResumable,
}

/// Ledger of a range on its way to another sidecar.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Handover {
    /// Major version of the sender.
    pub version: u16,
    /// The range.
    pub range: u32,
    /// Token under which the sender owns it.
    pub fence: id::FencingToken,
    /// When the ledger began to be complete, in milliseconds since the Unix epoch.
    pub since: unit::Millis,
    /// Keys of the range.
    pub records: collections::BTreeMap<String, key::Record>,
    /// States of the attempts behind the keys: whether a whole answer is kept.
    pub done: collections::BTreeMap<id::AttemptId, bool>,
}

/// What happens to a sidecar.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force.
    Configured(sync::Arc<config::Config>, id::Revision),
    /// An attempt arrived with its whole body, of which `digest` is the SHA-256.
    Open {
        /// Connection that waits for the answer.
        conn: attempt::ConnId,
        /// The attempt.
        open: wire::Open,
        /// SHA-256 of the body.
        digest: [u8; auth::DIGEST_BYTES],
    },
    /// An entry asks what became of an attempt.
    Attach {
        /// Connection that waits for the answer.
        conn: attempt::ConnId,
        /// The question.
        attach: wire::Attach,
    },
    /// A waiting connection broke.
    Closed(attempt::ConnId),
    /// An entry cancelled an attempt.
    Cancel(id::AttemptId),
    /// Bytes of an answer arrived from the upstream.
    Progress(id::AttemptId, u64),
    /// An answer is whole; the HTTP status is given.
    Finished(id::AttemptId, u16),
    /// A call failed.
    Failed(id::AttemptId, CallError),
    /// A reason to take no new work came up or went away.
    Drain(Cause, bool),
    /// A call of the ownership ended.
    Ownership(ownership::Reply),
    /// Another sidecar offers a range; the shell has stored the answers that came with it.
    Offered {
        /// Connection that waits for the verdict.
        conn: attempt::ConnId,
        /// The range and its ledger.
        handover: Handover,
        /// Bytes of each answer that came with it.
        sizes: collections::BTreeMap<id::AttemptId, u64>,
    },
    /// Time passed.
    Tick,
}

/// What the shell has to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send the attempt to the upstream within the budget, and tell its connections that it started.
    Start {
        /// The attempt.
        attempt: id::AttemptId,
        /// Time left.
        budget: time::Duration,
    },
    /// Break the call to the upstream off.
    Abort(id::AttemptId),
    /// Send the connection the attempt's answer from the offset on, now and as it grows.
    Subscribe {
        /// The connection.
        conn: attempt::ConnId,
        /// The attempt whose answer serves.
        attempt: id::AttemptId,
        /// First byte to send.
        offset: u64,
        /// State to tell first.
        load: wire::Load,
    },
    /// Refuse what the connection asked for, and close it.
    Refuse(attempt::ConnId, wire::Refused),
    /// Tell all connections of the attempt that the answer is whole, and close them.
    Finish(id::AttemptId, wire::Load),
    /// Tell all connections of the attempt that it failed, and close them.
    Fail(id::AttemptId, wire::Refused),
    /// Free the attempt's body and answer.
    Drop(id::AttemptId),
    /// Make a call of the ownership.
    Call(ownership::Call),
    /// Hand a ledger over: send it, with the kept answers, to the address.
    HandOver(net::SocketAddr, Handover),
    /// Answer an offered handover.
    Verdict(attempt::ConnId, bool),
    /// Write a log line.
    Log(telemetry::Line),
}

/// An offer of another sidecar that waits for the store.
#[derive(Debug)]
struct Staged {
    conn: attempt::ConnId,
    handover: Handover,
    sizes: collections::BTreeMap<id::AttemptId, u64>,
}

/// State of a sidecar.
#[derive(Debug)]
pub struct Sidecar {
    identity: Identity,
    config: sync::Arc<config::Config>,
    revision: id::Revision,
    ledger: attempt::Ledger,
    queue: queue::FairQueue,
    limit: limit::Concurrency,
    running: u32,
    causes: collections::BTreeMap<Cause, time::Duration>,
    ownership: ownership::Ownership,
    books: collections::BTreeMap<u32, key::Book>,
    staged: Option<Staged>,
}

impl Sidecar {
    /// Makes a sidecar that has no configuration yet.
    pub fn new(identity: Identity) -> Self {
        let ownership = ownership::Ownership::new(
            identity.instance.clone(),
            identity.address,
            identity.incarnation,
        );
        Self {
            identity,
            config: sync::Arc::new(config::Config::default()),
            revision: id::Revision(0),
            ledger: attempt::Ledger::new(),
            queue: queue::FairQueue::default(),
            limit: limit::Concurrency::new(1),
            running: 0,
            causes: collections::BTreeMap::new(),
            ownership,
            books: collections::BTreeMap::new(),
            staged: None,
        }
    }

    /// Takes in one event and appends what has to be done.
    pub fn step(&mut self, now: clock::Now, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Configured(config, revision) => self.configure(config, revision),
            Event::Open { conn, open, digest } => self.open(now, conn, open, &digest, effects),
            Event::Attach { conn, attach } => self.attach(now, conn, &attach, effects),
            Event::Closed(conn) => self.ledger.disconnect(conn, now.mono),
            Event::Cancel(attempt) => self.cancel(now, attempt, effects),
            Event::Progress(attempt, bytes) => self.progress(now, attempt, bytes, effects),
            Event::Finished(attempt, status) => self.finish(now, attempt, status, effects),
            Event::Failed(attempt, error) => self.fail_call(now, attempt, error, effects),
            Event::Drain(cause, on) => self.drain(now, cause, on, effects),
            Event::Ownership(reply) => self.ownership_reply(now, reply, effects),
            Event::Offered { conn, handover, sizes } => {
                self.offered(now, Staged { conn, handover, sizes }, effects);
            }
            Event::Tick => self.tick(now, effects),
        }
        self.dispatch(now, effects);
    }

    /// Returns the state that is carried on every answer.
    pub fn load(&self) -> wire::Load {
        wire::Load {
            incarnation: self.identity.incarnation,
            revision: self.revision,
            running: self.running,
            limit: self.limit.limit(),
            queued: self.queue.len() as u32,
            latency: self.limit.latency().into(),
            draining: self.is_draining(),
        }
    }

    /// Returns the number of attempts that wait or run.
    pub fn open_count(&self) -> usize {
        self.ledger.open_count()
    }

    /// Whether the attempt waits or runs.
    pub fn is_known_open(&self, attempt: id::AttemptId) -> bool {
        self.ledger.get(attempt).is_some_and(attempt::Record::is_open)
    }

    /// Returns the number of key ranges owned.
    pub fn owned_count(&self) -> usize {
        self.ownership.count()
    }

    /// Returns the number of attempts and keys remembered.
    pub fn remembered(&self) -> usize {
        self.ledger.len() + self.books.values().map(key::Book::len).sum::<usize>()
    }

    /// Returns the lease, to be revoked when the process ends.
    pub fn lease(&self) -> Option<ownership::LeaseId> {
        self.ownership.lease()
    }

    fn service(&self) -> Option<&config::Service> {
        self.config.services.get(&self.identity.service)
    }

    fn rule(&self) -> key::Rule {
        key::Rule { skew: self.config.limits.skew_ms, window: self.config.limits.key_ms }
    }

    fn configure(&mut self, config: sync::Arc<config::Config>, revision: id::Revision) {
        if revision < self.revision {
            return;
        }
        self.config = config;
        self.revision = revision;
        let concurrency = self.service().map_or(1, |service| service.concurrency);
        self.limit.set_ceiling(concurrency);
        self.ownership.set_ttl(self.config.limits.lease_ms.duration());
    }

    /// Whether the sidecar takes no new work.
    pub fn is_draining(&self) -> bool {
        !self.causes.is_empty()
    }

    /// Whether nothing is left to do before the process may end.
    pub fn is_drained(&self) -> bool {
        let handed_over = self.ownership.count() == 0 || !self.ownership.has_successor();
        self.is_draining() && self.ledger.open_count() == 0 && handed_over
    }

    fn drain(&mut self, now: clock::Now, cause: Cause, on: bool, effects: &mut Vec<Effect>) {
        let before = self.is_draining();
        if on {
            self.causes.insert(cause, now.mono);
        } else {
            self.causes.remove(&cause);
        }
        let draining = self.is_draining();
        if draining != before {
            self.ownership.set_leaving(draining);
            let line = telemetry::Line::new("drain")
                .with("draining", draining)
                .with("cause", cause)
                .with("open", self.ledger.open_count());
            effects.push(Effect::Log(line));
        }
    }

    fn refused(&self, kind: refusal::Kind, ran: refusal::Ran) -> wire::Refused {
        wire::Refused { kind, ran, owner: None, load: self.load() }
    }

    // Opening an attempt.

    fn open(
        &mut self,
        now: clock::Now,
        conn: attempt::ConnId,
        open: wire::Open,
        digest: &[u8; auth::DIGEST_BYTES],
        effects: &mut Vec<Effect>,
    ) {
        for attempt in &open.acks {
            self.acknowledge(*attempt, effects);
        }
        let attempt = open.attempt;
        if self.ledger.get(attempt).is_some() {
            self.resume(conn, attempt, open.offset, effects);
            return;
        }
        if self.is_full() {
            // Nothing is remembered, and nothing has to be: a late copy meets the same refusal or
            // runs as the first one.
            let refused = self.refused(refusal::Kind::LedgerFull, refusal::Ran::No);
            effects.push(Effect::Refuse(conn, refused));
            return;
        }
        match self.admit(now, &open, digest) {
            Ok(None) => self.enqueue(now, conn, open, digest, effects),
            Ok(Some(origin)) => self.join(now, conn, &open, origin, effects),
            Err(refused) => {
                let line = telemetry::Line::new("refuse_attempt")
                    .with("attempt", attempt)
                    .with("kind", refused.kind)
                    .with("ran", refused.ran);
                effects.push(Effect::Log(line));
                self.tombstone(now, attempt);
                effects.push(Effect::Refuse(conn, refused));
            }
        }
    }

    fn is_full(&self) -> bool {
        self.remembered() >= self.config.limits.ledger_entries as usize
    }

    /// Decides whether an attempt may wait for its turn; returns the attempt that it joins, if its
    /// key was used before.
    fn admit(
        &mut self,
        now: clock::Now,
        open: &wire::Open,
        digest: &[u8; auth::DIGEST_BYTES],
    ) -> Result<Option<id::AttemptId>, wire::Refused> {
        use refusal::Kind;
        let no = refusal::Ran::No;
        if open.version != wire::MAJOR {
            return Err(self.refused(Kind::VersionMismatch, no));
        }
        let Some(service) = self.service() else {
            return Err(self.refused(Kind::NotReady, no));
        };
        let (idempotent, queue_size) = (service.idempotent, service.queue as usize);
        let expected = Some(self.identity.incarnation);
        if open.incarnation != expected && (open.incarnation.is_some() || !idempotent) {
            return Err(self.refused(Kind::WrongIncarnation, no));
        }
        if let Some(key) = open.key.as_ref().filter(|_| !idempotent)
            && let Some(origin) = self.judge_key(now, key, digest)?
        {
            return Ok(Some(origin));
        }
        if self.is_draining() {
            return Err(self.refused(Kind::Draining, no));
        }
        if self.queue.len() >= queue_size {
            return Err(self.refused(Kind::QueueFull, no));
        }
        if self.expected_finish() > open.budget.duration() {
            return Err(self.refused(Kind::DeadlineUnreachable, no));
        }
        Ok(None)
    }

    /// Returns how long a new attempt would take from now on.
    fn expected_finish(&self) -> time::Duration {
        let latency = self.limit.latency();
        let limit = self.limit.limit().max(1);
        let waiting = self.queue.len() as u32 + self.running.saturating_sub(limit - 1);
        if self.queue.is_empty() && self.running < limit {
            return time::Duration::ZERO;
        }
        latency + latency * waiting / limit
    }

    fn judge_key(
        &mut self,
        now: clock::Now,
        key: &wire::Key,
        digest: &[u8; auth::DIGEST_BYTES],
    ) -> Result<Option<id::AttemptId>, wire::Refused> {
        if key.range != key::range_of(&key.text) {
            return Err(self.refused(refusal::Kind::BadRequest, refusal::Ran::No));
        }
        self.ownership.yield_to(key.range, key.fence);
        let rule = self.rule();
        let owns = self.ownership.owns(now, key.range);
        let book = self.books.get(&key.range);
        let verdict = match book.and_then(|book| book.recall(&key.text, digest)) {
            Some(verdict) => verdict,
            None if owns => book.map_or(
                key::Verdict::Refuse(refusal::Kind::LeaseLapsed, refusal::Ran::Unknown),
                |book| book.judge(now, &key.text, digest, rule),
            ),
            None => {
                self.ownership.look(now);
                return Err(self.not_owner(key.range));
            }
        };
        match verdict {
            key::Verdict::Run => Ok(None),
            key::Verdict::Join(origin) => Ok(Some(origin)),
            key::Verdict::Refuse(kind, ran) => Err(self.refused(kind, ran)),
        }
    }

    /// The attempt did not run here, but another owner may have run the key: only the entry, which
    /// goes on to ask the owner, can tell the caller more.
    fn not_owner(&self, range: u32) -> wire::Refused {
        let owner = self.ownership.owner(range).cloned();
        let leaving = self.ownership.is_leaving(range);
        let kind = if owner.is_some() && !leaving {
            refusal::Kind::NotOwner
        } else {
            refusal::Kind::LeaseLapsed
        };
        wire::Refused { kind, ran: refusal::Ran::No, owner, load: self.load() }
    }

    fn enqueue(
        &mut self,
        now: clock::Now,
        conn: attempt::ConnId,
        open: wire::Open,
        digest: &[u8; auth::DIGEST_BYTES],
        effects: &mut Vec<Effect>,
    ) {
        let attempt = open.attempt;
        let deadline = now.mono + open.budget.duration();
        let idempotent = self.service().is_none_or(|service| service.idempotent);
        let mut record = attempt::Record::new(attempt::State::Queued, deadline, deadline + MEMORY);
        record.repeatable = idempotent;
        record.length = open.offset;
        if let Some(key) = open.key.filter(|_| !idempotent) {
            let rule = self.rule();
            let book = self.books.entry(key.range).or_default();
            book.remember(now, &key.text, *digest, attempt, rule);
            record.key = Some(key.text);
        }
        let keyed = record.key.is_some();
        self.ledger.insert(attempt, record);
        if keyed {
            let window = self.config.limits.key_ms.duration();
            self.ledger.keep_until(attempt, now.mono + window + MEMORY);
        }
        let (weight, priority) =
            self.config.teams.get(&open.team).map_or((1, 0), |team| (team.weight, team.priority));
        self.queue.push(attempt, &open.team, weight, priority);
        let line = telemetry::Line::new("admit")
            .with("request", open.request)
            .with("attempt", attempt)
            .with("team", &open.team)
            .with("queued", self.queue.len())
            .with("running", self.running)
            .with("limit", self.limit.limit());
        effects.push(Effect::Log(line));
        self.subscribe(conn, attempt, open.offset, effects);
    }

    fn join(
        &mut self,
        now: clock::Now,
        conn: attempt::ConnId,
        open: &wire::Open,
        origin: id::AttemptId,
        effects: &mut Vec<Effect>,
    ) {
        let line = telemetry::Line::new("join")
            .with("request", open.request)
            .with("attempt", open.attempt)
            .with("origin", origin);
        effects.push(Effect::Log(line));
        let deadline = now.mono + open.budget.duration();
        let state = attempt::State::Joined(origin);
        self.ledger.insert(open.attempt, attempt::Record::new(state, deadline, deadline + MEMORY));
        self.resume(conn, open.attempt, open.offset, effects);
    }

    fn tombstone(&mut self, now: clock::Now, attempt: id::AttemptId) {
        let forget = now.mono + self.config.limits.deadline_ms.duration() + MEMORY;
        let record = attempt::Record::new(attempt::State::Tombstoned, now.mono, forget);
        self.ledger.insert(attempt, record);
    }

    fn acknowledge(&mut self, attempt: id::AttemptId, effects: &mut Vec<Effect>) {
        let Some(record) = self.ledger.get(attempt) else {
            return;
        };
        if record.state() == attempt::State::Done && record.key.is_none() {
            self.ledger.set_state(attempt, attempt::State::Dropped);
            effects.push(Effect::Drop(attempt));
        }
    }

    // Resolving an attempt.

    fn attach(
        &mut self,
        now: clock::Now,
        conn: attempt::ConnId,
        attach: &wire::Attach,
        effects: &mut Vec<Effect>,
    ) {
        use refusal::{Kind, Ran};
        let attempt = attach.attempt;
        if self.ledger.get(attempt).is_some() {
            self.resume(conn, attempt, attach.offset, effects);
            return;
        }
        let refused = if attach.version != wire::MAJOR {
            self.refused(Kind::VersionMismatch, Ran::Unknown)
        } else if attach.incarnation != Some(self.identity.incarnation) {
            // An earlier life may have run it, and remembers no more.
            self.refused(Kind::WrongIncarnation, Ran::Unknown)
        } else if self.is_full() {
            // Without a tombstone a late copy could still run.
            self.refused(Kind::LedgerFull, Ran::Unknown)
        } else {
            self.tombstone(now, attempt);
            self.refused(Kind::Tombstoned, Ran::No)
        };
        let line = telemetry::Line::new("resolve")
            .with("attempt", attempt)
            .with("kind", refused.kind)
            .with("ran", refused.ran);
        effects.push(Effect::Log(line));
        effects.push(Effect::Refuse(conn, refused));
    }

    /// Answers a connection about an attempt that is in the ledger.
    fn resume(
        &mut self,
        conn: attempt::ConnId,
        attempt: id::AttemptId,
        offset: u64,
        effects: &mut Vec<Effect>,
    ) {
        use refusal::{Kind, Ran};
        let origin = self.ledger.origin(attempt);
        let state = self.ledger.get(origin).map(attempt::Record::state);
        let (kind, ran) = match state {
            Some(attempt::State::Queued | attempt::State::Running(_) | attempt::State::Done) => {
                self.subscribe(conn, origin, offset, effects);
                return;
            }
            Some(attempt::State::Tombstoned) => (Kind::Tombstoned, Ran::No),
            Some(attempt::State::Broken(kind, ran)) => (kind, ran),
            Some(attempt::State::Dropped) => (Kind::AnswerDropped, Ran::Yes),
            Some(attempt::State::Joined(_)) | None => (Kind::AnswerDropped, Ran::Unknown),
        };
        let refused = self.refused(kind, ran);
        effects.push(Effect::Refuse(conn, refused));
    }

    fn subscribe(
        &mut self,
        conn: attempt::ConnId,
        attempt: id::AttemptId,
        offset: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.ledger.connect(attempt, conn);
        effects.push(Effect::Subscribe { conn, attempt, offset, load: self.load() });
    }

    // Running an attempt.

    fn dispatch(&mut self, now: clock::Now, effects: &mut Vec<Effect>) {
        while self.running < self.limit.limit() {
            let Some(attempt) = self.queue.pop() else {
                break;
            };
            let Some(record) = self.ledger.get(attempt) else {
                continue;
            };
            let budget = record.deadline.saturating_sub(now.mono);
            if budget.is_zero() {
                self.give_up(attempt, refusal::Kind::DeadlineExceeded, effects);
                continue;
            }
            self.ledger.set_state(attempt, attempt::State::Running(now.mono));
            self.running += 1;
            effects.push(Effect::Start { attempt, budget });
        }
    }

    /// Ends an attempt that still waits; it will not run.
    fn give_up(&mut self, attempt: id::AttemptId, kind: refusal::Kind, effects: &mut Vec<Effect>) {
        self.queue.remove(attempt);
        self.ledger.set_state(attempt, attempt::State::Tombstoned);
        self.release_key(attempt);
        let refused = self.refused(kind, refusal::Ran::No);
        effects.push(Effect::Fail(attempt, refused));
        effects.push(Effect::Drop(attempt));
    }

    fn release_key(&mut self, attempt: id::AttemptId) {
        let Some(key) = self.ledger.get(attempt).and_then(|record| record.key.as_ref()) else {
            return;
        };
        if let Some(book) = self.books.get_mut(&key::range_of(key)) {
            book.release(key);
        }
    }

    fn cancel(&mut self, now: clock::Now, attempt: id::AttemptId, effects: &mut Vec<Effect>) {
        let Some(record) = self.ledger.get(attempt) else {
            // The cancellation overtook the attempt.
            if !self.is_full() {
                self.tombstone(now, attempt);
            }
            return;
        };
        match record.state() {
            attempt::State::Queued => self.give_up(attempt, refusal::Kind::Cancelled, effects),
            attempt::State::Running(_) if record.repeatable => {
                self.break_off(attempt, refusal::Kind::Cancelled, effects);
            }
            _ => {}
        }
    }

    /// Ends a running call that may run more than once.
    fn break_off(
        &mut self,
        attempt: id::AttemptId,
        kind: refusal::Kind,
        effects: &mut Vec<Effect>,
    ) {
        effects.push(Effect::Abort(attempt));
        self.settle_broken(attempt, kind, refusal::Ran::Unknown, effects);
    }

    fn settle_broken(
        &mut self,
        attempt: id::AttemptId,
        kind: refusal::Kind,
        ran: refusal::Ran,
        effects: &mut Vec<Effect>,
    ) {
        self.running -= 1;
        self.ledger.set_state(attempt, attempt::State::Broken(kind, ran));
        if ran == refusal::Ran::No {
            self.release_key(attempt);
        }
        let line = telemetry::Line::new("fail_attempt").with("attempt", attempt).with("kind", kind);
        effects.push(Effect::Log(line.with("ran", ran)));
        effects.push(Effect::Fail(attempt, self.refused(kind, ran)));
        effects.push(Effect::Drop(attempt));
    }

    fn running_since(&self, attempt: id::AttemptId) -> Option<time::Duration> {
        match self.ledger.get(attempt)?.state() {
            attempt::State::Running(since) => Some(since),
            _ => None,
        }
    }

    fn progress(
        &mut self,
        now: clock::Now,
        attempt: id::AttemptId,
        bytes: u64,
        effects: &mut Vec<Effect>,
    ) {
        if self.running_since(attempt).is_none() {
            return;
        }
        let length = self.ledger.grow(attempt, bytes);
        if length > self.config.limits.answer_bytes.0 {
            effects.push(Effect::Abort(attempt));
            self.limit.record_failure(now.mono);
            let kind = refusal::Kind::AnswerTooLarge;
            self.settle_broken(attempt, kind, refusal::Ran::Yes, effects);
            return;
        }
        self.evict(effects);
    }

    /// Drops the oldest kept answers while they take more memory than allowed.
    fn evict(&mut self, effects: &mut Vec<Effect>) {
        while self.ledger.kept() > self.config.limits.kept_bytes.0 {
            let Some(attempt) = self.ledger.drop_oldest() else {
                break;
            };
            effects.push(Effect::Drop(attempt));
        }
    }

    fn finish(
        &mut self,
        now: clock::Now,
        attempt: id::AttemptId,
        status: u16,
        effects: &mut Vec<Effect>,
    ) {
        let Some(since) = self.running_since(attempt) else {
            return;
        };
        let latency = now.mono.saturating_sub(since);
        if matches!(status, 429 | 503) {
            self.limit.record_failure(now.mono);
        } else {
            self.limit.record(now.mono, latency, self.running);
        }
        self.running -= 1;
        self.ledger.set_state(attempt, attempt::State::Done);
        effects.push(Effect::Finish(attempt, self.load()));
        let line = telemetry::Line::new("finish_attempt")
            .with("attempt", attempt)
            .with("status", status)
            .with("latency", unit::Millis::from(latency));
        effects.push(Effect::Log(line));
    }

    fn fail_call(
        &mut self,
        now: clock::Now,
        attempt: id::AttemptId,
        error: CallError,
        effects: &mut Vec<Effect>,
    ) {
        if self.running_since(attempt).is_none() {
            return;
        }
        self.limit.record_failure(now.mono);
        let (kind, ran) = match error {
            CallError::NotSent => (refusal::Kind::UpstreamUnreachable, refusal::Ran::No),
            CallError::Broken => (refusal::Kind::UpstreamBroken, refusal::Ran::Unknown),
            CallError::NotResumable => (refusal::Kind::UpstreamBroken, refusal::Ran::Yes),
        };
        self.settle_broken(attempt, kind, ran, effects);
    }

    // Time and ownership.

    fn tick(&mut self, now: clock::Now, effects: &mut Vec<Effect>) {
        self.end_overdue(now, effects);
        let told = self.causes.get(&Cause::InstanceList);
        if told.is_some_and(|since| *since + LIST_HOLD <= now.mono) {
            self.drain(now, Cause::InstanceList, false, effects);
        }
        for attempt in self.ledger.expire(now.mono) {
            effects.push(Effect::Drop(attempt));
        }
        for book in self.books.values_mut() {
            book.expire(now);
        }
        let keyed = self.service().is_some_and(|service| !service.idempotent);
        if !keyed {
            return;
        }
        let mut calls = Vec::new();
        let busy = self.busy_ranges();
        self.ownership.tick(now, |range| !busy.contains(&range), &mut calls);
        self.call(calls, effects);
    }

    /// Ends what waits past its deadline, and repeatable calls that nobody waits for any more.
    fn end_overdue(&mut self, now: clock::Now, effects: &mut Vec<Effect>) {
        let overdue: Vec<_> = self
            .ledger
            .open()
            .filter_map(|(attempt, record)| {
                let late = record.deadline <= now.mono;
                let orphan = record.orphaned.is_some_and(|since| since + ORPHAN_GRACE <= now.mono);
                let kind = match (late, orphan) {
                    (true, _) => refusal::Kind::DeadlineExceeded,
                    (_, true) => refusal::Kind::Cancelled,
                    _ => return None,
                };
                Some((attempt, record.state(), record.repeatable, kind))
            })
            .collect();
        for (attempt, state, repeatable, kind) in overdue {
            match state {
                attempt::State::Queued => self.give_up(attempt, kind, effects),
                attempt::State::Running(_) if repeatable => self.break_off(attempt, kind, effects),
                // A call that may run only once goes on; its answer is kept for whoever asks.
                _ => {}
            }
        }
    }

    fn busy_ranges(&self) -> collections::BTreeSet<u32> {
        let keys = self.ledger.open().filter_map(|(_, record)| record.key.as_ref());
        keys.map(|key| key::range_of(key)).collect()
    }

    fn call(&mut self, calls: Vec<ownership::Call>, effects: &mut Vec<Effect>) {
        for call in calls {
            match call {
                ownership::Call::Offer { range, fence, to } => {
                    effects.push(Effect::HandOver(to, self.ledger_of(range, fence)));
                }
                other => effects.push(Effect::Call(other)),
            }
        }
    }

    fn ledger_of(&self, range: u32, fence: id::FencingToken) -> Handover {
        let book = self.books.get(&range).cloned().unwrap_or_default();
        let records: collections::BTreeMap<_, _> =
            book.iter().map(|(key, record)| (key.clone(), record.clone())).collect();
        let done = records
            .values()
            .filter_map(|record| {
                let state = self.ledger.get(record.attempt)?.state();
                Some((record.attempt, state == attempt::State::Done))
            })
            .collect();
        // Rounded up, because a later beginning is the safe side; zero keeps its meaning.
        let rounding = u64::from(!book.since.is_zero());
        let since = unit::Millis(unit::Millis::from(book.since).0 + rounding);
        Handover { version: wire::MAJOR, range, fence, since, records, done }
    }

    fn ownership_reply(
        &mut self,
        now: clock::Now,
        reply: ownership::Reply,
        effects: &mut Vec<Effect>,
    ) {
        let ended = matches!(
            reply,
            ownership::Reply::Taken { offered: true, .. } | ownership::Reply::TakeFailed
        );
        let (mut calls, mut changes) = (Vec::new(), Vec::new());
        self.ownership.reply(now, reply, &mut calls, &mut changes);
        for change in changes {
            self.apply_change(now, &change, effects);
        }
        if ended && let Some(staged) = self.staged.take() {
            self.decline(&staged, effects);
        }
        self.call(calls, effects);
    }

    fn apply_change(
        &mut self,
        now: clock::Now,
        change: &ownership::Change,
        effects: &mut Vec<Effect>,
    ) {
        let line = telemetry::Line::new("ownership");
        match *change {
            ownership::Change::Gained { range, since } => {
                // What this sidecar remembers from an earlier time stays good to know.
                self.books.entry(range).or_default().since = since;
                let line = line.with("gained", range).with("since", unit::Millis::from(since));
                effects.push(Effect::Log(line));
            }
            ownership::Change::Taken(range) => {
                match self.staged.take_if(|staged| staged.handover.range == range) {
                    Some(staged) => self.adopt(now, staged, effects),
                    // The ledger was given up in the meantime: begin a new one.
                    None => self.books.entry(range).or_default().since = now.wall,
                }
                effects.push(Effect::Log(line.with("taken", range)));
            }
            ownership::Change::Given(range) => {
                effects.push(Effect::Log(line.with("given", range)));
            }
        }
    }

    fn offered(&mut self, now: clock::Now, staged: Staged, effects: &mut Vec<Effect>) {
        let (range, fence) = (staged.handover.range, staged.handover.fence);
        let fits = staged.handover.version == wire::MAJOR
            && !self.is_draining()
            && self.staged.is_none()
            && self.remembered() + staged.handover.records.len()
                <= self.config.limits.ledger_entries as usize;
        match self.ownership.accept_offer(now, range, fence).filter(|_| fits) {
            Some(call) => {
                self.staged = Some(staged);
                effects.push(Effect::Call(call));
            }
            None => self.decline(&staged, effects),
        }
    }

    fn decline(&self, staged: &Staged, effects: &mut Vec<Effect>) {
        let unknown = staged.sizes.keys().filter(|attempt| self.ledger.get(**attempt).is_none());
        effects.extend(unknown.map(|attempt| Effect::Drop(*attempt)));
        effects.push(Effect::Verdict(staged.conn, false));
    }

    /// Makes the ledger of a range that was taken over by agreement this sidecar's own.
    fn adopt(&mut self, now: clock::Now, staged: Staged, effects: &mut Vec<Effect>) {
        let handover = staged.handover;
        let forget = now.mono + self.config.limits.key_ms.duration() + MEMORY;
        for (key, record) in &handover.records {
            let done = handover.done.get(&record.attempt).copied().unwrap_or(false);
            let kept = staged.sizes.get(&record.attempt).copied();
            let state = match (done, kept) {
                (true, Some(_)) => attempt::State::Done,
                (true, None) => attempt::State::Dropped,
                (false, _) => {
                    attempt::State::Broken(refusal::Kind::AnswerDropped, refusal::Ran::Unknown)
                }
            };
            let mut own = attempt::Record::new(state, now.mono, forget);
            own.key = Some(key.clone());
            own.length = kept.unwrap_or(0);
            self.ledger.insert(record.attempt, own);
        }
        let mut book = key::Book::new(handover.since.duration());
        book.extend(handover.records);
        self.books.insert(handover.range, book);
        effects.push(Effect::Verdict(staged.conn, true));
        self.evict(effects);
    }
}
