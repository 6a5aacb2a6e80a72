//! One attempt to send a request to a backend server.

use super::body::Body;
use super::exchange::Slot;
use super::problem::Problem;
use super::reserve::Reservation;
use super::state::Exchange;
use crate::connection::dialer::Endpoint;
use crate::connection::pool::{ConnectError, PooledConnection};
use crate::process::routing::SiteExchange;
use configuration::{SiteIndex, ZoneIndex};
use http::{Request, Response};
use hyper::body::Incoming;
use std::io::ErrorKind;
use std::time::Duration;
use steering::figures::SiteName;
use steering::servers::Ending;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// How an attempt to send the request ended.
pub(super) enum Attempt {
    /// The backend server sent a response head.
    Responded(Response<Incoming>, PooledConnection),
    /// No byte of the request was sent; the request is returned.
    NotSent(Request<Body>),
    /// The request was sent, completely or in part, and the exchange failed without a response.
    Failed,
}

/// Selects a backend server of the site and acquires one of its slots.
///
/// Returns `None` if no backend server of the site has a free slot.
pub(super) fn acquire_slot(
    exchange: &Exchange,
    site: SiteIndex,
    reservation: Reservation,
) -> Option<(Slot, Endpoint)> {
    let process = &exchange.process;
    let is_repeatable = exchange.class.is_repeatable();
    let chosen =
        process.acquire_server(&exchange.version, exchange.service, site, is_repeatable)?;
    let zones = &exchange.version.configuration.availability_zones;
    let zone = exchange.service().sites[site.get()].availability_zone;
    let availability_zone = zones[zone.get()].name.clone();
    let own_zone = exchange.version.own_zone.unwrap_or(zone);
    let delay_ms = exchange.version.configuration.delay_ms(own_zone, zone);
    let cancellation_delay = Duration::from_secs_f64(delay_ms / MS_PER_S);
    let endpoint = Endpoint { address: chosen.address, availability_zone };
    let site_exchange = start_site_exchange(exchange, zone);
    Some((Slot::new(exchange, chosen, cancellation_delay, reservation, site_exchange), endpoint))
}

/// Starts recording the exchange in the statistics of its site.
fn start_site_exchange(exchange: &Exchange, zone: ZoneIndex) -> SiteExchange {
    let configuration = &exchange.version.configuration;
    let own_zone = exchange.version.own_zone.unwrap_or(zone);
    let name = SiteName {
        service: exchange.service().name.clone(),
        availability_zone: configuration.availability_zones[zone.get()].name.clone(),
    };
    let round_trip_ms = 2.0 * configuration.delay_ms(own_zone, zone);
    let round_trip = Duration::from_secs_f64(round_trip_ms.max(0.0) / MS_PER_S);
    SiteExchange::start(exchange.process.clone(), name, round_trip)
}

/// Sends the request over a connection from the backend server's pool.
///
/// # Errors
///
/// Fails if the deadline passes before the response head arrives.
pub(super) async fn send(
    exchange: &Exchange,
    slot: &mut Slot,
    endpoint: &Endpoint,
    request: Request<Body>,
) -> Result<Attempt, Problem> {
    let process = &exchange.process;
    let connecting = process.pools.connect(&*process.dialer, endpoint, slot.connections);
    let mut connection = match tokio::time::timeout_at(exchange.deadline, connecting).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            slot.record_ending(connect_ending(&error));
            return Ok(Attempt::NotSent(request));
        }
        Err(_) => return Err(Problem::TimeoutBeforeSend),
    };
    let Some(sender) = connection.sender.as_mut() else { return Ok(Attempt::NotSent(request)) };
    if let Some(key) = &exchange.key {
        key.record_sent();
    }
    let sending = sender.try_send_request(request);
    match tokio::time::timeout_at(exchange.deadline, sending).await {
        Ok(Ok(response)) => {
            slot.record_response_head(&response, exchange.class);
            Ok(Attempt::Responded(response, connection))
        }
        Ok(Err(mut error)) => Ok(match error.take_message() {
            Some(request) => {
                if let Some(key) = &exchange.key {
                    key.record_not_sent();
                }
                slot.record_ending(Ending::Unsent);
                Attempt::NotSent(request)
            }
            None => {
                // A user error comes from the request body, so the caller caused it.
                let by_caller = error.error().is_user();
                slot.record_ending(if by_caller { Ending::Abandoned } else { Ending::Failed });
                Attempt::Failed
            }
        }),
        Err(_) => {
            slot.record_ending(Ending::TimedOut);
            Err(Problem::TimeoutAfterSend)
        }
    }
}

fn connect_ending(error: &ConnectError) -> Ending {
    match error {
        ConnectError::Limit { .. } => Ending::Unsent,
        ConnectError::Dial(error) if error.kind() == ErrorKind::ConnectionRefused => {
            Ending::Refused
        }
        ConnectError::Dial(_) | ConnectError::Timeout | ConnectError::Handshake(_) => {
            Ending::Failed
        }
    }
}
