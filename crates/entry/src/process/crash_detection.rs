//! Detects whether a backend server crashed during its requests or only closed a connection.
//!
//! Both look alike to the request. A probe connection distinguishes them: if the process has ended,
//! its host refuses the connection at once; a backend server that only closed a connection accepts it;
//! behind a network partition or without power there is no response, and nothing is concluded. Nothing is
//! concluded either if another backend server is not reached.

use super::instance::Instance;
use super::reach_checks::reaches_another;
use super::suspects;
use crate::connection::dial::{DIAL_TIMEOUT, dial};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use steering::placement::Incarnation;
use steering::suspects::Fingerprints;
use steering::terms::timings::ConnectionTimings;

/// Longest time that a request waits for the outcome of a probe before it is retried elsewhere: the
/// longest round trip between regions, 110 ms, and some slack. Without a response nothing is concluded.
const PROBE_WAIT: Duration = Duration::from_millis(150);

/// Outcome of a probe of a backend server that closed a connection during a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProbeOutcome {
    /// Its host refuses connections: the process has ended.
    Ended,
    /// It accepts connections.
    Alive,
    /// There is no response.
    Silent,
    /// Its host refuses connections, as another one does.
    Unclear,
}

impl ProbeOutcome {
    fn as_str(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Alive => "alive",
            Self::Silent => "silent",
            Self::Unclear => "unclear",
        }
    }
}

/// Probes a backend server that closed a connection during a request; the returned future completes
/// when the outcome is known, or after [`PROBE_WAIT`].
///
/// One probe covers all requests that the server had. The request should wait for the outcome before
/// it is retried elsewhere: retried at once, it would crash a fourth server before the crash of the
/// third is known.
pub(crate) fn probe_after_close(
    instance: &Rc<Instance>,
    server: &Incarnation,
    address: SocketAddr,
    request: Fingerprints,
) -> impl Future<Output = ()> + use<> {
    let (is_first, mut completed) = instance.probes.borrow_mut().add(server, request);
    if is_first {
        tokio::task::spawn_local(probe(instance.clone(), server.clone(), address));
    }
    async move {
        // Nothing is ever sent; the wait ends when the probe drops the sender.
        let _ = tokio::time::timeout(PROBE_WAIT, completed.changed()).await;
    }
}

async fn probe(instance: Rc<Instance>, server: Incarnation, address: SocketAddr) {
    let outcome = match probe_address(address, instance.timings.connections).await {
        // A path that is cut may refuse connections too, but then to all backend servers.
        ProbeOutcome::Ended if reaches_another(&instance, &server).await == Some(false) => {
            ProbeOutcome::Unclear
        }
        outcome => outcome,
    };
    let probe = instance.probes.borrow_mut().take(&server);
    log::info!(
        target: "backend-server",
        id = &*server.id, outcome = outcome.as_str(), requests = probe.requests.len();
        "connection closed during requests"
    );
    if outcome == ProbeOutcome::Ended {
        let now = instance.clock.now();
        let changes = instance.suspects.borrow_mut().record_crash(&server, &probe.requests, now);
        suspects::publish_changes(&instance, &changes, "own");
    }
}

async fn probe_address(address: SocketAddr, timings: ConnectionTimings) -> ProbeOutcome {
    match dial(address, DIAL_TIMEOUT, timings).await {
        Ok(_) => ProbeOutcome::Alive,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => ProbeOutcome::Ended,
        Err(_) => ProbeOutcome::Silent,
    }
}
