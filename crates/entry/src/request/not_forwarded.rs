//! Relays that did not forward a request, or got no response to it.

use super::attempt_failure::{handle_closed_connection, is_cut_off, log_attempt};
use super::attempt_guard::AttemptGuard;
use super::body::ServerBody;
use super::exchange::Exchange;
use super::headers::keep_alive_timeout;
use super::outcome::Outcome;
use super::server_stream::ServerStream;
use crate::connection::pool::Connection;
use crate::connection::relay_protocol::{RelayOutcome, read_backoffs};
use crate::connection::response::CheckedResponse;
use crate::process::relays::Relay;
use crate::process::{conditions, reach};
use hyper::body::Incoming;
use std::time::Instant;
use steering::placement::{Choice, Ending};

/// Handles a relay that did not forward the request, or got no response.
pub(super) async fn handle(
    exchange: &Exchange,
    choice: &Choice,
    relay: &Relay,
    outcome: RelayOutcome,
    response: CheckedResponse<Incoming>,
    (mut guard, connection): (AttemptGuard, Connection),
) -> Outcome {
    log_attempt(exchange, choice, &guard, outcome.as_str(), "reported by the relay");
    match outcome {
        RelayOutcome::NotSent => {
            let mut relays = exchange.instance.relays.borrow_mut();
            let now = Instant::now();
            if is_cut_off(exchange) {
                relays.record_busy(relay, outcome.as_str(), now);
            } else {
                relays.record_failure(relay, outcome.as_str(), now);
            }
            guard.set_ending(Ending::Unsent);
            Outcome::NotForwarded
        }
        RelayOutcome::Expired => {
            // The relay stood still, and no longer does.
            exchange.instance.relays.borrow_mut().record_response(relay, Instant::now());
            guard.set_ending(Ending::Unsent);
            Outcome::NotForwarded
        }
        RelayOutcome::Unreachable => {
            let server = choice.incarnation();
            reach::record_failed_server(&exchange.instance, &exchange.service, &server);
            guard.set_ending(Ending::Failed);
            Outcome::NotSent
        }
        RelayOutcome::BackingOff => {
            exchange.instance.relays.borrow_mut().record_response(relay, Instant::now());
            guard.set_ending(Ending::Unsent);
            keep_backoffs(exchange, response, connection).await;
            Outcome::NotSent
        }
        RelayOutcome::Broken | RelayOutcome::Forwarded => {
            guard.set_ending(Ending::Failed);
            handle_closed_connection(exchange, choice, guard).await;
            Outcome::Broken { is_past: false }
        }
    }
}

/// Keeps the backoffs that a relay tells in place of the backend server's response.
async fn keep_backoffs(
    Exchange { instance, head, .. }: &Exchange,
    response: CheckedResponse<Incoming>,
    connection: Connection,
) {
    let CheckedResponse { parts, framing, body } = response;
    let request_id = head.request_id.as_deref();
    for (server, left) in read_backoffs(&parts.headers) {
        conditions::record_backoff_of_relay(instance, &server, left, request_id);
    }
    let idle_timeout = keep_alive_timeout(&parts.headers);
    let stream = ServerStream::new(body, framing, connection.remainder.clone());
    let body = ServerBody::read(stream, &instance.memory).await;
    if let (Ok(idle_timeout), Ok(ServerBody::Buffered(_))) = (idle_timeout, body) {
        instance.pools.release(connection, idle_timeout);
    }
}
