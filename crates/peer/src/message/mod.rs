//! Messages between instances.
//!
//! Names stand in place of positions, as two instances may have different configuration versions.
//! Times are durations, counted by the receiver from before it sent its request.

mod configuration;
mod digest;
mod grant;
mod hand_over;

pub use configuration::{ChunkRequest, ManifestRequest, Part};
pub use digest::{
    Digest, InstanceDigest, InstanceStatus, ServerFigure, SiteFigure, Suspicion, SyncPosition,
};
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

/// Names of the requests, as labels of metrics.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RequestKind {
    /// [`Request::Digest`].
    Digest,
    /// [`Request::Manifest`].
    Manifest,
    /// [`Request::Chunk`].
    Chunk,
    /// [`Request::Grant`].
    Grant,
    /// [`Request::Release`].
    Release,
    /// [`Request::Promise`].
    Promise,
    /// [`Request::HandOver`].
    HandOver,
}

impl RequestKind {
    /// Returns the name.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestKind::Digest => "digest",
            RequestKind::Manifest => "manifest",
            RequestKind::Chunk => "chunk",
            RequestKind::Grant => "grant",
            RequestKind::Release => "release",
            RequestKind::Promise => "promise",
            RequestKind::HandOver => "hand_over",
        }
    }
}

impl Request {
    /// Returns what kind of request this is.
    pub fn kind(&self) -> RequestKind {
        match self {
            Request::Digest(_) => RequestKind::Digest,
            Request::Manifest(_) => RequestKind::Manifest,
            Request::Chunk(_) => RequestKind::Chunk,
            Request::Grant(_) => RequestKind::Grant,
            Request::Release(_) => RequestKind::Release,
            Request::Promise(_) => RequestKind::Promise,
            Request::HandOver(_) => RequestKind::HandOver,
        }
    }
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

impl Reply {
    /// Tells whether a request of `kind` can have this reply.
    pub fn fits(&self, kind: RequestKind) -> bool {
        match self {
            Reply::Digest(_) => kind == RequestKind::Digest,
            Reply::Manifest(_) => kind == RequestKind::Manifest,
            Reply::Chunk(_) => kind == RequestKind::Chunk,
            Reply::Grant(_) => kind == RequestKind::Grant,
            Reply::Released => kind == RequestKind::Release,
            Reply::Promise(_) => kind == RequestKind::Promise,
            Reply::HandOver(_) => kind == RequestKind::HandOver,
            Reply::Refused => true,
        }
    }
}
