//! Outlier ejection: an upstream that fails several times in a row gets no calls for a while.

use std::time;

/// Number of successive ejections after which the ejection time is not doubled any more.
const MAX_DOUBLINGS: u32 = 5;

/// Settings of outlier ejection.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Number of failures in a row that cause an ejection.
    pub failures: u32,
    /// Length of the first ejection; each further one without a success takes twice as long.
    pub base_time: time::Duration,
    /// Time after an ejection over which the upstream's share of calls grows to normal.
    pub warmup: time::Duration,
}

/// Failures and ejections of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Failures in a row.
    failure_count: u32,
    /// Ejections since the last success.
    ejections: u32,
    /// When the last ejection ends or ended; `None` if there was none.
    ejected_until: Option<time::Duration>,
}

impl Health {
    /// Records a successful call.
    pub fn record_success(&mut self) {
        self.failure_count = 0;
        self.ejections = 0;
    }

    /// Records a failed call. Returns whether it caused an ejection.
    pub fn record_failure(&mut self, now: time::Duration, rule: Rule) -> bool {
        self.failure_count += 1;
        if self.failure_count < rule.failures || self.is_ejected(now) {
            return false;
        }
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = Some(now + rule.base_time * 2_u32.pow(doublings));
        self.ejections += 1;
        // One more failure after the ejection causes the next one.
        self.failure_count = rule.failures.saturating_sub(1);
        true
    }

    /// Returns when the last ejection ends or ended; `None` if there was none.
    pub fn ejected_until(&self) -> Option<time::Duration> {
        self.ejected_until
    }

    /// Returns whether the upstream is ejected.
    pub fn is_ejected(&self, now: time::Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the share of its normal number of calls that the upstream should get, above 0 and at
    /// most 1.
    pub fn traffic_share(&self, now: time::Duration, rule: Rule) -> f64 {
        const MIN_SHARE: f64 = 0.1;
        let Some(until) = self.ejected_until else { return 1.0 };
        if rule.warmup.is_zero() {
            return 1.0;
        }
        let warmed_up = now.saturating_sub(until).as_secs_f64() / rule.warmup.as_secs_f64();
        warmed_up.clamp(MIN_SHARE, 1.0)
    }
}

/// Returns how many of `total` upstreams may be ejected at the same time.
pub fn max_ejected(total: usize, share: f64) -> usize {
    (total as f64 * share).floor() as usize
}
