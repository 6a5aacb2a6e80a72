//! Messages between instances.
//!
//! Names stand in place of positions, as two instances may have different configuration versions.
//! Times are durations, counted by the receiver from before it sent its request.

mod configuration;
mod digest;
mod grant;
mod hand_over;

pub use configuration::{ChunkRequest, ManifestRequest, Part};
pub use digest::{Digest, InstanceDigest, InstanceStatus, ServerFigure, SiteFigure};
pub use grant::{
    GrantReply, GrantRequest, LinkAmount, PromiseReply, PromiseRequest, ReleaseRequest, SiteAmount,
};
pub use hand_over::{HandOverReply, HandOverRequest, KeyOutcome, KeyRecord};

use std::sync::Arc;

/// Who sends a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Sender {
    /// Name that the platform gave the instance.
    pub name: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
}

/// A request to another instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Exchanges what both know of instances, configuration and figures.
    Digest(Digest),
    /// Asks for the manifest in force.
    Manifest(ManifestRequest),
    /// Asks for a chunk of client blocks.
    Chunk(ChunkRequest),
    /// Asks the session holder of the availability zone for grants.
    Grant(GrantRequest),
    /// Gives back all grants.
    Release(ReleaseRequest),
    /// Asks for a promise not to take the session.
    Promise(PromiseRequest),
    /// Hands on the ledger of a home that stops.
    HandOver(HandOverRequest),
}

/// The reply to a request of the same name.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The other side's digest.
    Digest(Digest),
    /// The manifest, if it is newer than the number asked with.
    Manifest(Part),
    /// The chunk, if known.
    Chunk(Part),
    /// Grants, or where to ask.
    Grant(GrantReply),
    /// The grants are back.
    Released,
    /// Whether the promise is given.
    Promise(PromiseReply),
    /// Whether the records are taken over.
    HandOver(HandOverReply),
    /// The request is not one that this instance can handle now.
    Refused,
}
