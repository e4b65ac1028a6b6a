//! State of one request and of its attempts at an entry.

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::id;
use crate::plan;
use crate::refusal;
use crate::routing;

/// What a caller sent, as far as decisions depend on it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub request: id::RequestId,
    /// Team that pays.
    pub team: id::TeamId,
    /// What the caller asks for.
    pub target: plan::Target,
    /// Deadline that the caller asks for.
    pub budget: Option<time::Duration>,
    /// Idempotency key, prefixed with the team.
    pub key: Option<String>,
    /// Hash of the prompt prefix.
    pub prefix_hash: Option<u64>,
    /// Whether the caller wants the answer as it is made.
    pub streaming: bool,
}

/// A request in progress.
#[derive(Debug)]
pub struct Request {
    /// Team that pays.
    pub team: id::TeamId,
    /// What has to run.
    pub plan: sync::Arc<plan::Plan>,
    /// When the request arrived, on the monotonic clock.
    pub arrived: time::Duration,
    /// When the answer has to be whole, on the monotonic clock.
    pub deadline: time::Duration,
    /// Idempotency key, prefixed with the team.
    pub key: Option<String>,
    /// Hash of the prompt prefix.
    pub prefix_hash: Option<u64>,
    /// Whether the caller wants the answer as it is made.
    pub streaming: bool,
    /// Stages that were started.
    pub started_stages: collections::BTreeSet<plan::StageIndex>,
    /// Stages that ended.
    pub done_stages: collections::BTreeSet<plan::StageIndex>,
    /// Progress of the started stages.
    pub stage_runs: collections::BTreeMap<plan::StageIndex, StageRun>,
    /// What is known of what ran so far.
    pub ran: refusal::Ran,
    /// Whether the owner of the key has said that no request with it ran.
    pub key_unused: bool,
}

impl Request {
    /// Makes the state of a request that just arrived.
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

    /// Returns the time by which a stage has to end, so that the later ones still can.
    pub fn stage_deadline(&self, stage: plan::StageIndex) -> time::Duration {
        self.deadline.saturating_sub(self.plan.steps[stage].reserve.duration())
    }

    /// Returns the key if the stage's service may run a call only once.
    pub fn stage_key(&self, stage: plan::StageIndex) -> Option<&String> {
        self.key.as_ref().filter(|_| !self.plan.steps[stage].service_config.idempotent)
    }

    /// Whether an earlier request with the same key may have run, for all that is known.
    pub fn is_possible_repeat(&self) -> bool {
        self.key.is_some() && !self.key_unused && self.plan.has_once_stage()
    }

    /// Takes note that something ran, or may have.
    pub fn record_ran(&mut self, ran: refusal::Ran) {
        self.ran = match (self.ran, ran) {
            (refusal::Ran::Yes, _) | (_, refusal::Ran::Yes) => refusal::Ran::Yes,
            (refusal::Ran::No, refusal::Ran::No) => refusal::Ran::No,
            _ => refusal::Ran::Unknown,
        };
    }
}

/// Progress of one stage.
#[derive(Debug, Default)]
pub struct StageRun {
    /// Upstreams that were tried.
    pub tried: collections::BTreeSet<id::InstanceId>,
    /// Attempts made.
    pub attempts: u32,
    /// Attempts that were only sent on to somebody else.
    pub redirects: u32,
    /// When the next attempt is due.
    pub retry_at: Option<time::Duration>,
    /// Bytes of the answer that were passed on to the caller.
    pub relayed_bytes: u64,
    /// Attempt whose answer is passed on to the caller as it comes.
    pub relayed_attempt: Option<id::AttemptId>,
    /// Whether a second attempt was started because the first one is slow.
    pub hedged: bool,
}

/// An attempt in progress.
#[derive(Debug)]
pub struct Attempt {
    /// Request that it belongs to.
    pub request: id::RequestId,
    /// Stage that it tries.
    pub stage: plan::StageIndex,
    /// Upstream that was picked.
    pub pick: routing::Pick,
    /// When it was sent.
    pub sent_at: time::Duration,
    /// When the sidecar last sent anything.
    pub last_frame: time::Duration,
    /// Whether the sidecar has accepted it.
    pub accepted: bool,
    /// HTTP status of the answer.
    pub status: Option<u16>,
    /// Offset behind the last byte received.
    pub next_offset: u64,
    /// Times that the sidecar was asked what became of it.
    pub resolve_count: u32,
    /// When the sidecar is asked again.
    pub resolve_at: Option<time::Duration>,
}

impl Attempt {
    /// Returns the address of the sidecar.
    pub fn address(&self) -> net::SocketAddr {
        self.pick.address
    }
}
