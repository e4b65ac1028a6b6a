//! Settings of one gateway process.

use std::collections;
use std::net;

use crate::id;
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
    /// Retries allowed, as a share of the requests to a service.
    #[serde(default = "default_retry_share")]
    pub retry_share: unit::Share,
    /// Interval between two reads of the store.
    #[serde(default = "default_poll")]
    pub poll_ms: unit::Millis,
    /// Share of the batches that this gateway forms, relative to the weights of other gateways.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// On a stop, time for which new connections are still accepted, until the balancer has removed
    /// the gateway.
    #[serde(default = "default_notice")]
    pub notice_ms: unit::Millis,
    /// Longest time that a stop waits for requests in progress.
    #[serde(default = "default_stop")]
    pub stop_ms: unit::Millis,
}

fn default_retry_share() -> unit::Share {
    unit::Share(0.1)
}

fn default_weight() -> u32 {
    100
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
