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
use std::time::Duration;
use steering::placement::Incarnation;
use steering::suspects::Fingerprints;

/// Time that a request waits for the outcome before it is offered elsewhere: the longest round trip
/// between regions of 110 ms, and a little; in silence nothing is concluded anyway.
const PATIENCE: Duration = Duration::from_millis(150);

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
/// ended; what it returns ends when that is known, or [`PATIENCE`] is over.
///
/// All requests that it had are judged by one look.  Whoever offers the request elsewhere should know
/// first: offered at once, it ends a fourth server before the third one is known to have ended.
pub(crate) fn closed_under(
    instance: &Rc<Instance>,
    server: &Incarnation,
    address: SocketAddr,
    request: Fingerprints,
) -> impl Future<Output = ()> + use<> {
    let (is_first, mut over) = instance.looks.borrow_mut().add(server, request);
    if is_first {
        tokio::task::spawn_local(look(instance.clone(), server.clone(), address));
    }
    async move {
        // Nothing is sent: the look's end is that it goes.  Who can't wait goes on without.
        let _ = tokio::time::timeout(PATIENCE, over.changed()).await;
    }
}

async fn look(instance: Rc<Instance>, server: Incarnation, address: SocketAddr) {
    let found = look_at(address).await;
    let look = instance.looks.borrow_mut().take(&server);
    log::info!(
        target: "backend-server",
        id = &*server.id, outcome = found.as_str(), requests = look.requests.len();
        "closed under requests"
    );
    if found == Found::Ended {
        let now = instance.clock.now();
        let changes = instance.suspects.borrow_mut().ended_under(&server, &look.requests, now);
        suspicions::changed(&instance, &changes, "own");
    }
}

async fn look_at(address: SocketAddr) -> Found {
    match dial(address, DIAL_TIMEOUT).await {
        Ok(_) => Found::Alive,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => Found::Ended,
        Err(_) => Found::Silent,
    }
}
