//! Queue of one sidecar's attempts, ordered by priority and then fairly among teams by weight.

use std::collections;

use crate::id;

/// Virtual time by which one call advances a team of weight 1.
const CALL_COST: u64 = 1 << 20;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Position {
    // `u8::MAX` minus the priority, so that the highest priority sorts first.
    inverse_priority: u8,
    start: u64,
    serial: u64,
}

/// Weighted fair queue.
///
/// Each call advances the virtual time of its team by the inverse of the team's weight. The attempt
/// with the earliest virtual start time leaves the queue first, so that a burst of one team delays
/// mostly that team. Operations take logarithmic time.
#[derive(Debug, Default)]
pub struct FairQueue {
    waiting: collections::BTreeMap<Position, (id::AttemptId, id::TeamId)>,
    positions: collections::BTreeMap<id::AttemptId, Position>,
    finish_times: collections::BTreeMap<id::TeamId, u64>,
    virtual_time: u64,
    last_serial: u64,
}

impl FairQueue {
    /// Returns the number of queued attempts.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no attempt is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds an attempt of a team. Attempts of a higher `priority` leave first; a `weight` of zero
    /// counts as one.
    pub fn push(&mut self, attempt: id::AttemptId, team: &id::TeamId, weight: u32, priority: u8) {
        let start = self.finish_times.get(team).copied().unwrap_or(0).max(self.virtual_time);
        self.finish_times.insert(team.clone(), start + CALL_COST / u64::from(weight.max(1)));
        self.last_serial += 1;
        let position =
            Position { inverse_priority: u8::MAX - priority, start, serial: self.last_serial };
        self.waiting.insert(position, (attempt, team.clone()));
        self.positions.insert(attempt, position);
    }

    /// Removes and returns the next attempt.
    pub fn pop(&mut self) -> Option<id::AttemptId> {
        let (position, (attempt, _)) = self.waiting.pop_first()?;
        self.positions.remove(&attempt);
        self.virtual_time = self.virtual_time.max(position.start);
        if self.waiting.is_empty() {
            // Virtual times matter only while attempts are queued. Clearing them bounds the map.
            self.finish_times.clear();
            self.virtual_time = 0;
        }
        Some(attempt)
    }

    /// Removes an attempt from any position; returns whether it was queued.
    pub fn remove(&mut self, attempt: id::AttemptId) -> bool {
        self.positions
            .remove(&attempt)
            .is_some_and(|position| self.waiting.remove(&position).is_some())
    }
}
