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

/// Follows the era that reads belong to.
#[derive(Debug, Default)]
pub struct Tracker {
    /// Latest era; `None` before the first read.
    era: Option<Era>,
}

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

impl Tracker {
    /// Records the era of a read.
    pub fn enter(&mut self, era: Era) -> Relation {
        let relation = match self.era {
            Some(latest) if era < latest => return Relation::Outdated,
            Some(latest) if era > latest => Relation::Restored,
            _ => Relation::Latest,
        };
        self.era = Some(era);
        relation
    }
}
