//! Offering a request to one backend server.

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
    /// The backend server answered.
    Answered(Response<Incoming>, PooledConnection),
    /// The request was not sent, and is returned.
    NotSent(Request<Body>),
    /// The request was sent, wholly or in part, and no answer came.
    Broken,
}

/// Picks a backend server of the site and takes one of its slots.
pub(super) fn pick(
    exchange: &Exchange,
    site: SiteIndex,
    reservation: Reservation,
) -> Option<(Slot, Endpoint)> {
    let process = &exchange.process;
    let repeatable = exchange.class.is_repeatable();
    let chosen = process.acquire_server(&exchange.version, exchange.service, site, repeatable)?;
    let zones = &exchange.version.configuration.availability_zones;
    let zone = exchange.service().sites[site.get()].availability_zone;
    let availability_zone = zones[zone.get()].name.clone();
    let own = exchange.version.own_zone.unwrap_or(zone);
    let delay_ms = exchange.version.configuration.delay_ms(own, zone);
    let cancellation_delay = Duration::from_secs_f64(delay_ms / MS_PER_S);
    let endpoint = Endpoint { address: chosen.address, availability_zone };
    let work = site_exchange(exchange, zone);
    Some((Slot::taken(exchange, chosen, cancellation_delay, reservation, work), endpoint))
}

/// Counts the exchange in the figures of its site.
fn site_exchange(exchange: &Exchange, zone: ZoneIndex) -> SiteExchange {
    let configuration = &exchange.version.configuration;
    let own = exchange.version.own_zone.unwrap_or(zone);
    let name = SiteName {
        service: exchange.service().name.clone(),
        availability_zone: configuration.availability_zones[zone.get()].name.clone(),
    };
    let round_trip_ms = 2.0 * configuration.delay_ms(own, zone);
    let round_trip = Duration::from_secs_f64(round_trip_ms.max(0.0) / MS_PER_S);
    SiteExchange::start(exchange.process.clone(), name, round_trip)
}

/// Sends the request over a connection of the backend server's pool.
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
            slot.ended(ending_of(&error));
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
            slot.answered(&response, exchange.class);
            Ok(Attempt::Answered(response, connection))
        }
        Ok(Err(mut error)) => Ok(match error.take_message() {
            Some(request) => {
                if let Some(key) = &exchange.key {
                    key.record_not_sent();
                }
                slot.ended(Ending::Unsent);
                Attempt::NotSent(request)
            }
            None => {
                // An error of the request's own body is the caller's doing.
                let by_caller = error.error().is_user();
                slot.ended(if by_caller { Ending::Abandoned } else { Ending::Failed });
                Attempt::Broken
            }
        }),
        Err(_) => {
            slot.ended(Ending::TimedOut);
            Err(Problem::TimeoutAfterSend)
        }
    }
}

fn ending_of(error: &ConnectError) -> Ending {
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
