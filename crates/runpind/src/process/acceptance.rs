//! Acceptance of a proposed configuration: a conditional write makes it the next version.

pub use super::acceptance_error::{AcceptanceError, VersionLabel};
use super::history::{self, ResolvedWrite};
use crate::version::Version;
use configuration::{
    BlockChunk, ChunkReference, Configuration, Drain, MANIFEST_KEY, Manifest, chunk_blocks,
    remove_drain,
};
use platform::{Expected, ObjectStore, StoreError, WriteOutcome, write_confirmed};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Change that an operator proposes.
#[derive(Clone, Debug)]
pub enum Change {
    /// The configuration text; drains stay as they are.
    Text {
        /// The text.
        text: Arc<str>,
        /// Client blocks, lines of `BLOCK ZONE`, that replace the current ones; `None` keeps those.
        blocks: Option<Arc<str>>,
    },
    /// Client blocks, lines of `BLOCK ZONE`, that replace the current ones; the text stays.
    Blocks(Arc<str>),
    /// Adds a drain; everything else stays.
    Drain(Drain),
    /// Removes a drain; everything else stays.
    Undrain(Drain),
}

/// A proposed change, with its author and precondition.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The change.
    pub change: Change,
    /// Name of the author.
    pub author: Arc<str>,
    /// Number of the version that it replaces; 0 for the first one, `None` for any.
    pub expected_number: Option<u64>,
    /// Whether to validate the proposal without accepting it.
    pub dry_run: bool,
}

/// Makes the proposal the next version and returns its manifest.
///
/// Returns the current manifest if the drain to add is already present, and the manifest that would
/// be written in a dry run. `active` is the active version of this instance, if any: its chunks are
/// not read again, and the next number is above its number even if the platform has lost versions.
/// [`StoreError::OutcomeUnknown`] means that it is unknown whether the proposal was accepted.
pub async fn propose(
    store: &dyn ObjectStore,
    active: Option<&Version>,
    proposal: Proposal,
) -> Result<Manifest, AcceptanceError> {
    let object = store.get(MANIFEST_KEY).await?;
    let stored = object.as_ref().map(|object| Manifest::from_json(&object.value)).transpose()?;
    let active_manifest = active.map(|version| &*version.manifest);
    let base = stored.iter().chain(active_manifest).max_by_key(|manifest| manifest.number);
    let number = base.map_or(0, |base| base.number);
    let expected = proposal.expected_number.unwrap_or(number);
    if expected != number {
        return Err(conflict_error(expected, &proposal.author, base));
    }
    let next = next_manifest(&proposal, base)?;
    if let (Change::Drain(_), Some(stored)) = (&proposal.change, &stored)
        && (stored.number, &stored.drains) == (number, &next.drains)
    {
        return Ok(stored.clone());
    }
    let local_chunks = chunks_by_reference(active);
    let chunks = match &proposal.change {
        Change::Text { blocks: Some(blocks), .. } | Change::Blocks(blocks) => chunk_blocks(blocks),
        _ => read_chunks(store, &next.chunks, &local_chunks).await?,
    };
    let mut next = Manifest { chunks: references(&chunks), ..next };
    next.retired = base.map(|base| history::retired_chunks(base, &next)).unwrap_or_default();
    check_builds(&next, &chunks).await?;
    if proposal.dry_run {
        return Ok(next);
    }
    let unused = history::list_unused(store, &next).await?;
    let is_in_base =
        |chunk: &BlockChunk| base.is_some_and(|base| base.chunks.contains(&chunk.reference));
    for chunk in chunks.iter().filter(|chunk| !is_in_base(chunk)) {
        upload_chunk(store, chunk).await?;
    }
    if let Some(stored) = &stored {
        history::archive(store, stored).await?;
    }
    let condition = object.map_or(Expected::Absent, |object| Expected::Version(object.version));
    write_manifest(store, &next, condition, expected).await?;
    // The version is accepted; its replacement archives it too, so a failure here is harmless.
    if let Err(error) = history::archive(store, &next).await {
        log::info!("failed to archive accepted version {}: {error}", next.number);
    }
    history::delete_unused(store, unused).await;
    Ok(next)
}

/// Builds the version as every instance will, on a blocking thread.
async fn check_builds(next: &Manifest, chunks: &[BlockChunk]) -> Result<(), AcceptanceError> {
    let (next, chunks) = (next.clone(), chunks.to_vec());
    let built = tokio::task::spawn_blocking(move || Version::build(next, chunks, "").map(drop));
    built.await.map_err(|_| AcceptanceError::Interrupted)??;
    Ok(())
}

/// Returns the manifest of the proposal, with the chunks of the manifest it replaces.
fn next_manifest(
    proposal: &Proposal,
    base: Option<&Manifest>,
) -> Result<Manifest, AcceptanceError> {
    let (text, drains) = apply_change(&proposal.change, base)?;
    Ok(Manifest {
        number: base.map_or(0, |base| base.number) + 1,
        write_id: format!("{:032x}", rand::random::<u128>()).into(),
        author: proposal.author.clone(),
        applied_at_s: unix_time_s(),
        text,
        chunks: base.map(|base| base.chunks.clone()).unwrap_or_default(),
        retired: Vec::new(),
        drains,
    })
}

/// Applies the change to the current text and drains.
fn apply_change(
    change: &Change,
    base: Option<&Manifest>,
) -> Result<(Arc<str>, Vec<Drain>), AcceptanceError> {
    match (change, base) {
        (Change::Text { text, .. }, base) => {
            let configuration: Configuration = text.parse()?;
            let drains = base.map(|base| base.drains.clone()).unwrap_or_default();
            configuration.check_drains(&drains)?;
            Ok((text.clone(), drains))
        }
        (Change::Drain(drain), Some(base)) => {
            let configuration: Configuration = base.text.parse()?;
            let drains = configuration.add_drain(&base.drains, drain.clone())?;
            Ok((base.text.clone(), drains))
        }
        (Change::Undrain(drain), Some(base)) => {
            Ok((base.text.clone(), remove_drain(&base.drains, drain)?))
        }
        (Change::Blocks(_), Some(base)) => Ok((base.text.clone(), base.drains.clone())),
        (Change::Blocks(_) | Change::Drain(_) | Change::Undrain(_), None) => {
            Err(AcceptanceError::NoConfiguration)
        }
    }
}

/// Writes the manifest conditionally; reports acceptance only once the outcome is known.
async fn write_manifest(
    store: &dyn ObjectStore,
    next: &Manifest,
    condition: Expected,
    expected: u64,
) -> Result<(), AcceptanceError> {
    let accepted =
        match write_confirmed(store, MANIFEST_KEY, next.to_json()?.into(), condition).await {
            Ok(WriteOutcome::Written(_)) => true,
            Ok(WriteOutcome::Conflict { .. }) => false,
            Err(StoreError::OutcomeUnknown) => {
                matches!(history::resolve_write(store, next).await?, ResolvedWrite::Accepted)
            }
            Err(error) => return Err(error.into()),
        };
    if accepted {
        return Ok(());
    }
    let winner = store.get(MANIFEST_KEY).await?;
    let winner = winner.map(|object| Manifest::from_json(&object.value)).transpose()?;
    Err(conflict_error(expected, &next.author, winner.as_ref()))
}

fn conflict_error(expected: u64, author: &Arc<str>, current: Option<&Manifest>) -> AcceptanceError {
    let none = VersionLabel { number: 0, author: "nobody".into() };
    AcceptanceError::Conflict {
        expected,
        proposed: VersionLabel { number: expected + 1, author: author.clone() },
        current: current.map_or(none, VersionLabel::from),
    }
}

fn references(chunks: &[BlockChunk]) -> Vec<ChunkReference> {
    chunks.iter().map(|chunk| chunk.reference.clone()).collect()
}

fn chunks_by_reference(active: Option<&Version>) -> HashMap<&ChunkReference, &BlockChunk> {
    let chunks = active.into_iter().flat_map(|version| &version.chunks);
    chunks.map(|chunk| (&chunk.reference, chunk)).collect()
}

async fn read_chunks(
    store: &dyn ObjectStore,
    references: &[ChunkReference],
    local_chunks: &HashMap<&ChunkReference, &BlockChunk>,
) -> Result<Vec<BlockChunk>, AcceptanceError> {
    let mut chunks = Vec::with_capacity(references.len());
    for reference in references {
        if let Some(chunk) = local_chunks.get(reference) {
            chunks.push((*chunk).clone());
            continue;
        }
        let missing = || AcceptanceError::MissingChunk(reference.digest.clone());
        let object = store.get(&reference.key()).await?.ok_or_else(missing)?;
        let text = String::from_utf8_lossy(&object.value).into();
        chunks.push(BlockChunk { reference: reference.clone(), text });
    }
    Ok(chunks)
}

/// Writes a chunk, even if it exists, so that a deletion of its earlier revision no longer matches.
async fn upload_chunk(store: &dyn ObjectStore, chunk: &BlockChunk) -> Result<(), AcceptanceError> {
    let key = chunk.reference.key();
    let present = store.get(&key).await?;
    let expected = present.map_or(Expected::Absent, |object| Expected::Version(object.version));
    let value = chunk.text.as_bytes().to_vec().into();
    match write_confirmed(store, &key, value, expected).await {
        // A concurrent writer wrote the same bytes or deleted the chunk.
        Ok(WriteOutcome::Conflict { current: None }) => {
            Err(StoreError::Conflict { current: None }.into())
        }
        Ok(WriteOutcome::Written(_) | WriteOutcome::Conflict { .. }) => Ok(()),
        Err(error) => Err(error.into()),
    }
}

fn unix_time_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
