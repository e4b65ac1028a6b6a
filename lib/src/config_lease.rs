//! Lease on the configuration: how long a gateway may act on the version that it last confirmed.
//!
//! When operators revoke a credential, it must not be accepted any more after a bounded time, even
//! if a gateway cannot reach the store or is suspended. So each confirmed read of the configuration
//! grants a lease that counts from the time at which the read was *sent*. Work that depends on a
//! credential starts only under a valid lease. This follows the leases of Not Quite NFS, where a
//! client may use cached data until its lease ends by a conservative clock.

use std::time;

use crate::clock;

/// Time by which a lease ends before the bound, as clocks run at slightly different rates.
const CLOCK_MARGIN: time::Duration = time::Duration::from_millis(150);

/// Share of the bound after which new callers should go to another instance.
const RECENT_SHARE: f64 = 0.6;

/// Lease on the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigLease {
    /// Maximum age of the confirming read; `None` sets no limit.
    bound: Option<time::Duration>,
    /// When the confirming read was sent; `None` if there was none.
    confirmed_at: Option<clock::Now>,
}

impl ConfigLease {
    /// Makes a lease that was not granted yet. Without a bound, it does not end once it is granted.
    pub fn new(bound: Option<time::Duration>) -> Self {
        Self { bound, confirmed_at: None }
    }

    /// Renews the lease with a linearizable read that was sent at `sent`. Reads that were sent
    /// earlier than the last one have no effect.
    pub fn confirm(&mut self, sent: clock::Now) {
        if self.confirmed_at.is_none_or(|last| sent.mono > last.mono) {
            self.confirmed_at = Some(sent);
        }
    }

    /// Returns the time since the confirming read was sent, or `None` if there was none. If the
    /// monotonic and the wall clock differ, the longer time counts.
    pub fn age(&self, now: clock::Now) -> Option<time::Duration> {
        self.confirmed_at.map(|sent| now.elapsed_max(sent))
    }

    /// Returns whether work that depends on a credential may start.
    pub fn is_valid(&self, now: clock::Now) -> bool {
        match (self.age(now), self.bound) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(age), Some(bound)) => age + CLOCK_MARGIN < bound,
        }
    }

    /// Returns whether the lease has enough time left for new callers.
    pub fn is_recent(&self, now: clock::Now) -> bool {
        match (self.age(now), self.bound) {
            (Some(age), Some(bound)) => age < bound.mul_f64(RECENT_SHARE),
            _ => self.is_valid(now),
        }
    }
}
