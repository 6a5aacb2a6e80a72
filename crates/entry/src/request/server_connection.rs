//! The connection for an attempt: to the backend server, or to an instance that relays the request.

use super::exchange::Exchange;
use crate::connection::pool::{Connection, PoolError};
use crate::connection::relay_protocol::Destination;
use crate::process::instance::Instance;
use crate::process::relays::Relay;
use http::{HeaderName, HeaderValue};
use std::io::ErrorKind;
use std::time::Instant;
use steering::placement::Choice;

/// Connections that this instance may always open to one backend server.
const MIN_CONNECTIONS_PER_SERVER: usize = 2;

/// Maximum connections to one relaying instance, several times what one instance needs for an
/// availability zone of another region.
const MAX_CONNECTIONS_PER_RELAY: usize = 64;

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
}

/// Takes a connection for an attempt from the pool, or opens one.
///
/// # Errors
///
/// Fails if there is no connection; nothing was sent then.
pub(super) async fn connect(
    exchange: &Exchange,
    choice: &Choice,
) -> Result<ServerConnection, PoolError> {
    let Exchange { instance, service, .. } = exchange;
    if let Some(relay_hop) = find_relay_hop(exchange, choice) {
        let Relay { id, address } = &relay_hop.relay;
        match instance.pools.acquire(id, *address, MAX_CONNECTIONS_PER_RELAY).await {
            Ok(connection) => {
                instance.pools.open_spare(id, *address, MAX_CONNECTIONS_PER_RELAY);
                return Ok(ServerConnection { connection, relay_hop: Some(relay_hop) });
            }
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
    let connection = instance.pools.acquire(&server, choice.address, limit).await?;
    if connection.is_new {
        instance.metrics.connections.with_label_values(&[&**service]).inc();
        let mut roster = instance.roster.borrow_mut();
        if roster.is_in_other_region(&choice.availability_zone) {
            roster.record_cross_region_dial(service);
        }
    }
    Ok(ServerConnection { connection, relay_hop: None })
}

/// The instance that relays an attempt to another region, if one can.
fn find_relay_hop(exchange: &Exchange, choice: &Choice) -> Option<RelayHop> {
    let instance = &exchange.instance;
    if !instance.roster.borrow().is_in_other_region(&choice.availability_zone) {
        return None;
    }
    let head_bytes: usize =
        exchange.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    // A body that can't be sent again must not depend on one more process.
    if exchange.body.is_none() || head_bytes > MAX_RELAYED_HEAD_BYTES {
        return None;
    }
    let destination = Destination { server: choice.incarnation(), address: choice.address };
    let destination = destination.to_header()?;
    let peers = instance.peers.borrow();
    let mut relays = instance.relays.borrow_mut();
    let relay = relays.choose(&choice.availability_zone, &peers, Instant::now())?;
    Some(RelayHop { relay, destination })
}

/// Connections that this instance may open to one backend server of a service.
pub(super) fn connection_limit(instance: &Instance, service: &str) -> usize {
    let max_connections = instance.service(service).map_or(0, |service| service.max_connections);
    let instances = instance.peers.borrow().alive_count(Instant::now()) + 1;
    (max_connections as usize / instances).max(MIN_CONNECTIONS_PER_SERVER)
}
