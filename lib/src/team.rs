//! Limits on the rate and concurrency of teams, shared among entries without a call per request.
//!
//! Each entry enforces the limit divided by the number of entries. As the platform's load balancer
//! spreads callers evenly, the sum comes close to the limit. `docs/design/limits.md` describes how
//! large the deviation can be.

use std::collections;
use std::time;

use crate::config;
use crate::id;
use crate::limit;

/// Seconds of unused rate that a team can accumulate for a burst.
const BURST_SECONDS: f64 = 1.0;

#[derive(Debug, Default)]
struct Usage {
    open_requests: u32,
    /// Bucket for the request rate; `None` until the team starts a request under a limited rate.
    bucket: Option<limit::TokenBucket>,
}

/// Limits and current usage of all teams at one entry.
#[derive(Debug)]
pub struct TeamLimits {
    entry_count: u32,
    usage: collections::BTreeMap<id::TeamId, Usage>,
}

impl Default for TeamLimits {
    fn default() -> Self {
        Self { entry_count: 1, usage: collections::BTreeMap::new() }
    }
}

impl TeamLimits {
    /// Sets the number of entries that share the limits; zero counts as one.
    pub fn set_entry_count(&mut self, entry_count: u32) {
        self.entry_count = entry_count.max(1);
    }

    /// Returns whether a team may start a request now. If so, the request counts against the team's
    /// rate; its concurrency changes only with [`Self::request_started`].
    pub fn admit(&mut self, now: time::Duration, name: &id::TeamId, team: &config::Team) -> bool {
        let entry_count = f64::from(self.entry_count);
        let usage = self.usage.entry(name.clone()).or_default();
        if let Some(concurrency) = team.concurrency {
            let share = (f64::from(concurrency) / entry_count).ceil();
            if f64::from(usage.open_requests) >= share {
                return false;
            }
        }
        let Some(rate) = team.rate else { return true };
        let rate = rate.0 / entry_count;
        let burst = (rate * BURST_SECONDS).max(1.0);
        let bucket = usage.bucket.get_or_insert_with(|| limit::TokenBucket::new(now, burst));
        bucket.try_take(now, rate, burst, 1.0)
    }

    /// Counts a request of the team that started.
    pub fn request_started(&mut self, name: &id::TeamId) {
        self.usage.entry(name.clone()).or_default().open_requests += 1;
    }

    /// Removes a request of the team that ended from the count.
    pub fn request_ended(&mut self, name: &id::TeamId) {
        if let Some(usage) = self.usage.get_mut(name) {
            usage.open_requests = usage.open_requests.saturating_sub(1);
        }
    }
}
