//! What this instance observed itself.

use super::{SiteName, SiteReport};
use crate::Time;
use std::time::Duration;

/// Answer times kept of each site.
const ANSWER_TIMES: usize = 32;

/// Time in which counted exchanges lose half their weight.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Exchanges that have to be counted before their failures say anything.
const LEAST_EXCHANGES: f64 = 5.0;

/// How an exchange ended, as far as it tells something of the site.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangeEnd {
    /// The answer's head came.
    Answered {
        /// Time to the answer's head, less the round trip; `None` when the time is the caller's, as
        /// for an upload.
        answer_time: Option<Duration>,
        /// Whether it says that the backend server failed.
        failed: bool,
    },
    /// The backend server could not be reached, broke off or did not answer in time.
    Failed,
    /// The exchange was given up for a reason that is not the site's.
    Abandoned,
}

/// Own work at one site.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnSite {
    pub(super) in_flight: u32,
    pub(super) granted_slots: u32,
    answer_times_us: [u32; ANSWER_TIMES],
    next: usize,
    known: usize,
    exchanges: f64,
    failures: f64,
    counted_at: Time,
    pub(super) last_answer: Option<Time>,
}

impl OwnSite {
    pub(super) fn started(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn released(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(super) fn ended(&mut self, end: ExchangeEnd, now: Time) {
        match end {
            ExchangeEnd::Answered { answer_time, failed } => {
                self.count(failed, now);
                if let Some(answer_time) = answer_time {
                    self.keep(answer_time);
                    self.last_answer = Some(now);
                }
            }
            ExchangeEnd::Failed => self.count(true, now),
            ExchangeEnd::Abandoned => {}
        }
    }

    fn count(&mut self, failed: bool, now: Time) {
        let kept = self.kept_part(now);
        self.exchanges = self.exchanges * kept + 1.0;
        self.failures = self.failures * kept + f64::from(u8::from(failed));
        self.counted_at = now;
    }

    fn keep(&mut self, answer_time: Duration) {
        let answer_time_us = u32::try_from(answer_time.as_micros()).unwrap_or(u32::MAX);
        self.answer_times_us[self.next] = answer_time_us.max(1);
        self.next = (self.next + 1) % ANSWER_TIMES;
        self.known = (self.known + 1).min(ANSWER_TIMES);
    }

    /// Returns the median of the last answer times, in microseconds; `None` before the first.
    pub(super) fn answer_time_us(&self) -> Option<u32> {
        let mut answer_times_us = self.answer_times_us;
        let known = &mut answer_times_us[..self.known];
        known.sort_unstable();
        known.get(known.len() / 2).copied()
    }

    /// Returns the part of recent exchanges that failed, 0 while too few were counted.
    pub(super) fn failed_share(&self, now: Time) -> f64 {
        match self.exchanges * self.kept_part(now) >= LEAST_EXCHANGES {
            true => self.failures / self.exchanges,
            false => 0.0,
        }
    }

    pub(super) fn report(&self, site: &SiteName, now: Time) -> Option<SiteReport> {
        let answer_time_us = self.answer_time_us();
        if self.in_flight == 0 && self.granted_slots == 0 && answer_time_us.is_none() {
            return None;
        }
        Some(SiteReport {
            site: site.clone(),
            in_flight: self.in_flight,
            granted_slots: self.granted_slots,
            answer_time_us,
            failed_share: self.failed_share(now),
        })
    }

    fn kept_part(&self, now: Time) -> f64 {
        let age = now.since(self.counted_at).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
