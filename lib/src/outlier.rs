//! Outlier ejection: an upstream that fails in a row is left out for a while.

use std::time;

/// Ejections after which the ejection time stops doubling.
const MAX_DOUBLINGS: u32 = 5;

/// Settings of the ejection.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Failures in a row that lead to an ejection.
    pub failures: u32,
    /// Length of the first ejection.
    pub base_time: time::Duration,
    /// Time over which a returning upstream is trusted again.
    pub warmup: time::Duration,
}

/// Record of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failure_count: u32,
    ejections: u32,
    ejected_until: Option<time::Duration>,
}

impl Health {
    /// Takes account of an answer.
    pub fn record_success(&mut self) {
        self.failure_count = 0;
        self.ejections = 0;
    }

    /// Takes account of a failure; returns whether it led to an ejection.
    pub fn record_failure(&mut self, now: time::Duration, rule: Rule) -> bool {
        self.failure_count += 1;
        if self.failure_count < rule.failures || self.is_ejected(now) {
            return false;
        }
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = Some(now + rule.base_time * 2_u32.pow(doublings));
        self.ejections += 1;
        // One more failure after the return ejects again.
        self.failure_count = rule.failures.saturating_sub(1);
        true
    }

    /// Whether the upstream is left out.
    pub fn is_ejected(&self, now: time::Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the share of its normal work that the upstream should get, above 0 and up to 1.
    pub fn traffic_share(&self, now: time::Duration, rule: Rule) -> f64 {
        const MIN_SHARE: f64 = 0.1;
        let Some(until) = self.ejected_until else { return 1.0 };
        if rule.warmup.is_zero() {
            return 1.0;
        }
        let back = now.saturating_sub(until).as_secs_f64() / rule.warmup.as_secs_f64();
        back.clamp(MIN_SHARE, 1.0)
    }
}

/// Returns how many of `total` upstreams may be ejected at once.
pub fn max_ejected(total: usize, share: f64) -> usize {
    (total as f64 * share).floor() as usize
}
