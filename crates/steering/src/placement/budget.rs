//! Retry budget of a service: limits how many requests are sent to a second backend server.

use super::retry_window::{MAX_LATENESS_WINDOWS, RetryWindow};
use crate::Time;
use std::time::Duration;

/// Fraction of the fixed allowance that instances use. The remainder covers instances that not all
/// others know yet.
const EXTRA_SHARE: f64 = 0.6;

/// Fraction of the ratio that instances use. An instance earns retries only with the requests that
/// it received itself; the remainder covers requests that count in a later window or for another
/// service, and retries that arrive in a later window than they were sent.
const RATIO_SHARE: f64 = 0.88;

/// Retries that all instances together may send to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTerms {
    /// Retries per request.
    pub ratio: f64,
    /// Retries in addition, in each window.
    pub extra: f64,
    /// Length of the windows over which retries are counted where they arrive.
    pub window: Duration,
}

impl RetryTerms {
    /// Longest time for which an attempt that was given up may be on the way to a backend server.
    pub fn max_lateness(&self) -> Duration {
        self.window * MAX_LATENESS_WINDOWS
    }
}

impl Default for RetryTerms {
    fn default() -> Self {
        Self { ratio: 0.0, extra: 0.0, window: Duration::from_secs(10) }
    }
}

/// Token bucket of the retries that one instance may send to one service, and the window over which
/// they count.
///
/// The allowance of all instances together is a ratio of the requests and a fixed extra per window.
/// An instance earns the ratio with its own requests, and saves at most its share of the extra. The
/// tokens limit what is sent, the window what may arrive late.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    terms: RetryTerms,
    tokens: f64,
    window: RetryWindow,
    /// Number of instances that share the extra, as of the last request; 0 if it was unknown.
    instances: usize,
    /// Largest number of tokens that may be saved, as of the last request.
    max_tokens: f64,
}

impl RetryBudget {
    /// Starts without tokens, since a new instance may be one of many.
    pub fn new(terms: RetryTerms) -> Self {
        let window = RetryWindow::new(terms.window);
        Self { terms, tokens: 0.0, window, instances: 0, max_tokens: 0.0 }
    }

    /// Adds what one caller request earns; `instances` is the number of instances that share the
    /// extra, whether they are heard or not. While it is unknown, a single token is saved.
    pub fn earn(&mut self, instances: Option<usize>, now: Time) {
        self.instances = instances.unwrap_or(0);
        let extra = self.terms.extra * EXTRA_SHARE;
        let share = instances.map_or(0.0, |count| extra / count.max(1) as f64);
        self.max_tokens = share.max(1.0);
        self.tokens = (self.tokens + self.usable_ratio()).min(self.max_tokens);
        self.window.add_request(now);
    }

    /// Returns whether one more retry is allowed.
    pub fn has_token(&self, now: Time) -> bool {
        let allowed = self.usable_ratio() * f64::from(self.window.requests(now)) + self.max_tokens;
        self.tokens >= 1.0 && f64::from(self.window.retries(now) + 1) <= allowed
    }

    /// Tokens that are left.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Retries that count in the present window, those included that may arrive later.
    pub fn counted_retries(&self, now: Time) -> u32 {
        self.window.retries(now)
    }

    /// Number of instances that shared the extra at the last request; 0 if it was unknown.
    pub fn instances(&self) -> usize {
        self.instances
    }

    /// Takes the token of one retry, which counts until it is refunded or ended, and for a window from
    /// then on; returns whether there was one.
    pub fn take(&mut self, now: Time) -> bool {
        let granted = self.has_token(now);
        if granted {
            self.tokens -= 1.0;
            self.window.add_retry();
        }
        granted
    }

    /// Returns the token of a retry that was not sent, up to the most that may be saved.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.max_tokens);
        self.window.remove_retry();
    }

    /// Ends a retry: neither it nor another attempt of its request arrives later than `latest`.
    pub fn end(&mut self, latest: Time, now: Time) {
        self.window.end_retry(latest, now);
    }

    fn usable_ratio(&self) -> f64 {
        self.terms.ratio * RATIO_SHARE
    }
}
