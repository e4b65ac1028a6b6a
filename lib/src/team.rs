//! Teams' limits on rate and concurrency, shared among entries without a call per request.
//!
//! Each entry enforces the limit divided by the number of entries. The platform's balancer spreads
//! callers, so that the sum comes close to the limit; how far off it may be stands in
//! `docs/design/limits.md`.

use std::collections;
use std::time;

use crate::config;
use crate::id;
use crate::limit;

/// Seconds of its rate that a team may save up.
const BURST_SECONDS: f64 = 1.0;

#[derive(Debug, Default)]
struct Usage {
    open: u32,
    bucket: Option<limit::TokenBucket>,
}

/// Usage of all teams at one entry.
#[derive(Debug)]
pub struct Teams {
    entries: u32,
    usage: collections::BTreeMap<id::TeamId, Usage>,
}

impl Default for Teams {
    fn default() -> Self {
        Self { entries: 1, usage: collections::BTreeMap::new() }
    }
}

impl Teams {
    /// Sets the number of entries over which limits are shared.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Decides whether a team may start a request, and counts it against the rate if so.
    pub fn admit(&mut self, now: time::Duration, name: &id::TeamId, team: &config::Team) -> bool {
        let entries = f64::from(self.entries);
        let usage = self.usage.entry(name.clone()).or_default();
        if let Some(concurrency) = team.concurrency {
            let share = (f64::from(concurrency) / entries).ceil();
            if f64::from(usage.open) >= share {
                return false;
            }
        }
        let Some(rate) = team.rate else { return true };
        let rate = rate.0 / entries;
        let burst = (rate * BURST_SECONDS).max(1.0);
        let bucket = usage.bucket.get_or_insert_with(|| limit::TokenBucket::new(now, burst));
        bucket.try_take(now, rate, burst, 1.0)
    }

    /// Takes note that a request of the team started.
    pub fn enter(&mut self, name: &id::TeamId) {
        self.usage.entry(name.clone()).or_default().open += 1;
    }

    /// Takes note that a request of the team ended.
    pub fn leave(&mut self, name: &id::TeamId) {
        if let Some(usage) = self.usage.get_mut(name) {
            usage.open = usage.open.saturating_sub(1);
        }
    }
}
