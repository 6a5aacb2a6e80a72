//! Messages between instances.
//!
//! Services, zones and instances are referred to by name, not by index, as two instances may have
//! different configuration versions. Times are durations, so that clocks need not agree, except for
//! [`HandOverRequest::horizon_ms`]; the receiver of a reply counts them from before it sent its
//! request.

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

/// Identity of the instance that sends a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Sender {
    /// Name that the platform gave the instance.
    pub name: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Id of the running process; a restart gets another.
    pub incarnation: u64,
}

/// A request to another instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Exchanges gossip about instances, configuration and load.
    Digest(Digest),
    /// Requests a part of the active manifest.
    Manifest(ManifestRequest),
    /// Requests a part of a chunk of client blocks.
    Chunk(ChunkRequest),
    /// Requests grants from the session holder of the availability zone.
    Grant(GrantRequest),
    /// Releases all grants.
    Release(ReleaseRequest),
    /// Requests a promise not to take the session.
    Promise(PromiseRequest),
    /// Hands over the ledger of a stopping home instance.
    HandOver(HandOverRequest),
}

/// Kind of a [`Request`], also used as a metric label.
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
    /// Returns the name used as a metric label.
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
    /// Returns the kind of the request.
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

/// Reply to the request kind of the same name.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Digest of the replying instance.
    Digest(Digest),
    /// A part of the manifest, if its number is higher than the requester's.
    Manifest(Part),
    /// A part of the chunk, if the instance has it.
    Chunk(Part),
    /// The grants, or an epoch of 0 when the instance is not the session holder.
    Grant(GrantReply),
    /// The grants were released.
    Released,
    /// Whether the promise is given.
    Promise(PromiseReply),
    /// Whether the records were taken over.
    HandOver(HandOverReply),
    /// The instance can't handle the request, or not now.
    Refused,
}

impl Reply {
    /// Returns whether this is a valid reply to a request of `kind`.
    pub fn matches_kind(&self, kind: RequestKind) -> bool {
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
