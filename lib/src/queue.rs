//! Waiting attempts of one sidecar: priorities first, then weighted fair sharing among teams.

use std::collections;

use crate::id;

/// Virtual time that one call of a team with weight 1 costs.
const CALL_COST: u64 = 1 << 20;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Position {
    // Inverted, so that the highest priority sorts first.
    inverse_priority: u8,
    start: u64,
    serial: u64,
}

/// Weighted fair queue.
///
/// Each team has a virtual time that grows by the inverse of its weight with every call. The
/// attempt with the least virtual start time leaves first, so that a burst of one team delays
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
    /// Returns the number of waiting attempts.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds an attempt of a team.
    pub fn push(&mut self, attempt: id::AttemptId, team: &id::TeamId, weight: u32, priority: u8) {
        let start = self.finish_times.get(team).copied().unwrap_or(0).max(self.virtual_time);
        self.finish_times.insert(team.clone(), start + CALL_COST / u64::from(weight.max(1)));
        self.last_serial += 1;
        let place =
            Position { inverse_priority: u8::MAX - priority, start, serial: self.last_serial };
        self.waiting.insert(place, (attempt, team.clone()));
        self.positions.insert(attempt, place);
    }

    /// Takes the attempt whose turn it is.
    pub fn pop(&mut self) -> Option<id::AttemptId> {
        let (place, (attempt, _)) = self.waiting.pop_first()?;
        self.positions.remove(&attempt);
        self.virtual_time = self.virtual_time.max(place.start);
        if self.waiting.is_empty() {
            // Nobody waits any more: every team starts afresh, and the map does not grow.
            self.finish_times.clear();
            self.virtual_time = 0;
        }
        Some(attempt)
    }

    /// Removes an attempt before its turn; returns whether it was waiting.
    pub fn remove(&mut self, attempt: id::AttemptId) -> bool {
        self.positions.remove(&attempt).is_some_and(|place| self.waiting.remove(&place).is_some())
    }
}
