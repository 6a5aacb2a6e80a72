//! The retry budget: retries are a bounded part of first attempts.

/// Retries that may be saved up, so that a quiet service can't burst later.
const MAX_SAVED: f64 = 20.0;

/// Counts first attempts of a service and allows retries in proportion.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// Records a first attempt, which earns `percent` of a retry.
    pub fn earn(&mut self, percent: f64) {
        self.saved = (self.saved + percent / 100.0).min(MAX_SAVED);
    }

    /// Takes one retry out of the budget; `false` when there is none.
    pub fn take(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
