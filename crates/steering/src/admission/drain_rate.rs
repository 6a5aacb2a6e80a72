//! Observed rate at which queued requests are started.

use crate::Time;
use std::time::Duration;

/// Reciprocal of the weight of a new value in a moving average.
const AVERAGING_DIVISOR: u32 = 16;

/// Mean times of one service at this instance.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DrainRate {
    /// Mean time between two starts while requests wait; `None` before the first start.
    mean_interval: Option<Duration>,
    /// Time of the last start, or of the beginning of the backlog.
    last_start: Time,
    /// Mean time that a request holds its slot; zero before the first request.
    mean_service_time: Duration,
}

impl DrainRate {
    /// Records that the first request began to wait.
    pub(super) fn start_backlog(&mut self, now: Time) {
        self.last_start = now;
    }

    /// Records that a queued request was started.
    pub(super) fn record_start(&mut self, now: Time) {
        let interval = now.since(self.last_start);
        self.last_start = now;
        self.mean_interval =
            Some(self.mean_interval.map_or(interval, |mean| moving_average(mean, interval)));
    }

    /// Records how long a request held its slot.
    pub(super) fn record_service_time(&mut self, service_time: Duration) {
        self.mean_service_time = if self.mean_service_time.is_zero() {
            service_time
        } else {
            moving_average(self.mean_service_time, service_time)
        };
    }

    /// Returns the mean time that a request holds its slot; zero before the first request.
    pub(super) fn mean_service_time(&self) -> Duration {
        self.mean_service_time
    }

    /// Returns the expected time until this number of queued requests has been started; zero before
    /// the first start.
    ///
    /// For a stalled queue, the estimate is at least the time since the last start.
    pub(super) fn time_to_start(&self, now: Time, requests: usize) -> Duration {
        let Some(mean_interval) = self.mean_interval else { return Duration::ZERO };
        let requests = u32::try_from(requests).unwrap_or(u32::MAX);
        let stalled = if requests > 1 { now.since(self.last_start) } else { Duration::ZERO };
        mean_interval.saturating_mul(requests).max(stalled)
    }
}

fn moving_average(mean: Duration, value: Duration) -> Duration {
    (mean * (AVERAGING_DIVISOR - 1) + value) / AVERAGING_DIVISOR
}
