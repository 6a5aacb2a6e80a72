//! What the callers saw.

use crate::experiment::Load;
use crate::record::RunRecord;
use crate::report::{Latency, Requests, Writes};
use configuration::Class;
use hdrhistogram::Histogram;
use parking_lot::Mutex;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Significant digits of latency histograms.
const LATENCY_DIGITS: u8 = 3;

/// Arm in the report when the answer named none.
const NO_ARM: &str = "-";

/// What a caller saw of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Seen {
    /// A whole and right answer.
    Answered,
    /// A refusal that says it was not run.
    NotRun,
    /// A refusal that says it may have run.
    Unknown,
    /// No connection.
    NotReached,
    /// No answer.
    Lost,
    /// An answer that broke off, as the caller could tell.
    Cut,
    /// A whole answer that is not the one to this request.
    Wrong,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) seen: Seen,
    /// When to come back, where the answer said so.
    pub(crate) retry_after: Option<Duration>,
    /// Arm that steered it, where the answer said so.
    pub(crate) arm: Option<String>,
}

impl From<Seen> for Attempt {
    fn from(seen: Seen) -> Self {
        Self { seen, retry_after: None, arm: None }
    }
}

/// An attempt at an instance that broke.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Broken {
    pub(crate) instance: SocketAddr,
    pub(crate) began: Instant,
    pub(crate) ended: Instant,
}

/// What the callers saw so far.
#[derive(Debug)]
pub(crate) struct Tally {
    record: RunRecord,
    requests: Mutex<Requests>,
    latency: Mutex<BTreeMap<String, Histogram<u64>>>,
    writes: Mutex<Vec<String>>,
    told_not_run: Mutex<HashMap<String, Class>>,
    times_told_not_run: AtomicU64,
    run_when_told: AtomicU64,
    broken: Mutex<Vec<Broken>>,
    wrong: AtomicU64,
}

impl Tally {
    pub(crate) fn new(record: RunRecord) -> Self {
        Self {
            record,
            requests: Mutex::default(),
            latency: Mutex::default(),
            writes: Mutex::default(),
            told_not_run: Mutex::default(),
            times_told_not_run: AtomicU64::new(0),
            run_when_told: AtomicU64::new(0),
            broken: Mutex::default(),
            wrong: AtomicU64::new(0),
        }
    }

    /// Counts a request by its last attempt.
    pub(crate) fn count(&self, load: &Load, last: &Attempt, latency: Duration) {
        let mut requests = self.requests.lock();
        requests.sent += 1;
        match last.seen {
            Seen::Answered => requests.answered += 1,
            Seen::NotRun => requests.not_run += 1,
            Seen::Unknown => requests.unknown += 1,
            Seen::NotReached | Seen::Lost => requests.lost += 1,
            Seen::Cut | Seen::Wrong => requests.cut_or_wrong += 1,
        }
        if last.seen == Seen::Answered {
            let arm = last.arm.as_deref().unwrap_or(NO_ARM);
            let name = format!("{}/{}/{arm}", load.service, load.class);
            let mut histograms = self.latency.lock();
            let histogram = histograms.entry(name).or_insert_with(new_histogram);
            histogram.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        }
    }

    /// Notes what one attempt was told, before the request is sent again.
    pub(crate) fn told(&self, class: Class, id: &str, seen: Seen) {
        match seen {
            Seen::NotRun => {
                self.times_told_not_run.fetch_add(1, Ordering::Relaxed);
                match self.record.times_run(id) {
                    0 => drop(self.told_not_run.lock().insert(id.to_owned(), class)),
                    _ => drop(self.run_when_told.fetch_add(1, Ordering::Relaxed)),
                }
            }
            Seen::Wrong => drop(self.wrong.fetch_add(1, Ordering::Relaxed)),
            // What is known now is another answer to the same key.
            _ => drop(self.told_not_run.lock().remove(id)),
        }
    }

    /// Notes the idempotency key of a write that ended.
    pub(crate) fn write(&self, key: String) {
        self.writes.lock().push(key);
    }

    /// Notes an attempt that broke.
    pub(crate) fn broken(&self, instance: SocketAddr, began: Instant, ended: Instant) {
        self.broken.lock().push(Broken { instance, began, ended });
    }

    /// Returns the attempts that broke.
    pub(crate) fn all_broken(&self) -> Vec<Broken> {
        self.broken.lock().clone()
    }

    /// Returns the number of whole answers that were wrong.
    pub(crate) fn wrong(&self) -> u64 {
        self.wrong.load(Ordering::Relaxed)
    }

    /// Returns the requests counted so far.
    pub(crate) fn requests(&self) -> Requests {
        *self.requests.lock()
    }

    /// Returns how many requests were told that they were not run, and how many of them ran.
    pub(crate) fn judge_not_run(&self) -> (u64, u64) {
        let run_later = self.run_though_told(|_| true);
        let run_when_told = self.run_when_told.load(Ordering::Relaxed);
        (self.times_told_not_run.load(Ordering::Relaxed), run_later + run_when_told)
    }

    fn run_though_told(&self, of_class: impl Fn(Class) -> bool) -> u64 {
        let told = self.told_not_run.lock();
        let run = |id: &str| self.record.times_run(id) > 0;
        told.iter().filter(|(id, class)| of_class(**class) && run(id)).count() as u64
    }

    pub(crate) fn judge_writes(&self) -> Writes {
        let mut writes = Writes::default();
        for key in self.writes.lock().iter() {
            let times = self.record.times_run(key);
            writes.keys += 1;
            writes.run_once += u64::from(times == 1);
            writes.run_more_than_once += u64::from(times > 1);
        }
        let run_when_told = self.run_when_told.load(Ordering::Relaxed);
        let run_later = self.run_though_told(|class| !class.is_repeatable());
        writes.told_not_run_but_run = run_when_told + run_later;
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
    const LONGEST_US: u64 = 60_000_000;
    Histogram::new_with_max(LONGEST_US, LATENCY_DIGITS).unwrap_or_else(|_| unreachable_histogram())
}

fn unreachable_histogram() -> Histogram<u64> {
    unreachable!("3 digits and a minute in microseconds are within the library's limits")
}

impl From<&Histogram<u64>> for Latency {
    fn from(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
            max: histogram.max() as f64 / 1_000.0,
        }
    }
}
