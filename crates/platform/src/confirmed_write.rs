//! Writes that determine their outcome after a lost response.

use crate::{Expected, ObjectStore, StoreError, Version};
use bytes::Bytes;
use std::time::Duration;

/// Known outcome of a conditional update.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect and gave the object this version.
    Written(Version),
    /// The precondition did not hold, as another write came first.
    Conflict {
        /// Current version of the object; `None` when it is absent.
        current: Option<Version>,
    },
}

/// Maximum number of attempts of a conditional update before its outcome is reported as unknown.
const MAX_ATTEMPTS: u32 = 4;

/// Delay after the first lost response; it doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Writes an object and, when the response is lost, reads the object back until the outcome is
/// known.
///
/// `value` must contain an id that no other write uses, so that reading the same bytes back proves
/// that this write took effect. Retrying the same conditional update is idempotent: it takes effect
/// at most once. If another value is found after a lost response, this write may have taken effect
/// before that one, and the result is [`StoreError::OutcomeUnknown`]; the caller may have other evidence.
/// Any other error means that nothing was written.
pub async fn write_confirmed(
    store: &dyn ObjectStore,
    key: &str,
    value: Bytes,
    expected: Expected,
) -> Result<WriteOutcome, StoreError> {
    match store.put(key, value.clone(), expected).await {
        Ok(version) => return Ok(WriteOutcome::Written(version)),
        Err(StoreError::Conflict { current }) => return Ok(WriteOutcome::Conflict { current }),
        Err(StoreError::OutcomeUnknown) => {}
        Err(error) => return Err(error),
    }
    for attempt in 1..MAX_ATTEMPTS {
        tokio::time::sleep(FIRST_RETRY_DELAY * 2_u32.pow(attempt - 1)).await;
        match read_back(store, key, &value, expected).await {
            ReadBack::OwnValue(version) => return Ok(WriteOutcome::Written(version)),
            ReadBack::OtherValue => return Err(StoreError::OutcomeUnknown),
            ReadBack::Unchanged => {}
            ReadBack::ReadFailed => continue,
        }
        // The first write may still be in flight and take effect before this one, so a conflict
        // proves nothing.
        if let Ok(version) = store.put(key, value.clone(), expected).await {
            return Ok(WriteOutcome::Written(version));
        }
    }
    match read_back(store, key, &value, expected).await {
        ReadBack::OwnValue(version) => Ok(WriteOutcome::Written(version)),
        ReadBack::OtherValue | ReadBack::Unchanged | ReadBack::ReadFailed => {
            Err(StoreError::OutcomeUnknown)
        }
    }
}

/// Creates an immutable object, unless it already exists.
///
/// All writers of `key` must write the same value, so that a conflict counts as success.
pub async fn create_if_absent(
    store: &dyn ObjectStore,
    key: &str,
    value: Bytes,
) -> Result<(), StoreError> {
    let mut outcome = Err(StoreError::OutcomeUnknown);
    for attempt in 0..MAX_ATTEMPTS {
        outcome = match store.put(key, value.clone(), Expected::Absent).await {
            Ok(_) | Err(StoreError::Conflict { .. }) => return Ok(()),
            Err(StoreError::OutcomeUnknown) => Err(StoreError::OutcomeUnknown),
            Err(error) => return Err(error),
        };
        tokio::time::sleep(FIRST_RETRY_DELAY * 2_u32.pow(attempt)).await;
    }
    outcome
}

/// What a read after a lost response found.
enum ReadBack {
    /// The value of this write.
    OwnValue(Version),
    /// The object as expected before the write, which may still take effect.
    Unchanged,
    /// The value of another write.
    OtherValue,
    /// The read failed.
    ReadFailed,
}

async fn read_back(
    store: &dyn ObjectStore,
    key: &str,
    value: &Bytes,
    expected: Expected,
) -> ReadBack {
    let Ok(object) = store.get(key).await else { return ReadBack::ReadFailed };
    let found_state =
        object.as_ref().map_or(Expected::Absent, |object| Expected::Version(object.version));
    match object {
        _ if found_state == expected => ReadBack::Unchanged,
        Some(object) if object.value == *value => ReadBack::OwnValue(object.version),
        _ => ReadBack::OtherValue,
    }
}
