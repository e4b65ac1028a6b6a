//! The limits of one upstream, and the part of them that one gateway gets.

use std::time;

use crate::unit;

/// Number of gateways among which the rate of a cold upstream is divided. With one, its loss
/// would leave an upstream without calls, and with two, that of both; with more than three, the parts
/// would be less than a few calls.
const MAX_HOLDERS: usize = 3;

/// Highest rate, per second; a higher one is reduced to it. It bounds the number of send times that a
/// gateway keeps for each upstream.
const MAX_RATE: f64 = 1_000.0;

/// Window in which the calls to a cold upstream count: the second of the limit, and the time by which a
/// call may leave the process later than it was decided. A small instance gets no processor time for
/// most of 100 ms at a time; half of that costs a twentieth of the rate.
const COLD_WINDOW: time::Duration = time::Duration::from_millis(1_050);

/// Factor by which the windows of a stated rate are longer than it needs, for the same reason.
const WINDOW_MARGIN: f64 = 1.05;

/// Rate per second at which an upstream that takes none is called all the same: nothing but an answer
/// shows that it takes calls again.
const MIN_STATED_RATE: f64 = 0.1;

/// Calls per second of one gateway from which a stated rate is divided among more than [`MAX_HOLDERS`].
const HOLDER_RATE: f64 = 20.0;

/// Largest number of calls in a window, which bounds the send times that a gateway keeps.
const MAX_CALLS: usize = 1_000;

/// Calls that one gateway may send to an upstream within any window of a certain length.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Quota {
    /// Number of calls.
    pub calls: usize,
    /// Length of the window.
    pub window: time::Duration,
}

/// By how much the rate of a service may be exceeded, the same for all services.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Factor of the rate.
    pub excess: f64,
    /// Number of calls in any second on top of it.
    pub slack: f64,
}

impl Default for Allowance {
    fn default() -> Self {
        Self { excess: 1.0, slack: 0.0 }
    }
}

/// Limit on the calls that a cold upstream gets from all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Calls per second that the upstream takes while it is cold.
    pub per_second: f64,
    /// Factor by which the calls of any second may exceed that.
    pub excess: f64,
    /// Number of calls in any second on top of it.
    pub slack: f64,
}

impl Limit {
    /// Makes the limit of a service; `None` if it has none.
    pub fn new(per_second: f64, allowance: Allowance) -> Option<Self> {
        let Allowance { excess, slack } = allowance;
        let limit = Self { per_second: per_second.min(MAX_RATE), excess, slack };
        (per_second > 0.0).then_some(limit)
    }

    /// Returns the number of calls that must not be exceeded in any second.
    pub fn bound(&self) -> f64 {
        self.per_second * self.excess + self.slack
    }

    /// Returns the number of calls per second that are divided among gateways. It is at most half of
    /// the bound, because two sets of gateways may each take themselves for the only one, for
    /// example while some of them cannot read the list of gateways.
    fn divided(&self) -> f64 {
        self.per_second.min(self.bound() / 2.0)
    }

    /// Returns the number of gateways that may call a cold upstream.
    pub fn holders(&self) -> usize {
        (self.divided() as usize).min(MAX_HOLDERS)
    }

    /// Returns the number of calls that each of these gateways may send in any second.
    pub fn share(&self) -> usize {
        self.quota(self.holders()).calls
    }

    /// Returns the part of each of `holders` gateways.
    pub fn quota(&self, holders: usize) -> Quota {
        let calls = if holders == 0 { 0 } else { (self.divided() / holders as f64) as usize };
        Quota { calls, window: COLD_WINDOW }
    }

    /// Returns the limit of an upstream that also states a rate.
    #[must_use]
    pub fn lowered_to(&self, stated: StatedLimit) -> Self {
        Self { per_second: self.per_second.min(stated.0.0), ..*self }
    }
}

impl From<&Limit> for Quota {
    fn from(limit: &Limit) -> Self {
        limit.quota(limit.holders())
    }
}

/// Rate that an upstream takes from all gateways together, as it states itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedLimit(pub unit::PerSecond);

impl StatedLimit {
    /// Returns the number of gateways that may call the upstream. Each gets whole calls, so few
    /// gateways share a low rate.
    pub fn holders(&self) -> usize {
        let rate = self.0.0;
        (rate as usize).clamp(1, MAX_HOLDERS).max((rate / HOLDER_RATE) as usize)
    }

    /// Returns the part of each of `holders` gateways. The window is as long as its calls take at the
    /// rate, so that a rate below one call a second gets a call in several seconds.
    pub fn quota(&self, holders: usize) -> Quota {
        let rate = self.0.0.max(MIN_STATED_RATE) / holders.max(1) as f64;
        let calls = (rate as usize).clamp(1, MAX_CALLS);
        let window = time::Duration::from_secs_f64(calls as f64 / rate * WINDOW_MARGIN);
        Quota { calls, window }
    }
}
