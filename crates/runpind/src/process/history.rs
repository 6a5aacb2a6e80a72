//! History of accepted manifests in the platform.
//!
//! The instance that gets a manifest accepted archives it afterwards; the instance that replaces it
//! archives it again before the replacement. Every accepted number below the current one is
//! therefore in the history, even after a crash between acceptance and archiving.

use super::acceptance_error::AcceptanceError;
use configuration::{HISTORY_LENGTH, MANIFEST_KEY, Manifest, RetiredChunk, chunk_key, history_key};
use platform::{ObjectStore, StoreError, Version, create_if_absent};
use std::time::Duration;

/// Maximum reads to resolve the outcome of a write before it is reported as unknown.
const MAX_OUTCOME_READS: u32 = 5;

/// Delay after the first inconclusive read; doubles with each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Number of acceptances that try to delete an expired object, in case earlier deletions fail.
const DELETE_ATTEMPTS: u64 = 3;

/// Outcome of a manifest write whose response was lost.
pub(super) enum ResolvedWrite {
    /// The manifest was accepted.
    Accepted,
    /// Another manifest was accepted under its number.
    Replaced,
}

/// An object that may be deleted unless its version has changed.
pub(super) struct UnusedObject {
    key: String,
    version: Version,
}

/// Reads the manifest with the given number; `None` if it is not in the history.
pub async fn read_manifest(
    store: &dyn ObjectStore,
    number: u64,
) -> Result<Option<Manifest>, AcceptanceError> {
    let object = store.get(&history_key(number)).await?;
    Ok(object.map(|object| Manifest::from_json(&object.value)).transpose()?)
}

/// Writes an accepted manifest to the history.
pub(super) async fn archive(
    store: &dyn ObjectStore,
    manifest: &Manifest,
) -> Result<(), AcceptanceError> {
    let value = manifest.to_json()?.into();
    Ok(create_if_absent(store, &history_key(manifest.number), value).await?)
}

/// Determines whether `manifest` was accepted; fails with [`StoreError::OutcomeUnknown`] if no manifest
/// with its number is found.
pub(super) async fn resolve_write(
    store: &dyn ObjectStore,
    manifest: &Manifest,
) -> Result<ResolvedWrite, StoreError> {
    for attempt in 0..MAX_OUTCOME_READS {
        if let Ok(Some(found)) = find_accepted(store, manifest.number).await {
            return Ok(match found.write_id == manifest.write_id {
                true => ResolvedWrite::Accepted,
                false => ResolvedWrite::Replaced,
            });
        }
        tokio::time::sleep(INITIAL_RETRY_DELAY * 2_u32.pow(attempt)).await;
    }
    Err(StoreError::OutcomeUnknown)
}

/// Returns the accepted manifest with the given number, current or archived.
async fn find_accepted(
    store: &dyn ObjectStore,
    number: u64,
) -> Result<Option<Manifest>, AcceptanceError> {
    let current = store.get(MANIFEST_KEY).await?;
    let current = current.map(|object| Manifest::from_json(&object.value)).transpose()?;
    match current {
        Some(current) if current.number == number => Ok(Some(current)),
        Some(current) if current.number > number => read_manifest(store, number).await,
        _ => Ok(None),
    }
}

/// Returns the chunks that `base` references or lists as retired and `next` does not reference,
/// without those retired too long ago for another deletion attempt.
pub(super) fn retired_chunks(base: &Manifest, next: &Manifest) -> Vec<RetiredChunk> {
    let is_referenced = |digest: &str| next.chunks.iter().any(|chunk| &*chunk.digest == digest);
    let dropped = base
        .chunks
        .iter()
        .map(|chunk| RetiredChunk { digest: chunk.digest.clone(), last_number: base.number });
    let is_deletion_pending =
        |chunk: &RetiredChunk| chunk.last_number + HISTORY_LENGTH + DELETE_ATTEMPTS >= next.number;
    base.retired
        .iter()
        .filter(|chunk| is_deletion_pending(chunk))
        .cloned()
        .chain(dropped)
        .filter(|chunk| !is_referenced(&chunk.digest))
        .collect()
}

/// Lists the objects that are unused once `next` is accepted.
///
/// Must be called before `next` is written: a writer that uses such an object again rewrites it
/// after reading a manifest at least as new as `next`, so the conditional deletion does not match
/// its new version.
pub(super) async fn list_unused(
    store: &dyn ObjectStore,
    next: &Manifest,
) -> Result<Vec<UnusedObject>, StoreError> {
    let oldest_kept = next.number.saturating_sub(HISTORY_LENGTH);
    let manifests = (oldest_kept.saturating_sub(DELETE_ATTEMPTS)..oldest_kept).map(history_key);
    let retired = next.retired.iter().filter(|chunk| chunk.last_number < oldest_kept);
    let chunks = retired.map(|chunk| chunk_key(&chunk.digest));
    let mut unused = Vec::new();
    for key in manifests.chain(chunks) {
        if let Some(object) = store.get(&key).await? {
            unused.push(UnusedObject { key, version: object.version });
        }
    }
    Ok(unused)
}

/// Deletes unused objects; a later acceptance retries failed deletions.
pub(super) async fn delete_unused(store: &dyn ObjectStore, unused: Vec<UnusedObject>) {
    for object in unused {
        if let Err(error) = store.delete(&object.key, object.version).await {
            log::info!("failed to delete unused object {}: {error}", object.key);
        }
    }
}
