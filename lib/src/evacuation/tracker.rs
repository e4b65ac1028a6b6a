//! The set of evacuated domains in force at a gateway.

use std::collections;
use std::time;

use crate::id;
use crate::store_era;

/// Follows the reads of evacuated domains.
///
/// The store of a gateway that cannot reach it is read through others, so reads may arrive out of
/// order: only one that was sent later than those before counts. The copy that a restore brings back
/// may lack domains whose evacuation was acknowledged. Until operators have had the time to write them
/// again, a domain that was evacuated before stays so.
#[derive(Debug, Default)]
pub struct Tracker {
    in_force: collections::BTreeSet<id::DomainId>,
    /// When the latest read was sent.
    read_at: Option<time::Duration>,
    /// Domains that were evacuated when the latest era of the store began.
    kept: collections::BTreeSet<id::DomainId>,
    /// When the latest era was noticed.
    era_began: time::Duration,
    /// Whether the store was restored since this gateway's first read.
    is_restored: bool,
    /// Whether no domain can be missing.
    is_complete: bool,
}

impl Tracker {
    /// Records that the store was restored from an older copy.
    pub fn record_restore(&mut self, now: time::Duration) {
        self.kept.clone_from(&self.in_force);
        self.era_began = now;
        self.is_restored = true;
    }

    /// Records a read of the latest era that was sent at `sent`. `is_settled` tells whether the era is
    /// settled. That alone is not enough to drop domains: an era is settled once its configuration was
    /// written again, and other keys may follow after it.
    pub fn record_read(
        &mut self,
        now: time::Duration,
        sent: time::Duration,
        is_settled: bool,
        read: collections::BTreeSet<id::DomainId>,
    ) {
        if self.read_at.is_some_and(|latest| sent < latest) {
            return;
        }
        if self.read_at.is_none() {
            self.era_began = now;
        }
        self.read_at = Some(sent);
        self.is_complete |= self.has_time_passed(now);
        if is_settled && self.has_time_passed(now) {
            self.kept.clear();
        }
        self.in_force = read;
        self.in_force.extend(self.kept.iter().cloned());
    }

    /// Records that no domain can be missing from the latest read, as others have vouched for it.
    pub fn record_complete(&mut self) {
        self.is_complete = true;
    }

    /// Returns whether no domain can be missing. A gateway that has just started has no earlier set, so
    /// the first reads of a restored store may lack domains.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns whether other gateways may take the latest era for settled, of which the store states the
    /// era `settled` so far. If it states none, no gateway has used it before, unless a restore has lost
    /// the statement.
    pub fn may_state(&self, now: time::Duration, settled: Option<store_era::Era>) -> bool {
        self.has_time_passed(now) || settled.is_none() && !self.is_restored
    }

    /// Returns whether operators have had the time to write their keys again in the latest era.
    fn has_time_passed(&self, now: time::Duration) -> bool {
        now.saturating_sub(self.era_began) >= store_era::REWRITE_TIME
    }

    /// Returns the domains to whose upstreams nothing may be sent.
    pub fn in_force(&self) -> &collections::BTreeSet<id::DomainId> {
        &self.in_force
    }
}
