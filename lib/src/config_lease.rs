//! Lease on the configuration: how long a gateway may act on what it last confirmed.
//!
//! Operators take credentials away and expect that nobody acts on them any more after a bounded
//! time, whether or not an instance reaches the store or runs at all. So each confirmed read of the
//! configuration is a lease that runs from the moment at which the read was *sent*. Work that
//! depends on a credential starts only under a lease. This follows the leases of Not Quite NFS,
//! where a client may use cached data for as long as its lease runs by a conservative clock.

use std::time;

use crate::clock;

/// Part of the bound that is not used, for clocks that run at slightly different rates.
const CLOCK_MARGIN: time::Duration = time::Duration::from_millis(150);

/// Part of the bound after which callers should rather go to another instance.
const RECENT_SHARE: f64 = 0.6;

/// Lease on the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigLease {
    bound: Option<time::Duration>,
    confirmed_at: Option<clock::Now>,
}

impl ConfigLease {
    /// Makes a lease that was never granted. Without a bound it does not end once granted.
    pub fn new(bound: Option<time::Duration>) -> Self {
        Self { bound, confirmed_at: None }
    }

    /// Takes note that a linearizable read sent at `sent` gave the configuration in force.
    pub fn confirm(&mut self, sent: clock::Now) {
        if self.confirmed_at.is_none_or(|last| sent.mono > last.mono) {
            self.confirmed_at = Some(sent);
        }
    }

    /// Returns the time since the last confirmation, by whichever clock says more.
    pub fn age(&self, now: clock::Now) -> Option<time::Duration> {
        self.confirmed_at.map(|sent| now.elapsed_max(sent))
    }

    /// Whether work that depends on a credential may start.
    pub fn is_valid(&self, now: clock::Now) -> bool {
        match (self.age(now), self.bound) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(age), Some(bound)) => age + CLOCK_MARGIN < bound,
        }
    }

    /// Whether the lease will hold for a while, so that new callers can be taken in.
    pub fn is_recent(&self, now: clock::Now) -> bool {
        match (self.age(now), self.bound) {
            (Some(age), Some(bound)) => age < bound.mul_f64(RECENT_SHARE),
            _ => self.is_valid(now),
        }
    }
}
