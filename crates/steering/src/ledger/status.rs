//! The status of a ledger, for operators.

use super::Ledger;
use super::key_table::{HomeState, KeyTable};
use super::record::State;
use serde::Serialize;

/// Contents of a ledger.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct LedgerStatus {
    /// Number of keys remembered, of all homes.
    pub keys: usize,
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Estimated memory of the keys and responses in bytes, as counted against the limit.
    pub bytes: usize,
    /// Maximum memory in bytes.
    pub max_bytes: usize,
    /// Each home whose keys are held, including this instance, ordered by incarnation.
    pub homes: Vec<HomeStatus>,
}

/// Contents of a ledger for one home.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct HomeStatus {
    /// The home, as 16 hexadecimal digits.
    pub incarnation: String,
    /// `open` while keys are run here, `receiving` until the home has handed over all parts,
    /// `closed` once this instance stops, `handed-on` once a successor may run the keys.
    #[serde(rename = "standing")]
    pub state: &'static str,
    /// Number of keys remembered.
    pub keys: usize,
    /// Number of keys whose requests are in progress.
    pub in_progress: usize,
    /// Keys issued before this time are never run, in milliseconds since the Unix epoch.
    pub horizon_ms: u64,
}

impl Ledger {
    /// Returns the contents of the ledger, for operators.
    pub fn status(&self) -> LedgerStatus {
        let mut homes: Vec<HomeStatus> = self
            .tables
            .iter()
            .map(|(home, table)| HomeStatus::new(home.to_string(), table))
            .collect();
        homes.sort_by(|a, b| a.incarnation.cmp(&b.incarnation));
        LedgerStatus {
            keys: self.usage.keys,
            max_keys: self.usage.limits.max_keys,
            bytes: self.usage.bytes,
            max_bytes: self.usage.limits.max_bytes,
            homes,
        }
    }
}

impl HomeStatus {
    fn new(incarnation: String, table: &KeyTable) -> Self {
        let running =
            |record: &&super::record::Record| matches!(record.state, State::Running { .. });
        Self {
            incarnation,
            state: match table.state {
                HomeState::Receiving => "receiving",
                HomeState::Open => "open",
                HomeState::Closed => "closed",
                HomeState::HandedOver => "handed-on",
            },
            keys: table.records.len(),
            in_progress: table.records.values().filter(running).count(),
            horizon_ms: table.horizon_ms,
        }
    }
}
