//! Figures that this instance observes itself.

use super::{SiteName, SiteReport};
use crate::Time;
use std::time::Duration;

/// Response times kept per site.
const RESPONSE_TIME_SAMPLES: usize = 32;

/// Time in which counted exchanges lose half of their weight.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Smallest weighted count of exchanges for which a failure ratio is reported.
const MIN_EXCHANGES: f64 = 5.0;

/// How an exchange ended, as far as it says something about the site.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangeEnd {
    /// The response head arrived.
    Responded {
        /// Time to the response head, less the round trip; `None` if it depends on the caller, as
        /// for an upload.
        response_time: Option<Duration>,
        /// Whether the response reports a failure of the backend server.
        failed: bool,
    },
    /// The backend server was unreachable, closed the connection early or didn't respond in time.
    Failed,
    /// The exchange was abandoned for a reason unrelated to the site.
    Abandoned,
}

/// This instance's requests at one site.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnSite {
    pub(super) in_flight: u32,
    pub(super) granted_slots: u32,
    response_times_us: [u32; RESPONSE_TIME_SAMPLES],
    next_sample: usize,
    sample_count: usize,
    exchanges: f64,
    failures: f64,
    counted_at: Time,
    pub(super) last_response_at: Option<Time>,
}

impl OwnSite {
    pub(super) fn record_start(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn record_release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(super) fn record_end(&mut self, end: ExchangeEnd, now: Time) {
        match end {
            ExchangeEnd::Responded { response_time, failed } => {
                self.count_exchange(failed, now);
                if let Some(response_time) = response_time {
                    self.record_response_time(response_time);
                    self.last_response_at = Some(now);
                }
            }
            ExchangeEnd::Failed => self.count_exchange(true, now),
            ExchangeEnd::Abandoned => {}
        }
    }

    fn count_exchange(&mut self, failed: bool, now: Time) {
        let decay = self.decay_factor(now);
        self.exchanges = self.exchanges * decay + 1.0;
        self.failures = self.failures * decay + f64::from(u8::from(failed));
        self.counted_at = now;
    }

    fn record_response_time(&mut self, response_time: Duration) {
        let response_time_us = u32::try_from(response_time.as_micros()).unwrap_or(u32::MAX);
        self.response_times_us[self.next_sample] = response_time_us.max(1);
        self.next_sample = (self.next_sample + 1) % RESPONSE_TIME_SAMPLES;
        self.sample_count = (self.sample_count + 1).min(RESPONSE_TIME_SAMPLES);
    }

    /// Returns the median of the last response times, in microseconds; `None` before the first.
    pub(super) fn response_time_us(&self) -> Option<u32> {
        let mut response_times_us = self.response_times_us;
        let samples = &mut response_times_us[..self.sample_count];
        samples.sort_unstable();
        samples.get(samples.len() / 2).copied()
    }

    /// Returns the fraction of recent exchanges that failed; 0 if there were too few.
    pub(super) fn failed_share(&self, now: Time) -> f64 {
        match self.exchanges * self.decay_factor(now) >= MIN_EXCHANGES {
            true => self.failures / self.exchanges,
            false => 0.0,
        }
    }

    pub(super) fn report(&self, site: &SiteName, now: Time) -> Option<SiteReport> {
        let response_time_us = self.response_time_us();
        if self.in_flight == 0 && self.granted_slots == 0 && response_time_us.is_none() {
            return None;
        }
        Some(SiteReport {
            site: site.clone(),
            in_flight: self.in_flight,
            granted_slots: self.granted_slots,
            response_time_us,
            failed_share: self.failed_share(now),
        })
    }

    fn decay_factor(&self, now: Time) -> f64 {
        let age = now.since(self.counted_at).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
