//! The configuration of a deployment: its format, its validation and its accepted form.
//!
//! `Configuration::from_str` parses TOML text into a [`RawConfiguration`] and validates that into a
//! [`Configuration`], in which every reference is resolved to an index. A configuration that a
//! conditional update on the platform has accepted is a [`Manifest`].

mod checked;
mod chunking;
mod class;
mod drain;
mod error;
mod index;
mod manifest;
mod raw;
mod resolve;
mod route;

pub use checked::{
    Arm, AvailabilityZone, BackendServer, ClientBlock, Configuration, Delays, Link, LookupSettings,
    Overload, Policy, Region, Service, Site,
};
pub use chunking::chunk_blocks;
pub use class::Class;
pub use drain::{Drain, DrainError, Drained, MAX_DRAINS, remove_drain};
pub use error::{ConfigurationError, Problem};
pub use index::{LinkIndex, RegionIndex, ServiceIndex, SiteIndex, ZoneIndex};
pub use manifest::{
    BLOCKS_PREFIX, BlockChunk, ChunkReference, HISTORY_LENGTH, HISTORY_PREFIX, MANIFEST_KEY,
    MAX_VALUE_BYTES, Manifest, ManifestError, RetiredChunk, chunk_key, history_key,
};
pub use raw::RawConfiguration;
pub use route::Route;
