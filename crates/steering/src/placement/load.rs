//! How busy a backend server is, from its reports and from what this instance has sent.

use std::time::{Duration, Instant};

/// Time after which a report of others' work has lost most of its meaning.
const REPORT_LIFE: Duration = Duration::from_millis(700);

/// A backend server's own report of its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// The estimate of a backend server's load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Requests of this instance that it works on.
    pub in_flight: u32,
    others: f64,
    reported_at: Option<Instant>,
}

impl Load {
    /// Takes over a report that came with an answer, which is counted in it no more.
    pub fn reported(&mut self, report: LoadReport, now: Instant) {
        let all = f64::from(report.running) + f64::from(report.waiting);
        self.others = (all - f64::from(self.in_flight)).max(0.0);
        self.reported_at = Some(now);
    }

    /// Estimates the requests at the backend server.
    pub fn estimate(&self, now: Instant) -> f64 {
        let Some(reported_at) = self.reported_at else { return f64::from(self.in_flight) };
        let age = now.saturating_duration_since(reported_at).as_secs_f64();
        let weight = (-age / REPORT_LIFE.as_secs_f64()).exp();
        f64::from(self.in_flight) + self.others * weight
    }
}
