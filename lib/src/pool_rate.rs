//! Measures how fast upstream pools process batch calls, for estimates of waiting times.
//!
//! Load pattern: bursts fill the memory for results before they fill the calls, so that a pool
//! processes fewer pieces than its nominal rate. During bursts, work that can be on time leaves no
//! capacity for late work.

use std::time;

use crate::table;

/// Rate factor of a pool before its first sample.
const INITIAL_RATE: f64 = 0.85;
/// Lowest sample of a rate factor; slower calls count as this.
const MIN_RATE: f64 = 0.2;
/// Weight of a new sample in the rate factor.
const RATE_SMOOTHING: f64 = 0.1;
/// Weight of a new sample in the spare share.
const SPARE_SMOOTHING: f64 = 0.1;
/// Lowest spare share that estimates use, so that the expected time for late work stays finite.
const MIN_SPARE: f64 = 0.05;

/// Share of its nominal rate at which a pool processes pieces while others are queued. It is below
/// 1 because calls are not full when memory is short, and because fetching inputs takes time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateFactor(pub f64);

impl Default for RateFactor {
    fn default() -> Self {
        Self(INITIAL_RATE)
    }
}

impl RateFactor {
    /// Records a call of `pieces` that took `took` while more pieces were queued.
    pub fn record(&mut self, batching: &table::Batching, pieces: usize, took: time::Duration) {
        let nominal = batching
            .duration(batching.max_pieces)
            .mul_f64(pieces as f64 / batching.max_pieces.max(1) as f64);
        let sample = nominal.as_secs_f64() / took.as_secs_f64().max(0.001);
        self.0 += (sample.clamp(MIN_RATE, 1.0) - self.0) * RATE_SMOOTHING;
    }
}

/// Share of a pool's capacity that work which can be on time leaves to late work.
#[derive(Clone, Copy, Debug)]
pub struct SpareShare(f64);

impl Default for SpareShare {
    fn default() -> Self {
        Self(1.0)
    }
}

impl SpareShare {
    /// Records a call with `pieces` of at most `max_pieces` pieces, of which `on_time` can be on
    /// time. `has_backlog` tells whether more pieces that can be on time are still queued.
    pub fn record(&mut self, max_pieces: usize, pieces: usize, on_time: usize, has_backlog: bool) {
        let capacity = pieces.max(max_pieces / 2).max(1);
        let sample = if has_backlog { 0.0 } else { 1.0 - on_time as f64 / capacity as f64 };
        self.0 += (sample - self.0) * SPARE_SMOOTHING;
    }

    /// Returns the share of a pool that on-time work fills completely.
    pub fn none() -> Self {
        Self(0.0)
    }

    /// Returns the share for use in estimates, which is above zero.
    pub fn share(self) -> f64 {
        self.0.max(MIN_SPARE)
    }
}
