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
}

impl Tracker {
    /// Records that the store was restored from an older copy.
    pub fn record_restore(&mut self, now: time::Duration) {
        self.kept.clone_from(&self.in_force);
        self.era_began = now;
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
        self.read_at = Some(sent);
        let age = now.saturating_sub(self.era_began);
        if is_settled && age >= store_era::REWRITE_TIME {
            self.kept.clear();
        }
        self.in_force = read;
        self.in_force.extend(self.kept.iter().cloned());
    }

    /// Returns the domains to whose upstreams nothing may be sent.
    pub fn in_force(&self) -> &collections::BTreeSet<id::DomainId> {
        &self.in_force
    }
}
