//! Settling a write whose answer was lost.

use crate::{Expected, ObjectStore, StoreError, Version};
use bytes::Bytes;

/// What became of a conditional update, once that is known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect and gave the object this version.
    Written(Version),
    /// Another write came first; `current` is the object's version now.
    Lost {
        /// Version now; `None` when the object is absent.
        current: Option<Version>,
    },
}

/// Writes an object and, where the answer is lost, reads it back until the outcome is known.
///
/// `value` must hold an id that no other write uses, so that reading the same bytes back proves
/// that this write took effect.  An error means that nothing is known yet ([`StoreError::Unsure`])
/// or that nothing was written (any other).
pub async fn write_settled(
    store: &dyn ObjectStore,
    key: &str,
    value: Bytes,
    expected: Expected,
) -> Result<WriteOutcome, StoreError> {
    match store.put(key, value.clone(), expected).await {
        Ok(version) => Ok(WriteOutcome::Written(version)),
        Err(StoreError::Conflict { current }) => Ok(WriteOutcome::Lost { current }),
        Err(StoreError::Unsure) => read_back(store, key, &value, expected).await,
        Err(error) => Err(error),
    }
}

async fn read_back(
    store: &dyn ObjectStore,
    key: &str,
    value: &Bytes,
    expected: Expected,
) -> Result<WriteOutcome, StoreError> {
    let object = store.get(key).await.map_err(|_| StoreError::Unsure)?;
    let found = match &object {
        Some(object) => Expected::Version(object.version),
        None => Expected::Absent,
    };
    match object {
        Some(object) if object.value == *value => Ok(WriteOutcome::Written(object.version)),
        // The write may still be on its way while the object is as it was before.
        _ if found == expected => Err(StoreError::Unsure),
        object => Ok(WriteOutcome::Lost { current: object.map(|object| object.version) }),
    }
}
