//! Retry budget of a service: limits how many requests are sent to a second backend server.

/// Fraction of the fixed allowance that instances use. The remainder covers instances that not all
/// others know yet, and retries that arrive late.
const EXTRA_SHARE: f64 = 0.6;

/// Fraction of the ratio that instances use. An instance earns retries only with the requests that
/// it received itself; the remainder covers requests that a backend server counts in a later
/// window.
const RATIO_SHARE: f64 = 0.95;

/// Token bucket of the retries that one instance may send to one service.
///
/// The allowance of all instances together is a ratio of the requests and a fixed extra per window.
/// An instance earns the ratio with its own requests, and saves at most its share of the extra.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    tokens: f64,
    /// Number of instances that share the extra, as of the last request; 0 if it was unknown.
    instances: usize,
    /// Largest number of tokens that may be saved, as of the last request.
    max_tokens: f64,
}

impl RetryBudget {
    /// Starts without tokens, since a new instance may be one of many.
    pub fn new(ratio: f64, extra: f64) -> Self {
        Self { ratio, extra, tokens: 0.0, instances: 0, max_tokens: 0.0 }
    }

    /// Adds what one caller request earns; `instances` is the number of instances that share the
    /// extra, whether they are heard or not. While it is unknown, a single token is saved.
    pub fn earn(&mut self, instances: Option<usize>) {
        self.instances = instances.unwrap_or(0);
        let share = instances.map_or(0.0, |count| self.extra * EXTRA_SHARE / count.max(1) as f64);
        self.max_tokens = share.max(1.0);
        self.tokens = (self.tokens + self.ratio * RATIO_SHARE).min(self.max_tokens);
    }

    /// Returns whether one more retry is allowed.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Tokens that are left.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Number of instances that shared the extra at the last request; 0 if it was unknown.
    pub fn instances(&self) -> usize {
        self.instances
    }

    /// Takes the token of one retry; returns whether there was one.
    pub fn take(&mut self) -> bool {
        let granted = self.has_token();
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }

    /// Returns the token of a retry that was not sent, up to the most that may be saved.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.max_tokens);
    }
}
