//! How fast pools work: learned from their calls, and used in estimates.
//!
//! Load pattern: bursts fill the memory for results before they fill the calls, so that a pool does
//! less than its terms say; and under them work that can be on time leaves nothing to late work.

use std::time;

use crate::table;

/// Pace of a pool of which nothing is known yet.
const INITIAL_RATE: f64 = 0.85;
/// Least part of its nominal rate that a call is taken to have worked at.
const MIN_RATE: f64 = 0.2;
/// Weight of a new sample in the pace of a pool.
const RATE_SMOOTHING: f64 = 0.1;
/// Weight of a new sample in the spare part of a pool.
const SPARE_SMOOTHING: f64 = 0.1;
/// Least spare part that is counted on, so that the time for late work stays finite.
const MIN_SPARE: f64 = 0.05;

/// Part of its nominal rate at which a pool works while pieces wait: calls are not full when memory
/// is short, and fetching inputs takes time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateFactor(pub f64);

impl Default for RateFactor {
    fn default() -> Self {
        Self(INITIAL_RATE)
    }
}

impl RateFactor {
    /// Learns from a call of `pieces` that took `took` while others waited.
    pub fn record(&mut self, terms: &table::Batching, pieces: usize, took: time::Duration) {
        let nominal = terms
            .duration(terms.max_pieces)
            .mul_f64(pieces as f64 / terms.max_pieces.max(1) as f64);
        let sample = nominal.as_secs_f64() / took.as_secs_f64().max(0.001);
        self.0 += (sample.clamp(MIN_RATE, 1.0) - self.0) * RATE_SMOOTHING;
    }
}

/// Part of a pool's calls that work which can be on time leaves to late work.
#[derive(Clone, Copy, Debug)]
pub struct SpareShare(f64);

impl Default for SpareShare {
    fn default() -> Self {
        Self(1.0)
    }
}

impl SpareShare {
    /// Learns from a call with `taken` pieces of `places`, of which `prompt` can be on time;
    /// `is_short` tells that more of those wait.
    pub fn record(&mut self, places: usize, taken: usize, prompt: usize, is_short: bool) {
        let whole = taken.max(places / 2).max(1);
        let sample = if is_short { 0.0 } else { 1.0 - prompt as f64 / whole as f64 };
        self.0 += (sample - self.0) * SPARE_SMOOTHING;
    }

    /// Returns the spare part that can be counted on, above zero.
    pub fn share(self) -> f64 {
        self.0.max(MIN_SPARE)
    }
}
