//! The rule by which a process takes a configuration into force: never a lower revision, never an
//! invalid text.

use std::collections;
use std::sync;

use crate::check;
use crate::config;
use crate::fault;
use crate::id;

/// What stands under the configuration's key in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Accepted {
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
pub struct InForce {
    /// Its revision; zero if none is known yet.
    pub revision: id::Revision,
    /// What was accepted.
    pub accepted: sync::Arc<Accepted>,
    /// The checked text.
    pub config: sync::Arc<config::Config>,
    /// Where it was learned from.
    pub source: Source,
}

impl Default for InForce {
    fn default() -> Self {
        Self {
            revision: id::Revision(0),
            accepted: sync::Arc::default(),
            config: sync::Arc::default(),
            source: Source::None,
        }
    }
}

/// What became of a configuration that was offered to a process.
#[derive(Debug)]
pub enum Verdict {
    /// It is in force now.
    Adopted(InForce),
    /// It is in force already.
    Same,
    /// It is older than the one in force.
    Older,
    /// Its text is invalid; the last good one stays in force.
    Invalid(fault::Faults),
}

/// Decides about a configuration of a revision.
pub fn consider(
    current: &InForce,
    revision: id::Revision,
    accepted: Accepted,
    source: Source,
) -> Verdict {
    match revision.cmp(&current.revision) {
        std::cmp::Ordering::Less => Verdict::Older,
        std::cmp::Ordering::Equal => Verdict::Same,
        std::cmp::Ordering::Greater => match check::parse(&accepted.text) {
            Err(faults) => Verdict::Invalid(faults),
            Ok(config) => Verdict::Adopted(InForce {
                revision,
                accepted: sync::Arc::new(accepted),
                config: sync::Arc::new(config),
                source,
            }),
        },
    }
}

/// Message with which processes pass a configuration on.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Passed {
    /// Its revision.
    pub revision: id::Revision,
    /// What was accepted.
    pub accepted: Accepted,
}
