//! Reducer of the sidecar. The sidecar is the only process that calls its upstream, so it decides
//! about concurrency, queueing, fairness and at-most-once execution there.
//!
//! The shell passes one [`Event`] at a time to [`Sidecar::step`] and carries out the returned
//! [`Effect`]s in order. Request bodies and answers stay in the shell.

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

/// How long the sidecar drains after an entry last reported that the instance list shows it as
/// leaving.
const LIST_DRAIN_TTL: time::Duration = time::Duration::from_secs(30);
/// Age beyond its time budget up to which an attempt is accepted. It is shorter than
/// [`ATTEMPT_RETENTION`], so that a late copy is refused either because the first one is still in
/// the ledger or because of its age.
const MAX_EXTRA_AGE: time::Duration = time::Duration::from_secs(10);
/// Interval at which expired keys are removed.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// How long an attempt stays in the ledger after its deadline.
const ATTEMPT_RETENTION: time::Duration = time::Duration::from_secs(20);

/// Identity of a sidecar process, fixed at its start.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Instance whose upstream the sidecar calls.
    pub instance: id::InstanceId,
    /// Service that the upstream belongs to.
    pub service: id::ServiceId,
    /// Address on which the sidecar accepts attempts.
    pub address: net::SocketAddr,
    /// Random number of this process; a restarted sidecar has another one.
    pub incarnation: id::Incarnation,
}

/// Why a sidecar accepts no new work.
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
    /// The call failed before any byte was sent.
    NotSent,
    /// The connection broke, or the answer was truncated or did not end properly.
    Broken,
    /// The upstream cannot resume the stream at the offset.
    NotResumable,
}

/// Key ledger of one range, as sent in a handover.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RangeLedger {
    /// Fencing token under which the sender owns the range.
    pub fence: id::FencingToken,
    /// When the ledger began to be complete, in milliseconds since the Unix epoch.
    #[serde(rename = "since")]
    pub complete_since: unit::Millis,
    /// Keys of the range with their ledger entries.
    pub records: collections::BTreeMap<String, key::Record>,
}

/// Offer to hand ranges with their ledgers over to another sidecar.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Handover {
    /// Major protocol version of the sender.
    pub version: u16,
    /// Offered ranges with their ledgers.
    pub ranges: collections::BTreeMap<u32, RangeLedger>,
    /// For each attempt in the ledgers that the sender has a record of, whether the sender keeps
    /// its complete answer.
    #[serde(rename = "done")]
    pub answers_kept: collections::BTreeMap<id::AttemptId, bool>,
    /// Whether the sender stays and hands over only what is above its fair share. A receiver that
    /// would exceed its own fair share then declines. Older senders don't send the field; their
    /// offers are not declined for this reason.
    #[serde(default)]
    pub surplus: bool,
}

/// Input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration with this revision came into force.
    Configured(sync::Arc<config::Config>, id::Revision),
    /// An attempt arrived together with its complete body.
    Open {
        /// Connection that waits for the answer.
        conn: attempt::ConnId,
        /// Message that asks to run the attempt.
        open: wire::OpenAttempt,
        /// SHA-256 of the body.
        digest: [u8; auth::DIGEST_BYTES],
    },
    /// An entry asks for the outcome of an attempt whose connection broke.
    Attach {
        /// Connection that waits for the answer.
        conn: attempt::ConnId,
        /// Message that names the attempt and the missing part of its answer.
        attach: wire::AttachAttempt,
    },
    /// A waiting connection broke.
    ConnectionClosed(attempt::ConnId),
    /// An entry cancelled an attempt.
    Cancel(id::AttemptId),
    /// This many bytes of an attempt's answer arrived from the upstream.
    Progress(id::AttemptId, u64),
    /// The upstream's answer is complete and has this HTTP status.
    CallFinished(id::AttemptId, u16),
    /// A call to the upstream failed.
    CallFailed(id::AttemptId, CallError),
    /// A reason to drain appeared (`true`) or disappeared (`false`).
    Drain(DrainCause, bool),
    /// A call of [`Effect::Ownership`] ended.
    Ownership(claim::Reply),
    /// A call of [`Effect::Order`] ended.
    Order(order::Reply),
    /// Another sidecar offers ranges. The shell has stored the answers that came with the offer.
    Offered {
        /// Connection on which the other sidecar waits for the result.
        conn: attempt::ConnId,
        /// Offered ranges and their ledgers.
        handover: Handover,
        /// Size in bytes of each answer that came with the offer.
        answer_sizes: collections::BTreeMap<id::AttemptId, u64>,
    },
    /// The shell's timer fired; deadlines, expiry times and due calls are checked.
    Tick,
}

/// Action that the shell carries out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send the attempt to the upstream, and notify its connections that it started.
    Start {
        /// Attempt to send.
        attempt: id::AttemptId,
        /// Time left for the call.
        budget: time::Duration,
    },
    /// Abort the attempt's call to the upstream.
    Abort(id::AttemptId),
    /// Send the attempt's answer to a connection, including bytes that arrive later.
    Subscribe {
        /// Connection to send to.
        conn: attempt::ConnId,
        /// Attempt whose answer is sent.
        attempt: id::AttemptId,
        /// Offset in the answer of the first byte to send.
        offset: u64,
        /// State of the sidecar, sent before the answer.
        load: wire::Load,
    },
    /// Send a refusal to the connection and close it.
    Refuse(attempt::ConnId, wire::Refused),
    /// Notify all connections of the attempt that the answer is complete, and close them.
    Finish(id::AttemptId, wire::Load),
    /// Notify all connections of the attempt that it failed, and close them.
    Fail(id::AttemptId, wire::Refused),
    /// Free the body and the answer of the attempt.
    Discard(id::AttemptId),
    /// Make a call for the ownership of key ranges, and report its result as [`Event::Ownership`].
    Ownership(claim::Call),
    /// Make a call for an order to the upstream, and report its result as [`Event::Order`].
    Order(order::Call),
    /// Send the ledgers together with the kept answers to the sidecar at this address, and report
    /// the result as [`claim::Reply::OfferEnded`].
    HandOver(net::SocketAddr, Handover),
    /// Send whether an offered handover was accepted.
    OfferResult(attempt::ConnId, bool),
    /// Write a log line.
    Log(telemetry::Line),
}

/// Offer of another sidecar whose transaction in the store has not ended yet.
#[derive(Debug)]
struct PendingOffer {
    conn: attempt::ConnId,
    handover: Handover,
    answer_sizes: collections::BTreeMap<id::AttemptId, u64>,
}

/// State machine of a sidecar.
#[derive(Debug)]
pub struct Sidecar {
    identity: Identity,
    config: sync::Arc<config::Config>,
    revision: id::Revision,
    ledger: attempt::Ledger,
    queue: queue::FairQueue,
    limit: limit::ConcurrencyLimit,
    running: u32,
    /// Reasons to drain, each with the monotonic time at which it was last reported.
    drain_causes: collections::BTreeMap<DrainCause, time::Duration>,
    ownership: ownership::Ownership,
    /// Key ledgers by range, including those of ranges that were lost.
    key_ledgers: collections::BTreeMap<u32, key::Ledger>,
    pending_offer: Option<PendingOffer>,
    orders: order::Orders,
    next_sweep: time::Duration,
}

impl Sidecar {
    /// Creates a sidecar without a configuration; it refuses all attempts until it gets one.
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
            drain_causes: collections::BTreeMap::new(),
            ownership,
            key_ledgers: collections::BTreeMap::new(),
            pending_offer: None,
            orders: order::Orders::default(),
            next_sweep: time::Duration::ZERO,
        }
    }

    /// Processes one event and appends the resulting effects.
    pub fn step(&mut self, now: clock::Now, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Configured(config, revision) => self.configure(config, revision),
            Event::Open { conn, open, digest } => self.on_open(now, conn, open, &digest, effects),
            Event::Attach { conn, attach } => self.on_attach(now, conn, &attach, effects),
            Event::ConnectionClosed(conn) => self.ledger.disconnect(conn, now.mono),
            Event::Cancel(attempt) => self.cancel_attempt(now, attempt, effects),
            Event::Progress(attempt, bytes) => self.on_progress(now, attempt, bytes, effects),
            Event::CallFinished(attempt, status) => self.finish_call(now, attempt, status, effects),
            Event::CallFailed(attempt, error) => self.fail_call(now, attempt, error, effects),
            Event::Drain(cause, active) => self.drain(now, cause, active, effects),
            Event::Ownership(reply) => self.on_ownership_reply(now, reply, effects),
            Event::Order(reply) => {
                let line = telemetry::Line::new("order").with("reply", format!("{reply:?}"));
                effects.push(Effect::Log(line));
                self.orders.reply(now, reply);
            }
            Event::Offered { conn, handover, answer_sizes } => {
                self.on_offer(now, PendingOffer { conn, handover, answer_sizes }, effects);
            }
            Event::Tick => self.tick(now, effects),
        }
        self.dispatch(now, effects);
    }

    /// Returns the load report that is sent with every answer.
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

    /// Returns the number of attempts that are queued or running.
    pub fn open_count(&self) -> usize {
        self.ledger.open_count()
    }

    /// Whether the attempt is queued or running.
    pub fn is_open(&self, attempt: id::AttemptId) -> bool {
        self.ledger.get(attempt).is_some_and(attempt::Record::is_open)
    }

    /// Returns the number of key ranges that this sidecar owns.
    pub fn owned_count(&self) -> usize {
        self.ownership.range_count()
    }

    /// Returns the number of attempts and keys in the ledgers, which `limits.ledger_entries`
    /// bounds.
    pub fn ledger_entries(&self) -> usize {
        self.ledger.len() + self.key_ledgers.values().map(key::Ledger::len).sum::<usize>()
    }

    /// Returns the id of the current lease, which the shell revokes when the process ends.
    pub fn lease_id(&self) -> Option<claim::LeaseId> {
        self.ownership.lease_id()
    }

    /// Returns the configuration of this sidecar's service, or `None` if it has none.
    fn service(&self) -> Option<&config::Service> {
        self.config.services.get(&self.identity.service)
    }

    /// Returns the time bounds for idempotency keys in the current configuration.
    fn key_policy(&self) -> key::Policy {
        key::Policy { max_skew: self.config.limits.skew_ms, retention: self.config.limits.key_ms }
    }

    /// Activates a configuration, unless a newer one is active.
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

    /// Whether the sidecar accepts no new work.
    pub fn is_draining(&self) -> bool {
        !self.drain_causes.is_empty()
    }

    /// Whether the process may end: the sidecar drains, no attempt is open, and all key ranges are
    /// handed over or no other sidecar can take them.
    pub fn is_drained(&self) -> bool {
        self.is_draining() && self.ledger.open_count() == 0 && self.ownership.has_handed_over()
    }

    /// Adds or removes a reason to drain. With the first one the key ranges are handed over, and
    /// after the last one is removed they are claimed again.
    fn drain(
        &mut self,
        now: clock::Now,
        cause: DrainCause,
        active: bool,
        effects: &mut Vec<Effect>,
    ) {
        let was_draining = self.is_draining();
        if active {
            self.drain_causes.insert(cause, now.mono);
        } else {
            self.drain_causes.remove(&cause);
        }
        let draining = self.is_draining();
        if draining != was_draining {
            self.ownership.set_leaving(draining);
            let line = telemetry::Line::new("drain")
                .with("draining", draining)
                .with("cause", cause)
                .with("open", self.ledger.open_count());
            effects.push(Effect::Log(line));
        }
    }

    /// Returns a refusal without a key owner.
    fn refusal(&self, kind: refusal::Kind, ran: refusal::Ran) -> wire::Refused {
        wire::Refused { kind, ran, owner: None, load: self.load() }
    }

    /// Ends overdue attempts, removes expired entries, and appends due calls for ranges and orders.
    fn tick(&mut self, now: clock::Now, effects: &mut Vec<Effect>) {
        self.end_overdue(now, effects);
        let reported = self.drain_causes.get(&DrainCause::InstanceList);
        if reported.is_some_and(|since| *since + LIST_DRAIN_TTL <= now.mono) {
            self.drain(now, DrainCause::InstanceList, false, effects);
        }
        for attempt in self.ledger.expire(now.mono) {
            effects.push(Effect::Discard(attempt));
        }
        if now.mono >= self.next_sweep {
            self.next_sweep = now.mono + SWEEP_INTERVAL;
            for ledger in self.key_ledgers.values_mut() {
                ledger.expire(now);
            }
        }
        let Some(service) = self.config.services.get(&self.identity.service) else { return };
        let (needs_keys, has_order) = (!service.idempotent, service.order.is_some());
        if !needs_keys && !has_order {
            return;
        }
        let lease = self.ownership.current_lease();
        if let Some(call) = self.orders.tick(now, lease, service) {
            effects.push(Effect::Order(call));
        }
        let mut calls = Vec::new();
        if needs_keys {
            let busy_ranges = self.busy_ranges();
            self.ownership.tick(now, |range| !busy_ranges.contains(&range), &mut calls);
        } else {
            self.ownership.tick_lease(now, &mut calls);
        }
        self.push_calls(calls, effects);
    }
}
