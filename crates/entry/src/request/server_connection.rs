//! The connection for an attempt: to the backend server, or to an instance that relays the request.

use super::exchange::Exchange;
use crate::connection::pool::{Connection, PoolError};
use crate::connection::relay_protocol::Destination;
use crate::process::instance::Instance;
use crate::process::reach;
use crate::process::relays::Relay;
use http::{HeaderName, HeaderValue};
use std::io::ErrorKind;
use std::time::Instant;
use steering::placement::Choice;
use steering::reach::{Failure, Path};

/// Connections that this instance may always open to one backend server.
const MIN_CONNECTIONS_PER_SERVER: usize = 2;

/// Maximum connections to one relaying instance, several times what one instance needs for an
/// availability zone of another region.
const MAX_CONNECTIONS_PER_RELAY: usize = 64;

/// Instances that an attempt tries to connect to before it is given up.
const MAX_STAND_IN_DIALS: usize = 3;

/// Largest request head in bytes that is sent through a relay. With the headers that instances add,
/// it must not exceed what the relay reads.
const MAX_RELAYED_HEAD_BYTES: usize = 4096;

/// The connection for an attempt.
pub(super) struct ServerConnection {
    pub(super) connection: Connection,
    pub(super) relay_hop: Option<RelayHop>,
}

/// A relaying instance, and the header that names the backend server to it.
pub(super) struct RelayHop {
    pub(super) relay: Relay,
    pub(super) destination: (HeaderName, HeaderValue),
    /// Whether it passes the request on because this instance does not reach the backend server.
    pub(super) is_stand_in: bool,
}

/// Takes a connection for an attempt from the pool, or opens one.
///
/// While this instance does not reach the backend servers, the connection is to one that does.
///
/// # Errors
///
/// Fails if there is no connection; nothing was sent then.
pub(super) async fn connect(
    exchange: &Exchange,
    choice: &Choice,
) -> Result<ServerConnection, PoolError> {
    let Exchange { instance, service, .. } = exchange;
    if needs_stand_in(exchange, choice)
        && let Some(opened) = connect_to_stand_in(exchange, choice).await
    {
        return Ok(opened);
    }
    let request_id = exchange.head.request_id.as_deref();
    if let Some(relay_hop) = find_relay_hop(exchange, choice) {
        let Relay { id, address } = &relay_hop.relay;
        let limit = MAX_CONNECTIONS_PER_RELAY;
        match instance.pools.acquire_to_instance(id, *address, limit, request_id).await {
            Ok(connection) => {
                instance.pools.open_spare(id, *address, limit);
                return Ok(ServerConnection { connection, relay_hop: Some(relay_hop) });
            }
            // An open connection to the backend server needs nothing more.
            Err(PoolError::Exhausted(_)) => {}
            Err(error) => {
                let now = Instant::now();
                instance.relays.borrow_mut().record_failure(
                    &relay_hop.relay,
                    &error.to_string(),
                    now,
                );
                // The timeout has used up the time for a direct connection too.
                if matches!(&error, PoolError::Dial(error) if error.kind() == ErrorKind::TimedOut) {
                    return Err(error);
                }
            }
        }
    }
    let limit = connection_limit(instance, service);
    let server = choice.incarnation();
    let started = Instant::now();
    let connection = match instance.pools.acquire(&server, choice.address, limit, request_id).await
    {
        Ok(connection) => connection,
        Err(error) => {
            if !error.is_own() {
                reach::record_failure(instance, service, &server, Failure::Connecting, started);
            }
            return Err(error);
        }
    };
    if connection.is_new {
        instance.metrics.connections.with_label_values(&[&**service]).inc();
        let mut roster = instance.roster.borrow_mut();
        if roster.is_in_other_region(&choice.availability_zone) {
            roster.record_cross_region_dial(service);
        }
    }
    Ok(ServerConnection { connection, relay_hop: None })
}

/// Returns whether another instance should pass the attempt on, as this one does not reach the backend
/// server.
fn needs_stand_in(exchange: &Exchange, choice: &Choice) -> bool {
    let Exchange { instance, service, .. } = exchange;
    match instance.reach.borrow().path(service, rand::random(), Instant::now()) {
        Path::Direct => false,
        Path::OpenConnectionsOnly => {
            let request_id = exchange.head.request_id.as_deref();
            !instance.pools.has_idle(&choice.incarnation(), request_id)
        }
        Path::StandIn { .. } => true,
    }
}

/// Takes a connection to an instance that reaches the backend servers; `None` if there is none.
async fn connect_to_stand_in(exchange: &Exchange, choice: &Choice) -> Option<ServerConnection> {
    let Exchange { instance, service, .. } = exchange;
    let destination = destination(exchange, choice)?;
    let request_id = exchange.head.request_id.as_deref();
    for _ in 0..MAX_STAND_IN_DIALS {
        let relay = instance.draw_stand_in(service)?;
        let Relay { id, address } = &relay;
        let acquired = instance
            .pools
            .acquire_to_instance(id, *address, MAX_CONNECTIONS_PER_RELAY, request_id)
            .await;
        match acquired {
            Ok(connection) => {
                instance.metrics.passed_on.with_label_values(&[&**service]).inc();
                let relay_hop = Some(RelayHop { relay, destination, is_stand_in: true });
                return Some(ServerConnection { connection, relay_hop });
            }
            Err(error) => {
                let mut relays = instance.relays.borrow_mut();
                match &error {
                    // Another one may have an open connection.
                    PoolError::Exhausted(_) => {}
                    PoolError::Limit(_) => {
                        relays.record_busy(&relay, &error.to_string(), Instant::now());
                    }
                    _ => relays.record_failure(&relay, &error.to_string(), Instant::now()),
                }
            }
        }
    }
    None
}

/// The header that names the backend server to a relay; `None` if no relay could read the head.
fn destination(exchange: &Exchange, choice: &Choice) -> Option<(HeaderName, HeaderValue)> {
    let head_bytes: usize =
        exchange.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if head_bytes > MAX_RELAYED_HEAD_BYTES {
        return None;
    }
    let destination =
        Destination { server: choice.incarnation(), address: choice.address, knows_backoffs: true };
    destination.to_header()
}

/// The instance that relays an attempt to another region, if one can.
fn find_relay_hop(exchange: &Exchange, choice: &Choice) -> Option<RelayHop> {
    let instance = &exchange.instance;
    if !instance.roster.borrow().is_in_other_region(&choice.availability_zone) {
        return None;
    }
    // A body that can't be sent again must not depend on one more process.
    exchange.body.as_ref()?;
    let destination = destination(exchange, choice)?;
    let peers = instance.peers.borrow();
    let mut relays = instance.relays.borrow_mut();
    let relay = relays.choose(&choice.availability_zone, &peers, Instant::now())?;
    Some(RelayHop { relay, destination, is_stand_in: false })
}

/// Connections that this instance may open to one backend server of a service.
pub(super) fn connection_limit(instance: &Instance, service: &str) -> usize {
    let max_connections = instance.service(service).map_or(0, |service| service.max_connections);
    let instances = instance.peers.borrow().alive_count(Instant::now()) + 1;
    (max_connections as usize / instances).max(MIN_CONNECTIONS_PER_SERVER)
}
