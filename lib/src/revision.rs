//! The rule by which a process takes a configuration into force: never a lower revision, never an
//! invalid text.

use std::collections;
use std::sync;

use crate::check;
use crate::config;
use crate::diagnostic;
use crate::id;

/// Earlier configurations that a process remembers.
const EARLIER: usize = 4;

/// What stands under the configuration's key in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct StoredConfig {
    /// Drawn anew for each write, so that a writer whose answer was lost recognises its own write.
    pub nonce: String,
    /// Instances that operators are draining.
    pub draining: collections::BTreeSet<id::InstanceId>,
    /// The operators' text, byte for byte.
    pub text: String,
}

/// Where a configuration was learned from.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// No configuration is known yet.
    #[display("none")]
    None,
    /// The store.
    #[display("store")]
    Store,
    /// Another process of the system.
    #[display("peer")]
    Peer,
}

/// A configuration in force.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// Its revision; zero if none is known yet.
    pub revision: id::Revision,
    /// What was accepted.
    pub stored: sync::Arc<StoredConfig>,
    /// The checked text.
    pub config: sync::Arc<config::Config>,
    /// Where it was learned from.
    pub source: Source,
    /// What was in force before, the latest first, so that others can be told what changed.
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

/// What became of a configuration that was offered to a process.
#[derive(Debug)]
pub enum Verdict {
    /// It is in force now.
    Activated(ActiveConfig),
    /// It is in force already.
    Unchanged,
    /// It is older than the one in force.
    Older,
    /// Its text is invalid; the last good one stays in force.
    Invalid(diagnostic::Diagnostics),
}

/// Decides about a configuration of a revision.
pub fn evaluate(
    current: &ActiveConfig,
    revision: id::Revision,
    accepted: StoredConfig,
    source: Source,
) -> Verdict {
    match revision.cmp(&current.revision) {
        std::cmp::Ordering::Less => Verdict::Older,
        std::cmp::Ordering::Equal => Verdict::Unchanged,
        std::cmp::Ordering::Greater => match check::parse(&accepted.text) {
            Err(faults) => Verdict::Invalid(faults),
            Ok(config) => Verdict::Activated(ActiveConfig {
                revision,
                stored: sync::Arc::new(accepted),
                config: sync::Arc::new(config),
                source,
                previous: remember(current),
            }),
        },
    }
}

fn remember(current: &ActiveConfig) -> Vec<(id::Revision, sync::Arc<StoredConfig>)> {
    let latest = (current.revision, current.stored.clone());
    let known = std::iter::once(latest).chain(current.previous.iter().cloned());
    known.filter(|(revision, _)| *revision > id::Revision(0)).take(EARLIER).collect()
}

/// Message with which processes pass a configuration on.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Update {
    /// All of it.
    #[serde(rename = "Whole")]
    Full {
        /// Its revision.
        revision: id::Revision,
        /// What was accepted.
        #[serde(rename = "accepted")]
        stored: StoredConfig,
    },
    /// What differs from a revision that the receiver has.
    #[serde(rename = "Change")]
    Delta(Delta),
}

/// Difference between two configurations: the middle of the text, between what both begin and end
/// with.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Delta {
    /// Revision that it leads from.
    pub base: id::Revision,
    /// Revision that it leads to.
    pub revision: id::Revision,
    /// Nonce of the new one.
    pub nonce: String,
    /// Drains of the new one.
    pub draining: collections::BTreeSet<id::InstanceId>,
    /// Bytes at the start that stay.
    pub prefix: usize,
    /// Bytes at the end that stay.
    pub suffix: usize,
    /// What stands between them.
    pub middle: String,
    /// Hash of the whole new text.
    pub hash: u64,
}

impl Delta {
    /// Returns what leads from one configuration to another.
    pub fn between(
        base: (id::Revision, &StoredConfig),
        revision: id::Revision,
        next: &StoredConfig,
    ) -> Self {
        let (old, new) = (base.1.text.as_bytes(), next.text.as_bytes());
        let prefix = old.iter().zip(new).take_while(|(a, b)| a == b).count();
        let prefix = (0..=prefix).rev().find(|at| next.text.is_char_boundary(*at)).unwrap_or(0);
        let rest = old.len().min(new.len()) - prefix;
        let ends = old.iter().rev().zip(new.iter().rev()).take(rest);
        let suffix = ends.take_while(|(a, b)| a == b).count();
        let is_cut = |length: &usize| next.text.is_char_boundary(new.len() - length);
        let suffix = (0..=suffix).rev().find(is_cut).unwrap_or(0);
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

    /// Returns the new configuration, or nothing if `old` is not the one that the change leads
    /// from.
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

/// Returns what a process passes on to one that knows the revision `known`, if that is older.
pub fn update_for(in_force: &ActiveConfig, known: id::Revision) -> Option<Update> {
    if in_force.revision <= known {
        return None;
    }
    let base = in_force.previous.iter().find(|(revision, _)| *revision == known);
    Some(match base {
        Some((revision, accepted)) => {
            let base = (*revision, &**accepted);
            Update::Delta(Delta::between(base, in_force.revision, &in_force.stored))
        }
        None => Update::Full { revision: in_force.revision, stored: (*in_force.stored).clone() },
    })
}
