//! Accepting a new configuration: the conditional update that makes it the next version.

pub use super::acceptance_error::{AcceptanceError, VersionLabel};
use super::history::{self, Evidence};
use crate::version::Version;
use configuration::{
    BlockChunk, ChunkReference, Configuration, Drain, MANIFEST_KEY, Manifest, chunk_blocks,
    remove_drain,
};
use platform::{Expected, ObjectStore, StoreError, WriteOutcome, write_confirmed};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// What an operator wants to change.
#[derive(Clone, Debug)]
pub enum Change {
    /// The configuration text; drains stay as they are.
    Text {
        /// The text.
        text: Arc<str>,
        /// Client blocks, lines of `BLOCK ZONE`, in place of those in force; `None` keeps these.
        blocks: Option<Arc<str>>,
    },
    /// Client blocks, lines of `BLOCK ZONE`, in place of those in force; the text stays as it is.
    Blocks(Arc<str>),
    /// One thing more takes no new work; all else stays as it is.
    Drain(Drain),
    /// One thing takes work again; all else stays as it is.
    Undrain(Drain),
}

/// A change that an operator wants to be in force.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The change.
    pub change: Change,
    /// Who proposes it.
    pub author: Arc<str>,
    /// Number of the version that it replaces; 0 for the first one, `None` for whichever it is.
    pub expected_number: Option<u64>,
    /// Whether to check the proposal only, and accept nothing.
    pub dry_run: bool,
}

/// Makes the proposal the next version and returns it as accepted; the version in force where a
/// drain is there already, and in a dry run what the next version would be.
///
/// `in_force` is what this instance has, if any: its chunks need not be read again, and the next
/// number is above its number even where the platform has lost versions.
/// [`StoreError::OutcomeUnknown`] means that it is not known whether the proposal was accepted.
pub async fn propose(
    store: &dyn ObjectStore,
    in_force: Option<&Version>,
    proposal: Proposal,
) -> Result<Manifest, AcceptanceError> {
    let object = store.get(MANIFEST_KEY).await?;
    let stored = object.as_ref().map(|object| Manifest::from_json(&object.value)).transpose()?;
    let own = in_force.map(|version| &*version.manifest);
    let base = stored.iter().chain(own).max_by_key(|manifest| manifest.number);
    let number = base.map_or(0, |base| base.number);
    let expected = proposal.expected_number.unwrap_or(number);
    if expected != number {
        return Err(conflict(expected, &proposal.author, base));
    }
    let next = next_manifest(&proposal, base)?;
    if let (Change::Drain(_), Some(stored)) = (&proposal.change, &stored)
        && (stored.number, &stored.drains) == (number, &next.drains)
    {
        return Ok(stored.clone());
    }
    let known = known_chunks(in_force);
    let chunks = match &proposal.change {
        Change::Text { blocks: Some(blocks), .. } | Change::Blocks(blocks) => chunk_blocks(blocks),
        _ => read_chunks(store, &next.chunks, &known).await?,
    };
    let mut next = Manifest { chunks: references(&chunks), ..next };
    next.retired = base.map(|base| history::retire(base, &next)).unwrap_or_default();
    check(&next, &chunks).await?;
    if proposal.dry_run {
        return Ok(next);
    }
    let unused = history::unused_after(store, &next).await?;
    let named =
        |chunk: &BlockChunk| base.is_some_and(|base| base.chunks.contains(&chunk.reference));
    for chunk in chunks.iter().filter(|chunk| !named(chunk)) {
        upload(store, chunk).await?;
    }
    if let Some(stored) = &stored {
        history::keep(store, stored).await?;
    }
    let condition = object.map_or(Expected::Absent, |object| Expected::Version(object.version));
    offer(store, &next, condition, expected).await?;
    // The version is accepted, and whoever replaces it keeps it too.
    if let Err(error) = history::keep(store, &next).await {
        log::info!("version {} is not in the history yet: {error}", next.number);
    }
    history::delete(store, unused).await;
    Ok(next)
}

/// Builds the version as every instance will, off the runtime's threads.
async fn check(next: &Manifest, chunks: &[BlockChunk]) -> Result<(), AcceptanceError> {
    let (next, chunks) = (next.clone(), chunks.to_vec());
    let built = tokio::task::spawn_blocking(move || Version::build(next, chunks, "").map(drop));
    built.await.map_err(|_| AcceptanceError::Interrupted)??;
    Ok(())
}

/// Returns the manifest that the proposal would become, with the chunks of the one before.
fn next_manifest(
    proposal: &Proposal,
    base: Option<&Manifest>,
) -> Result<Manifest, AcceptanceError> {
    let (text, drains) = change(&proposal.change, base)?;
    Ok(Manifest {
        number: base.map_or(0, |base| base.number) + 1,
        write_id: format!("{:032x}", rand::random::<u128>()).into(),
        author: proposal.author.clone(),
        applied_at_s: seconds_since_1970(),
        text,
        chunks: base.map(|base| base.chunks.clone()).unwrap_or_default(),
        retired: Vec::new(),
        drains,
    })
}

/// Makes the change to the text and the drains in force.
fn change(
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

/// Offers the conditional update and claims nothing before its outcome is known.
async fn offer(
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
                matches!(history::settle(store, next).await?, Evidence::Accepted)
            }
            Err(error) => return Err(error.into()),
        };
    if accepted {
        return Ok(());
    }
    let winner = store.get(MANIFEST_KEY).await?;
    let winner = winner.map(|object| Manifest::from_json(&object.value)).transpose()?;
    Err(conflict(expected, &next.author, winner.as_ref()))
}

fn conflict(expected: u64, author: &Arc<str>, current: Option<&Manifest>) -> AcceptanceError {
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

fn known_chunks(in_force: Option<&Version>) -> HashMap<&ChunkReference, &BlockChunk> {
    let chunks = in_force.into_iter().flat_map(|version| &version.chunks);
    chunks.map(|chunk| (&chunk.reference, chunk)).collect()
}

async fn read_chunks(
    store: &dyn ObjectStore,
    references: &[ChunkReference],
    known: &HashMap<&ChunkReference, &BlockChunk>,
) -> Result<Vec<BlockChunk>, AcceptanceError> {
    let mut chunks = Vec::with_capacity(references.len());
    for reference in references {
        if let Some(chunk) = known.get(reference) {
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

/// Writes a chunk; one that is there is written again, so that no earlier deletion can hit it.
async fn upload(store: &dyn ObjectStore, chunk: &BlockChunk) -> Result<(), AcceptanceError> {
    let key = chunk.reference.key();
    let present = store.get(&key).await?;
    let expected = present.map_or(Expected::Absent, |object| Expected::Version(object.version));
    let value = chunk.text.as_bytes().to_vec().into();
    match write_confirmed(store, &key, value, expected).await {
        // Whoever came first wrote the same bytes, or deleted them.
        Ok(WriteOutcome::Conflict { current: None }) => {
            Err(StoreError::Conflict { current: None }.into())
        }
        Ok(WriteOutcome::Written(_) | WriteOutcome::Conflict { .. }) => Ok(()),
        Err(error) => Err(error.into()),
    }
}

fn seconds_since_1970() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
