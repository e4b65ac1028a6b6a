//! The latest calls to one upstream.

use std::collections;
use std::time;

use super::limit;

/// Times of the latest calls, in their order.
#[derive(Clone, Debug, Default)]
pub(super) struct SendWindow {
    sent: collections::VecDeque<time::Duration>,
    /// Length of the window in which they count.
    length: time::Duration,
}

impl SendWindow {
    /// Records a call. Only as many calls as the quota has decide on the next one, so older ones are
    /// dropped.
    pub(super) fn record(&mut self, now: time::Duration, quota: limit::Quota) {
        self.length = quota.window;
        self.sent.push_back(now);
        while self.sent.len() > quota.calls.max(1) {
            self.sent.pop_front();
        }
    }

    /// Returns the time from which another call keeps the calls of any window within the quota. Both
    /// ends of a window belong to it.
    pub(super) fn next_free(&self, quota: limit::Quota) -> time::Duration {
        let Some(oldest) = self.sent.len().checked_sub(quota.calls) else {
            return time::Duration::ZERO;
        };
        let just_over = quota.window + time::Duration::from_nanos(1);
        self.sent.get(oldest).map_or(time::Duration::ZERO, |sent| *sent + just_over)
    }

    /// Returns the number of calls in the latest window.
    pub(super) fn count(&self, now: time::Duration) -> usize {
        self.sent.iter().filter(|sent| now.saturating_sub(**sent) <= self.length).count()
    }

    /// Returns whether there were no calls in the latest window.
    pub(super) fn is_empty(&self, now: time::Duration) -> bool {
        self.count(now) == 0
    }
}
