//! How fast a queue moves, as measured.

use crate::Time;
use std::time::Duration;

/// Weight of a new value in a mean, as one part of so many.
const WEIGHT: u32 = 16;

/// Mean times of a service at this instance.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    /// Mean time between two starts while requests wait.
    interval: Option<Duration>,
    /// The last start, or the beginning of the backlog.
    last_start: Time,
    /// Mean time that a request holds its slot; zero when not measured.
    service: Duration,
}

impl Pace {
    /// Records that the first request began to wait.
    pub(super) fn start_backlog(&mut self, now: Time) {
        self.last_start = now;
    }

    /// Records that a request that waited was started.
    pub(super) fn record_start(&mut self, now: Time) {
        let interval = now.since(self.last_start);
        self.last_start = now;
        self.interval = Some(self.interval.map_or(interval, |mean| mix(mean, interval)));
    }

    /// Records how long a request held its slot.
    pub(super) fn record_service(&mut self, held: Duration) {
        self.service = if self.service.is_zero() { held } else { mix(self.service, held) };
    }

    /// Returns the mean time that a request holds its slot; zero when not measured.
    pub(super) fn mean_service(&self) -> Duration {
        self.service
    }

    /// Returns the time in which so many requests that wait will be started.
    ///
    /// Zero when nothing is measured yet.  A queue that does not move counts as ever slower.
    pub(super) fn time_for(&self, now: Time, requests: usize) -> Duration {
        let Some(interval) = self.interval else { return Duration::ZERO };
        let requests = u32::try_from(requests).unwrap_or(u32::MAX);
        let stalled = if requests > 1 { now.since(self.last_start) } else { Duration::ZERO };
        interval.saturating_mul(requests).max(stalled)
    }
}

fn mix(mean: Duration, value: Duration) -> Duration {
    (mean * (WEIGHT - 1) + value) / WEIGHT
}
