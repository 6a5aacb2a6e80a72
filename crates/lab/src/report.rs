//! What an experiment showed, judged from what callers saw and what backend servers ran.

use crate::backend::RunRecord;
use crate::callers::Seen;
use crate::experiment::Load;
use hdrhistogram::Histogram;
use parking_lot::Mutex;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Significant digits of latency histograms.
const LATENCY_DIGITS: u8 = 3;

/// What the callers saw so far.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    requests: Mutex<Requests>,
    latency: Mutex<BTreeMap<String, Histogram<u64>>>,
    writes: Mutex<Vec<(String, Seen)>>,
}

/// A finished experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: String,
    /// Seed of the callers and backend servers.
    pub seed: u64,
    /// Length of the run, in seconds.
    pub duration_s: u64,
    /// Requests by what the callers saw.
    pub requests: Requests,
    /// Writes and uploads by how often they were run.
    pub writes: Writes,
    /// Latency of answered requests in milliseconds, by `service/class`.
    pub latency_ms: BTreeMap<String, Latency>,
    /// Promises with the number of checks made and of violations found.
    pub invariants: BTreeMap<&'static str, Invariant>,
}

/// Requests by what the callers saw.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Requests {
    /// Requests sent.
    pub sent: u64,
    /// Whole and right answers.
    pub answered: u64,
    /// Refusals that say the request was not run.
    pub not_run: u64,
    /// Refusals that say the request may have run.
    pub unknown: u64,
    /// No answer at all.
    pub lost: u64,
    /// Answers that broke off or were another request's.
    pub cut_or_wrong: u64,
}

/// Writes and uploads by how often they were run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Writes {
    /// Idempotency keys used.
    pub keys: u64,
    /// Keys run once.
    pub run_once: u64,
    /// Keys run twice or more.
    pub run_more_than_once: u64,
    /// Keys run although the caller was told they were not.
    pub told_not_run_but_run: u64,
}

/// A summary of a latency histogram, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Latency {
    /// Number of answers.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Longest.
    pub max: f64,
}

/// Checks of one promise.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Invariant {
    /// Number of checks; with 0 the promise was not checked.
    pub checked: u64,
    /// Number of checks that failed.
    pub violations: u64,
}

impl Tally {
    pub(crate) fn count(&self, load: &Load, seen: Seen, latency: Duration) {
        let mut requests = self.requests.lock();
        requests.sent += 1;
        match seen {
            Seen::Answered => requests.answered += 1,
            Seen::NotRun => requests.not_run += 1,
            Seen::Unknown => requests.unknown += 1,
            Seen::Lost => requests.lost += 1,
            Seen::CutOrWrong => requests.cut_or_wrong += 1,
        }
        if seen == Seen::Answered {
            let name = format!("{}/{}", load.service, load.class);
            let mut histograms = self.latency.lock();
            let histogram = histograms.entry(name).or_insert_with(new_histogram);
            histogram.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        }
    }

    pub(crate) fn write(&self, id: String, seen: Seen) {
        self.writes.lock().push((id, seen));
    }

    /// Returns the requests counted so far.
    pub(crate) fn requests(&self) -> Requests {
        *self.requests.lock()
    }

    pub(crate) fn report(
        &self,
        experiment: String,
        seed: u64,
        duration_s: u64,
        record: &RunRecord,
    ) -> Report {
        let requests = self.requests();
        let writes = self.judge_writes(record);
        let mut invariants = BTreeMap::new();
        let at_most_once =
            Invariant { checked: writes.keys, violations: writes.run_more_than_once };
        let not_run =
            Invariant { checked: requests.not_run, violations: writes.told_not_run_but_run };
        let whole_answers = Invariant {
            checked: requests.answered + requests.cut_or_wrong,
            violations: requests.cut_or_wrong,
        };
        let no_request_lost = Invariant { checked: requests.sent, violations: requests.lost };
        invariants.insert("writes_run_at_most_once", at_most_once);
        invariants.insert("not_run_means_not_run", not_run);
        invariants.insert("whole_answers", whole_answers);
        invariants.insert("no_request_lost", no_request_lost);
        let latency_ms = self
            .latency
            .lock()
            .iter()
            .map(|(name, histogram)| (name.clone(), Latency::from(histogram)))
            .collect();
        Report { experiment, seed, duration_s, requests, writes, latency_ms, invariants }
    }

    fn judge_writes(&self, record: &RunRecord) -> Writes {
        let mut writes = Writes::default();
        for (id, seen) in self.writes.lock().iter() {
            let times = record.times_run(id);
            writes.keys += 1;
            writes.run_once += u64::from(times == 1);
            writes.run_more_than_once += u64::from(times > 1);
            writes.told_not_run_but_run += u64::from(times > 0 && *seen == Seen::NotRun);
        }
        writes
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

impl Report {
    /// Tells whether any promise was broken.
    pub fn has_violations(&self) -> bool {
        self.invariants.values().any(|invariant| invariant.violations > 0)
    }
}

impl fmt::Display for Report {
    /// Writes the report as a short table.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let requests = &self.requests;
        writeln!(formatter, "{}: {} s, seed {}", self.experiment, self.duration_s, self.seed)?;
        writeln!(
            formatter,
            "requests  {} sent, {} answered, {} not run, {} unknown, {} lost, {} cut or wrong",
            requests.sent,
            requests.answered,
            requests.not_run,
            requests.unknown,
            requests.lost,
            requests.cut_or_wrong
        )?;
        let writes = &self.writes;
        writeln!(
            formatter,
            "writes    {} keys, {} run once, {} more than once, {} run though told not",
            writes.keys, writes.run_once, writes.run_more_than_once, writes.told_not_run_but_run
        )?;
        let header = ["latency in ms", "count", "p50", "p99", "p999", "max"];
        let [name, count, p50, p99, p999, max] = header;
        writeln!(formatter, "\n{name:28} {count:>8} {p50:>8} {p99:>8} {p999:>8} {max:>8}")?;
        for (name, latency) in &self.latency_ms {
            writeln!(
                formatter,
                "{name:28} {:>8} {:>8.1} {:>8.1} {:>8.1} {:>8.1}",
                latency.count, latency.p50, latency.p99, latency.p999, latency.max
            )?;
        }
        writeln!(formatter)?;
        for (name, invariant) in &self.invariants {
            let verdict = match invariant {
                Invariant { checked: 0, .. } => "not checked".to_owned(),
                Invariant { checked, violations: 0 } => format!("held in {checked} checks"),
                Invariant { checked, violations } => {
                    format!("BROKEN in {violations} of {checked} checks")
                }
            };
            writeln!(formatter, "{name:28} {verdict}")?;
        }
        Ok(())
    }
}
