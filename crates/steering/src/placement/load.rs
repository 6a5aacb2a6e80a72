//! Estimate of a backend server's load from its reports and from the requests of this instance.

use std::time::Instant;

/// Time constant with which the estimate changes from the latest report to the mean of reports.
const REPORT_DECAY_S: f64 = 0.3;

/// Time constant with which the mean of reports decays while no new report comes.
const MEAN_DECAY_S: f64 = 4.0;

/// Weight of a new report in the moving average.
const REPORT_WEIGHT: f64 = 0.15;

/// A backend server's report of its own load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

impl LoadReport {
    /// Returns whether a slot was free.
    pub fn has_free_slot(self) -> bool {
        self.running.saturating_add(self.waiting) < self.slots
    }
}

/// Load estimate of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Requests of this instance that are in flight.
    pub in_flight: u32,
    /// Requests of other instances, by the latest report.
    others: f64,
    /// Requests of other instances, as a moving average over reports.
    others_mean: f64,
    reported_at: Option<Instant>,
    /// Whether a response came without a report.
    omits_reports: bool,
}

impl Load {
    /// Records the report of a response.
    ///
    /// The report still counts the answered request, while `in_flight` no longer does.
    pub fn record_report(&mut self, report: LoadReport, now: Instant) {
        let all = f64::from(report.running) + f64::from(report.waiting) - 1.0;
        self.others = (all - f64::from(self.in_flight)).max(0.0);
        self.others_mean = match self.reported_at {
            Some(_) => self.others_mean + (self.others - self.others_mean) * REPORT_WEIGHT,
            None => self.others,
        };
        self.reported_at = Some(now);
    }

    /// Records that a response came without a report.
    pub fn record_missing_report(&mut self) {
        self.omits_reports = true;
    }

    /// Estimates the number of requests at the backend server.
    ///
    /// If it never reports, each of the `sending_instances`, this one included, is assumed to have
    /// as many requests in flight as this one.
    ///
    /// A busy backend server answers late, so its reports are oldest when they matter most. As a
    /// report ages, the moving average replaces it, so that the requests of others don't seem to
    /// have ended.
    pub fn estimate(&self, sending_instances: usize, now: Instant) -> f64 {
        let Some(reported_at) = self.reported_at else {
            let sending_instances = if self.omits_reports { sending_instances } else { 1 };
            return f64::from(self.in_flight) * sending_instances as f64;
        };
        let age_s = now.saturating_duration_since(reported_at).as_secs_f64();
        let latest_weight = (-age_s / REPORT_DECAY_S).exp();
        let mean_weight = (-age_s / MEAN_DECAY_S).exp();
        f64::from(self.in_flight)
            + self.others * latest_weight
            + self.others_mean * mean_weight * (1.0 - latest_weight)
    }
}
