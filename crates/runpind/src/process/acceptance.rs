//! Accepting a new configuration: the conditional update that makes it the next version.

use super::Process;
use configuration::{Configuration, ConfigurationError, MANIFEST_KEY, Manifest, ManifestError};
use platform::{Expected, StoreError, WriteOutcome, write_settled};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// What an operator wants to be in force.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The configuration text.
    pub text: Arc<str>,
    /// Who proposes it.
    pub author: Arc<str>,
    /// Number of the version that it replaces; 0 for the first one, `None` for whichever it is.
    pub expected_number: Option<u64>,
}

/// Why a proposal was not accepted.
#[derive(Debug, Error)]
pub enum AcceptanceError {
    /// The text does not pass the checks.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The object in the platform can't be read or written.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    /// Another version is in force than the proposal expects.
    #[error("version {current} is in force, not version {expected}")]
    Conflict {
        /// Version that the proposal expects.
        expected: u64,
        /// Version in force.
        current: u64,
    },
    /// The platform failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Makes the proposal the next version and returns its number.
///
/// [`StoreError::Unsure`] means that it is not known whether the proposal was accepted.
pub async fn propose(process: &Process, proposal: Proposal) -> Result<u64, AcceptanceError> {
    let _checked: Configuration = proposal.text.parse()?;
    let current = process.store.get(MANIFEST_KEY).await?;
    let manifest = current.as_ref().map(|object| Manifest::from_json(&object.value)).transpose()?;
    let number = manifest.as_ref().map_or(0, |manifest| manifest.number);
    let expected = proposal.expected_number.unwrap_or(number);
    if expected != number {
        return Err(AcceptanceError::Conflict { expected, current: number });
    }
    let next = Manifest {
        number: number + 1,
        write_id: format!("{:032x}", rand::random::<u128>()).into(),
        author: proposal.author,
        applied_at_s: seconds_since_1970(),
        text: proposal.text,
        chunks: manifest.map(|manifest| manifest.chunks).unwrap_or_default(),
    };
    let condition = current.map_or(Expected::Absent, |object| Expected::Version(object.version));
    let value = next.to_json()?.into();
    match write_settled(&*process.store, MANIFEST_KEY, value, condition).await? {
        WriteOutcome::Written(_) => Ok(next.number),
        WriteOutcome::Lost { .. } => {
            let current = process.store.get(MANIFEST_KEY).await?;
            let winner = current.map(|object| Manifest::from_json(&object.value)).transpose()?;
            let current = winner.map_or(0, |manifest| manifest.number);
            Err(AcceptanceError::Conflict { expected, current })
        }
    }
}

fn seconds_since_1970() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
