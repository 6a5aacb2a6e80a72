//! What the instances' logs tell about retries, standstills and the size of the fleet.

use crate::record::Record;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Display};
use std::path::Path;

/// Counts of log lines.
#[derive(Clone, Debug, Default)]
pub(crate) struct Logs {
    /// Decisions on retries, by whether they are hedges and were granted.
    decisions: BTreeMap<&'static str, u64>,
    /// Changes of the believed size of the fleet, by size.
    sizes: BTreeMap<u64, u64>,
    /// Outcomes of attempts without a usable response, and of requests without one.
    outcomes: BTreeMap<String, u64>,
    standstills: u64,
    longest_standstill_ms: u64,
    waits: u64,
    /// Retries that were granted, by request.
    granted: HashMap<u64, usize>,
    dropped: u64,
}

impl Logs {
    /// Reads the logs in a folder.
    pub(crate) fn read(folder: &Path) -> Self {
        let mut logs = Self::default();
        let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
        for path in files.map(|file| file.path()) {
            if path.extension().is_none_or(|extension| extension != "log") {
                continue;
            }
            let text = std::fs::read(&path).unwrap_or_default();
            for line in String::from_utf8_lossy(&text).lines() {
                if let Ok(line) = serde_json::from_str::<Value>(line) {
                    logs.add(&line);
                }
            }
        }
        logs
    }

    /// Requests that arrived more often than was paid for, as far as the logs tell.
    pub(crate) fn unpaid(&self, record: &Record) -> Vec<u64> {
        let arrivals = record.arrivals.borrow();
        let is_unpaid = |(id, arrived): &(&u64, &Vec<_>)| {
            arrived.len() > self.granted.get(*id).copied().unwrap_or(0) + 1
        };
        arrivals.iter().filter(is_unpaid).map(|(id, _)| *id).collect()
    }

    fn add(&mut self, line: &Value) {
        self.dropped += line["lines_dropped"].as_u64().unwrap_or(0);
        match line["event"].as_str().unwrap_or_default() {
            "retry decided" => {
                let is = |field: &str| line[field].as_bool().unwrap_or(false);
                let name = match (is("is_hedge"), is("granted")) {
                    (true, true) => "hedges",
                    (true, false) => "hedges refused",
                    (false, true) => "retries",
                    (false, false) => "retries refused",
                };
                *self.decisions.entry(name).or_default() += 1;
                let id = line["id"].as_str().and_then(|id| u64::from_str_radix(id, 16).ok());
                if let Some(id) = id.filter(|_| is("granted")) {
                    *self.granted.entry(id).or_default() += 1;
                }
            }
            "size of the fleet changed" => {
                *self.sizes.entry(line["size"].as_u64().unwrap_or(0)).or_default() += 1;
            }
            "process stood still" => {
                self.standstills += 1;
                let length_ms = line["length_ms"].as_u64().unwrap_or(0);
                self.longest_standstill_ms = self.longest_standstill_ms.max(length_ms);
            }
            "waited before its handling began" => self.waits += 1,
            "request failed" => self.count(line),
            _ => {}
        }
    }

    fn count(&mut self, line: &Value) {
        let outcome = line["outcome"].as_str().unwrap_or_default().to_owned();
        *self.outcomes.entry(outcome).or_default() += 1;
    }
}

impl Display for Logs {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            decisions,
            sizes,
            outcomes,
            standstills,
            longest_standstill_ms,
            waits,
            dropped,
            ..
        } = self;
        write!(
            formatter,
            "{decisions:?}, sizes {sizes:?}, {standstills} standstills of {longest_standstill_ms} ms at most, \
             {waits} waits, {outcomes:?}, {dropped} lines dropped"
        )
    }
}
