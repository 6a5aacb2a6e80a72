//! Look-ups: which entry instances a caller is to use.

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

/// Answer to a look-up.
#[derive(Debug, Serialize)]
pub(super) struct LookupAnswer {
    service: Arc<str>,
    availability_zone: Arc<str>,
    instances: Vec<InstanceAnswer>,
    ttl_ms: u64,
    idempotency_key_prefix: String,
    configuration_version: u64,
}

#[derive(Debug, Serialize)]
struct InstanceAnswer {
    address: SocketAddr,
    weight: u32,
}

/// Answers a look-up, or says why it can't.
pub(super) fn answer<B>(
    process: &Arc<Process>,
    peer: SocketAddr,
    request: &Request<B>,
) -> Response<Body> {
    let answered = try_answer(process, peer, request);
    let outcome = if answered.is_ok() { "answered" } else { "refused" };
    process.metrics.lookups.with_label_values(&[outcome]).inc();
    answered.unwrap_or_else(|problem| problem.response())
}

fn try_answer<B>(
    process: &Arc<Process>,
    peer: SocketAddr,
    request: &Request<B>,
) -> Result<Response<Body>, Problem> {
    let wanted = service_parameter(request.uri().query())?;
    let caller = caller_address(process, peer, request.headers())?;
    let answer = answer_for(process, caller, wanted)?;
    let text = serde_json::to_vec(&answer).map_err(|_| Problem::NoConfiguration)?;
    let mut response = Response::new(body::full(text));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    Ok(response)
}

/// Returns what a caller at an address is told for a service.
pub(super) fn answer_for(
    process: &Process,
    caller: IpAddr,
    wanted: &str,
) -> Result<LookupAnswer, Problem> {
    let version = process.version.load_full().ok_or(Problem::NoConfiguration)?;
    let configuration = &version.configuration;
    let service =
        configuration.service(wanted).ok_or_else(|| Problem::UnknownService(wanted.to_owned()))?;
    let near = version.zone_of_caller(caller).ok_or(Problem::NoConfiguration)?;
    let choices = process.lookup_cache.table(process, &version).choose(near, address_hash(caller));
    // A key whose home is the instance that it is sent to needs no forwarding; an instance that was
    // not heard from yet gets keys whose home is this one.
    let home = choices.first().and_then(|choice| choice.incarnation);
    Ok(LookupAnswer {
        service: configuration.services[service.get()].name.clone(),
        availability_zone: configuration.availability_zones[near.get()].name.clone(),
        instances: choices
            .iter()
            .map(|choice| InstanceAnswer { address: choice.address, weight: choice.weight })
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

/// Returns the caller's address: the connection's, or in tests the header's.
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
