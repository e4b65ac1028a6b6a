//! Decides which configuration is active in a process, and how it is sent to other processes.
//!
//! A process never activates a lower revision than its current one, nor an invalid text.

use std::collections;
use std::sync;
use std::time;

use crate::check;
use crate::config;
use crate::diagnostic;
use crate::id;

/// Number of previous configurations that a process keeps, as bases of deltas.
const MAX_PREVIOUS: usize = 4;

/// Value under the configuration's key in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct StoredValue {
    /// Revision of the configuration. The store's own revision goes back when the store is restored
    /// from a backup, so it does not order configurations. `None` in values of releases that had no
    /// number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub number: Option<id::Revision>,
    /// The configuration.
    #[serde(flatten)]
    pub config: StoredConfig,
}

impl StoredValue {
    /// Returns the revision of the configuration. `mod_revision` is the store's revision of the write;
    /// numbers are times in milliseconds or higher, so they are above it.
    pub fn revision(&self, mod_revision: u64) -> id::Revision {
        self.number.unwrap_or(id::Revision(mod_revision))
    }
}

/// Returns the revision of a new configuration: above all known ones, and not below the time since the
/// epoch in milliseconds. The time puts it above those of processes that cannot be asked.
pub fn next_revision(
    known: impl IntoIterator<Item = id::Revision>,
    since_epoch: time::Duration,
) -> id::Revision {
    let highest = known.into_iter().max().unwrap_or_default();
    let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    id::Revision(highest.0.saturating_add(1).max(millis))
}

/// Configuration of the operators, as processes pass it on.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct StoredConfig {
    /// New for each write, so that a writer whose response was lost can recognise its own write.
    pub nonce: String,
    /// Instances that operators have set to drain.
    pub draining: collections::BTreeSet<id::InstanceId>,
    /// The operators' configuration text, byte for byte.
    pub text: String,
}

/// Where a process got its configuration from.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// Nowhere: the process has no configuration yet.
    #[display("none")]
    None,
    /// Read from the store.
    #[display("store")]
    Store,
    /// Received from another process of the system.
    #[display("peer")]
    Peer,
}

/// The configuration that a process applies.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// Its revision; zero if the process has no configuration yet.
    pub revision: id::Revision,
    /// Value in the store from which it was parsed.
    pub stored: sync::Arc<StoredConfig>,
    /// The configuration parsed from the text.
    pub config: sync::Arc<config::Config>,
    /// Where the process got it from.
    pub source: Source,
    /// Configurations that were active before, latest first. Other processes that still have one of
    /// them are sent a delta instead of the full text.
    pub previous: Vec<(id::Revision, sync::Arc<StoredConfig>)>,
}

impl Default for ActiveConfig {
    fn default() -> Self {
        Self {
            revision: id::Revision(0),
            stored: sync::Arc::default(),
            config: sync::Arc::default(),
            source: Source::None,
            previous: Vec::new(),
        }
    }
}

/// Decision about a configuration that a process received.
#[derive(Debug)]
pub enum Verdict {
    /// It is newer and valid, and becomes the active one.
    Activated(ActiveConfig),
    /// Its revision is active already.
    Unchanged,
    /// It is older than the active one.
    Older,
    /// Its text is invalid; the current one stays active.
    Invalid(diagnostic::Diagnostics),
}

/// Decides whether a process whose active configuration is `current` activates a received one.
pub fn evaluate(
    current: &ActiveConfig,
    revision: id::Revision,
    stored: StoredConfig,
    source: Source,
) -> Verdict {
    match revision.cmp(&current.revision) {
        std::cmp::Ordering::Less => Verdict::Older,
        std::cmp::Ordering::Equal => Verdict::Unchanged,
        std::cmp::Ordering::Greater => match check::parse(&stored.text) {
            Err(errors) => Verdict::Invalid(errors),
            Ok(config) => Verdict::Activated(ActiveConfig {
                revision,
                stored: sync::Arc::new(stored),
                config: sync::Arc::new(config),
                source,
                previous: previous_of(current),
            }),
        },
    }
}

/// Returns the list of previous configurations for the successor of `current`.
fn previous_of(current: &ActiveConfig) -> Vec<(id::Revision, sync::Arc<StoredConfig>)> {
    let latest = (current.revision, current.stored.clone());
    let all = std::iter::once(latest).chain(current.previous.iter().cloned());
    all.filter(|(revision, _)| *revision > id::Revision(0)).take(MAX_PREVIOUS).collect()
}

/// Message with which a process sends its configuration to another one.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Update {
    /// The full configuration.
    #[serde(rename = "Whole")]
    Full {
        /// Its revision.
        revision: id::Revision,
        /// Value in the store.
        #[serde(rename = "accepted")]
        stored: StoredConfig,
    },
    /// Difference from a revision that the receiver has.
    #[serde(rename = "Change")]
    Delta(Delta),
}

/// Difference between two configurations.
///
/// Holds the middle of the new text, without the longest prefix and suffix that both texts share.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Delta {
    /// Revision to which the delta applies.
    pub base: id::Revision,
    /// Revision that it produces.
    pub revision: id::Revision,
    /// Nonce of the new configuration.
    pub nonce: String,
    /// Draining instances of the new configuration.
    pub draining: collections::BTreeSet<id::InstanceId>,
    /// Number of bytes at the start of the old text that are kept.
    pub prefix: usize,
    /// Number of bytes at the end of the old text that are kept.
    pub suffix: usize,
    /// Text that replaces the bytes between them.
    pub middle: String,
    /// XXH3 hash of the full new text, which detects a delta applied to a different base.
    pub hash: u64,
}

impl Delta {
    /// Returns the delta that turns the configuration `base` into `next`.
    pub fn between(
        base: (id::Revision, &StoredConfig),
        revision: id::Revision,
        next: &StoredConfig,
    ) -> Self {
        let (old, new) = (base.1.text.as_bytes(), next.text.as_bytes());
        let prefix = old.iter().zip(new).take_while(|(a, b)| a == b).count();
        let prefix = (0..=prefix).rev().find(|at| next.text.is_char_boundary(*at)).unwrap_or(0);
        let max_suffix = old.len().min(new.len()) - prefix;
        let pairs = old.iter().rev().zip(new.iter().rev()).take(max_suffix);
        let suffix = pairs.take_while(|(a, b)| a == b).count();
        let is_boundary = |length: &usize| next.text.is_char_boundary(new.len() - length);
        let suffix = (0..=suffix).rev().find(is_boundary).unwrap_or(0);
        Self {
            base: base.0,
            revision,
            nonce: next.nonce.clone(),
            draining: next.draining.clone(),
            prefix,
            suffix,
            middle: next.text[prefix..new.len() - suffix].to_owned(),
            hash: xxhash_rust::xxh3::xxh3_64(new),
        }
    }

    /// Applies the delta; returns `None` if `old` is not the configuration it was made from.
    pub fn apply(&self, old: &StoredConfig) -> Option<StoredConfig> {
        let start = old.text.get(..self.prefix)?;
        let end = old.text.get(old.text.len().checked_sub(self.suffix)?..)?;
        let text = [start, &self.middle, end].concat();
        if xxhash_rust::xxh3::xxh3_64(text.as_bytes()) != self.hash {
            return None;
        }
        let (nonce, draining) = (self.nonce.clone(), self.draining.clone());
        Some(StoredConfig { nonce, draining, text })
    }
}

/// Returns the update for a process that has the revision `known`, or `None` if that is not older
/// than the active one.
///
/// The update is a delta if the revision `known` is among the previous configurations.
pub fn update_for(active: &ActiveConfig, known: id::Revision) -> Option<Update> {
    if active.revision <= known {
        return None;
    }
    let base = active.previous.iter().find(|(revision, _)| *revision == known);
    Some(match base {
        Some((revision, stored)) => {
            let base = (*revision, &**stored);
            Update::Delta(Delta::between(base, active.revision, &active.stored))
        }
        None => Update::Full { revision: active.revision, stored: (*active.stored).clone() },
    })
}
