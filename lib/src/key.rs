//! Idempotency keys: what an owner of a range remembers, and whether a key may run.
//!
//! The ledger of a range lives in the owner's memory and is complete since the owner took over.
//! A key that carries its mint time (a `UUIDv7`) runs only if it was minted after the takeover, so
//! that whatever an earlier owner ran cannot run again, and no ledger has to be recovered. The
//! argument stands in `docs/design/idempotency-keys.md`.

use std::collections;
use std::time;

use crate::auth;
use crate::clock;
use crate::id;
use crate::refusal;
use crate::unit;

/// Number of ranges into which the keys of a service are divided.
///
/// It is fixed: two processes that divided the keys differently could both own the same key.
pub const RANGE_COUNT: u32 = 64;

/// Longest accepted key in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Returns the range that a key falls into.
pub fn range_of(key: &str) -> u32 {
    (xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % u64::from(RANGE_COUNT)) as u32
}

/// Returns the mint time of a key of the form `TEAM/UUIDv7`, since the Unix epoch.
pub fn minted_at(key: &str) -> Option<time::Duration> {
    let (_, own) = key.split_once('/')?;
    let uuid = uuid::Uuid::try_parse(own).ok()?;
    if uuid.get_version() != Some(uuid::Version::SortRand) {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(time::Duration::new(seconds, nanos))
}

/// Bounds that decide whether a key may run.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Largest difference between any two clocks.
    pub skew: unit::Millis,
    /// How long a key is remembered after it was minted.
    pub window: unit::Millis,
}

/// What is remembered of a key.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Record {
    /// SHA-256 of the body that the key was used with.
    pub digest: [u8; auth::DIGEST_BYTES],
    /// Attempt that runs or ran the call.
    pub attempt: id::AttemptId,
    /// When the record may be forgotten, in milliseconds since the Unix epoch.
    #[serde(rename = "forget")]
    pub expires_at: unit::Millis,
}

/// What an owner does with a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The call runs now.
    Run,
    /// The call runs or ran as this attempt; its answer serves.
    Join(id::AttemptId),
    /// The call does not run.
    Refuse(refusal::Kind, refusal::Ran),
}

/// Ledger of one range.
#[derive(Clone, Debug, Default)]
pub struct Book {
    /// When the ledger began to be complete, since the Unix epoch by the first owner's clock; zero
    /// if the range never had another owner.
    pub since: time::Duration,
    records: collections::BTreeMap<String, Record>,
}

impl Book {
    /// Makes an empty ledger that is complete since `since`.
    pub fn new(since: time::Duration) -> Self {
        Self { since, records: collections::BTreeMap::new() }
    }

    /// Returns the number of keys remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the keys with what is remembered of them.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Record)> {
        self.records.iter()
    }

    /// Adds records that another owner collected.
    pub fn extend(&mut self, records: impl IntoIterator<Item = (String, Record)>) {
        self.records.extend(records);
    }

    /// Decides about a key that is already remembered. This is right even after the range was
    /// lost, because no later owner runs a key that was minted before it took over.
    pub fn recall(&self, key: &str, digest: &[u8; auth::DIGEST_BYTES]) -> Option<Verdict> {
        let record = self.records.get(key)?;
        if record.digest == *digest {
            Some(Verdict::Join(record.attempt))
        } else {
            Some(Verdict::Refuse(refusal::Kind::KeyMismatch, refusal::Ran::No))
        }
    }

    /// Decides about a key as the owner of the range.
    pub fn judge(
        &self,
        now: clock::Now,
        key: &str,
        digest: &[u8; auth::DIGEST_BYTES],
        rule: Rule,
    ) -> Verdict {
        if let Some(verdict) = self.recall(key, digest) {
            return verdict;
        }
        let skew = rule.skew.duration();
        let window = rule.window.duration();
        // Two bounds: the former owner accepted keys up to one bound in its future, and its clock
        // may have been one bound ahead of this one.
        let margin = if self.since.is_zero() { time::Duration::ZERO } else { 2 * skew };
        let fresh = match minted_at(key) {
            Some(minted) if minted > now.wall + skew => {
                return Verdict::Refuse(refusal::Kind::KeyFromFuture, refusal::Ran::No);
            }
            Some(minted) if minted + window < now.wall => {
                return Verdict::Refuse(refusal::Kind::KeyExpired, refusal::Ran::Unknown);
            }
            Some(minted) => self.since.is_zero() || minted > self.since + margin,
            None => self.since.is_zero() || now.wall > self.since + window + margin,
        };
        if fresh {
            Verdict::Run
        } else {
            Verdict::Refuse(refusal::Kind::KeyBeforeTakeover, refusal::Ran::Unknown)
        }
    }

    /// Remembers that a key runs as `attempt`.
    pub fn remember(
        &mut self,
        now: clock::Now,
        key: &str,
        digest: [u8; auth::DIGEST_BYTES],
        attempt: id::AttemptId,
        rule: Rule,
    ) {
        // A key is refused as expired from its mint time plus the window on; it must be remembered
        // until every clock agrees that this moment has passed.
        let start = minted_at(key).unwrap_or(now.wall).max(now.wall);
        let forget = (start + rule.window.duration() + 2 * rule.skew.duration()).into();
        self.records.insert(key.to_owned(), Record { digest, attempt, expires_at: forget });
    }

    /// Forgets a key whose call did not run, so that the caller may send it again.
    pub fn release(&mut self, key: &str) {
        self.records.remove(key);
    }

    /// Forgets the keys that are too old to be sent again; returns how many.
    pub fn expire(&mut self, now: clock::Now) -> usize {
        let before = self.records.len();
        self.records.retain(|_, record| record.expires_at.duration() > now.wall);
        before - self.records.len()
    }
}
