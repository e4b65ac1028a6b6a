//! Reads of the store that gateways pass on to each other.
//!
//! Load pattern: each gateway needs the same few reads every second, the store allows and charges
//! for so many from all of them together, and at times it serves some gateways only. So one gateway
//! of a failure domain reads, chosen by rendezvous hash, and the others ask it. A gateway that can't
//! reach the store asks any other one.
//!
//! What is passed on keeps its age. The asker counts it from the moment at which it *asked*, so that
//! a read never looks younger than it is, however long the answer takes and whoever stands still.

use std::collections;
use std::sync;
use std::time;

use crate::clock;
use crate::fleet;
use crate::id;
use crate::roster;
use crate::table;
use crate::unit;

/// Version of the messages; a gateway refuses others.
pub const VERSION: u16 = 1;
/// Path under which gateways ask for reads.
pub const READS_PATH: &str = "/relay/reads";
/// Age from which a read is too old to be passed on: by then the reader has lost the store, and the
/// asker does better elsewhere.
pub const MAX_AGE: time::Duration = time::Duration::from_millis(1_900);
/// Time for which a gateway that gave no fresh read is not asked.
const AVOID_TIME: time::Duration = time::Duration::from_secs(3);
/// Name that the hash of readers is seeded with.
const READER_SEED: u64 = 0x7265_6164;

/// Asks a gateway for its newest reads.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ReadsRequest {
    /// Version of the message.
    pub version: u16,
    /// Version of the table that the asker has.
    #[serde(rename = "table")]
    pub table_version: table::Version,
    /// Digest of the list of upstreams that the asker has.
    #[serde(rename = "fleet")]
    pub fleet_digest: u64,
}

/// The newest reads of a gateway.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct ReadsResponse {
    /// Version of the message.
    pub version: u16,
    /// Age of the oldest of the reads, in milliseconds, rounded up.
    pub age_ms: unit::Millis,
    /// The table, unless the asker has it.
    pub table: Option<sync::Arc<table::Table>>,
    /// The list of upstreams, unless the asker has it.
    pub fleet: Option<Vec<fleet::ListEntry>>,
    /// Digest of that list.
    #[serde(rename = "digest")]
    pub fleet_digest: u64,
    /// The gateways that are alive.
    pub peers: Vec<roster::Peer>,
}

/// Reads that belong together.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// When the first of them was sent.
    pub sent: clock::Now,
    /// The table.
    pub table: sync::Arc<table::Table>,
    /// The list of upstreams.
    pub fleet: sync::Arc<Vec<fleet::ListEntry>>,
    /// The gateways that are alive.
    pub peers: Vec<roster::Peer>,
    fleet_digest: u64,
}

impl Snapshot {
    /// Makes reads that came from the store.
    pub fn new(
        asked: clock::Now,
        table: sync::Arc<table::Table>,
        fleet: Vec<fleet::ListEntry>,
        peers: Vec<roster::Peer>,
    ) -> Self {
        let digest = fleet_digest(&fleet);
        Self { sent: asked, table, fleet: sync::Arc::new(fleet), peers, fleet_digest: digest }
    }

    /// Returns what to ask with these reads at hand.
    pub fn to_request(reads: Option<&Self>) -> ReadsRequest {
        let known = reads.map(|reads| (reads.table.version, reads.fleet_digest));
        let (table, fleet) = known.unwrap_or_default();
        ReadsRequest { version: VERSION, table_version: table, fleet_digest: fleet }
    }

    /// Returns what to tell a gateway that asks; nothing if it is too old.
    pub fn to_response(&self, now: clock::Now, ask: ReadsRequest) -> Option<ReadsResponse> {
        let age = now.elapsed_max(self.sent);
        if age > MAX_AGE {
            return None;
        }
        Some(ReadsResponse {
            version: VERSION,
            age_ms: unit::Millis(unit::Millis::from(age).0 + 1),
            table: (ask.table_version != self.table.version).then(|| sync::Arc::clone(&self.table)),
            fleet: (ask.fleet_digest != self.fleet_digest).then(|| self.fleet.to_vec()),
            fleet_digest: self.fleet_digest,
            peers: self.peers.clone(),
        })
    }

    /// Takes in what a gateway told when it was asked at `asked` with `known` at hand; nothing if it
    /// refers to reads that are not at hand, or that are older than this process.
    pub fn from_response(
        asked: clock::Now,
        told: ReadsResponse,
        known: Option<&Self>,
    ) -> Option<Self> {
        let age = told.age_ms.duration();
        let asked =
            clock::Now { mono: asked.mono.checked_sub(age)?, wall: asked.wall.checked_sub(age)? };
        let table = told.table.or_else(|| known.map(|known| sync::Arc::clone(&known.table)))?;
        let fleet = match told.fleet {
            Some(fleet) => sync::Arc::new(fleet),
            None => known.map(|known| sync::Arc::clone(&known.fleet))?,
        };
        Some(Self { sent: asked, table, fleet, peers: told.peers, fleet_digest: told.fleet_digest })
    }
}

/// Returns a digest of a list of upstreams.
fn fleet_digest(fleet: &[fleet::ListEntry]) -> u64 {
    let text = rmp_serde::to_vec(fleet).expect("a list has a plain form");
    xxhash_rust::xxh3::xxh3_64(&text)
}

/// Who reads the store for whom.
#[derive(Debug)]
pub struct ReaderSelector {
    instance: id::InstanceId,
    domain: id::DomainId,
    avoided: collections::BTreeMap<id::InstanceId, time::Duration>,
}

impl ReaderSelector {
    /// Makes the choice for a gateway.
    pub fn new(me: id::InstanceId, domain: id::DomainId) -> Self {
        Self { instance: me, domain, avoided: collections::BTreeMap::new() }
    }

    /// Returns the gateway that reads for this one; nothing if this one reads itself.
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

    /// Returns another gateway to ask when neither the store nor the reader helps; `draw` is below 1.
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

    /// Leaves out for a while a gateway that gave no fresh read.
    pub fn avoid(&mut self, now: time::Duration, peer: &id::InstanceId) {
        self.avoided.retain(|_, until| *until > now);
        self.avoided.insert(peer.clone(), now + AVOID_TIME);
    }

    fn is_avoided(&self, now: time::Duration, peer: &roster::Peer) -> bool {
        self.avoided.get(&peer.instance).is_some_and(|until| *until > now)
    }
}
