//! Retry budget: retries are a bounded share of the traffic, so that they cannot feed an outage.

/// Retries allowed regardless of traffic, so that a quiet service can retry at all.
const RESERVE: f64 = 10.0;

/// Budget of one service at one entry.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: RESERVE }
    }
}

impl Budget {
    /// Earns the share of one first attempt.
    pub fn deposit(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(RESERVE);
    }

    /// Spends one retry if the budget allows it.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
