//! What a gateway knows about one crash.

use std::collections;
use std::time;

/// Time after a crash of a call of this gateway in which other gateways may report that another
/// part explains it.
const OWN_SETTLE_TIME: time::Duration = time::Duration::from_millis(1_200);
/// The same for a crash that another gateway reported.
const REPORTED_SETTLE_TIME: time::Duration = time::Duration::from_millis(600);

/// What is known about one crash.
#[derive(Debug)]
pub(super) struct CrashState {
    /// When this gateway saw it or read of it.
    pub(super) learned: time::Duration,
    /// Suspects in calls of this gateway.
    pub(super) own_present: collections::BTreeSet<u64>,
    /// Suspects in calls of all gateways.
    pub(super) present: collections::BTreeSet<u64>,
    /// Suspects that were shown to be sound since.
    pub(super) cleared: collections::BTreeSet<u64>,
    /// Whether all gateways that saw it had just started.
    pub(super) is_early: bool,
    /// Whether the engine answered again, so that it has not crashed.
    pub(super) is_refuted: bool,
}

impl CrashState {
    pub(super) fn new(learned: time::Duration) -> Self {
        Self {
            learned,
            own_present: collections::BTreeSet::new(),
            present: collections::BTreeSet::new(),
            cleared: collections::BTreeSet::new(),
            is_early: true,
            is_refuted: false,
        }
    }

    pub(super) fn age(&self, now: time::Duration) -> time::Duration {
        now.saturating_sub(self.learned)
    }

    /// Returns whether other gateways have had the time to report what they saw of it.
    pub(super) fn is_settled(&self, now: time::Duration) -> bool {
        let settle_time =
            if self.own_present.is_empty() { REPORTED_SETTLE_TIME } else { OWN_SETTLE_TIME };
        self.age(now) >= settle_time
    }

    pub(super) fn suspects(&self) -> impl Iterator<Item = u64> + '_ {
        let suspects = self.present.difference(&self.cleared).copied();
        suspects.filter(|_| !self.is_refuted)
    }
}
