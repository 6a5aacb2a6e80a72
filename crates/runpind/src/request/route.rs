//! Ranks the sites that may run a request.

use super::state::Exchange;
use configuration::SiteIndex;
use std::sync::Arc;
use steering::hash::{address_hash, mix};

/// The sites at which a request may be run.
pub(super) struct Route {
    /// Sites of the request's service, best first; none when no site may take the request now.
    pub(super) sites: Vec<SiteIndex>,
    /// Name of the arm whose policy chose them.
    pub(super) arm: Arc<str>,
}

/// Chooses the sites of a request by the weights of its caller's arm, and counts what shadow arms
/// would have chosen.
pub(super) fn choose(exchange: &Exchange) -> Route {
    let routing = &exchange.version.routing;
    let caller_hash = address_hash(exchange.caller);
    let draw = mix(exchange.process.routing.request_rng.next() ^ caller_hash);
    let table = routing.table();
    for shadow in routing.arms.shadows() {
        if let Some(flow) = table.flow(exchange.service, shadow) {
            flow.counters.count(flow.weights.first(draw));
        }
    }
    let arm = routing.arms.arm_position(caller_hash);
    let flow = table.flow(exchange.service, arm);
    let sites = flow.map(|flow| flow.weights.order(draw)).unwrap_or_default();
    if let Some(flow) = flow {
        flow.counters.count(sites.first().copied());
    }
    Route { sites, arm: routing.arms.entries()[arm].name.clone() }
}

/// Returns the name of a request's arm, which depends only on the caller's address.
pub(super) fn arm_of(exchange: &Exchange) -> Arc<str> {
    let arms = &exchange.version.routing.arms;
    arms.entries()[arms.arm_position(address_hash(exchange.caller))].name.clone()
}
