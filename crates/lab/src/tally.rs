//! Outcomes of the callers' requests.

use crate::experiment::Load;
use crate::record::RunRecord;
use crate::report::{Latency, RequestCounts, WriteCounts};
use configuration::Class;
use hdrhistogram::Histogram;
use parking_lot::Mutex;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Significant digits of the latency histograms.
const LATENCY_DIGITS: u8 = 3;

/// Arm in the report for responses that name none.
const NO_ARM: &str = "-";

/// Outcome of one attempt, as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// A complete, correct response.
    Answered,
    /// An error response which says that the request did not run.
    NotRun,
    /// An error response after which the request may have run.
    Unknown,
    /// The connection could not be opened.
    ConnectFailed,
    /// No response, because of a timeout or a closed connection.
    NoResponse,
    /// A response body that ended early with an error.
    Truncated,
    /// A complete response that does not match the request.
    Wrong,
}

/// Result of one attempt of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) outcome: Outcome,
    /// Delay from the `Retry-After` header of a `not-run` response.
    pub(crate) retry_after: Option<Duration>,
    /// Arm that steered the request, if the response names it.
    pub(crate) arm: Option<String>,
}

impl From<Outcome> for Attempt {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, retry_after: None, arm: None }
    }
}

/// An attempt that ended without a response or with a truncated one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrokenAttempt {
    pub(crate) instance: SocketAddr,
    pub(crate) started_at: Instant,
    pub(crate) ended_at: Instant,
}

/// Outcomes of the callers' requests so far.
#[derive(Debug)]
pub(crate) struct Tally {
    record: RunRecord,
    request_counts: Mutex<RequestCounts>,
    latency: Mutex<BTreeMap<String, Histogram<u64>>>,
    write_keys: Mutex<Vec<String>>,
    /// Class of each request whose last outcome is a `not-run` response, by request id.
    reported_not_run: Mutex<HashMap<String, Class>>,
    not_run_responses: AtomicU64,
    /// `not-run` responses that arrived when the request had already run.
    run_before_response: AtomicU64,
    broken_attempts: Mutex<Vec<BrokenAttempt>>,
    wrong_responses: AtomicU64,
}

impl Tally {
    pub(crate) fn new(record: RunRecord) -> Self {
        Self {
            record,
            request_counts: Mutex::default(),
            latency: Mutex::default(),
            write_keys: Mutex::default(),
            reported_not_run: Mutex::default(),
            not_run_responses: AtomicU64::new(0),
            run_before_response: AtomicU64::new(0),
            broken_attempts: Mutex::default(),
            wrong_responses: AtomicU64::new(0),
        }
    }

    /// Counts a finished request by its last attempt.
    pub(crate) fn record_request(&self, load: &Load, last: &Attempt, latency: Duration) {
        let mut request_counts = self.request_counts.lock();
        request_counts.sent += 1;
        match last.outcome {
            Outcome::Answered => request_counts.answered += 1,
            Outcome::NotRun => request_counts.not_run += 1,
            Outcome::Unknown => request_counts.unknown += 1,
            Outcome::ConnectFailed | Outcome::NoResponse => request_counts.lost += 1,
            Outcome::Truncated | Outcome::Wrong => request_counts.cut_or_wrong += 1,
        }
        if last.outcome == Outcome::Answered {
            let arm = last.arm.as_deref().unwrap_or(NO_ARM);
            let name = format!("{}/{}/{arm}", load.service, load.class);
            let mut histograms = self.latency.lock();
            let histogram = histograms.entry(name).or_insert_with(new_histogram);
            histogram.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        }
    }

    /// Records the outcome of one attempt; must be called before the request is sent again.
    pub(crate) fn record_attempt(&self, class: Class, id: &str, outcome: Outcome) {
        match outcome {
            Outcome::NotRun => {
                self.not_run_responses.fetch_add(1, Ordering::Relaxed);
                match self.record.times_run(id) {
                    0 => drop(self.reported_not_run.lock().insert(id.to_owned(), class)),
                    _ => drop(self.run_before_response.fetch_add(1, Ordering::Relaxed)),
                }
            }
            Outcome::Wrong => drop(self.wrong_responses.fetch_add(1, Ordering::Relaxed)),
            // A later outcome of the same key replaces its `not-run` response.
            _ => drop(self.reported_not_run.lock().remove(id)),
        }
    }

    /// Records the idempotency key of a finished write or upload.
    pub(crate) fn record_write_key(&self, key: String) {
        self.write_keys.lock().push(key);
    }

    /// Records a broken attempt.
    pub(crate) fn record_broken_attempt(
        &self,
        instance: SocketAddr,
        started_at: Instant,
        ended_at: Instant,
    ) {
        self.broken_attempts.lock().push(BrokenAttempt { instance, started_at, ended_at });
    }

    /// Returns all broken attempts.
    pub(crate) fn broken_attempts(&self) -> Vec<BrokenAttempt> {
        self.broken_attempts.lock().clone()
    }

    /// Returns the number of complete but wrong responses.
    pub(crate) fn wrong_responses(&self) -> u64 {
        self.wrong_responses.load(Ordering::Relaxed)
    }

    /// Returns the counts of finished requests so far.
    pub(crate) fn request_counts(&self) -> RequestCounts {
        *self.request_counts.lock()
    }

    /// Returns the number of `not-run` responses and how many of them were for requests that ran.
    pub(crate) fn not_run_counts(&self) -> (u64, u64) {
        let run_later = self.run_after_response(|_| true);
        let run_before_response = self.run_before_response.load(Ordering::Relaxed);
        (self.not_run_responses.load(Ordering::Relaxed), run_later + run_before_response)
    }

    /// Counts the requests of the given classes that ran after their last `not-run` response.
    fn run_after_response(&self, of_class: impl Fn(Class) -> bool) -> u64 {
        let not_run = self.reported_not_run.lock();
        let has_run = |id: &str| self.record.times_run(id) > 0;
        not_run.iter().filter(|(id, class)| of_class(**class) && has_run(id)).count() as u64
    }

    pub(crate) fn write_counts(&self) -> WriteCounts {
        let mut writes = WriteCounts::default();
        for key in self.write_keys.lock().iter() {
            let times = self.record.times_run(key);
            writes.keys += 1;
            writes.run_once += u64::from(times == 1);
            writes.run_more_than_once += u64::from(times > 1);
        }
        let run_before_response = self.run_before_response.load(Ordering::Relaxed);
        let run_later = self.run_after_response(|class| !class.is_repeatable());
        writes.told_not_run_but_run = run_before_response + run_later;
        writes
    }

    pub(crate) fn latencies(&self) -> BTreeMap<String, Latency> {
        let histograms = self.latency.lock();
        histograms
            .iter()
            .map(|(name, histogram)| (name.clone(), Latency::from(histogram)))
            .collect()
    }
}

fn new_histogram() -> Histogram<u64> {
    const MAX_LATENCY_US: u64 = 60_000_000;
    Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS)
        .unwrap_or_else(|_| unreachable_histogram())
}

fn unreachable_histogram() -> Histogram<u64> {
    unreachable!("3 digits and a minute in microseconds are within the library's limits")
}

impl From<&Histogram<u64>> for Latency {
    fn from(histogram: &Histogram<u64>) -> Self {
        let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            count: histogram.len(),
            p50: quantile_ms(0.5),
            p99: quantile_ms(0.99),
            p999: quantile_ms(0.999),
            max: histogram.max() as f64 / 1_000.0,
        }
    }
}
