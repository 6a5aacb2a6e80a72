//! Fetches a version from the platform or from another instance.

use super::error::AdoptionError;
use super::metrics::ConfigurationMetrics;
use crate::process::Process;
use crate::version::Version;
use ::configuration::{BlockChunk, ChunkReference, MANIFEST_KEY, MAX_VALUE_BYTES, Manifest};
use bytes::Bytes;
use peer::message::{ChunkRequest, ManifestRequest, Part};
use peer::{PeerEndpoint, PeerError, Reply, Request};
use std::collections::HashMap;
use std::sync::Arc;
use steering::adoption::Source;

/// Number of other instances to query for a chunk that its source does not have.
const OTHER_CHUNK_SOURCES: usize = 2;

/// Fetches versions on behalf of the actor.
#[derive(Clone)]
pub(super) struct Fetcher {
    pub(super) process: Arc<Process>,
    pub(super) metrics: ConfigurationMetrics,
}

impl Fetcher {
    /// Fetches and loads the version of the source; `None` if it is not newer than the active one.
    pub(super) async fn fetch(
        &self,
        source: &Source,
    ) -> Result<Option<Arc<Version>>, AdoptionError> {
        let known_number = self.process.version.load().as_ref().map_or(0, |v| v.number);
        let value = match source {
            Source::Platform => self.process.store.get(MANIFEST_KEY).await?.map(|o| o.value),
            Source::Peer(name) => self.fetch_peer_manifest(name, known_number).await?,
        };
        match value {
            Some(value) => self.load(&value, source).await,
            None => Ok(None),
        }
    }

    /// Loads a manifest received from the source; `None` if it is not newer than the active
    /// version.
    pub(super) async fn load(
        &self,
        value: &[u8],
        source: &Source,
    ) -> Result<Option<Arc<Version>>, AdoptionError> {
        self.count_bytes(source, value.len());
        let manifest = Manifest::from_json(value).map_err(AdoptionError::Format)?;
        let number = manifest.number;
        let current = self.process.version.load_full();
        if current.as_ref().is_some_and(|version| version.number >= number) {
            return Ok(None);
        }
        let chunks = self.collect_chunks(&manifest, current.as_deref(), source).await?;
        let own_zone = self.process.settings.availability_zone.clone();
        // Building the tables of a large configuration would block the async runtime.
        let built =
            tokio::task::spawn_blocking(move || Version::build(manifest, chunks, &own_zone));
        match built.await.map_err(|_| AdoptionError::Interrupted)? {
            Ok(version) => Ok(Some(Arc::new(version))),
            Err(error) => Err(AdoptionError::Invalid { number, error }),
        }
    }

    async fn collect_chunks(
        &self,
        manifest: &Manifest,
        current: Option<&Version>,
        source: &Source,
    ) -> Result<Vec<BlockChunk>, AdoptionError> {
        let current_chunks: HashMap<&ChunkReference, &BlockChunk> = current
            .into_iter()
            .flat_map(|version| &version.chunks)
            .map(|chunk| (&chunk.reference, chunk))
            .collect();
        let mut chunks = Vec::with_capacity(manifest.chunks.len());
        for reference in &manifest.chunks {
            let chunk = match current_chunks.get(reference) {
                Some(chunk) => Some((*chunk).clone()),
                None => self.fetch_chunk(reference, source).await,
            };
            chunks.push(chunk.ok_or_else(|| AdoptionError::MissingChunk {
                number: manifest.number,
                digest: reference.digest.clone(),
            })?);
        }
        Ok(chunks)
    }

    /// Fetches a chunk from its source, then from the platform, then from other instances.
    async fn fetch_chunk(&self, reference: &ChunkReference, source: &Source) -> Option<BlockChunk> {
        let own_zone = &self.process.settings.availability_zone;
        let own_name = &self.process.settings.name;
        let members = self.process.members.load_full();
        let neighbors = members.iter().flat_map(|members| members.in_zone(own_zone));
        let neighbors = neighbors
            .filter(|member| member.name != *own_name)
            .take(OTHER_CHUNK_SOURCES)
            .map(|member| Source::Peer(member.name.clone()));
        let sources = [source.clone(), Source::Platform].into_iter().chain(neighbors);
        for source in sources {
            let Ok(Some(text)) = self.fetch_chunk_text(reference, &source).await else { continue };
            let chunk = BlockChunk { reference: reference.clone(), text };
            if chunk.verify().is_ok() {
                self.count_bytes(&source, chunk.text.len());
                return Some(chunk);
            }
            log::warn!("digest mismatch for chunk {} from {source:?}", reference.digest);
        }
        None
    }

    async fn fetch_chunk_text(
        &self,
        reference: &ChunkReference,
        source: &Source,
    ) -> Result<Option<Arc<str>>, AdoptionError> {
        let value = match source {
            Source::Platform => self.process.store.get(&reference.key()).await?.map(|o| o.value),
            Source::Peer(name) => self.fetch_peer_chunk(name, &reference.digest).await?,
        };
        Ok(value.map(|value| String::from_utf8_lossy(&value).into()))
    }

    async fn fetch_peer_manifest(
        &self,
        name: &Arc<str>,
        known_number: u64,
    ) -> Result<Option<Bytes>, AdoptionError> {
        let mut text = PartAssembler::new(name);
        let mut number = 0;
        while let Some(offset) = text.next_offset() {
            let request = ManifestRequest { known_number, number, offset };
            match self.call(name, Request::Manifest(request)).await? {
                Reply::Manifest(part) => text.append(part)?,
                _ => return Err(peer_error(name, PeerError::UnexpectedReply)),
            }
            if offset == 0 && text.next_offset().is_some() {
                number = parse_leading_number(&text.bytes)
                    .ok_or_else(|| AdoptionError::Incomplete(name.clone()))?;
            }
        }
        Ok(text.into_bytes())
    }

    async fn fetch_peer_chunk(
        &self,
        name: &Arc<str>,
        digest: &Arc<str>,
    ) -> Result<Option<Bytes>, AdoptionError> {
        let mut text = PartAssembler::new(name);
        while let Some(offset) = text.next_offset() {
            let request = ChunkRequest { digest: digest.clone(), offset };
            match self.call(name, Request::Chunk(request)).await? {
                Reply::Chunk(part) => text.append(part)?,
                _ => return Err(peer_error(name, PeerError::UnexpectedReply)),
            }
        }
        Ok(text.into_bytes())
    }

    async fn call(&self, name: &Arc<str>, request: Request) -> Result<Reply, AdoptionError> {
        let endpoint = self.find_endpoint(name)?;
        let reply = self.process.peers.call(&endpoint, request).await;
        reply.map_err(|error| peer_error(name, error))
    }

    fn find_endpoint(&self, name: &Arc<str>) -> Result<PeerEndpoint, AdoptionError> {
        let members = self.process.members.load();
        let mut members = members.iter().flat_map(|members| &members.members);
        let member = members.find(|member| member.name == *name);
        let unknown = || AdoptionError::UnknownPeer(name.clone());
        member.map(|member| member.peer_endpoint()).ok_or_else(unknown)
    }

    fn count_bytes(&self, source: &Source, bytes: usize) {
        let counter = self.metrics.received_bytes.with_label_values(&[source_label(source)]);
        counter.inc_by(bytes as u64);
    }
}

/// Returns the metric label of a source.
pub(super) fn source_label(source: &Source) -> &'static str {
    match source {
        Source::Platform => "platform",
        Source::Peer(_) => "peer",
    }
}

fn peer_error(name: &Arc<str>, error: PeerError) -> AdoptionError {
    AdoptionError::Peer { name: name.clone(), error }
}

/// Parses the version number at the start of a manifest's JSON text, `{"number":N,`.
fn parse_leading_number(text: &[u8]) -> Option<u64> {
    let rest = text.strip_prefix(br#"{"number":"#)?;
    let digits = rest.iter().take_while(|byte| byte.is_ascii_digit()).count();
    std::str::from_utf8(&rest[..digits]).ok()?.parse().ok()
}

/// Assembles a text of another instance from its parts.
struct PartAssembler<'a> {
    from: &'a Arc<str>,
    total_bytes: Option<usize>,
    bytes: Vec<u8>,
}

impl<'a> PartAssembler<'a> {
    fn new(from: &'a Arc<str>) -> Self {
        Self { from, total_bytes: None, bytes: Vec::new() }
    }

    /// Returns the offset of the next part; `None` once the text is complete.
    fn next_offset(&self) -> Option<u64> {
        let is_complete = self.total_bytes.is_some_and(|total| self.bytes.len() >= total);
        (!is_complete).then_some(self.bytes.len() as u64)
    }

    fn append(&mut self, part: Part) -> Result<(), AdoptionError> {
        let incomplete = || AdoptionError::Incomplete(self.from.clone());
        let total = usize::try_from(part.total_bytes).map_err(|_| incomplete())?;
        let fits = part.offset == self.bytes.len() as u64
            && total <= MAX_VALUE_BYTES
            && self.bytes.len() + part.bytes.len() <= total
            && self.total_bytes.is_none_or(|known| known == total);
        let makes_progress = !part.bytes.is_empty() || total == 0;
        if !fits || !makes_progress {
            return Err(incomplete());
        }
        self.total_bytes = Some(total);
        self.bytes.extend_from_slice(&part.bytes);
        Ok(())
    }

    fn into_bytes(self) -> Option<Bytes> {
        (!self.bytes.is_empty()).then(|| self.bytes.into())
    }
}
