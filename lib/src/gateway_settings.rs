//! Settings of a gateway.

use std::collections;
use std::net;

use crate::id;
use crate::unit;

/// Settings of a gateway.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Settings {
    /// The instance.
    pub instance: id::InstanceId,
    /// Address for callers.
    pub listen: net::SocketAddr,
    /// Address for the balancer's health checks.
    pub probe_listen: net::SocketAddr,
    /// Address under which metrics are served at `/metrics`.
    pub metrics_listen: net::SocketAddr,
    /// Address for other gateways.
    pub peer_listen: net::SocketAddr,
    /// Failure domain of the instance.
    pub domain: id::DomainId,
    /// Region of each failure domain.
    pub regions: collections::BTreeMap<id::DomainId, id::RegionId>,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// Time after which a credential that was taken away must not be acted on, in milliseconds;
    /// without it, what was known last stays in use while the store is away.
    #[serde(default)]
    pub revocation_ms: Option<unit::Millis>,
    /// Repeats allowed as a share of the requests to a service.
    #[serde(default = "default_retries")]
    pub retry_share: unit::Share,
    /// Pause between two reads of the store, in milliseconds.
    #[serde(default = "default_poll")]
    pub poll_ms: unit::Millis,
    /// Share of the batches that this gateway forms, relative to others.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Time for which new connections are still taken after a stop was asked for, in milliseconds.
    #[serde(default = "default_notice")]
    pub notice_ms: unit::Millis,
    /// Time after which a stop no longer waits for requests in progress, in milliseconds.
    #[serde(default = "default_stop")]
    pub stop_ms: unit::Millis,
}

fn default_retries() -> unit::Share {
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
