//! Reads of the store that gateways pass on to each other.
//!
//! Load pattern: each gateway needs the same few reads every second. The store limits and charges
//! the reads of all gateways together, and at times it serves only some gateways. So one gateway of
//! each failure domain reads the store, and the others ask it. It is chosen by rendezvous hashing.
//! A gateway that cannot reach the store asks any other one.
//!
//! Reads that are passed on keep their age. The gateway that asks counts the age from the time at
//! which it sent its request. So a read never appears younger than it is, however long the answer
//! takes and even if one of the processes is suspended.

use std::collections;
use std::sync;
use std::time;

use crate::clock;
use crate::fleet;
use crate::id;
use crate::roster;
use crate::table;
use crate::unit;

/// Version of the messages; a gateway refuses other versions.
pub const VERSION: u16 = 1;
/// Path for messages of type `ReadsRequest`.
pub const READS_PATH: &str = "/relay/reads";
/// Age from which reads are not passed on. By then the gateway cannot reach the store, and
/// another one may have newer reads.
pub const MAX_AGE: time::Duration = time::Duration::from_millis(1_900);
/// Time for which a gateway that had no recent reads is not asked.
const AVOID_TIME: time::Duration = time::Duration::from_secs(3);
/// Seed of the rendezvous hash that chooses the reader.
const READER_SEED: u64 = 0x7265_6164;

/// Request for the latest reads of a gateway.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ReadsRequest {
    /// Version of the message format.
    pub version: u16,
    /// Version of the table that the requester has; 0 if it has none.
    #[serde(rename = "table")]
    pub table_version: table::Version,
    /// Digest of the list of upstreams that the requester has; 0 if it has none.
    #[serde(rename = "fleet")]
    pub fleet_digest: u64,
}

/// Latest reads of a gateway.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct ReadsResponse {
    /// Version of the message format.
    pub version: u16,
    /// Age of the oldest of the reads, rounded up.
    pub age_ms: unit::Millis,
    /// Routing table; `None` if the requester has this version.
    pub table: Option<sync::Arc<table::Table>>,
    /// List of upstreams; `None` if the requester has the list with this digest.
    pub fleet: Option<Vec<fleet::ListEntry>>,
    /// Digest of the list of upstreams.
    #[serde(rename = "digest")]
    pub fleet_digest: u64,
    /// Gateways that are alive.
    pub peers: Vec<roster::Peer>,
}

/// Reads of the store that were sent at the same time.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// When the first of the reads was sent.
    pub sent: clock::Now,
    /// Routing table.
    pub table: sync::Arc<table::Table>,
    /// List of upstreams.
    pub fleet: sync::Arc<Vec<fleet::ListEntry>>,
    /// Gateways that are alive.
    pub peers: Vec<roster::Peer>,
    fleet_digest: u64,
}

impl Snapshot {
    /// Makes a snapshot of reads from the store.
    pub fn new(
        sent: clock::Now,
        table: sync::Arc<table::Table>,
        fleet: Vec<fleet::ListEntry>,
        peers: Vec<roster::Peer>,
    ) -> Self {
        let fleet_digest = fleet_digest(&fleet);
        Self { sent, table, fleet: sync::Arc::new(fleet), peers, fleet_digest }
    }

    /// Returns the request to send, given the snapshot that is available here.
    pub fn to_request(available: Option<&Self>) -> ReadsRequest {
        let versions = available.map(|reads| (reads.table.version, reads.fleet_digest));
        let (table_version, fleet_digest) = versions.unwrap_or_default();
        ReadsRequest { version: VERSION, table_version, fleet_digest }
    }

    /// Returns the response to a request, or `None` if the reads are too old to be passed on.
    pub fn to_response(&self, now: clock::Now, request: ReadsRequest) -> Option<ReadsResponse> {
        let age = now.elapsed_max(self.sent);
        if age > MAX_AGE {
            return None;
        }
        Some(ReadsResponse {
            version: VERSION,
            age_ms: unit::Millis(unit::Millis::from(age).0 + 1),
            table: (request.table_version != self.table.version)
                .then(|| sync::Arc::clone(&self.table)),
            fleet: (request.fleet_digest != self.fleet_digest).then(|| self.fleet.to_vec()),
            fleet_digest: self.fleet_digest,
            peers: self.peers.clone(),
        })
    }

    /// Makes a snapshot from the response to a request that was sent at `sent` with `available` at
    /// hand. Returns `None` if the response refers to a table or list that is not available, or if
    /// its reads were sent before the origin of this process's monotonic clock or the Unix epoch.
    pub fn from_response(
        sent: clock::Now,
        response: ReadsResponse,
        available: Option<&Self>,
    ) -> Option<Self> {
        let age = response.age_ms.duration();
        let sent =
            clock::Now { mono: sent.mono.checked_sub(age)?, wall: sent.wall.checked_sub(age)? };
        let table = response
            .table
            .or_else(|| available.map(|available| sync::Arc::clone(&available.table)))?;
        let fleet = match response.fleet {
            Some(fleet) => sync::Arc::new(fleet),
            None => available.map(|available| sync::Arc::clone(&available.fleet))?,
        };
        Some(Self {
            sent,
            table,
            fleet,
            peers: response.peers,
            fleet_digest: response.fleet_digest,
        })
    }
}

/// Returns a digest of a list of upstreams, to find out whether two gateways have the same list.
fn fleet_digest(fleet: &[fleet::ListEntry]) -> u64 {
    let text = rmp_serde::to_vec(fleet).expect("a list of upstreams can be encoded");
    xxhash_rust::xxh3::xxh3_64(&text)
}

/// Chooses the gateway that reads the store for this one.
#[derive(Debug)]
pub struct ReaderSelector {
    instance: id::InstanceId,
    domain: id::DomainId,
    /// Gateways that had no recent reads, with the time until which they are not asked.
    avoided: collections::BTreeMap<id::InstanceId, time::Duration>,
}

impl ReaderSelector {
    /// Makes a selector for a gateway in a failure domain.
    pub fn new(instance: id::InstanceId, domain: id::DomainId) -> Self {
        Self { instance, domain, avoided: collections::BTreeMap::new() }
    }

    /// Returns the gateway to ask for reads, or `None` if this gateway reads the store itself.
    pub fn reader<'a>(
        &self,
        now: time::Duration,
        peers: &'a [roster::Peer],
    ) -> Option<&'a roster::Peer> {
        peers
            .iter()
            .filter(|peer| peer.domain == self.domain && !self.is_avoided(now, peer))
            .max_by(|a, b| {
                roster::rendezvous_score(a, READER_SEED)
                    .total_cmp(&roster::rendezvous_score(b, READER_SEED))
            })
            .filter(|peer| peer.instance != self.instance)
    }

    /// Returns another gateway to ask if neither the reader nor the store answers. `draw` is a
    /// random number from 0 up to 1, exclusively.
    pub fn fallback<'a>(
        &self,
        now: time::Duration,
        peers: &'a [roster::Peer],
        draw: f64,
    ) -> Option<&'a roster::Peer> {
        let others: Vec<_> = peers
            .iter()
            .filter(|peer| peer.instance != self.instance && !self.is_avoided(now, peer))
            .collect();
        let index = (draw * others.len() as f64) as usize;
        others.get(index).copied()
    }

    /// Excludes a gateway that had no recent reads from the choice for a while.
    pub fn avoid(&mut self, now: time::Duration, peer: &id::InstanceId) {
        self.avoided.retain(|_, until| *until > now);
        self.avoided.insert(peer.clone(), now + AVOID_TIME);
    }

    fn is_avoided(&self, now: time::Duration, peer: &roster::Peer) -> bool {
        self.avoided.get(&peer.instance).is_some_and(|until| *until > now)
    }
}
