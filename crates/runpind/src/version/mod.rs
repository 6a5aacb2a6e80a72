//! What belongs to one version of the configuration: built once, then only read.

mod routing;

pub use routing::VersionRouting;

use configuration::{BlockChunk, Configuration, Manifest, ManifestError, ZoneIndex};
use std::net::IpAddr;
use std::sync::Arc;
use steering::BlockTable;

/// One version of the configuration with the tables made from it.
///
/// A request holds one version for its whole life.
#[derive(Debug)]
pub struct Version {
    /// Number of the version; a daemon only ever moves to a higher one.
    pub number: u64,
    /// The manifest it came from, as peers are given it.
    pub manifest: Arc<Manifest>,
    /// The chunks of client blocks.
    pub chunks: Vec<BlockChunk>,
    /// The checked configuration.
    pub configuration: Configuration,
    /// Availability zone of each caller address.
    pub blocks: BlockTable,
    /// Arms, policies and the table that requests read.
    pub routing: VersionRouting,
    /// Availability zone of this instance; `None` when the version does not have it.
    pub own_zone: Option<ZoneIndex>,
}

impl Version {
    /// Checks a manifest with all its chunks and builds the tables.
    pub fn build(
        manifest: Manifest,
        chunks: Vec<BlockChunk>,
        own_zone: &str,
    ) -> Result<Self, ManifestError> {
        let mut configuration = manifest.configuration(&chunks)?;
        let blocks = BlockTable::new(&configuration.client_blocks);
        // The table holds them in a tenth of the memory.
        configuration.client_blocks = Vec::new();
        let own_zone = configuration.zone(own_zone);
        let routing = VersionRouting::new(&configuration);
        Ok(Self {
            number: manifest.number,
            manifest: Arc::new(manifest),
            chunks,
            configuration,
            blocks,
            routing,
            own_zone,
        })
    }

    /// Returns the availability zone nearest to a caller: that of its block, else our own.
    pub fn zone_of_caller(&self, address: IpAddr) -> Option<ZoneIndex> {
        self.blocks.zone_of(address).or(self.own_zone)
    }
}
