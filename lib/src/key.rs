//! Idempotency keys: the ledger of a range of keys, and the decision whether a key may run.
//!
//! The ledger of a range is kept in the owner's memory and is complete from the moment at which the
//! owner took over. A key that contains its mint time (a `UUIDv7`) runs only if it was minted after
//! the takeover. A call that an earlier owner ran can therefore not run again, and no ledger has to
//! be recovered after a crash. See `docs/design/idempotency-keys.md` for the argument.

use std::collections;
use std::time;

use crate::auth;
use crate::clock;
use crate::id;
use crate::refusal;
use crate::unit;

/// Number of ranges into which the keys of a service are divided.
///
/// It is a constant because two processes that divided the keys differently could both own the same
/// key.
pub const RANGE_COUNT: u32 = 64;

/// Length of the longest accepted key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Returns the range that a key belongs to, below [`RANGE_COUNT`].
pub fn range_of(key: &str) -> u32 {
    (xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % u64::from(RANGE_COUNT)) as u32
}

/// Returns the mint time of a key of the form `TEAM/UUIDv7`, since the Unix epoch; `None` for keys
/// of any other form.
pub fn minted_at(key: &str) -> Option<time::Duration> {
    let (_, text) = key.split_once('/')?;
    let uuid = uuid::Uuid::try_parse(text).ok()?;
    if uuid.get_version() != Some(uuid::Version::SortRand) {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(time::Duration::new(seconds, nanos))
}

/// Time bounds that decide whether a key may run, taken from the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Largest difference between the wall clocks of any two callers or instances.
    pub max_skew: unit::Millis,
    /// How long after its minting a key may be sent again. A key without a mint time counts from
    /// the moment at which its call was admitted.
    pub retention: unit::Millis,
}

/// Ledger entry of a key.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Record {
    /// SHA-256 of the request body that was sent with the key.
    pub digest: [u8; auth::DIGEST_BYTES],
    /// Attempt under which the call runs or ran.
    pub attempt: id::AttemptId,
    /// When the record may be removed, in milliseconds since the Unix epoch.
    #[serde(rename = "forget")]
    pub expires_at: unit::Millis,
}

/// What the owner of a range does with a call that has a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call has not run and may run now.
    Run,
    /// The call runs or ran under this attempt, whose answer is returned.
    Join(id::AttemptId),
    /// The call does not run, for this reason; the second value tells whether it ran earlier.
    Refuse(refusal::Kind, refusal::Ran),
}

/// Keys that the owner of one range has run.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// When the ledger began to be complete, since the Unix epoch. The time is read from the clock
    /// of the owner that started the ledger. Zero if the range had no owner before that one.
    pub complete_since: time::Duration,
    records: collections::BTreeMap<String, Record>,
}

impl Ledger {
    /// Creates an empty ledger that is complete since `complete_since`.
    pub fn new(complete_since: time::Duration) -> Self {
        Self { complete_since, records: collections::BTreeMap::new() }
    }

    /// Returns the number of keys in the ledger.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the ledger has no keys.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the keys with their records, in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Record)> {
        self.records.iter()
    }

    /// Adds the records of a former owner, replacing those of the same keys.
    pub fn extend(&mut self, records: impl IntoIterator<Item = (String, Record)>) {
        self.records.extend(records);
    }

    /// Decides about a key that is in the ledger; returns `None` for other keys. The decision holds
    /// even after the range was lost, because no later owner runs a key that was minted before it
    /// took over.
    pub fn lookup(&self, key: &str, digest: &[u8; auth::DIGEST_BYTES]) -> Option<Decision> {
        let record = self.records.get(key)?;
        if record.digest == *digest {
            Some(Decision::Join(record.attempt))
        } else {
            Some(Decision::Refuse(refusal::Kind::KeyMismatch, refusal::Ran::No))
        }
    }

    /// Decides about any key of the range; only the owner of the range may call this.
    pub fn decide(
        &self,
        now: clock::Now,
        key: &str,
        digest: &[u8; auth::DIGEST_BYTES],
        policy: Policy,
    ) -> Decision {
        if let Some(decision) = self.lookup(key, digest) {
            return decision;
        }
        let skew = policy.max_skew.duration();
        let retention = policy.retention.duration();
        // Twice the skew: the former owner accepted keys minted up to one skew in its future, and
        // its clock may have been one skew ahead of this one.
        let margin = if self.complete_since.is_zero() { time::Duration::ZERO } else { 2 * skew };
        let may_run = match minted_at(key) {
            Some(minted) if minted > now.wall + skew => {
                return Decision::Refuse(refusal::Kind::KeyFromFuture, refusal::Ran::No);
            }
            Some(minted) if minted + retention < now.wall => {
                return Decision::Refuse(refusal::Kind::KeyExpired, refusal::Ran::Unknown);
            }
            Some(minted) => self.complete_since.is_zero() || minted > self.complete_since + margin,
            None => {
                self.complete_since.is_zero() || now.wall > self.complete_since + retention + margin
            }
        };
        if may_run {
            Decision::Run
        } else {
            Decision::Refuse(refusal::Kind::KeyBeforeTakeover, refusal::Ran::Unknown)
        }
    }

    /// Records that the call with the key runs under `attempt`.
    pub fn insert(
        &mut self,
        now: clock::Now,
        key: &str,
        digest: [u8; auth::DIGEST_BYTES],
        attempt: id::AttemptId,
        policy: Policy,
    ) {
        // A key is refused as expired once its mint time plus the retention has passed. It has to
        // stay in the ledger until this moment has passed on every clock.
        let start = minted_at(key).unwrap_or(now.wall).max(now.wall);
        let expires_at =
            (start + policy.retention.duration() + 2 * policy.max_skew.duration()).into();
        self.records.insert(key.to_owned(), Record { digest, attempt, expires_at });
    }

    /// Removes a key whose call did not run, so that the caller may send it again.
    pub fn remove(&mut self, key: &str) {
        self.records.remove(key);
    }

    /// Removes the keys that are too old to be sent again; returns how many were removed.
    pub fn expire(&mut self, now: clock::Now) -> usize {
        let before = self.records.len();
        self.records.retain(|_, record| record.expires_at.duration() > now.wall);
        before - self.records.len()
    }
}
