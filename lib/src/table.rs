//! Routing table of a gateway: which requests are answered by which services, and on which terms.
//!
//! A gateway calls upstreams itself, without a sidecar beside each of them. The table is one
//! version of the operators' configuration in the form that the gateway's decisions need.

use std::collections;
use std::time;

use crate::id;
use crate::unit;

/// Version of a routing table; later versions are higher, not necessarily by one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    derive_more::Display,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// One version of the routing table.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct Table {
    /// Its version.
    pub version: Version,
    /// All routes.
    pub routes: Vec<std::sync::Arc<Route>>,
    /// All services.
    pub services: collections::BTreeMap<id::ServiceId, Service>,
    /// Teams by credential; empty if no credentials are asked for.
    pub teams: collections::BTreeMap<Credential, Team>,
    /// Limits on what callers send.
    pub limits: Limits,
}

/// Secret that proves that a caller belongs to a team. It is never written to logs.
#[derive(Clone, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct Credential(pub String);

impl std::fmt::Debug for Credential {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Credential(..)")
    }
}

/// A team as far as a gateway needs it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Team {
    /// Its name.
    pub name: id::TeamId,
    /// Rank of its requests, which goes before that of the route; 0 is the highest.
    pub rank: Option<u8>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Limits {
    /// Largest body, in bytes.
    #[serde(rename = "body")]
    pub max_body: unit::ByteSize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_body: unit::ByteSize(4 << 20) }
    }
}

/// How often a request may run.
#[derive(
    Clone, Copy, Debug, derive_more::Display, Eq, PartialEq, serde::Deserialize, serde::Serialize,
)]
pub enum RequestKind {
    /// It may run any number of times.
    #[display("idempotent")]
    Idempotent,
    /// It may run once at most.
    #[display("once")]
    Once,
    /// Its answer is a stream of events, which may run once at most.
    #[display("stream")]
    Stream,
    /// Its answer is a stream of events that another upstream may continue after any event.
    #[display("resumable")]
    Resumable,
}

impl RequestKind {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }

    /// Whether the request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// Requests of one host and path prefix, and the terms on which they are answered.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// How often a request may run.
    pub kind: RequestKind,
    /// Longest time that a request may be kept waiting for the end of its answer.
    pub timeout: time::Duration,
    /// Time within which an answer is on time.
    pub target: time::Duration,
    /// Time after which callers give up if no part of the answer has come.
    #[serde(rename = "patience")]
    pub start_timeout: time::Duration,
    /// Most upstreams that may run one request.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Rank of its requests; 0 is the highest.
    pub rank: u8,
    /// Services that answer, with their shares of the requests.
    pub split: Vec<(id::ServiceId, u32)>,
    /// Whether requests need no credential.
    pub is_public: bool,
    /// Work that has to be done before a request can run.
    pub stages: Vec<Stage>,
}

/// Work on the pieces of a request that comes before its run.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Stage {
    /// Service that does it.
    pub service: id::ServiceId,
    /// Stages whose results it needs, as indexes.
    #[serde(rename = "after")]
    pub depends_on: Vec<usize>,
    /// Usual size of one result.
    #[serde(rename = "size")]
    pub result_size: unit::ByteSize,
}

/// Upstreams of one service.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct Service {
    /// Connections that one upstream accepts from all callers together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// Terms of batched work, where the service does stages.
    pub batching: Option<Batching>,
    /// Properties of the engines, where the service generates.
    pub engine: Option<Engine>,
}

/// Terms on which an upstream works on batches of pieces.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Batching {
    /// Calls that an upstream works on at the same time.
    pub slots: u32,
    /// Calls that may wait at an upstream.
    #[serde(rename = "queue")]
    pub max_queued: u32,
    /// Most pieces in a call.
    #[serde(rename = "size")]
    pub max_pieces: usize,
    /// Time that each call takes.
    #[serde(rename = "per_call")]
    pub call_time: time::Duration,
    /// Time that each piece adds.
    #[serde(rename = "per_piece")]
    pub piece_time: time::Duration,
    /// Memory of an upstream for results.
    #[serde(rename = "room")]
    pub result_memory: unit::ByteSize,
    /// Time for which an upstream keeps a result that nobody frees.
    pub retention: time::Duration,
}

impl Batching {
    /// Returns the time that a call with so many pieces takes.
    pub fn duration(&self, pieces: usize) -> time::Duration {
        self.call_time + self.piece_time * u32::try_from(pieces).unwrap_or(u32::MAX)
    }
}

/// Properties of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Engine {
    /// Requests in one step of generation.
    pub slots: u32,
    /// Tokens that its memory holds.
    #[serde(rename = "tokens")]
    pub token_capacity: u64,
}

impl Table {
    /// Returns the route of a request: of the host's routes, the one with the longest prefix.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&std::sync::Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the team that a credential proves.
    pub fn team(&self, credential: &Credential) -> Option<&Team> {
        self.teams.get(credential)
    }
}

impl Route {
    /// Returns the service that answers a request, drawn by the shares; `draw` is below 1.
    pub fn pick_service(&self, draw: f64) -> Option<&id::ServiceId> {
        let total: u32 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        for (service, weight) in &self.split {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        None
    }

    /// Returns the stages whose results the run itself needs: those that no other stage follows.
    pub fn final_stages(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.stages.len())
            .filter(|index| !self.stages.iter().any(|stage| stage.depends_on.contains(index)))
    }
}
