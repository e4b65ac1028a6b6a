//! State of a request in progress at an entry, and of its attempts.

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::id;
use crate::plan;
use crate::refusal;
use crate::routing;

/// The parts of a caller's request that the reducer decides by.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identifier of the request, chosen by the entry.
    pub request: id::RequestId,
    /// Team that the request is charged to.
    pub team: id::TeamId,
    /// Pipeline or service that the caller requests.
    pub target: plan::Target,
    /// Time that the caller allows; `None` for the configured deadline.
    pub budget: Option<time::Duration>,
    /// Idempotency key as `TEAM/KEY`, if the caller sent one.
    pub key: Option<String>,
    /// Hash of the prompt's prefix, if requests are routed by it.
    pub prefix_hash: Option<u64>,
    /// Whether the caller requests a streamed answer.
    pub streaming: bool,
}

/// A request in progress.
#[derive(Debug)]
pub struct Request {
    /// Team that the request is charged to.
    pub team: id::TeamId,
    /// Stages of the request and the order in which they run.
    pub plan: sync::Arc<plan::Plan>,
    /// When the request arrived, on the monotonic clock.
    pub arrived: time::Duration,
    /// When the answer has to have been sent whole, on the monotonic clock.
    pub deadline: time::Duration,
    /// Idempotency key as `TEAM/KEY`, if the caller sent one.
    pub key: Option<String>,
    /// Hash of the prompt's prefix, if requests are routed by it.
    pub prefix_hash: Option<u64>,
    /// Whether the caller requests a streamed answer.
    pub streaming: bool,
    /// Stages that have been started.
    pub started_stages: collections::BTreeSet<plan::StageIndex>,
    /// Stages that have answered successfully.
    pub done_stages: collections::BTreeSet<plan::StageIndex>,
    /// Progress of each started stage.
    pub stage_runs: collections::BTreeMap<plan::StageIndex, StageRun>,
    /// Whether any attempt of the request ran, as far as is known.
    pub ran: refusal::Ran,
    /// Whether the owner of the key has confirmed that no earlier request with it ran.
    pub key_unused: bool,
}

impl Request {
    /// Makes the state of a request that has just arrived.
    pub fn new(now: time::Duration, arrival: Arrival, plan: sync::Arc<plan::Plan>) -> Self {
        let longest = plan.deadline.duration();
        let budget = arrival.budget.map_or(longest, |budget| budget.min(longest));
        Self {
            team: arrival.team,
            plan,
            arrived: now,
            deadline: now + budget,
            key: arrival.key,
            prefix_hash: arrival.prefix_hash,
            streaming: arrival.streaming,
            started_stages: collections::BTreeSet::new(),
            done_stages: collections::BTreeSet::new(),
            stage_runs: collections::BTreeMap::new(),
            ran: refusal::Ran::No,
            key_unused: false,
        }
    }

    /// Returns the time by which a stage has to end to leave the later stages their reserve.
    pub fn stage_deadline(&self, stage: plan::StageIndex) -> time::Duration {
        self.deadline.saturating_sub(self.plan.steps[stage].reserve.duration())
    }

    /// Returns the idempotency key if the stage's service may run a call only once.
    pub fn stage_key(&self, stage: plan::StageIndex) -> Option<&String> {
        self.key.as_ref().filter(|_| !self.plan.steps[stage].service_config.idempotent)
    }

    /// Whether an earlier request with the same key may have run, as far as is known.
    pub fn is_possible_repeat(&self) -> bool {
        self.key.is_some() && !self.key_unused && self.plan.has_once_stage()
    }

    /// Records whether an attempt ran. A known run outweighs unknown ones.
    pub fn record_ran(&mut self, ran: refusal::Ran) {
        self.ran = match (self.ran, ran) {
            (refusal::Ran::Yes, _) | (_, refusal::Ran::Yes) => refusal::Ran::Yes,
            (refusal::Ran::No, refusal::Ran::No) => refusal::Ran::No,
            _ => refusal::Ran::Unknown,
        };
    }
}

/// Progress of one stage of a request.
#[derive(Debug, Default)]
pub struct StageRun {
    /// Instances to which attempts were sent.
    pub tried: collections::BTreeSet<id::InstanceId>,
    /// Number of attempts made.
    pub attempts: u32,
    /// Number of attempts that were redirected to another instance or incarnation, and of searches
    /// that found no upstream.
    pub redirects: u32,
    /// When the next attempt is due, on the monotonic clock; `None` if none is scheduled.
    pub retry_at: Option<time::Duration>,
    /// Bytes of the answer that have been relayed to the caller.
    pub relayed_bytes: u64,
    /// Attempt whose answer is streamed to the caller.
    pub relayed_attempt: Option<id::AttemptId>,
    /// Whether a second attempt was started because the first one was slow.
    pub hedged: bool,
}

/// An attempt in progress.
#[derive(Debug)]
pub struct Attempt {
    /// Request that the attempt belongs to.
    pub request: id::RequestId,
    /// Stage that the attempt runs.
    pub stage: plan::StageIndex,
    /// Instance that the router picked.
    pub pick: routing::Pick,
    /// When the attempt was sent, on the monotonic clock.
    pub sent_at: time::Duration,
    /// When a message was last sent to the sidecar or received from it, on the monotonic clock.
    pub last_activity: time::Duration,
    /// Whether the sidecar has accepted the attempt.
    pub accepted: bool,
    /// Whether a silence of the sidecar has been counted as a failure of the upstream.
    pub was_silent: bool,
    /// HTTP status of the answer; `None` until its head has arrived.
    pub status: Option<u16>,
    /// Offset of the next byte of the answer that is expected.
    pub next_offset: u64,
    /// Number of times that the sidecar was asked for the attempt's state.
    pub resolve_count: u32,
    /// When the sidecar is asked again, on the monotonic clock; `None` if that is not scheduled.
    pub resolve_at: Option<time::Duration>,
}

impl Attempt {
    /// Returns the address of the sidecar that the attempt was sent to.
    pub fn address(&self) -> net::SocketAddr {
        self.pick.address
    }
}
