//! The configuration that all processes share: regions, limits, teams, services and pipelines.
//!
//! Operators write it as one JSON text. `docs/operations/configuration.md` describes each field,
//! and [`crate::check`] parses and validates the text.

use std::collections;

use crate::id;
use crate::unit;

/// Format version that this build accepts.
pub const FORMAT_VERSION: u32 = 1;

/// A configuration; [`crate::check::parse`] returns only valid ones.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Config {
    /// Format version of the text, which has to be [`FORMAT_VERSION`].
    pub version: u32,
    /// Regions, at least one; a failure domain belongs to one region only.
    pub regions: collections::BTreeMap<id::RegionId, Region>,
    /// Limits that apply to all services and pipelines.
    pub limits: Limits,
    /// How entries choose upstreams and eject failing ones.
    pub policy: Policy,
    /// Services behind the `OpenAI`-compatible paths.
    pub openai: OpenAi,
    /// Teams, whose credentials callers present.
    pub teams: collections::BTreeMap<id::TeamId, Team>,
    /// Pools of interchangeable upstreams.
    pub services: collections::BTreeMap<id::ServiceId, Service>,
    /// Graphs of stages that callers reach under one path each.
    pub pipelines: collections::BTreeMap<id::PipelineId, Pipeline>,
}

impl Config {
    /// Returns the region of a failure domain, or `None` if no region lists it.
    pub fn region_of(&self, domain: &id::DomainId) -> Option<&id::RegionId> {
        self.regions.iter().find(|(_, r)| r.domains.contains(domain)).map(|(name, _)| name)
    }
}

/// A region: a group of failure domains with low latency between them.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct Region {
    /// Failure domains in the region, at least one.
    pub domains: collections::BTreeSet<id::DomainId>,
}

/// Limits that apply to all services and pipelines.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Limits {
    /// Longest deadline that a caller may ask for; also the default.
    pub deadline_ms: unit::Millis,
    /// Largest request body of a caller.
    pub body_bytes: unit::ByteSize,
    /// Largest response body of one stage.
    pub answer_bytes: unit::ByteSize,
    /// Maximum number of requests in progress at one entry.
    pub requests: u32,
    /// Retries that an entry may make, as a share of its first attempts to a service.
    pub retry_share: unit::Share,
    /// Largest tolerated difference between any two clocks of callers and instances.
    pub skew_ms: unit::Millis,
    /// Time after its creation for which an idempotency key is kept. It has to exceed `deadline_ms`
    /// plus twice `skew_ms`, so that a key outlasts its request.
    pub key_ms: unit::Millis,
    /// Time to live of a sidecar's lease on the ownership of key ranges; at least 3000 ms.
    pub lease_ms: unit::Millis,
    /// Memory that one sidecar may use for the responses that it keeps to replay them.
    pub kept_bytes: unit::ByteSize,
    /// Maximum number of attempts and idempotency keys that one sidecar records.
    pub ledger_entries: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            deadline_ms: unit::Millis(9_000),
            body_bytes: unit::ByteSize(1_000_000),
            answer_bytes: unit::ByteSize(4_000_000),
            requests: 2_000,
            retry_share: unit::Share(0.2),
            skew_ms: unit::Millis(500),
            key_ms: unit::Millis(600_000),
            lease_ms: unit::Millis(15_000),
            kept_bytes: unit::ByteSize(64_000_000),
            ledger_entries: 50_000,
        }
    }
}

/// How entries choose upstreams and eject failing ones.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Policy {
    /// Load-balancing algorithm.
    pub balance: Balance,
    /// Queueing delay in an entry's own region above which it may send attempts to another region.
    pub cross_ms: unit::Millis,
    /// Bytes per second that one entry may send to other regions.
    pub cross_rate: unit::PerSecond,
    /// Maximum number of upstreams of one service that an entry connects to.
    pub subset: u32,
    /// Number of consecutive failures after which an upstream is ejected.
    pub eject_failures: u32,
    /// Duration of an upstream's first ejection. Doubles with each further one, up to 32 times this
    /// value, until a call succeeds.
    pub eject_ms: unit::Millis,
    /// Largest share of a service's upstreams that may be ejected at the same time.
    pub eject_share: unit::Share,
    /// Slow-start period, in which the load on an upstream after its ejection rises to a full
    /// share.
    pub warmup_ms: unit::Millis,
    /// Number of bytes at the start of a request body that are hashed for prompt-prefix affinity;
    /// 0 turns affinity off.
    pub prefix_bytes: unit::ByteSize,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            balance: Balance::Adaptive,
            cross_ms: unit::Millis(150),
            cross_rate: unit::PerSecond(1_000_000.0),
            subset: 20,
            eject_failures: 3,
            eject_ms: unit::Millis(2_000),
            eject_share: unit::Share(0.5),
            warmup_ms: unit::Millis(5_000),
            prefix_bytes: unit::ByteSize(256),
        }
    }
}

/// Algorithm by which an entry picks an upstream for an attempt.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    derive_more::Display,
    Eq,
    PartialEq,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Balance {
    /// Prefers near upstreams and those with the same prompt prefix; otherwise, of two random ones,
    /// takes the one that is expected to finish first.
    #[default]
    #[display("adaptive")]
    Adaptive,
    /// Uniformly at random; for comparison.
    #[display("random")]
    Random,
    /// Round robin; for comparison.
    #[display("round_robin")]
    RoundRobin,
    /// Fewest attempts in flight from this entry; for comparison.
    #[display("least_outstanding")]
    LeastOutstanding,
}

/// Services behind the `OpenAI`-compatible paths; a path without a service is not found.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct OpenAi {
    /// Service behind `/v1/chat/completions`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub chat: Option<id::ServiceId>,
    /// Service behind `/v1/embeddings`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub embeddings: Option<id::ServiceId>,
    /// Service behind `/v1/rerank`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rerank: Option<id::ServiceId>,
}

/// A team: a customer with a credential, a share of contended upstreams and limits.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Team {
    /// SHA-256 of the team's credential, as 64 hexadecimal digits.
    pub credential_sha256: String,
    /// Share of a contended upstream relative to the weights of other teams; at least 1.
    #[serde(default = "default_one")]
    pub weight: u32,
    /// Attempts of a team with a higher priority leave a queue first.
    #[serde(default)]
    pub priority: u8,
    /// Maximum requests per second over all entries; no limit if `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<unit::PerSecond>,
    /// Maximum number of requests in progress over all entries; no limit if `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrency: Option<u32>,
}

/// Kind of program that a service's upstreams run.
#[derive(
    Clone, Copy, Debug, derive_more::Display, Eq, PartialEq, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine that generates text and can stream it.
    #[display("engine")]
    Engine,
    /// An encoder, retriever or reranker.
    #[display("model")]
    Model,
    /// An ordinary HTTP service without a model, such as bookings.
    #[display("plain")]
    Plain,
}

/// A pool of interchangeable upstreams and the rules for calling them.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Service {
    /// Kind of program that the upstreams run.
    pub kind: Kind,
    /// Absolute HTTP path at the upstream to which the sidecar posts each call.
    pub path: String,
    /// Whether a call may safely run more than once. If not, each call runs at most once, and a
    /// retry needs an idempotency key.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// Whether callers may call the service directly, under `/services/NAME`.
    #[serde(default)]
    pub public: bool,
    /// Whether an interrupted stream can be resumed at another upstream with the `Stream-Offset`
    /// header; requires `idempotent`.
    #[serde(default, rename = "resumes")]
    pub can_resume: bool,
    /// Whether the upstreams reject an order with a fencing token older than one they have
    /// received.
    #[serde(default)]
    pub fenced: bool,
    /// Shortest time that a call takes; requests with less time left are refused at once.
    #[serde(default)]
    pub minimum_ms: unit::Millis,
    /// Maximum number of concurrent calls to one upstream.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Maximum number of attempts queued at one sidecar.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Number of upstreams that a drain has to leave in service unless it is forced.
    #[serde(default = "default_one", rename = "keep")]
    pub min_upstreams: u32,
    /// Desired state of the upstreams, which their sidecars request from them; `None` if the
    /// upstreams take no orders.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub order: Option<Order>,
    /// Services that the upstreams call on their own; must not form a cycle.
    #[serde(default)]
    pub depends_on: collections::BTreeSet<id::ServiceId>,
}

/// Desired state of an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Order {
    /// Name of the model with its version; not empty.
    pub model: String,
    /// Adapters to load on top of the model.
    pub adapters: collections::BTreeSet<String>,
    /// Role, such as `prefill`, `decode` or `both`; the engine chooses if empty.
    pub role: String,
}

/// A graph of stages that callers reach under `/pipelines/NAME`.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Pipeline {
    /// Longest time for a request to the pipeline; at most `limits.deadline_ms`.
    pub deadline_ms: unit::Millis,
    /// Stages by name; their dependencies form no cycle.
    pub stages: collections::BTreeMap<id::StageId, Stage>,
    /// Stage whose response is returned to the caller.
    #[serde(rename = "answer")]
    pub answer_stage: id::StageId,
}

/// One step of a pipeline: a call to a service.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Stage {
    /// Service that runs the stage.
    pub service: id::ServiceId,
    /// Stages that have to finish before this one starts, and whose responses it may use.
    #[serde(default)]
    pub after: collections::BTreeSet<id::StageId>,
    /// Template of the request body, see [`crate::template`]; if `None`, the caller's body is sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub input: Option<serde_json::Value>,
}

fn default_true() -> bool {
    true
}

fn default_one() -> u32 {
    1
}

fn default_concurrency() -> u32 {
    16
}

fn default_queue() -> u32 {
    64
}
