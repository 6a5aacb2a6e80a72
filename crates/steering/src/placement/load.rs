//! How busy a backend server is, from its reports and from what this instance has sent.

use std::time::Instant;

/// Time in which the last report of others' work gives way to the mean of reports.
const REPORT_LIFE_S: f64 = 0.3;

/// Time in which the mean of reports loses its meaning, when none comes any more.
const MEAN_LIFE_S: f64 = 4.0;

/// Weight of a new report in their mean.
const REPORT_WEIGHT: f64 = 0.15;

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

impl LoadReport {
    /// Whether a slot was free.
    pub fn has_free_slot(self) -> bool {
        self.running + self.waiting < self.slots
    }
}

/// The estimate of a backend server's load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Requests of this instance that it works on.
    pub in_flight: u32,
    /// Requests of others, by the last report.
    others: f64,
    /// Requests of others, by the mean of reports.
    others_mean: f64,
    reported_at: Option<Instant>,
    /// Whether an answer came without a report.
    tells_nothing: bool,
}

impl Load {
    /// Takes over a report that came with an answer.
    ///
    /// The report still counts the request that was answered, `in_flight` does so no more.
    pub fn reported(&mut self, report: LoadReport, now: Instant) {
        let all = f64::from(report.running) + f64::from(report.waiting) - 1.0;
        self.others = (all - f64::from(self.in_flight)).max(0.0);
        self.others_mean = match self.reported_at {
            Some(_) => self.others_mean + (self.others - self.others_mean) * REPORT_WEIGHT,
            None => self.others,
        };
        self.reported_at = Some(now);
    }

    /// Notes that an answer came without a report.
    pub fn not_reported(&mut self) {
        self.tells_nothing = true;
    }

    /// Estimates the requests at the backend server.
    ///
    /// Of one that never reports, others are taken to send as much as this instance: `sharers` is
    /// their number, this one included.
    ///
    /// A busy backend server answers late, so its reports are old just when they matter: others'
    /// work is then taken to be what it was in the mean, not to have ended.
    pub fn estimate(&self, sharers: usize, now: Instant) -> f64 {
        let Some(reported_at) = self.reported_at else {
            let sharers = if self.tells_nothing { sharers } else { 1 };
            return f64::from(self.in_flight) * sharers as f64;
        };
        let age_s = now.saturating_duration_since(reported_at).as_secs_f64();
        let last = (-age_s / REPORT_LIFE_S).exp();
        let mean = (-age_s / MEAN_LIFE_S).exp();
        f64::from(self.in_flight) + self.others * last + self.others_mean * mean * (1.0 - last)
    }
}
