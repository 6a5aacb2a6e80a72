//! Reading and writing the record of policies in the platform's store.

use crate::error::CommandError;
use crate::output::Output;
use bytes::Bytes;
use platform::{Expected, ObjectStore, WriteOutcome, write_confirmed};
use std::net::SocketAddr;
use steering::deployment::{POLICIES_KEY, Policies, PolicyRecord};
use users_platform::PlatformClient;

/// Names the platform's store where no option does.
const STORE_VARIABLE: &str = "RUNPIN_STORE";

/// The record as the store holds it.
pub(super) struct StoredRecord {
    store: PlatformClient,
    expected: Expected,
    /// What it says.
    pub(super) record: PolicyRecord,
}

impl StoredRecord {
    /// Reads the record; an empty one if there is none.
    pub(super) async fn read(store: Option<SocketAddr>) -> Result<Self, CommandError> {
        let store = PlatformClient::new(store.map_or_else(store_of_environment, Ok)?);
        let found = ObjectStore::get(&store, POLICIES_KEY).await?;
        let (expected, record) = match found {
            Some(object) => {
                let text = String::from_utf8_lossy(&object.value);
                (Expected::Version(object.version), PolicyRecord::read(&text)?)
            }
            None => (Expected::Absent, PolicyRecord::default()),
        };
        Ok(Self { store, expected, record })
    }

    /// Fails if the set in force has another number than a change expects.
    pub(super) fn expect(&self, number: Option<u64>) -> Result<(), CommandError> {
        let current = self.record.current.number;
        match number {
            Some(expected) if expected != current => {
                Err(CommandError::PolicyConflict { expected, current })
            }
            _ => Ok(()),
        }
    }

    /// Puts a record in the place of the one that was read, and shows the set now in force.
    pub(super) async fn replace(
        &self,
        record: &PolicyRecord,
        output: Output,
    ) -> Result<(), CommandError> {
        let value = Bytes::from(serde_json::to_string(record)?);
        match write_confirmed(&self.store, POLICIES_KEY, value, self.expected).await? {
            WriteOutcome::Written(_) => {
                let number = record.current.number;
                output.show(&record.current, format!("set {number} of policies is in force"))?;
                Ok(())
            }
            WriteOutcome::Conflict { .. } => {
                let now = Self::read(Some(self.store.address())).await?;
                let (expected, current) = (self.record.current.number, now.record.current.number);
                Err(CommandError::PolicyConflict { expected, current })
            }
        }
    }
}

fn store_of_environment() -> Result<SocketAddr, CommandError> {
    let text = std::env::var(STORE_VARIABLE).map_err(|_| CommandError::MissingStore)?;
    text.trim().parse().map_err(|_| CommandError::InvalidStore(text))
}

/// One line for each arm of a set.
pub(super) fn describe(policies: &Policies) -> String {
    let arms = policies.arms.iter().map(|arm| {
        let program = arm.program.as_deref().map_or("the built-in rule", |_| "a program");
        format!("  {}: weight {}, {program}", arm.name, arm.weight)
    });
    let head = match policies.arms.is_empty() {
        true => format!("set {}: the built-in rule for all", policies.number),
        false => format!("set {}:", policies.number),
    };
    std::iter::once(head).chain(arms).collect::<Vec<_>>().join("\n")
}
