//! Requests without a prompt that had a sound answer lately.
//!
//! Load pattern: some requests are repeated again and again and stand at many crashes by chance, and
//! endless others are never seen again. So the latest ones are remembered.

use std::collections;
use std::time;

/// Largest number of requests.
const MAX_REQUESTS: usize = 4_096;

/// Requests with the start of their last sound answer.
#[derive(Debug, Default)]
pub(super) struct SoundRequests {
    by_suspect: collections::BTreeMap<u64, time::Duration>,
    by_time: collections::BTreeSet<(time::Duration, u64)>,
}

impl SoundRequests {
    /// Returns the start of the last sound answer to a request.
    pub(super) fn get(&self, suspect: u64) -> Option<time::Duration> {
        self.by_suspect.get(&suspect).copied()
    }

    /// Records a sound answer, and forgets the request whose last one is the oldest if there are too
    /// many.
    pub(super) fn record(&mut self, suspect: u64, begun: time::Duration) {
        let last = self.get(suspect).map_or(begun, |earlier| earlier.max(begun));
        if let Some(earlier) = self.by_suspect.insert(suspect, last) {
            self.by_time.remove(&(earlier, suspect));
        }
        self.by_time.insert((last, suspect));
        if self.by_suspect.len() > MAX_REQUESTS
            && let Some((_, oldest)) = self.by_time.pop_first()
        {
            self.by_suspect.remove(&oldest);
        }
    }
}
