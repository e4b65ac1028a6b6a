//! The calls of the last second to one upstream.

use std::collections;
use std::time;

/// Length of the window in which calls count: the second of the limit, and the time by which a call may
/// leave the process later than it was decided. A small instance gets no processor time for most of
/// 100 ms at a time; half of that costs a twentieth of the rate.
const WINDOW: time::Duration = time::Duration::from_millis(1_050);

/// Times of the latest calls, in their order.
#[derive(Clone, Debug, Default)]
pub(super) struct SendWindow {
    sent: collections::VecDeque<time::Duration>,
}

impl SendWindow {
    /// Records a call. Only the latest `share` calls decide on the next one, so older ones are
    /// dropped.
    pub(super) fn record(&mut self, now: time::Duration, share: usize) {
        self.sent.push_back(now);
        while self.sent.len() > share.max(1) {
            self.sent.pop_front();
        }
    }

    /// Returns the time from which another call keeps the calls of any second within `share`. Both
    /// ends of a second belong to it.
    pub(super) fn next_free(&self, share: usize) -> time::Duration {
        let Some(oldest) = self.sent.len().checked_sub(share) else { return time::Duration::ZERO };
        let just_over = WINDOW + time::Duration::from_nanos(1);
        self.sent.get(oldest).map_or(time::Duration::ZERO, |sent| *sent + just_over)
    }

    /// Returns the number of calls in the last second.
    pub(super) fn count(&self, now: time::Duration) -> usize {
        self.sent.iter().filter(|sent| now.saturating_sub(**sent) <= WINDOW).count()
    }

    /// Returns whether there were no calls in the last second.
    pub(super) fn is_empty(&self, now: time::Duration) -> bool {
        self.count(now) == 0
    }
}
