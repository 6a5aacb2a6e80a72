//! Whether a backend server ended under the requests that it had, or only closed a connection.
//!
//! Both look alike to the request.  One more connection tells them apart: where a process has ended,
//! its host refuses it at once; a backend server that only broke off accepts it; behind a cut or
//! without power nobody says anything, and nothing is concluded.

use super::instance::Instance;
use super::suspicions;
use crate::connection::dial::{DIAL_TIMEOUT, dial};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use steering::placement::Incarnation;
use steering::suspects::Fingerprints;

/// What a backend server turned out to be after it closed a connection under a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Found {
    /// Its host refuses connections: the process has ended.
    Ended,
    /// It accepts connections.
    Alive,
    /// Nobody answers.
    Silent,
}

impl Found {
    fn as_str(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Alive => "alive",
            Self::Silent => "silent",
        }
    }
}

/// Takes over that a connection closed under a request, and finds out whether the backend server has
/// ended.  All requests that it had are judged by one look.
pub(crate) fn closed_under(
    instance: &Rc<Instance>,
    server: &Incarnation,
    address: SocketAddr,
    request: Fingerprints,
) {
    if !instance.looks.borrow_mut().add(server, request) {
        return;
    }
    let (instance, server) = (instance.clone(), server.clone());
    tokio::task::spawn_local(async move {
        let found = look_at(address).await;
        let requests = instance.looks.borrow_mut().end(&server);
        log::info!(
            target: "backend-server",
            id = &*server.id, outcome = found.as_str(), requests = requests.len();
            "closed under requests"
        );
        if found == Found::Ended {
            let now = Instant::now();
            let changes = instance.suspects.borrow_mut().ended_under(&server, &requests, now);
            suspicions::changed(&instance, &changes, "own");
        }
    });
}

async fn look_at(address: SocketAddr) -> Found {
    match dial(address, DIAL_TIMEOUT).await {
        Ok(_) => Found::Alive,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => Found::Ended,
        Err(_) => Found::Silent,
    }
}
