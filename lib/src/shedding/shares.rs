//! Shares of requests that are served, by kind, and which kinds have to yield or are raised.
//!
//! Load pattern: requests of a low rank have a long deadline, so that they can wait until a burst is
//! over, while those of a higher rank are refused at once. The lower rank is then served more often
//! than the higher one. And under a lasting overload, a kind whose loss per unit of work is the
//! lowest would never be served.

use std::collections;
use std::time;

use crate::id;

/// Time constant with which requests are forgotten. About a burst and the deadlines after it.
const MEMORY: time::Duration = time::Duration::from_secs(10);
/// Time after a refusal for which lower ranks yield.
const REFUSAL_MEMORY: time::Duration = time::Duration::from_secs(1);
/// Share by which a lower rank may be served more often than a higher one. Half of what operators
/// allow, because each gateway sees only a part of the requests.
const MAX_LEAD: f64 = 0.025;
/// Share that each kind gets at least, relative to the share of all requests.
const FLOOR: f64 = 0.25;
/// Number of recent requests from which a share is meaningful.
const MIN_REQUESTS: f64 = 4.0;

/// Requests that are counted together.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Kind {
    /// Service that answers.
    pub service: id::ServiceId,
    /// Rank; 0 is the highest priority.
    pub rank: u8,
    /// Name of the route.
    pub route: String,
}

/// How a kind is treated on arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// As its estimate says.
    Usual,
    /// Refused, because a higher rank is refused more often.
    Yields,
    /// Preferred, because its share is under the floor.
    Raised,
}

/// Recent requests of one kind. Both numbers decay with time.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    arrived: f64,
    /// Requests that were admitted and not refused after that.
    admitted: f64,
    updated_at: time::Duration,
    refused_at: Option<time::Duration>,
}

impl Count {
    fn decayed(mut self, now: time::Duration) -> Self {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let factor = (-age / MEMORY.as_secs_f64()).exp();
        self.arrived *= factor;
        self.admitted *= factor;
        self.updated_at = now;
        self
    }

    fn share(&self) -> f64 {
        (self.admitted / self.arrived.max(f64::MIN_POSITIVE)).min(1.0)
    }
}

/// Shares of all kinds that a gateway has seen lately.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    counts: collections::BTreeMap<Kind, Count>,
}

impl Shares {
    /// Returns how a request of a kind is treated.
    pub fn standing(&self, now: time::Duration, kind: &Kind) -> Standing {
        let counts: Vec<_> =
            self.counts.iter().map(|(kind, count)| (kind, count.decayed(now))).collect();
        let own = counts.iter().find(|(other, _)| *other == kind).map(|(_, count)| *count);
        let Some(own) = own.filter(|own| own.arrived >= MIN_REQUESTS) else {
            return Standing::Usual;
        };
        let arrived: f64 = counts.iter().map(|(_, count)| count.arrived).sum();
        let admitted: f64 = counts.iter().map(|(_, count)| count.admitted.min(count.arrived)).sum();
        if own.share() < FLOOR * admitted / arrived {
            return Standing::Raised;
        }
        let is_refused = |count: &Count| {
            count.refused_at.is_some_and(|at| now.saturating_sub(at) < REFUSAL_MEMORY)
        };
        let must_yield = counts.iter().any(|(other, count)| {
            other.service == kind.service
                && other.rank < kind.rank
                && count.arrived >= MIN_REQUESTS
                && is_refused(count)
                && own.share() > count.share() + MAX_LEAD
        });
        if must_yield { Standing::Yields } else { Standing::Usual }
    }

    /// Records a request that arrived, unless its caller was refused before.
    pub fn record_arrived(&mut self, now: time::Duration, kind: &Kind) {
        self.count(now, kind).arrived += 1.0;
    }

    /// Records an admission.
    pub fn record_admitted(&mut self, now: time::Duration, kind: &Kind) {
        self.count(now, kind).admitted += 1.0;
    }

    /// Records a refusal on arrival.
    pub fn record_refused(&mut self, now: time::Duration, kind: &Kind) {
        self.count(now, kind).refused_at = Some(now);
    }

    /// Records a refusal after an admission.
    pub fn record_lost(&mut self, now: time::Duration, kind: &Kind) {
        let count = self.count(now, kind);
        count.admitted = (count.admitted - 1.0).max(0.0);
        count.refused_at = Some(now);
    }

    fn count(&mut self, now: time::Duration, kind: &Kind) -> &mut Count {
        let count = self.counts.entry(kind.clone()).or_default();
        *count = count.decayed(now);
        count
    }
}
