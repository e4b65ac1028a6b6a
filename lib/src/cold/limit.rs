//! The limit of one upstream, and the part of it that one gateway gets.

/// Number of gateways among which the rate of a cold upstream is divided. With one, its loss
/// would leave an upstream without calls, and with two, that of both; with more than three, the parts
/// would be less than a few calls.
const MAX_HOLDERS: usize = 3;

/// Highest rate, per second; a higher one is reduced to it. It bounds the number of send times that a
/// gateway keeps for each upstream.
const MAX_RATE: f64 = 1_000.0;

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
        match self.holders() {
            0 => 0,
            holders => (self.divided() / holders as f64) as usize,
        }
    }
}
