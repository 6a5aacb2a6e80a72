//! Offering a request to one backend server.

use super::body::Body;
use super::exchange::Slot;
use super::forward::Exchange;
use super::problem::Problem;
use super::reserve::Reservation;
use crate::connection::dialer::Endpoint;
use crate::connection::pool::PooledConnection;
use configuration::SiteIndex;
use http::{Request, Response};
use hyper::body::Incoming;

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
    let site = &exchange.service().sites[site.get()];
    let slots = exchange.service().slots_per_server;
    let address = process.servers.lock().take(&site.backend_servers, slots)?;
    let zones = &exchange.version.configuration.availability_zones;
    let availability_zone = zones[site.availability_zone.get()].name.clone();
    let endpoint = Endpoint { address, availability_zone };
    Some((Slot::taken(process.clone(), address, reservation), endpoint))
}

/// Sends the request over a connection of the backend server's pool.
pub(super) async fn send(
    exchange: &Exchange,
    endpoint: &Endpoint,
    request: Request<Body>,
) -> Result<Attempt, Problem> {
    let process = &exchange.process;
    let limit = exchange.service().connections_per_server;
    let connecting = process.pools.connect(&*process.dialer, endpoint, limit);
    let mut connection = match tokio::time::timeout_at(exchange.deadline, connecting).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(_)) => return Ok(Attempt::NotSent(request)),
        Err(_) => return Err(Problem::TimeoutBeforeSend),
    };
    let Some(sender) = connection.sender.as_mut() else { return Ok(Attempt::NotSent(request)) };
    if let Some(key) = &exchange.key {
        key.sent();
    }
    let sending = sender.try_send_request(request);
    match tokio::time::timeout_at(exchange.deadline, sending).await {
        Ok(Ok(response)) => Ok(Attempt::Answered(response, connection)),
        Ok(Err(mut error)) => Ok(match error.take_message() {
            Some(request) => {
                if let Some(key) = &exchange.key {
                    key.returned();
                }
                Attempt::NotSent(request)
            }
            None => Attempt::Broken,
        }),
        Err(_) => Err(Problem::TimeoutAfterSend),
    }
}
