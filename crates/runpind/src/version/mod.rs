//! State that belongs to one configuration version, which is built once and then only read.

mod routing;

pub use routing::VersionRouting;

use configuration::{BlockChunk, Configuration, Manifest, ManifestError, ZoneIndex};
use std::net::IpAddr;
use std::sync::Arc;
use steering::BlockTable;

/// One version of the configuration, with the tables built from it.
///
/// A request uses one version from start to end.
#[derive(Debug)]
pub struct Version {
    /// Number of the version; a daemon only moves to higher numbers.
    pub number: u64,
    /// The manifest it was built from, as sent to peers.
    pub manifest: Arc<Manifest>,
    /// The chunks of client blocks.
    pub chunks: Vec<BlockChunk>,
    /// The validated configuration, without its client blocks.
    pub configuration: Configuration,
    /// Table from caller addresses to availability zones.
    pub blocks: BlockTable,
    /// The arms, the policies and the routing table.
    pub routing: VersionRouting,
    /// Availability zone of this instance; `None` if the version does not define it.
    pub own_zone: Option<ZoneIndex>,
}

impl Version {
    /// Validates a manifest with all its chunks and builds the tables.
    pub fn build(
        manifest: Manifest,
        chunks: Vec<BlockChunk>,
        own_zone: &str,
    ) -> Result<Self, ManifestError> {
        let mut configuration = manifest.configuration(&chunks)?;
        let blocks = BlockTable::new(&configuration.client_blocks);
        // The table holds the same blocks in a tenth of the memory.
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

    /// Returns the availability zone nearest to a caller, which is the zone of its client block or
    /// else this instance's own.
    pub fn zone_of_caller(&self, address: IpAddr) -> Option<ZoneIndex> {
        self.blocks.zone_of(address).or(self.own_zone)
    }
}
