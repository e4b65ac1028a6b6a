//! Reducer of the sidecar: the only process that talks to its upstream, and so the one that decides
//! about concurrency, queueing, fairness and at-most-once there.
//!
//! The shell feeds one [`Event`] at a time to [`Sidecar::step`] and carries out the [`Effect`]s in
//! their order. Bodies and answers stay in the shell.

mod admission;
mod handover;
mod running;

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::attempt;
use crate::auth;
use crate::claim;
use crate::clock;
use crate::config;
use crate::id;
use crate::key;
use crate::limit;
use crate::order;
use crate::ownership;
use crate::queue;
use crate::refusal;
use crate::telemetry;
use crate::unit;
use crate::wire;

/// How long the last word of an entry about the instance list counts.
const LIST_HOLD: time::Duration = time::Duration::from_secs(30);
/// Age beyond its budget up to which an attempt is taken in. It is shorter than [`MEMORY`], so that
/// a late copy is refused either by what is remembered of the first one or by its age.
const MAX_AGE: time::Duration = time::Duration::from_secs(10);
/// Pause between two looks for keys that may be forgotten.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(2);
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
pub enum DrainCause {
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

/// Ledger of one range.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RangeLedger {
    /// Token under which the sender owns the range.
    pub fence: id::FencingToken,
    /// When the ledger began to be complete, in milliseconds since the Unix epoch.
    #[serde(rename = "since")]
    pub complete_since: unit::Millis,
    /// Keys of the range.
    pub records: collections::BTreeMap<String, key::Record>,
}

/// Ledgers of ranges on their way to another sidecar.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Handover {
    /// Major version of the sender.
    pub version: u16,
    /// The ledgers by range.
    pub ranges: collections::BTreeMap<u32, RangeLedger>,
    /// States of the attempts behind the keys: whether a whole answer is kept.
    #[serde(rename = "done")]
    pub answers_kept: collections::BTreeMap<id::AttemptId, bool>,
    /// Whether the sender stays and gives away only what is above its share; a receiver that has
    /// its own share then declines. Earlier senders don't say, and are never declined for it.
    #[serde(default)]
    pub surplus: bool,
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
        open: wire::OpenAttempt,
        /// SHA-256 of the body.
        digest: [u8; auth::DIGEST_BYTES],
    },
    /// An entry asks what became of an attempt.
    Attach {
        /// Connection that waits for the answer.
        conn: attempt::ConnId,
        /// The question.
        attach: wire::AttachAttempt,
    },
    /// A waiting connection broke.
    ConnectionClosed(attempt::ConnId),
    /// An entry cancelled an attempt.
    Cancel(id::AttemptId),
    /// Bytes of an answer arrived from the upstream.
    Progress(id::AttemptId, u64),
    /// An answer is whole; the HTTP status is given.
    CallFinished(id::AttemptId, u16),
    /// A call failed.
    CallFailed(id::AttemptId, CallError),
    /// A reason to take no new work came up or went away.
    Drain(DrainCause, bool),
    /// A call of the ownership ended.
    Ownership(claim::Reply),
    /// A call about an order ended.
    Order(order::Reply),
    /// Another sidecar offers ranges; the shell has stored the answers that came with them.
    Offered {
        /// Connection that waits for the verdict.
        conn: attempt::ConnId,
        /// The ranges and their ledgers.
        handover: Handover,
        /// Bytes of each answer that came with it.
        answer_sizes: collections::BTreeMap<id::AttemptId, u64>,
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
    Discard(id::AttemptId),
    /// Make a call of the ownership.
    Ownership(claim::Call),
    /// Make a call about an order.
    Order(order::Call),
    /// Hand ledgers over: send them, with the kept answers, to the address.
    HandOver(net::SocketAddr, Handover),
    /// Answer an offered handover.
    OfferResult(attempt::ConnId, bool),
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
    limit: limit::ConcurrencyLimit,
    running: u32,
    causes: collections::BTreeMap<DrainCause, time::Duration>,
    ownership: ownership::Ownership,
    books: collections::BTreeMap<u32, key::Ledger>,
    staged: Option<Staged>,
    orders: order::Orders,
    next_sweep: time::Duration,
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
            limit: limit::ConcurrencyLimit::new(1),
            running: 0,
            causes: collections::BTreeMap::new(),
            ownership,
            books: collections::BTreeMap::new(),
            staged: None,
            orders: order::Orders::default(),
            next_sweep: time::Duration::ZERO,
        }
    }

    /// Takes in one event and appends what has to be done.
    pub fn step(&mut self, now: clock::Now, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Configured(config, revision) => self.configure(config, revision),
            Event::Open { conn, open, digest } => self.open(now, conn, open, &digest, effects),
            Event::Attach { conn, attach } => self.attach(now, conn, &attach, effects),
            Event::ConnectionClosed(conn) => self.ledger.disconnect(conn, now.mono),
            Event::Cancel(attempt) => self.cancel(now, attempt, effects),
            Event::Progress(attempt, bytes) => self.progress(now, attempt, bytes, effects),
            Event::CallFinished(attempt, status) => self.finish(now, attempt, status, effects),
            Event::CallFailed(attempt, error) => self.fail_call(now, attempt, error, effects),
            Event::Drain(cause, on) => self.drain(now, cause, on, effects),
            Event::Ownership(reply) => self.ownership_reply(now, reply, effects),
            Event::Order(reply) => {
                let line = telemetry::Line::new("order").with("reply", format!("{reply:?}"));
                effects.push(Effect::Log(line));
                self.orders.reply(now, reply);
            }
            Event::Offered { conn, handover, answer_sizes: sizes } => {
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
    pub fn is_open(&self, attempt: id::AttemptId) -> bool {
        self.ledger.get(attempt).is_some_and(attempt::Record::is_open)
    }

    /// Returns the number of key ranges owned.
    pub fn owned_count(&self) -> usize {
        self.ownership.range_count()
    }

    /// Returns the number of attempts and keys remembered.
    pub fn remembered(&self) -> usize {
        self.ledger.len() + self.books.values().map(key::Ledger::len).sum::<usize>()
    }

    /// Returns the lease, to be revoked when the process ends.
    pub fn lease_id(&self) -> Option<claim::LeaseId> {
        self.ownership.lease_id()
    }

    fn service(&self) -> Option<&config::Service> {
        self.config.services.get(&self.identity.service)
    }

    fn rule(&self) -> key::Policy {
        key::Policy { max_skew: self.config.limits.skew_ms, retention: self.config.limits.key_ms }
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
        let handed_over = self.ownership.range_count() == 0 || !self.ownership.has_successor();
        self.is_draining() && self.ledger.open_count() == 0 && handed_over
    }

    fn drain(&mut self, now: clock::Now, cause: DrainCause, on: bool, effects: &mut Vec<Effect>) {
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

    fn tick(&mut self, now: clock::Now, effects: &mut Vec<Effect>) {
        self.end_overdue(now, effects);
        let told = self.causes.get(&DrainCause::InstanceList);
        if told.is_some_and(|since| *since + LIST_HOLD <= now.mono) {
            self.drain(now, DrainCause::InstanceList, false, effects);
        }
        for attempt in self.ledger.expire(now.mono) {
            effects.push(Effect::Discard(attempt));
        }
        if now.mono >= self.next_sweep {
            self.next_sweep = now.mono + SWEEP_INTERVAL;
            for book in self.books.values_mut() {
                book.expire(now);
            }
        }
        let Some(service) = self.config.services.get(&self.identity.service) else { return };
        let (keyed, ordered) = (!service.idempotent, service.order.is_some());
        if !keyed && !ordered {
            return;
        }
        let lease = self.ownership.current_lease();
        if let Some(call) = self.orders.tick(now, lease, service) {
            effects.push(Effect::Order(call));
        }
        let mut calls = Vec::new();
        if keyed {
            let busy = self.busy_ranges();
            self.ownership.tick(now, |range| !busy.contains(&range), &mut calls);
        } else {
            self.ownership.tick_lease(now, &mut calls);
        }
        self.call(calls, effects);
    }
}
