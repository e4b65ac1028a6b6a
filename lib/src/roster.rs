//! Gateways that are alive, and which of them forms the batches for a pool of upstreams.
//!
//! Load pattern: many gateways with little traffic each share few upstreams. If each filled batches
//! of its own, every call would carry a few pieces and cost its fixed time all the same. So one
//! gateway of a region forms the batches for a service, chosen by rendezvous hash among those that
//! are alive; the others hand their pieces over. Views may differ for a while: then two gateways
//! form batches, which costs time only, because any piece may be made again.

use std::collections;
use std::net;
use std::time;

use crate::id;

/// Time for which a gateway that did not answer is not asked again.
const SUSPECT_TIME: time::Duration = time::Duration::from_millis(1_500);

/// A gateway as it announces itself.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Peer {
    /// The instance.
    pub instance: id::InstanceId,
    /// Address for other gateways.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: id::DomainId,
    /// Its share of work relative to other gateways.
    pub weight: u32,
}

/// All upstreams of one service in one region.
#[derive(Clone, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{service}@{region}")]
pub struct PoolId {
    /// The service.
    pub service: id::ServiceId,
    /// The region.
    pub region: id::RegionId,
}

/// The gateways that are alive.
#[derive(Debug, Default)]
pub struct Roster {
    peers: collections::BTreeMap<id::InstanceId, Peer>,
    suspects: collections::BTreeMap<id::InstanceId, time::Duration>,
}

impl Roster {
    /// Takes in who is alive; returns who came and who went.
    pub fn update(&mut self, peers: Vec<Peer>) -> (Vec<id::InstanceId>, Vec<id::InstanceId>) {
        let peers: collections::BTreeMap<_, _> =
            peers.into_iter().map(|peer| (peer.instance.clone(), peer)).collect();
        let came = peers.keys().filter(|name| !self.peers.contains_key(*name)).cloned().collect();
        let went = self.peers.keys().filter(|name| !peers.contains_key(*name)).cloned().collect();
        self.suspects.retain(|name, _| peers.contains_key(name));
        self.peers = peers;
        (came, went)
    }

    /// Returns the number of gateways that are alive.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no gateway is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns a gateway.
    pub fn get(&self, instance: &id::InstanceId) -> Option<&Peer> {
        self.peers.get(instance)
    }

    /// Leaves a gateway that did not answer out for a while.
    pub fn mark_suspect(&mut self, now: time::Duration, instance: &id::InstanceId) {
        self.suspects.insert(instance.clone(), now + SUSPECT_TIME);
    }

    /// Returns the gateway that forms the batches for a pool.
    pub fn batcher(
        &self,
        now: time::Duration,
        pool: &PoolId,
        regions: &collections::BTreeMap<id::DomainId, id::RegionId>,
    ) -> Option<&Peer> {
        let seed = xxhash_rust::xxh3::xxh3_64(pool.to_string().as_bytes());
        self.peers
            .values()
            .filter(|peer| regions.get(&peer.domain) == Some(&pool.region))
            .filter(|peer| self.suspects.get(&peer.instance).is_none_or(|until| now >= *until))
            .max_by(|a, b| rendezvous_score(a, seed).total_cmp(&rendezvous_score(b, seed)))
    }
}

/// Weighted rendezvous hash: the share of pools that a peer gets follows its weight.
pub fn rendezvous_score(peer: &Peer, seed: u64) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(peer.instance.as_str().as_bytes(), seed);
    let unit = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    f64::from(peer.weight.max(1)) / -(unit.max(f64::MIN_POSITIVE)).ln()
}
