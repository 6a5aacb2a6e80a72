//! Calls to and from other instances.

use super::Process;
use async_trait::async_trait;
use peer::message::Part;
use peer::{PeerClient, PeerEndpoint, PeerError, PeerService, Reply, Request, Sender};
use std::sync::Arc;

/// Reaches nobody: the client of a daemon without a transport between instances.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unconnected;

#[async_trait]
impl PeerClient for Unconnected {
    async fn call(&self, _to: &PeerEndpoint, _request: Request) -> Result<Reply, PeerError> {
        Err(PeerError::Unreachable)
    }
}

/// Answers other instances from the state of the process.
pub struct Answerer {
    process: Arc<Process>,
}

impl Answerer {
    /// Makes the service of a daemon.
    pub fn new(process: Arc<Process>) -> Self {
        Self { process }
    }
}

#[async_trait]
impl PeerService for Answerer {
    async fn answer(&self, _from: Sender, request: Request) -> Reply {
        match request {
            Request::Manifest(request) => {
                Reply::Manifest(manifest_part(&self.process, request.known_number))
            }
            _ => Reply::Refused,
        }
    }
}

fn manifest_part(process: &Process, known_number: u64) -> Part {
    let version = process.version.load();
    let newer = version.as_ref().filter(|version| version.number > known_number);
    let Some(Ok(json)) = newer.map(|version| version.manifest.to_json()) else {
        return Part::default();
    };
    Part { total_bytes: json.len() as u64, offset: 0, bytes: json.into() }
}
