//! Settling a write whose answer was lost.

use crate::{Expected, ObjectStore, StoreError, Version};
use bytes::Bytes;
use std::time::Duration;

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

/// Number of times that the same conditional update is offered before its outcome stays unknown.
const MAX_ATTEMPTS: u32 = 4;

/// Pause after the first lost answer; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Writes an object and, where the answer is lost, reads it back until the outcome is known.
///
/// `value` must hold an id that no other write uses, so that reading the same bytes back proves
/// that this write took effect.  Offering the same conditional update again is harmless: it takes
/// effect at most once.  Where another value is found after a lost answer, this write may have
/// taken effect before that one, and the outcome stays [`StoreError::Unsure`]; the caller may have
/// other evidence.  Any other error means that nothing was written.
pub async fn write_settled(
    store: &dyn ObjectStore,
    key: &str,
    value: Bytes,
    expected: Expected,
) -> Result<WriteOutcome, StoreError> {
    match store.put(key, value.clone(), expected).await {
        Ok(version) => return Ok(WriteOutcome::Written(version)),
        Err(StoreError::Conflict { current }) => return Ok(WriteOutcome::Lost { current }),
        Err(StoreError::Unsure) => {}
        Err(error) => return Err(error),
    }
    for attempt in 1..MAX_ATTEMPTS {
        tokio::time::sleep(FIRST_PAUSE * 2_u32.pow(attempt - 1)).await;
        match read_back(store, key, &value, expected).await {
            ReadBack::Ours(version) => return Ok(WriteOutcome::Written(version)),
            ReadBack::Other => return Err(StoreError::Unsure),
            ReadBack::Before => {}
            ReadBack::Unreadable => continue,
        }
        // The first write may still be on its way, so a conflict is not yet evidence.
        if let Ok(version) = store.put(key, value.clone(), expected).await {
            return Ok(WriteOutcome::Written(version));
        }
    }
    match read_back(store, key, &value, expected).await {
        ReadBack::Ours(version) => Ok(WriteOutcome::Written(version)),
        ReadBack::Other | ReadBack::Before | ReadBack::Unreadable => Err(StoreError::Unsure),
    }
}

/// Writes an object that nobody ever changes, unless it is there already.
///
/// Every writer of `key` must write the same value.
pub async fn write_once(
    store: &dyn ObjectStore,
    key: &str,
    value: Bytes,
) -> Result<(), StoreError> {
    let mut outcome = Err(StoreError::Unsure);
    for attempt in 0..MAX_ATTEMPTS {
        outcome = match store.put(key, value.clone(), Expected::Absent).await {
            Ok(_) | Err(StoreError::Conflict { .. }) => return Ok(()),
            Err(StoreError::Unsure) => Err(StoreError::Unsure),
            Err(error) => return Err(error),
        };
        tokio::time::sleep(FIRST_PAUSE * 2_u32.pow(attempt)).await;
    }
    outcome
}

/// What a read after a lost answer found.
enum ReadBack {
    /// The value of this write.
    Ours(Version),
    /// The object as it was before: the write may still be on its way.
    Before,
    /// The value of another write.
    Other,
    /// Nothing, as the read failed.
    Unreadable,
}

async fn read_back(
    store: &dyn ObjectStore,
    key: &str,
    value: &Bytes,
    expected: Expected,
) -> ReadBack {
    let Ok(object) = store.get(key).await else { return ReadBack::Unreadable };
    let found =
        object.as_ref().map_or(Expected::Absent, |object| Expected::Version(object.version));
    match object {
        _ if found == expected => ReadBack::Before,
        Some(object) if object.value == *value => ReadBack::Ours(object.version),
        _ => ReadBack::Other,
    }
}
