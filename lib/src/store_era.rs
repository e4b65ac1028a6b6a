//! Eras of the platform's store. The store begins a new one whenever it comes back from an older
//! copy of its contents: revisions and leases since then are gone and are given out again.

use std::collections;
use std::time;

use crate::table;

/// Number of an era; each is one higher than the one before.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    derive_more::Display,
    derive_more::FromStr,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

/// Time that operators have to write again what a restore has lost, from the first read of the era on.
pub const REWRITE_TIME: time::Duration = time::Duration::from_secs(2);

/// How the era of a read relates to those before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Relation {
    /// It is the latest era, or the first one.
    Latest,
    /// It is a new one: the store was restored since the last read.
    Restored,
    /// It is an earlier one: the store was restored since the read.
    Outdated,
}

/// Follows the eras of reads, and decides when a configuration is certainly the newest one.
///
/// The copy that a restore brings back may lack configurations whose acceptance was acknowledged,
/// among them revocations. Operators write these again. Until then a read of it proves
/// nothing. An era is settled once they have certainly done so or have had the time to.
#[derive(Debug, Default)]
pub struct Tracker {
    /// Latest era; `None` before the first read.
    era: Option<Era>,
    /// When the first read of the latest era was recorded.
    since: time::Duration,
    /// Whether the start of the latest era was noticed.
    is_restored: bool,
    is_settled: bool,
    /// Newest configuration that any era has shown.
    version: table::Version,
    /// Revisions that it had in earlier eras.
    earlier_revisions: collections::BTreeSet<u64>,
    /// Revisions that it had in the latest era.
    revisions: collections::BTreeSet<u64>,
    /// Configuration that the latest era showed first.
    first: Option<StoredVersion>,
}

/// Version of a configuration and the revision at which the store has it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoredVersion {
    /// Version of the configuration.
    pub version: table::Version,
    /// Revision of the store.
    pub revision: u64,
}

impl Tracker {
    /// Records the era of a read.
    pub fn enter(&mut self, now: time::Duration, era: Era) -> Relation {
        match self.era {
            Some(latest) if era < latest => return Relation::Outdated,
            Some(latest) if era == latest => return Relation::Latest,
            _ => {}
        }
        self.is_restored = self.era.is_some();
        self.era = Some(era);
        self.since = now;
        self.is_settled = false;
        self.earlier_revisions.append(&mut self.revisions);
        self.first = None;
        if self.is_restored { Relation::Restored } else { Relation::Latest }
    }

    /// Returns whether the latest era is settled.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Records an era that gateways have found settled, as the store states it.
    pub fn record_stated(&mut self, stated: Option<Era>) {
        self.is_settled |= match stated {
            Some(stated) => Some(stated) >= self.era,
            // No gateway has used the store before.
            None => !self.is_restored,
        };
    }

    /// Records a read of the configuration in the latest era. Returns whether it is certainly the
    /// newest one that operators wrote.
    pub fn record_read(&mut self, now: time::Duration, read: StoredVersion) -> bool {
        let first = *self.first.get_or_insert(read);
        let is_newest = self.record_version(read);
        let is_known = read.version == self.version && !self.earlier_revisions.is_empty();
        let is_rewritten = is_known && !self.earlier_revisions.contains(&read.revision);
        let is_written = is_rewritten || read != first;
        self.is_settled |=
            is_newest && is_written || now.saturating_sub(self.since) >= REWRITE_TIME;
        self.is_settled && is_newest
    }

    /// Records a read that another gateway passed on. `is_confirmed` tells whether it was certainly
    /// the newest configuration. Returns the same for this gateway.
    pub fn record_relayed(&mut self, read: StoredVersion, is_confirmed: bool) -> bool {
        self.first.get_or_insert(read);
        let is_newest = self.record_version(read);
        self.is_settled |= is_newest && is_confirmed;
        is_newest && is_confirmed
    }

    /// Returns whether no newer configuration is known.
    fn record_version(&mut self, read: StoredVersion) -> bool {
        if read.version > self.version {
            self.version = read.version;
            self.earlier_revisions.clear();
            self.revisions.clear();
        }
        let is_newest = read.version == self.version;
        if is_newest {
            self.revisions.insert(read.revision);
        }
        is_newest
    }
}
