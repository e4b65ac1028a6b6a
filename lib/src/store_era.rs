//! Eras of the platform's store. The store begins a new one whenever it comes back from an older
//! copy of its contents: revisions and leases since then are gone and are given out again.

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
