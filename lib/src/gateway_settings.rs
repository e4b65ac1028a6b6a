//! Settings of one gateway process.

use std::collections;
use std::net;

use crate::cold;
use crate::id;
use crate::shedding;
use crate::unit;

/// Settings of one gateway process.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Settings {
    /// Name of the instance, unique among gateways.
    pub instance: id::InstanceId,
    /// Address on which the gateway listens for callers.
    pub listen: net::SocketAddr,
    /// Address on which it answers the load balancer's health checks.
    pub probe_listen: net::SocketAddr,
    /// Address on which it serves metrics under `/metrics`.
    pub metrics_listen: net::SocketAddr,
    /// Address on which it listens for other gateways.
    pub peer_listen: net::SocketAddr,
    /// Failure domain of the instance.
    pub domain: id::DomainId,
    /// Region of each failure domain of the platform.
    pub regions: collections::BTreeMap<id::DomainId, id::RegionId>,
    /// Address of the platform's key-value store.
    pub store: net::SocketAddr,
    /// Time after which a revoked credential must no longer be accepted. If `None`, the credentials
    /// that were read last stay in use for as long as the store is unavailable.
    #[serde(default)]
    pub revocation_ms: Option<unit::Millis>,
    /// Factor by which the calls to a cold upstream may exceed the rate of its service in any second.
    #[serde(default = "default_cold_excess")]
    pub cold_excess: f64,
    /// Number of calls to a cold upstream in any second on top of that.
    #[serde(default)]
    pub cold_slack: f64,
    /// Time after which nothing may be sent to a failure domain that operators evacuate. If `None`,
    /// evacuations are not followed.
    #[serde(default)]
    pub evacuation_ms: Option<unit::Millis>,
    /// Retries allowed, as a share of the requests to a service.
    #[serde(default = "default_retry_share")]
    pub retry_share: unit::Share,
    /// Interval between two reads of the store.
    #[serde(default = "default_poll")]
    pub poll_ms: unit::Millis,
    /// Share of the common work of gateways that this one does, relative to the weights of others:
    /// forming batches and reading the store. If `None`, it follows from [`Self::capacity`].
    #[serde(default)]
    pub weight: Option<u32>,
    /// What the instance gives the process.
    #[serde(default)]
    pub capacity: Capacity,
    /// On a stop, time for which new connections are still accepted, until the balancer has removed
    /// the gateway.
    #[serde(default = "default_notice")]
    pub notice_ms: unit::Millis,
    /// Longest time that a stop waits for requests in progress.
    #[serde(default = "default_stop")]
    pub stop_ms: unit::Millis,
    /// Rule by which requests are delayed or turned away under overload.
    #[serde(default)]
    pub overload: shedding::Overload,
}

impl Settings {
    /// Returns the share of the common work of gateways that this one does.
    pub fn effective_weight(&self) -> u32 {
        self.weight.unwrap_or_else(|| self.capacity.weight())
    }
}

/// What an instance gives the process that runs on it.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Capacity {
    /// Part of a processor core.
    pub cpu_share: f64,
    /// Rate of the network link, in megabits per second.
    pub link_mbps: f64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Number of file descriptors that the process may open.
    pub max_files: usize,
}

impl Default for Capacity {
    fn default() -> Self {
        Self { cpu_share: 1.0, link_mbps: 1_000.0, memory_mb: 1_024, max_files: 8_192 }
    }
}

/// Weight of a gateway with a whole core.
const CORE_WEIGHT: f64 = 1_000.0;
/// Link rate from which the processor, not the link, limits the common work.
const SUFFICIENT_LINK_MBPS: f64 = 100.0;

impl Capacity {
    /// Returns the weight of a gateway with this capacity. A slow link delays the reads that other
    /// gateways wait for, so it reduces the weight as a slow processor does.
    fn weight(&self) -> u32 {
        let link_share = (self.link_mbps / SUFFICIENT_LINK_MBPS).min(1.0);
        (CORE_WEIGHT * self.cpu_share * link_share).clamp(1.0, f64::from(u32::MAX)) as u32
    }
}

fn default_cold_excess() -> f64 {
    cold::Allowance::default().excess
}

fn default_retry_share() -> unit::Share {
    unit::Share(0.1)
}

fn default_poll() -> unit::Millis {
    unit::Millis(900)
}

fn default_notice() -> unit::Millis {
    unit::Millis(3_500)
}

fn default_stop() -> unit::Millis {
    unit::Millis(7_600)
}
