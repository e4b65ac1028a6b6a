//! Live gateways, and the choice of the one that forms the batches for a pool of upstreams.
//!
//! Load pattern: many gateways with little traffic each share few upstreams. If each gateway filled
//! its own batches, every call would carry few pieces and still have its fixed cost. So one gateway
//! of a region forms the batches for a service, and the others hand their pieces over to it. It is
//! chosen by rendezvous hashing among the live gateways. Gateways may disagree for a while, so that
//! two of them form batches. That only costs time, because any piece may be computed twice.

use std::collections;
use std::net;
use std::time;

use crate::crash_report;
use crate::id;
use crate::store_era;

/// Time for which a gateway that did not answer is not chosen.
const SUSPECT_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Time that gateways have to announce themselves again after the store was restored.
const REANNOUNCE_TIME: time::Duration = time::Duration::from_secs(2);

/// A gateway as it registers itself.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Peer {
    /// Instance id of the gateway.
    pub instance: id::InstanceId,
    /// Address at which it serves other gateways.
    pub address: net::SocketAddr,
    /// Failure domain of the gateway.
    pub domain: id::DomainId,
    /// Share of the work that it should get, relative to other gateways.
    pub weight: u32,
}

/// What the store lists about gateways.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Listing {
    /// Gateways that are alive.
    pub peers: Vec<Peer>,
    /// Latest reports about crashes, also of gateways that are not alive any more.
    pub reports: Vec<crash_report::GatewayReport>,
    /// Latest era of the store that a gateway has found settled; `None` if none ever was.
    pub settled_era: Option<store_era::Era>,
}

impl From<Vec<Peer>> for Listing {
    fn from(peers: Vec<Peer>) -> Self {
        Self { peers, reports: Vec::new(), settled_era: None }
    }
}

/// Identifies a pool: all upstreams of one service in one region.
#[derive(Clone, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{service}@{region}")]
pub struct PoolId {
    /// Service of the pool.
    pub service: id::ServiceId,
    /// Region of the pool.
    pub region: id::RegionId,
}

impl PoolId {
    /// Returns the seed of the rendezvous hash that orders the gateways for the pool.
    pub fn seed(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(self.to_string().as_bytes())
    }
}

/// Gateways that are alive according to the store.
#[derive(Debug, Default)]
pub struct Roster {
    peers: collections::BTreeMap<id::InstanceId, Peer>,
    /// Gateways that did not answer, with the time until which they are not chosen.
    suspects: collections::BTreeMap<id::InstanceId, time::Duration>,
    /// Time until which gateways stay that are missing from the list.
    kept_until: time::Duration,
}

impl Roster {
    /// Records that the store was restored from an older copy, which may lack announcements.
    pub fn record_restore(&mut self, now: time::Duration) {
        self.kept_until = now + REANNOUNCE_TIME;
    }

    /// Replaces the list of live gateways. Returns those that are new and those that are gone.
    pub fn update(
        &mut self,
        now: time::Duration,
        peers: Vec<Peer>,
    ) -> (Vec<id::InstanceId>, Vec<id::InstanceId>) {
        let mut peers: collections::BTreeMap<_, _> =
            peers.into_iter().map(|peer| (peer.instance.clone(), peer)).collect();
        if now < self.kept_until {
            for (name, peer) in &self.peers {
                peers.entry(name.clone()).or_insert_with(|| peer.clone());
            }
        }
        let joined = peers.keys().filter(|name| !self.peers.contains_key(*name)).cloned().collect();
        let left = self.peers.keys().filter(|name| !peers.contains_key(*name)).cloned().collect();
        self.suspects.retain(|name, _| peers.contains_key(name));
        self.peers = peers;
        (joined, left)
    }

    /// Returns the live gateways.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the number of live gateways.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no gateway is alive.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns a gateway by its instance id.
    pub fn get(&self, instance: &id::InstanceId) -> Option<&Peer> {
        self.peers.get(instance)
    }

    /// Excludes a gateway that did not answer from the choice for a while.
    pub fn mark_suspect(&mut self, now: time::Duration, instance: &id::InstanceId) {
        self.suspects.insert(instance.clone(), now + SUSPECT_TIME);
    }

    /// Returns the gateway that is responsible for a prompt part, or `None` if none is alive.
    pub fn part_owner(&self, part: u64) -> Option<&id::InstanceId> {
        let score = |peer: &Peer| rendezvous_score(peer, part);
        let owner = self.peers.values().max_by(|a, b| score(a).total_cmp(&score(b)));
        owner.map(|peer| &peer.instance)
    }

    /// Returns the gateway that forms the batches for a pool, or `None` if the region has no live
    /// one.
    pub fn batcher(
        &self,
        now: time::Duration,
        pool: &PoolId,
        regions: &collections::BTreeMap<id::DomainId, id::RegionId>,
    ) -> Option<&Peer> {
        let seed = pool.seed();
        self.peers
            .values()
            .filter(|peer| regions.get(&peer.domain) == Some(&pool.region))
            .filter(|peer| self.suspects.get(&peer.instance).is_none_or(|until| now >= *until))
            .max_by(|a, b| rendezvous_score(a, seed).total_cmp(&rendezvous_score(b, seed)))
    }
}

/// Returns the weighted rendezvous hash of a gateway. The gateway with the highest score is chosen,
/// and the share of pools that a gateway gets is proportional to its weight.
pub fn rendezvous_score(peer: &Peer, seed: u64) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(peer.instance.as_str().as_bytes(), seed);
    let fraction = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    f64::from(peer.weight.max(1)) / -(fraction.max(f64::MIN_POSITIVE)).ln()
}
