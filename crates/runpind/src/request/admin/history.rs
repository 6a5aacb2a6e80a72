//! Accepted configuration versions, as stored on the platform.

use super::error::AdminError;
use crate::process::Process;
use crate::process::acceptance::AcceptanceError;
use crate::process::history::read_manifest;
use configuration::{HISTORY_LENGTH, MANIFEST_KEY, Manifest};
use serde::Serialize;
use std::sync::Arc;

/// Number of versions listed if the request does not set a limit.
const DEFAULT_LIMIT: u64 = 10;

/// The most recent versions, newest first.
#[derive(Debug, Serialize)]
pub(super) struct History {
    versions: Vec<HistoryEntry>,
}

/// One accepted version, without its text.
#[derive(Debug, Serialize)]
struct HistoryEntry {
    number: u64,
    author: Arc<str>,
    applied_at_s: u64,
    text_bytes: usize,
    drains: usize,
}

impl From<&Manifest> for HistoryEntry {
    fn from(manifest: &Manifest) -> Self {
        Self {
            number: manifest.number,
            author: manifest.author.clone(),
            applied_at_s: manifest.applied_at_s,
            text_bytes: manifest.text.len(),
            drains: manifest.drains.len(),
        }
    }
}

/// Returns the manifest of the version active at this instance.
pub(super) fn active_manifest(process: &Process) -> Result<Arc<Manifest>, AdminError> {
    let version = process.version.load_full().ok_or(AdminError::NoConfiguration)?;
    Ok(version.manifest.clone())
}

/// Returns the manifest of an accepted version, active or from the history.
pub(super) async fn find_manifest(process: &Process, number: u64) -> Result<Manifest, AdminError> {
    if let Ok(active) = active_manifest(process)
        && active.number == number
    {
        return Ok(Manifest::clone(&active));
    }
    match current_manifest(process).await? {
        Some(current) if current.number == number => Ok(current),
        _ => read_manifest(&*process.store, number).await?.ok_or(AdminError::NoVersion(number)),
    }
}

/// Lists up to `limit` of the most recently accepted versions.
pub(super) async fn list(process: &Process, limit: Option<u64>) -> Result<History, AdminError> {
    let limit = limit.unwrap_or(DEFAULT_LIMIT).min(HISTORY_LENGTH);
    let Some(current) = current_manifest(process).await? else {
        return Err(AdminError::NoConfiguration);
    };
    let mut versions = vec![HistoryEntry::from(&current)];
    let earlier_numbers = (1..current.number).rev();
    for number in earlier_numbers.take(limit.saturating_sub(1) as usize) {
        let Some(manifest) = read_manifest(&*process.store, number).await? else { break };
        versions.push(HistoryEntry::from(&manifest));
    }
    Ok(History { versions })
}

/// Reads the current manifest from the platform.
async fn current_manifest(process: &Process) -> Result<Option<Manifest>, AcceptanceError> {
    let object = process.store.get(MANIFEST_KEY).await?;
    Ok(object.map(|object| Manifest::from_json(&object.value)).transpose()?)
}
