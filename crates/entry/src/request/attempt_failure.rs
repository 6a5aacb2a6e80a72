//! What follows from an attempt without a usable response, whoever failed.

use super::attempt_guard::AttemptGuard;
use super::exchange::Exchange;
use crate::connection::carried::ConnectionLabel;
use crate::connection::read_budget::is_used_up;
use crate::process::crash_detection::probe_after_close;
use crate::process::millis::millis;
use crate::process::reach;
use std::error::Error as _;
use steering::placement::Choice;
use steering::reach::Failure;

/// Records that a connection of this instance to a backend server broke before there was a response.
pub(super) fn record_broken(exchange: &Exchange, guard: &AttemptGuard) {
    let Exchange { instance, service, .. } = exchange;
    let failure = Failure::broken(guard.is_connection_new);
    reach::record_failure(instance, service, &guard.server, failure, guard.sent_at);
}

/// Returns whether an exchange failed because of what the other side sent, so that it is there all the same.
pub(super) fn is_from_server(error: &hyper::Error) -> bool {
    let io_error = error.source().and_then(|source| source.downcast_ref::<std::io::Error>());
    error.is_parse() || io_error.is_some_and(is_used_up)
}

/// Returns whether this instance reaches no backend server of the request's service.
pub(super) fn is_cut_off(exchange: &Exchange) -> bool {
    exchange.instance.reach.borrow().is_cut_off(&exchange.service)
}

/// Handles a connection that closed during the request. If the request may be retried, waits for a
/// probe of the backend server.
pub(super) async fn handle_closed_connection(
    exchange: &Exchange,
    choice: &Choice,
    guard: AttemptGuard,
) {
    let server = guard.server.clone();
    // Records the ending now, so that no other requests are sent there during the probe.
    drop(guard);
    let probe_completed =
        probe_after_close(&exchange.instance, &server, choice.address, exchange.fingerprints());
    if exchange.route.kind.is_idempotent() {
        probe_completed.await;
    }
}

/// Logs an attempt without a usable response.
pub(super) fn log_attempt(
    exchange: &Exchange,
    choice: &Choice,
    guard: &AttemptGuard,
    outcome: &str,
    why: &str,
) {
    let relay = guard.sent_flag.through();
    let ConnectionLabel { local_port, exchange: number } = guard.connection.unwrap_or_default();
    log::info!(
        target: "request",
        id = exchange.head.request_id.as_deref().unwrap_or(""),
        route = &*exchange.route.name, server = &*choice.id, load = choice.load,
        slots = choice.slots, cold = choice.cold, outcome, why,
        through = relay.as_ref().map_or("", |relay| &*relay.id.id), local_port,
        exchange = number, known_rest_ms = millis(guard.known_backoff),
        caller:% = exchange.caller, fingerprint:% = exchange.fingerprints().content,
        age_ms = millis(exchange.age());
        "attempt failed"
    );
}
