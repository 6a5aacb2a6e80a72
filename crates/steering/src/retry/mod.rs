//! The retry budget, which limits retries to a percentage of first attempts.

/// Largest budget, so that a service can't burst after a quiet period.
const MAX_RETRIES: f64 = 20.0;

/// The retry budget of a service, a token bucket that is filled by first attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBudget {
    available: f64,
}

impl RetryBudget {
    /// Records a first attempt, which adds `percent` of a retry to the budget.
    pub fn earn(&mut self, percent: f64) {
        self.available = (self.available + percent / 100.0).min(MAX_RETRIES);
    }

    /// Takes one retry from the budget; `false` if there is none.
    pub fn take(&mut self) -> bool {
        let allowed = self.available >= 1.0;
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }
}
