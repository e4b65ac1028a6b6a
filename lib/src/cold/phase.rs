//! Whether an upstream is cold, as far as one gateway knows.

use std::time;

use crate::unit;

/// Time for which an upstream counts as cold after an event that its entry may not show yet: upstreams
/// write their entries about every 1.2 s, and gateways read them about once a second.
pub const ASSUMED_TIME: time::Duration = time::Duration::from_millis(2_500);

/// What the entry of a cold upstream says.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Left {
    /// Time for which it stays cold from when it wrote the entry, as it wrote it.
    pub time: unit::Millis,
    /// Number of the write, by which the same time in two writes is told from one that was read
    /// twice.
    pub sequence: u64,
}

/// When one process of an upstream is cold.
#[derive(Clone, Copy, Debug, Default)]
pub struct Phase {
    /// What its entry said last while it was cold.
    listed: Option<Left>,
    /// End of the time that the entry states, counted from when it was first seen.
    listed_end: time::Duration,
    /// End of the time for which it counts as cold whatever its entry says.
    assumed_end: time::Duration,
}

impl Phase {
    /// Records what the entry says; `None` if the upstream is not cold by that. Returns whether the
    /// upstream becomes cold with it.
    ///
    /// Lists come from several sources and may be older than the one before. So only a later write
    /// shortens the phase, and an entry that says nothing lets it run out: a warm upstream was cold
    /// no longer than it wrote before.
    pub fn record_listed(&mut self, now: time::Duration, left: Option<Left>) -> bool {
        let Some(left) = left.filter(|_| left != self.listed) else { return false };
        let was_cold = now < self.end();
        let is_later = self.listed.is_some_and(|known| left.sequence > known.sequence);
        let end = now + left.time.duration();
        self.listed_end = if is_later { end } else { end.max(self.listed_end) };
        self.listed = Some(left);
        !was_cold
    }

    /// Lets the upstream count as cold for a while, because its entry may not say so yet.
    pub fn assume(&mut self, now: time::Duration) {
        self.assumed_end = self.assumed_end.max(now + ASSUMED_TIME);
    }

    /// Returns the time from which the upstream is warm.
    pub fn end(&self) -> time::Duration {
        self.listed_end.max(self.assumed_end)
    }
}
