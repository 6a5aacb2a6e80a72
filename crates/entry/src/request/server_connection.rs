//! The connection that an offer goes over: to the backend server, or to an instance that passes it on.

use super::exchange::Exchange;
use crate::connection::pool::{Connection, PoolError};
use crate::connection::relay_protocol::Destination;
use crate::process::instance::Instance;
use crate::process::relays::Relay;
use http::{HeaderName, HeaderValue};
use std::io::ErrorKind;
use std::time::Instant;
use steering::placement::Choice;

/// Connections to one backend server that this instance may open in any case.
const LEAST_CONNECTIONS: usize = 2;

/// Connections to one instance that passes requests on, at most: what one instance sends to an
/// availability zone of another region, many times over.
const MOST_TO_RELAY: usize = 64;

/// Longest head that is passed on: with what the instances add, it must not be longer than the other one
/// reads.
const HEAD_BYTES: usize = 4096;

/// The connection that an offer goes over.
pub(super) struct Way {
    pub(super) connection: Connection,
    pub(super) through: Option<Through>,
}

/// An instance that passes the offer on, and the header that tells it to whom.
pub(super) struct Through {
    pub(super) relay: Relay,
    pub(super) destination: (HeaderName, HeaderValue),
}

/// Takes the connection for an offer.
///
/// # Errors
///
/// Says why there is none; nothing was sent then.
pub(super) async fn open(exchange: &Exchange, choice: &Choice) -> Result<Way, PoolError> {
    let Exchange { instance, service, .. } = exchange;
    if let Some(through) = through(exchange, choice) {
        let Relay { id, address } = &through.relay;
        match instance.pools.take(id, *address, MOST_TO_RELAY).await {
            Ok(connection) => {
                instance.pools.open_spare(id, *address, MOST_TO_RELAY);
                return Ok(Way { connection, through: Some(through) });
            }
            Err(error) => {
                let now = Instant::now();
                instance.relays.borrow_mut().failed(&through.relay, &error.to_string(), now);
                // The time that the backend server's own connection would have had is over.
                if matches!(&error, PoolError::Dial(it) if it.kind() == ErrorKind::TimedOut) {
                    return Err(error);
                }
            }
        }
    }
    let limit = connection_limit(instance, service);
    let server = choice.incarnation();
    let connection = instance.pools.take(&server, choice.address, limit).await?;
    if connection.is_new {
        instance.metrics.connections.with_label_values(&[&**service]).inc();
        let mut roster = instance.roster.borrow_mut();
        if roster.is_away(&choice.availability_zone) {
            roster.opened_to_leave(service);
        }
    }
    Ok(Way { connection, through: None })
}

/// The instance that passes an offer on which leaves the region, if there is one and it can.
fn through(exchange: &Exchange, choice: &Choice) -> Option<Through> {
    let instance = &exchange.instance;
    if !instance.roster.borrow().is_away(&choice.availability_zone) {
        return None;
    }
    let head: usize =
        exchange.headers.iter().map(|(name, it)| name.as_str().len() + it.len()).sum();
    // What can't be sent again must not depend on one more process.
    if exchange.body.is_none() || head > HEAD_BYTES {
        return None;
    }
    let destination = Destination { server: choice.incarnation(), address: choice.address };
    let destination = destination.header()?;
    let peers = instance.peers.borrow();
    let mut relays = instance.relays.borrow_mut();
    let relay = relays.of(&choice.availability_zone, &peers, Instant::now())?;
    Some(Through { relay, destination })
}

/// Connections that this instance may open to one backend server of a service.
pub(super) fn connection_limit(instance: &Instance, service: &str) -> usize {
    let most = instance.service(service).map_or(0, |service| service.max_connections);
    let instances = instance.peers.borrow().alive_count(Instant::now()) + 1;
    (most as usize / instances).max(LEAST_CONNECTIONS)
}
