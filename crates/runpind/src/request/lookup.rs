//! Lookups, which tell a caller which entry instances to use.

use super::body::{self, Body};
use super::headers::CALLER_HEADER;
use super::problem::Problem;
use crate::process::Process;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Request, Response};
use serde::Serialize;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use steering::hash::address_hash;

/// Response to a lookup.
#[derive(Debug, Serialize)]
pub(super) struct LookupResponse {
    service: Arc<str>,
    availability_zone: Arc<str>,
    instances: Vec<LookupInstance>,
    ttl_ms: u64,
    idempotency_key_prefix: String,
    configuration_version: u64,
}

#[derive(Debug, Serialize)]
struct LookupInstance {
    address: SocketAddr,
    weight: u32,
}

/// Handles a lookup, and returns the instances or a refusal.
pub(super) fn handle<B>(
    process: &Arc<Process>,
    peer: SocketAddr,
    request: &Request<B>,
) -> Response<Body> {
    let result = try_handle(process, peer, request);
    let outcome = if result.is_ok() { "answered" } else { "refused" };
    process.metrics.lookups.with_label_values(&[outcome]).inc();
    result.unwrap_or_else(|problem| problem.response())
}

fn try_handle<B>(
    process: &Arc<Process>,
    peer: SocketAddr,
    request: &Request<B>,
) -> Result<Response<Body>, Problem> {
    let service = service_parameter(request.uri().query())?;
    let caller = caller_address(process, peer, request.headers())?;
    let lookup = look_up(process, caller, service)?;
    let text = serde_json::to_vec(&lookup).map_err(|_| Problem::NoConfiguration)?;
    let mut response = Response::new(body::full(text));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    Ok(response)
}

/// Returns the instances that a caller at an address is to use for a service.
pub(super) fn look_up(
    process: &Process,
    caller: IpAddr,
    service_name: &str,
) -> Result<LookupResponse, Problem> {
    let version = process.version.load_full().ok_or(Problem::NoConfiguration)?;
    let configuration = &version.configuration;
    let service = configuration
        .service(service_name)
        .ok_or_else(|| Problem::UnknownService(service_name.to_owned()))?;
    let caller_zone = version.zone_of_caller(caller).ok_or(Problem::NoConfiguration)?;
    let choices =
        process.lookup_cache.table(process, &version).choose(caller_zone, address_hash(caller));
    // A request sent to its key's home needs no forwarding.  While the incarnation of the preferred
    // instance is unknown, this instance is the home.
    let home = choices.first().and_then(|choice| choice.incarnation);
    Ok(LookupResponse {
        service: configuration.services[service.get()].name.clone(),
        availability_zone: configuration.availability_zones[caller_zone.get()].name.clone(),
        instances: choices
            .iter()
            .map(|choice| LookupInstance { address: choice.address, weight: choice.weight })
            .collect(),
        ttl_ms: configuration.lookup.ttl_ms,
        idempotency_key_prefix: process.ledger.prefix(home.unwrap_or(process.incarnation)),
        configuration_version: version.number,
    })
}

fn service_parameter(query: Option<&str>) -> Result<&str, Problem> {
    query
        .unwrap_or_default()
        .split('&')
        .find_map(|pair| pair.strip_prefix("service="))
        .filter(|name| !name.is_empty())
        .ok_or(Problem::MissingParameter("service"))
}

/// Returns the caller's address, from the connection or, if the settings trust it as in tests, from
/// the header.
pub(super) fn caller_address(
    process: &Process,
    peer: SocketAddr,
    headers: &HeaderMap,
) -> Result<IpAddr, Problem> {
    match headers.get(CALLER_HEADER) {
        Some(value) if process.settings.trust_caller_header => value
            .to_str()
            .ok()
            .and_then(|text| text.parse().ok())
            .ok_or(Problem::BadHeader { name: CALLER_HEADER, expected: "an IP address" }),
        _ => Ok(peer.ip()),
    }
}
