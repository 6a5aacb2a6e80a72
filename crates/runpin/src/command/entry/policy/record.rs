//! Reads and writes the record of policies in the platform's store.

use crate::error::CommandError;
use crate::output::Output;
use bytes::Bytes;
use platform::{Expected, ObjectStore, WriteOutcome, write_confirmed};
use std::net::SocketAddr;
use steering::deployment::{POLICIES_KEY, Policies, PolicyRecord};
use users_platform::PlatformClient;

/// Environment variable with the address of the platform's store.
const STORE_VARIABLE: &str = "RUNPIN_STORE";

/// The record of policies, and its version in the store.
pub(super) struct StoredRecord {
    store: PlatformClient,
    expected: Expected,
    /// The sets of policies in force and before.
    pub(super) record: PolicyRecord,
}

impl StoredRecord {
    /// Reads the record, or an empty one if there is none.
    pub(super) async fn read(store: Option<SocketAddr>) -> Result<Self, CommandError> {
        let store = PlatformClient::new(store.map_or_else(store_from_environment, Ok)?);
        let stored = ObjectStore::get(&store, POLICIES_KEY).await?;
        let (expected, record) = match stored {
            Some(object) => {
                let text = String::from_utf8_lossy(&object.value);
                (Expected::Version(object.version), PolicyRecord::parse(&text)?)
            }
            None => (Expected::Absent, PolicyRecord::default()),
        };
        Ok(Self { store, expected, record })
    }

    /// Fails if `number` is given and is not the number of the set in force.
    pub(super) fn check_number(&self, number: Option<u64>) -> Result<(), CommandError> {
        let current = self.record.current.number;
        match number {
            Some(expected) if expected != current => {
                Err(CommandError::PolicyConflict { expected, current })
            }
            _ => Ok(()),
        }
    }

    /// Replaces the record if it has not changed since it was read, and prints the set now in force.
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
                let latest = Self::read(Some(self.store.address())).await?;
                let (expected, current) =
                    (self.record.current.number, latest.record.current.number);
                Err(CommandError::PolicyConflict { expected, current })
            }
        }
    }
}

fn store_from_environment() -> Result<SocketAddr, CommandError> {
    let text = std::env::var(STORE_VARIABLE).map_err(|_| CommandError::MissingStore)?;
    text.trim().parse().map_err(|_| CommandError::InvalidStore(text))
}

/// Returns a line for the set and one for each of its arms.
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
