//! Retry budget, which limits retries to a share of the traffic so that they cannot amplify an
//! outage.

/// Largest and initial balance of a budget, in retries. It lets a service with little traffic
/// retry.
const MAX_BALANCE: f64 = 10.0;

/// Budget of one service at one entry.
#[derive(Clone, Debug)]
pub struct Budget {
    balance: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { balance: MAX_BALANCE }
    }
}

impl Budget {
    /// Adds the share of a retry that one first attempt allows.
    pub fn deposit(&mut self, share: f64) {
        self.balance = (self.balance + share).min(MAX_BALANCE);
    }

    /// Whether the budget has a retry left.
    pub fn has_retry(&self) -> bool {
        self.balance >= 1.0
    }

    /// Takes one retry from the budget; returns false if it has none left.
    pub fn try_withdraw(&mut self) -> bool {
        let has_enough = self.has_retry();
        if has_enough {
            self.balance -= 1.0;
        }
        has_enough
    }
}
