//! Routing table of a gateway: which services answer which requests, and on which terms.
//!
//! A gateway calls upstreams itself, without a sidecar next to each of them. The table is one
//! version of the operators' configuration, in the form that the gateway's decisions need.

use std::collections;
use std::time;

use crate::id;
use crate::unit;

/// Version of a routing table. Later versions have higher numbers, which need not be consecutive.
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
    /// Version of the configuration that the table was made from.
    pub version: Version,
    /// Routes in no particular order; a request takes the one with the longest prefix.
    pub routes: Vec<std::sync::Arc<Route>>,
    /// Services that routes and stages name.
    pub services: collections::BTreeMap<id::ServiceId, Service>,
    /// Teams by credential. `None` if the configuration has no teams, so that no request needs a
    /// credential; with an empty map no credential is accepted.
    pub teams: Option<collections::BTreeMap<Credential, Team>>,
    /// Limits on requests of all routes.
    pub limits: Limits,
}

/// Secret that proves that a caller belongs to a team. Its debug form hides it, so that it does not
/// reach logs.
#[derive(Clone, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct Credential(pub String);

impl std::fmt::Debug for Credential {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Credential(..)")
    }
}

/// Settings of a team that gateways need.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Team {
    /// Name of the team.
    pub name: id::TeamId,
    /// Rank of its requests, which overrides that of the route; 0 is the highest priority. `None`
    /// keeps the rank of the route.
    pub rank: Option<u8>,
    /// Regions in which its requests may be served.
    #[serde(default)]
    pub allowed_regions: RegionBound,
}

/// Regions in which requests may be served: all of them, or only the listed ones.
#[derive(
    Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(transparent)]
pub struct RegionBound(Option<collections::BTreeSet<id::RegionId>>);

impl RegionBound {
    /// Makes a bound that allows only the given regions, and nothing if there are none.
    pub fn only(regions: impl IntoIterator<Item = id::RegionId>) -> Self {
        Self(Some(regions.into_iter().collect()))
    }

    /// Returns whether any region is excluded.
    pub fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// Returns whether requests may be served in a region.
    pub fn allows(&self, region: &id::RegionId) -> bool {
        self.0.as_ref().is_none_or(|allowed| allowed.contains(region))
    }

    /// Returns the bound that allows what both allow.
    #[must_use]
    pub fn intersect(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(a), Some(b)) => Self(Some(a.intersection(b).cloned().collect())),
            (Some(_), None) => self.clone(),
            (None, _) => other.clone(),
        }
    }
}

/// Limits on requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Limits {
    /// Maximum size of a request's body.
    #[serde(rename = "body")]
    pub max_body: unit::ByteSize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_body: unit::ByteSize(4 << 20) }
    }
}

/// How often a request may run, and whether its answer is a stream.
#[derive(
    Clone, Copy, Debug, derive_more::Display, Eq, PartialEq, serde::Deserialize, serde::Serialize,
)]
pub enum RequestKind {
    /// The request may run any number of times.
    #[display("idempotent")]
    Idempotent,
    /// The request may run at most once.
    #[display("once")]
    Once,
    /// The request may run at most once, and its answer is a stream of events.
    #[display("stream")]
    Stream,
    /// The answer is a stream of events that another upstream can resume after any event.
    #[display("resumable")]
    Resumable,
}

impl RequestKind {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }

    /// Returns whether the request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// Requests with one host and path prefix, and the terms on which they are answered.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Route {
    /// Name of the route, for logs and statistics.
    pub name: String,
    /// Host that requests must name, without a port.
    pub host: String,
    /// Path prefix that requests must have, with a slash at both ends.
    pub prefix: String,
    /// How often the requests may run.
    pub kind: RequestKind,
    /// Maximum time until the answer is complete; a caller may ask for less.
    pub timeout: time::Duration,
    /// Time within which the answer should begin.
    pub target: time::Duration,
    /// Time within which the answer must begin, because callers give up then.
    #[serde(rename = "patience")]
    pub start_timeout: time::Duration,
    /// Maximum number of upstreams that may run one request.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Rank of the requests; 0 is the highest priority.
    pub rank: u8,
    /// Services that answer, with their weights in the traffic split.
    pub split: Vec<(id::ServiceId, u32)>,
    /// Whether requests need no credential.
    pub is_public: bool,
    /// Stages that have to be done before an upstream can answer a request.
    pub stages: Vec<Stage>,
    /// Regions in which the requests may be served.
    #[serde(default)]
    pub allowed_regions: RegionBound,
}

/// A stage of requests that consists of independent pieces.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Stage {
    /// Service that runs the stage.
    pub service: id::ServiceId,
    /// Indexes of the stages whose results it needs. Estimates expect them to be lower than its
    /// own.
    #[serde(rename = "after")]
    pub depends_on: Vec<usize>,
    /// Typical size of the result of one piece.
    #[serde(rename = "size")]
    pub result_size: unit::ByteSize,
}

/// Stages of a route that cannot be run.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq)]
pub enum StageError {
    /// A stage depends on one that the route does not have.
    #[display("stage {stage} depends on stage {missing}, which does not exist; correct its index")]
    Missing {
        /// Index of the stage.
        stage: usize,
        /// Index that it depends on.
        missing: usize,
    },
    /// A stage needs its own result.
    #[display("stage {stage} depends on itself; remove one dependency of the cycle")]
    Cycle {
        /// Index of the first stage that can never start.
        stage: usize,
    },
}

/// Properties of a service's upstreams.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct Service {
    /// Maximum number of connections that one upstream accepts from all callers together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// Terms of batch calls; `None` if the service runs no stages.
    pub batching: Option<Batching>,
    /// Properties of the model engines; `None` if the upstreams are no engines.
    pub engine: Option<Engine>,
    /// Calls per second that one upstream takes while it is cold, from all callers together; `None`
    /// if there is no limit.
    #[serde(default)]
    pub cold_rate: Option<unit::PerSecond>,
}

/// Terms on which an upstream runs batches of pieces.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Batching {
    /// Number of calls that an upstream processes at the same time.
    pub slots: u32,
    /// Number of calls that may be queued at an upstream.
    #[serde(rename = "queue")]
    pub max_queued: u32,
    /// Maximum number of pieces in a call.
    #[serde(rename = "size")]
    pub max_pieces: usize,
    /// Fixed time that each call takes.
    #[serde(rename = "per_call")]
    pub call_time: time::Duration,
    /// Time that each piece adds to a call.
    #[serde(rename = "per_piece")]
    pub piece_time: time::Duration,
    /// Memory of an upstream for results.
    #[serde(rename = "room")]
    pub result_memory: unit::ByteSize,
    /// Time for which an upstream stores a result that is not freed.
    pub retention: time::Duration,
}

impl Batching {
    /// Returns the time that a call with the given number of pieces takes.
    pub fn duration(&self, pieces: usize) -> time::Duration {
        self.call_time + self.piece_time * u32::try_from(pieces).unwrap_or(u32::MAX)
    }
}

/// Properties of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Engine {
    /// Number of requests in one step of generation.
    pub slots: u32,
    /// Number of tokens that fit into its memory.
    #[serde(rename = "tokens")]
    pub token_capacity: u64,
}

/// Returns the host of a `Host` header without its port. An IPv6 address is in brackets there.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

impl Table {
    /// Returns how many connections each upstream of a service accepts from all gateways together.
    pub fn max_connections(&self, service: &id::ServiceId) -> u32 {
        self.services.get(service).map_or(u32::MAX, |service| service.max_connections)
    }

    /// Returns the route of a request: the one of its host with the longest matching prefix.
    /// A port in `host` is ignored.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&std::sync::Arc<Route>> {
        let host = without_port(host);
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns whether any route or team is restricted to regions.
    pub fn has_region_bounds(&self) -> bool {
        let mut teams = self.teams.iter().flat_map(collections::BTreeMap::values);
        self.routes.iter().any(|route| route.allowed_regions.is_restricted())
            || teams.any(|team| team.allowed_regions.is_restricted())
    }

    /// Returns the team of a credential, or `None` if the credential belongs to no team.
    pub fn team(&self, credential: &Credential) -> Option<&Team> {
        self.teams.as_ref()?.get(credential)
    }
}

impl Route {
    /// Returns the service that answers a request, chosen by weight. `draw` is a random number from
    /// 0 up to 1, exclusively. Returns `None` if no service has a weight.
    pub fn pick_service(&self, draw: f64) -> Option<&id::ServiceId> {
        let total: f64 = self.split.iter().map(|(_, weight)| f64::from(*weight)).sum();
        let mut left = draw * total;
        for (service, weight) in &self.split {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        None
    }

    /// Checks that the stages can be run one after the other.
    ///
    /// # Errors
    /// Fails if a stage depends on one that the route does not have, or on itself, directly or
    /// through others.
    pub fn check_stages(&self) -> Result<(), StageError> {
        let count = self.stages.len();
        let mut done = vec![false; count];
        // Each pass runs at least one stage that is left, unless there is a cycle.
        for _ in 0..count {
            for (index, stage) in self.stages.iter().enumerate() {
                if let Some(missing) = stage.depends_on.iter().find(|other| **other >= count) {
                    return Err(StageError::Missing { stage: index, missing: *missing });
                }
                done[index] = stage.depends_on.iter().all(|other| done[*other]);
            }
        }
        match done.iter().position(|is_done| !is_done) {
            Some(stage) => Err(StageError::Cycle { stage }),
            None => Ok(()),
        }
    }

    /// Returns the stages on which no other stage depends. Their results are the input of the
    /// upstream that answers.
    pub fn final_stages(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.stages.len())
            .filter(|index| !self.stages.iter().any(|stage| stage.depends_on.contains(index)))
    }
}
