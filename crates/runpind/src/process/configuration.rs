//! Keeps the configuration in force up to date, moving only to higher versions.

use super::Process;
use crate::version::Version;
use configuration::{BlockChunk, ChunkReference, MANIFEST_KEY, Manifest, ManifestError};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use platform::{Object, ObjectStore, StoreError};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// How long one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Pause after a failed call, before the next one.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Adopts configuration versions, one at a time.
#[derive(Actor)]
pub struct ConfigurationActor {
    process: Arc<Process>,
    store: Arc<dyn ObjectStore>,
}

/// An object that was read or watched: adopt it if its version is higher.
pub struct Adopt(pub Object);

/// Why a version was not adopted; the last one stays in force.
#[derive(Debug, Error)]
enum AdoptError {
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("chunk {0} is not in the platform's store")]
    MissingChunk(Arc<str>),
}

impl ConfigurationActor {
    /// Makes the actor.
    pub fn new(process: Arc<Process>, store: Arc<dyn ObjectStore>) -> Self {
        Self { process, store }
    }

    async fn adopt(&self, object: &Object) -> Result<(), AdoptError> {
        let manifest = Manifest::from_json(&object.value)?;
        let current = self.process.version.load_full();
        if current.as_ref().is_some_and(|version| version.number >= manifest.number) {
            return Ok(());
        }
        let known: HashMap<ChunkReference, BlockChunk> = current
            .iter()
            .flat_map(|version| &version.chunks)
            .map(|chunk| (chunk.reference.clone(), chunk.clone()))
            .collect();
        let mut chunks = Vec::with_capacity(manifest.chunks.len());
        for reference in &manifest.chunks {
            match known.get(reference) {
                Some(chunk) => chunks.push(chunk.clone()),
                None => chunks.push(self.fetch(reference).await?),
            }
        }
        let version = Version::build(manifest, chunks, &self.process.settings.availability_zone)?;
        log::info!("configuration version {} is in force", version.number);
        self.process.metrics.configuration_version.set(version.number as i64);
        self.process.version.store(Some(Arc::new(version)));
        Ok(())
    }

    async fn fetch(&self, reference: &ChunkReference) -> Result<BlockChunk, AdoptError> {
        let missing = || AdoptError::MissingChunk(reference.digest.clone());
        let object = self.store.get(&reference.key()).await?.ok_or_else(missing)?;
        let text = String::from_utf8_lossy(&object.value).into();
        Ok(BlockChunk { reference: reference.clone(), text })
    }
}

impl Message<Adopt> for ConfigurationActor {
    type Reply = ();

    async fn handle(&mut self, Adopt(object): Adopt, _: &mut Context<Self, Self::Reply>) {
        if let Err(error) = self.adopt(&object).await {
            log::warn!("configuration object {} not adopted: {error}", object.version.0);
        }
    }
}

/// Watches the manifest in the platform and hands each change to the actor, for ever.
pub async fn watch(store: Arc<dyn ObjectStore>, actor: ActorRef<ConfigurationActor>) {
    let mut seen = platform::Version::default();
    loop {
        match store.watch(MANIFEST_KEY, seen, WATCH_WAIT).await {
            Ok(batch) => {
                seen = batch.revision;
                for object in batch.changed {
                    if actor.tell(Adopt(object)).await.is_err() {
                        return;
                    }
                }
            }
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}
