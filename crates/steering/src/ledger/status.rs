//! What operators see of a ledger.

use super::Ledger;
use super::book::{Book, Standing};
use super::record::State;
use serde::Serialize;

/// What a ledger holds.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct LedgerStatus {
    /// Keys remembered, of all homes.
    pub keys: usize,
    /// Most keys that are remembered.
    pub max_keys: usize,
    /// Memory that they take, in bytes, as reckoned for the limit.
    pub bytes: usize,
    /// Most memory that they may take, in bytes.
    pub max_bytes: usize,
    /// Each home whose keys are held, our own included, by incarnation.
    pub homes: Vec<HomeStatus>,
}

/// What a ledger holds of one home.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct HomeStatus {
    /// The home, as 16 hexadecimal digits.
    pub incarnation: String,
    /// `open` while keys are run here, `receiving` until the home has handed all over, `closed`
    /// once this instance stops, `handed-on` once a successor may run the keys.
    #[serde(rename = "standing")]
    pub state: &'static str,
    /// Keys remembered.
    pub keys: usize,
    /// Those whose requests are in progress.
    pub in_progress: usize,
    /// Keys issued before this are not run, in milliseconds since the Unix epoch.
    pub horizon_ms: u64,
}

impl Ledger {
    /// Returns what the ledger holds.
    pub fn status(&self) -> LedgerStatus {
        let mut homes: Vec<HomeStatus> =
            self.books.iter().map(|(home, book)| HomeStatus::new(home.to_string(), book)).collect();
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
    fn new(incarnation: String, book: &Book) -> Self {
        let running =
            |record: &&super::record::Record| matches!(record.state, State::Running { .. });
        Self {
            incarnation,
            state: match book.standing {
                Standing::Receiving => "receiving",
                Standing::Open => "open",
                Standing::Closed => "closed",
                Standing::HandedOver => "handed-on",
            },
            keys: book.records.len(),
            in_progress: book.records.values().filter(running).count(),
            horizon_ms: book.horizon_ms,
        }
    }
}
