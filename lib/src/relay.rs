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
//!
//! In a large fleet the lists are long and change a little at a time, so a response contains only
//! what changed since the reads that the requester has.

use std::cmp;
use std::collections;
use std::sync;
use std::time;

use crate::clock;
use crate::fleet;
use crate::id;
use crate::roster;
use crate::store_era;
use crate::table;
use crate::unit;

/// Version of the messages; a gateway refuses other versions.
pub const VERSION: u16 = 8;
/// Path for messages of type `ReadsRequest`.
pub const READS_PATH: &str = "/relay/reads";
/// Age from which reads are not passed on. By then the gateway cannot reach the store, and
/// another one may have newer reads.
pub const MAX_AGE: time::Duration = time::Duration::from_millis(1_900);
/// Time for which a gateway that had no recent reads is not asked.
const AVOID_TIME: time::Duration = time::Duration::from_secs(3);
/// Number of earlier lists of upstreams from which a response can state the changes.
const MAX_CHANGES: usize = 8;
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
    /// Digest of the listing of gateways that the requester has; 0 if it has none.
    #[serde(rename = "gateways")]
    pub gateways_digest: u64,
}

/// Differences between two lists of upstreams.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct FleetChanges {
    /// Digest of the list that they apply to.
    pub base: u64,
    /// Entries that are new or differ.
    pub changed: Vec<fleet::ListEntry>,
    /// Upstreams that are not listed any more.
    pub removed: Vec<id::InstanceId>,
}

/// Latest reads of a gateway.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct ReadsResponse {
    /// Version of the message format.
    pub version: u16,
    /// Age of the oldest of the reads, rounded up.
    pub age_ms: unit::Millis,
    /// Era of the store that the reads belong to.
    pub era: store_era::Era,
    /// Routing table; `None` if the requester has this version.
    pub table: Option<sync::Arc<table::Table>>,
    /// Revision at which the store had the table.
    pub revision: u64,
    /// Age of the latest read by which the table was certainly the newest one, rounded up; `None`
    /// if there was none.
    pub confirmed_ms: Option<unit::Millis>,
    /// List of upstreams; `None` if the requester has the list with this digest or gets `changes`.
    pub fleet: Option<Vec<fleet::ListEntry>>,
    /// Digest of the list of upstreams.
    #[serde(rename = "digest")]
    pub fleet_digest: u64,
    /// Differences of the list of upstreams from the one that the requester has.
    pub changes: Option<FleetChanges>,
    /// Listing of gateways; `None` if the requester has the one with this digest.
    pub gateways: Option<roster::Listing>,
    /// Digest of the listing of gateways.
    pub gateways_digest: u64,
    /// Evacuated failure domains; `None` if the gateway does not follow them.
    #[serde(default)]
    pub evacuated: Option<collections::BTreeSet<id::DomainId>>,
}

/// Newest routing table that is known, and how it was read.
#[derive(Clone, Debug, Default)]
pub struct KnownTable {
    /// The table.
    pub table: sync::Arc<table::Table>,
    /// Revision at which the store had it.
    pub revision: u64,
    /// When the latest read was sent by which it was certainly the newest one; `None` if there was
    /// none.
    pub confirmed: Option<clock::Now>,
}

impl KnownTable {
    /// Returns the version of the table with the revision at which the store had it.
    pub fn stored_version(&self) -> store_era::StoredVersion {
        store_era::StoredVersion { version: self.table.version, revision: self.revision }
    }

    /// Returns the newer one of two tables, with the latest read that confirmed it.
    fn newer(self, other: &Self) -> Self {
        match self.table.version.cmp(&other.table.version) {
            cmp::Ordering::Less => other.clone(),
            cmp::Ordering::Equal if self.confirmed_at() < other.confirmed_at() => {
                Self { confirmed: other.confirmed, ..self }
            }
            _ => self,
        }
    }

    fn confirmed_at(&self) -> Option<time::Duration> {
        self.confirmed.map(|confirmed| confirmed.mono)
    }
}

/// Reads of the store that were sent at the same time.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// When the first of the reads was sent.
    pub sent: clock::Now,
    /// Era of the store that the reads belong to.
    pub era: store_era::Era,
    /// Routing table.
    pub table: KnownTable,
    /// List of upstreams, ordered by instance.
    pub fleet: sync::Arc<Vec<fleet::ListEntry>>,
    /// Listing of gateways.
    pub gateways: roster::Listing,
    /// Evacuated failure domains, as of these reads or later ones; `None` if they are not followed.
    pub evacuated: Option<collections::BTreeSet<id::DomainId>>,
    fleet_digest: u64,
    gateways_digest: u64,
    /// Changes between the latest lists of upstreams, the oldest ones first. Each applies to the
    /// list that the one before it results in, and the last one results in `fleet`.
    changes: collections::VecDeque<FleetChanges>,
}

impl Snapshot {
    /// Makes a snapshot of reads from the store.
    pub fn new(
        sent: clock::Now,
        era: store_era::Era,
        table: KnownTable,
        mut fleet: Vec<fleet::ListEntry>,
        gateways: roster::Listing,
    ) -> Self {
        fleet.sort_by(|a, b| a.instance.cmp(&b.instance));
        Self {
            sent,
            era,
            table,
            fleet_digest: digest(&fleet),
            fleet: sync::Arc::new(fleet),
            gateways_digest: digest(&gateways),
            gateways,
            evacuated: None,
            changes: collections::VecDeque::new(),
        }
    }

    /// Records what changed since an earlier snapshot, so that responses can state it, and keeps what of
    /// the earlier one is newer: while the store does not answer, another gateway may pass on reads that
    /// were sent before those at hand.
    #[must_use]
    pub fn following(mut self, earlier: Option<&Self>) -> Self {
        let Some(earlier) = earlier else { return self };
        self.table = self.table.newer(&earlier.table);
        if self.era == earlier.era && self.sent.mono < earlier.sent.mono {
            return Self { table: self.table, ..earlier.clone() };
        }
        self.changes.clone_from(&earlier.changes);
        if earlier.fleet_digest != self.fleet_digest {
            self.changes.push_back(find_changes(earlier, &self.fleet));
        }
        while self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        self
    }

    /// Returns the request to send, given the snapshot that is available here.
    pub fn to_request(available: Option<&Self>) -> ReadsRequest {
        let empty = ReadsRequest { version: VERSION, ..ReadsRequest::default() };
        available.map_or(empty, |reads| ReadsRequest {
            version: VERSION,
            table_version: reads.table.table.version,
            fleet_digest: reads.fleet_digest,
            gateways_digest: reads.gateways_digest,
        })
    }

    /// Returns the response to a request, or `None` if the reads are too old to be passed on.
    pub fn to_response(&self, now: clock::Now, request: ReadsRequest) -> Option<ReadsResponse> {
        let age = now.elapsed_max(self.sent);
        if age > MAX_AGE {
            return None;
        }
        let is_same_fleet = request.fleet_digest == self.fleet_digest;
        let changes = if is_same_fleet { None } else { self.changes_since(request.fleet_digest) };
        let needs_fleet = !is_same_fleet && changes.is_none();
        Some(ReadsResponse {
            version: VERSION,
            age_ms: rounded_age(now, self.sent),
            era: self.era,
            table: (request.table_version != self.table.table.version)
                .then(|| sync::Arc::clone(&self.table.table)),
            revision: self.table.revision,
            confirmed_ms: self.table.confirmed.map(|confirmed| rounded_age(now, confirmed)),
            fleet: needs_fleet.then(|| self.fleet.to_vec()),
            fleet_digest: self.fleet_digest,
            changes,
            gateways: (request.gateways_digest != self.gateways_digest)
                .then(|| self.gateways.clone()),
            gateways_digest: self.gateways_digest,
            evacuated: self.evacuated.clone(),
        })
    }

    /// Returns the changes since the list with the given digest; `None` if that one is not known
    /// any more or the changes are as long as the list.
    fn changes_since(&self, base: u64) -> Option<FleetChanges> {
        let first = self.changes.iter().position(|changes| changes.base == base)?;
        let mut changed = collections::BTreeMap::new();
        let mut removed = collections::BTreeSet::new();
        for changes in self.changes.iter().skip(first) {
            for entry in &changes.changed {
                removed.remove(&entry.instance);
                changed.insert(entry.instance.clone(), entry.clone());
            }
            for instance in &changes.removed {
                changed.remove(instance);
                removed.insert(instance.clone());
            }
        }
        (changed.len() + removed.len() < self.fleet.len()).then(|| FleetChanges {
            base,
            changed: changed.into_values().collect(),
            removed: removed.into_iter().collect(),
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
        let confirmed = response.confirmed_ms.and_then(|age| before(sent, age));
        let sent = before(sent, response.age_ms)?;
        let table = response
            .table
            .or_else(|| available.map(|available| sync::Arc::clone(&available.table.table)))?;
        let table = KnownTable { table, revision: response.revision, confirmed };
        let fleet = match (response.fleet, response.changes) {
            (Some(fleet), _) => fleet,
            (None, Some(changes)) => apply_changes(available?, changes)?,
            (None, None) => available?.fleet.to_vec(),
        };
        let gateways = response.gateways.or_else(|| Some(available?.gateways.clone()))?;
        let mut reads = Self::new(sent, response.era, table, fleet, gateways);
        reads.evacuated = response.evacuated;
        // Another digest means that the lists differ from those of the gateway that responded.
        let is_complete = reads.fleet_digest == response.fleet_digest
            && reads.gateways_digest == response.gateways_digest;
        is_complete.then(|| reads.following(available))
    }
}

/// Returns the age of a read, rounded up.
fn rounded_age(now: clock::Now, sent: clock::Now) -> unit::Millis {
    unit::Millis(unit::Millis::from(now.elapsed_max(sent)).0 + 1)
}

/// Returns the time that was `age` before; `None` if one of the clocks had not begun by then.
fn before(now: clock::Now, age: unit::Millis) -> Option<clock::Now> {
    let age = age.duration();
    Some(clock::Now { mono: now.mono.checked_sub(age)?, wall: now.wall.checked_sub(age)? })
}

/// Returns the changes from an earlier list of upstreams to a later one.
fn find_changes(earlier: &Snapshot, later: &[fleet::ListEntry]) -> FleetChanges {
    let mut left: collections::BTreeMap<_, _> =
        earlier.fleet.iter().map(|entry| (&entry.instance, entry)).collect();
    let changed = later
        .iter()
        .filter(|entry| left.remove(&entry.instance).is_none_or(|old| old != *entry))
        .cloned()
        .collect();
    FleetChanges {
        base: earlier.fleet_digest,
        changed,
        removed: left.into_keys().cloned().collect(),
    }
}

/// Applies changes to a list of upstreams; `None` if they refer to another list.
fn apply_changes(available: &Snapshot, changes: FleetChanges) -> Option<Vec<fleet::ListEntry>> {
    if changes.base != available.fleet_digest {
        return None;
    }
    let mut entries: collections::BTreeMap<_, _> =
        available.fleet.iter().map(|entry| (entry.instance.clone(), entry.clone())).collect();
    for instance in &changes.removed {
        entries.remove(instance);
    }
    entries.extend(changes.changed.into_iter().map(|entry| (entry.instance.clone(), entry)));
    Some(entries.into_values().collect())
}

/// Returns a digest of a list, to find out whether two gateways have the same one.
fn digest(list: &impl serde::Serialize) -> u64 {
    let text = rmp_serde::to_vec(list).expect("lists of instances can be encoded");
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
