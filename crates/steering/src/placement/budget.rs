//! The budget for sending a request to a second backend server.

/// Part of the fixed extra that is used: instances that know few others each keep more than theirs.
const EXTRA_USED: f64 = 0.6;

/// Part of the ratio that is used.  Each instance earns it by the requests that it has taken itself,
/// which no other counts; what is left covers those that a server counts in a later window.
const RATIO_USED: f64 = 0.95;

/// Repeats that one instance may send to one service.
///
/// The allowance over all instances is a ratio of the requests and a fixed extra for each window.
/// An instance earns the ratio with its own requests, and keeps at most its part of the extra.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Begins without any token: an instance that was just started may be one of many.
    pub fn new(ratio: f64, extra: f64) -> Self {
        Self { ratio, extra, tokens: 0.0 }
    }

    /// Counts a request of a caller; `instances` share the extra.
    pub fn earn(&mut self, instances: usize) {
        let most = (self.extra * EXTRA_USED / instances.max(1) as f64).max(1.0);
        self.tokens = (self.tokens + self.ratio * RATIO_USED).min(most);
    }

    /// Tells whether the budget holds a repeat.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one repeat, if the budget holds it.
    pub fn take(&mut self) -> bool {
        let granted = self.has_token();
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
