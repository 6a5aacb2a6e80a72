//! Accepted manifests as the platform keeps them, and what they prove.
//!
//! A manifest is written to the history by whoever had it accepted, and again by whoever replaces
//! it, before the replacement.  So every accepted number below the current one is in the history,
//! also after a crash between the two writes.

use super::acceptance_error::AcceptanceError;
use configuration::{HISTORY_LENGTH, MANIFEST_KEY, Manifest, RetiredChunk, chunk_key, history_key};
use platform::{ObjectStore, StoreError, Version, create_if_absent};
use std::time::Duration;

/// Reads of the evidence about a write before its outcome stays unknown.
const MAX_READS: u32 = 5;

/// Pause after the first read without evidence; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Number of acceptances that try to delete what became too old, in case the first ones can't.
const DELETE_ATTEMPTS: u64 = 3;

/// What the platform shows about a manifest that was written without an answer.
pub(super) enum Evidence {
    /// It was accepted.
    Accepted,
    /// Another manifest has its number.
    Replaced,
}

/// An object that may be deleted as long as nobody writes it again.
pub(super) struct Unused {
    key: String,
    version: Version,
}

/// Reads the manifest with a number; `None` when it is not kept.
pub async fn read(
    store: &dyn ObjectStore,
    number: u64,
) -> Result<Option<Manifest>, AcceptanceError> {
    let object = store.get(&history_key(number)).await?;
    Ok(object.map(|object| Manifest::from_json(&object.value)).transpose()?)
}

/// Keeps an accepted manifest.
pub(super) async fn keep(
    store: &dyn ObjectStore,
    manifest: &Manifest,
) -> Result<(), AcceptanceError> {
    let value = manifest.to_json()?.into();
    Ok(create_if_absent(store, &history_key(manifest.number), value).await?)
}

/// Finds out whether `manifest` was accepted; [`StoreError::OutcomeUnknown`] where nothing shows it.
pub(super) async fn settle(
    store: &dyn ObjectStore,
    manifest: &Manifest,
) -> Result<Evidence, StoreError> {
    for attempt in 0..MAX_READS {
        if let Ok(Some(found)) = with_number(store, manifest.number).await {
            return Ok(match found.write_id == manifest.write_id {
                true => Evidence::Accepted,
                false => Evidence::Replaced,
            });
        }
        tokio::time::sleep(FIRST_PAUSE * 2_u32.pow(attempt)).await;
    }
    Err(StoreError::OutcomeUnknown)
}

/// Returns the accepted manifest with a number, whether it is the current one or an earlier one.
async fn with_number(
    store: &dyn ObjectStore,
    number: u64,
) -> Result<Option<Manifest>, AcceptanceError> {
    let current = store.get(MANIFEST_KEY).await?;
    let current = current.map(|object| Manifest::from_json(&object.value)).transpose()?;
    match current {
        Some(current) if current.number == number => Ok(Some(current)),
        Some(current) if current.number > number => read(store, number).await,
        _ => Ok(None),
    }
}

/// Returns the chunks that `next` does not name and `base` did, or had retired before.
pub(super) fn retire(base: &Manifest, next: &Manifest) -> Vec<RetiredChunk> {
    let named = |digest: &str| next.chunks.iter().any(|chunk| &*chunk.digest == digest);
    let dropped = base
        .chunks
        .iter()
        .map(|chunk| RetiredChunk { digest: chunk.digest.clone(), last_number: base.number });
    let still_kept =
        |chunk: &RetiredChunk| chunk.last_number + HISTORY_LENGTH + DELETE_ATTEMPTS >= next.number;
    base.retired
        .iter()
        .filter(|chunk| still_kept(chunk))
        .cloned()
        .chain(dropped)
        .filter(|chunk| !named(&chunk.digest))
        .collect()
}

/// Lists what nobody needs once `next` is accepted.
///
/// Must be called before `next` is offered: whoever uses such an object again writes it again
/// after having read a version at least as new as `next`, so the deletion will find another
/// version of it.
pub(super) async fn unused_after(
    store: &dyn ObjectStore,
    next: &Manifest,
) -> Result<Vec<Unused>, StoreError> {
    let oldest_kept = next.number.saturating_sub(HISTORY_LENGTH);
    let manifests = (oldest_kept.saturating_sub(DELETE_ATTEMPTS)..oldest_kept).map(history_key);
    let retired = next.retired.iter().filter(|chunk| chunk.last_number < oldest_kept);
    let chunks = retired.map(|chunk| chunk_key(&chunk.digest));
    let mut unused = Vec::new();
    for key in manifests.chain(chunks) {
        if let Some(object) = store.get(&key).await? {
            unused.push(Unused { key, version: object.version });
        }
    }
    Ok(unused)
}

/// Deletes what nobody needs; what can't be deleted now is found again at a later acceptance.
pub(super) async fn delete(store: &dyn ObjectStore, unused: Vec<Unused>) {
    for object in unused {
        if let Err(error) = store.delete(&object.key, object.version).await {
            log::info!("{} is left in the platform for now: {error}", object.key);
        }
    }
}
