//! Waiting attempts of one sidecar: priorities first, then weighted fair sharing among teams.

use std::collections;

use crate::id;

/// Virtual time that one call of a team with weight 1 costs.
const CALL_COST: u64 = 1 << 20;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    // Inverted, so that the highest priority sorts first.
    urgency: u8,
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
    places: collections::BTreeMap<Place, (id::AttemptId, id::TeamId)>,
    index: collections::BTreeMap<id::AttemptId, Place>,
    finish: collections::BTreeMap<id::TeamId, u64>,
    clock: u64,
    serial: u64,
}

impl FairQueue {
    /// Returns the number of waiting attempts.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Adds an attempt of a team.
    pub fn push(&mut self, attempt: id::AttemptId, team: &id::TeamId, weight: u32, priority: u8) {
        let start = self.finish.get(team).copied().unwrap_or(0).max(self.clock);
        self.finish.insert(team.clone(), start + CALL_COST / u64::from(weight.max(1)));
        self.serial += 1;
        let place = Place { urgency: u8::MAX - priority, start, serial: self.serial };
        self.places.insert(place, (attempt, team.clone()));
        self.index.insert(attempt, place);
    }

    /// Takes the attempt whose turn it is.
    pub fn pop(&mut self) -> Option<id::AttemptId> {
        let (place, (attempt, _)) = self.places.pop_first()?;
        self.index.remove(&attempt);
        self.clock = self.clock.max(place.start);
        if self.places.is_empty() {
            // Nobody waits any more: every team starts afresh, and the map does not grow.
            self.finish.clear();
            self.clock = 0;
        }
        Some(attempt)
    }

    /// Removes an attempt before its turn; returns whether it was waiting.
    pub fn remove(&mut self, attempt: id::AttemptId) -> bool {
        self.index.remove(&attempt).is_some_and(|place| self.places.remove(&place).is_some())
    }
}
