//! What operators may ask an instance: metrics, its status, and what became of a request.

use super::attempt::millis;
use super::body::{AnswerBody, whole};
use super::rollouts;
use crate::error::EntryError;
use crate::process::arm_counts::FlowCounts;
use crate::process::instance::Instance;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use steering::placement::{PeerState, Roster};

/// Path of the status.
const STATUS_PATH: &str = "/v1/status";

/// Beginning of the path of what became of a request.
const REQUESTS_PATH: &str = "/v1/requests/";

/// Path of what each arm of the policies did.
const ARMS_PATH: &str = "/v1/arms";

/// Beginning of the path of what is known of a customer.
const CUSTOMERS_PATH: &str = "/v1/customers/";

/// Path of the roll-outs.
const ROLLOUTS_PATH: &str = "/v1/rollouts";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// What an instance knows and does.
#[derive(Serialize)]
struct Status {
    name: Arc<str>,
    availability_zone: Arc<str>,
    state: PeerState,
    configuration_version: u64,
    configuration_as_of: u64,
    servers_as_of: u64,
    evacuations_as_of: u64,
    policies_number: u64,
    arms: Vec<Arc<str>>,
    backend_servers: usize,
    evacuated: Vec<Arc<str>>,
    instances: Vec<Arc<str>>,
    follows_store: bool,
    reaches_store: bool,
    in_flight: usize,
    held_back: Vec<HeldBack>,
    server_conditions: Vec<ServerCondition>,
    limited_customers: Vec<Arc<str>>,
    moved_shares: BTreeMap<Arc<str>, f64>,
}

/// A request that is held back, as backend servers ended under it.
#[derive(Serialize)]
struct HeldBack {
    fingerprint: String,
    ended: usize,
}

/// What a backend server said of its condition in answers, if that binds requests.
#[derive(Serialize)]
struct ServerCondition {
    server: Arc<str>,
    limit_per_s: Option<f64>,
    is_leaving: bool,
    /// Time for which it wants nothing more from this instance.
    rests_ms: u64,
}

/// What an instance knows of a customer.
#[derive(Serialize)]
struct CustomerAnswer {
    name: Arc<str>,
    configuration_version: u64,
    keys: usize,
    priority: Option<u8>,
    allowed_regions: String,
    rate_per_s: Option<f64>,
    burst: Option<f64>,
    /// Part of every quota that is lent to this instance now, of 1 over all.
    part: f64,
    /// Requests that this instance may let run at once without asking.
    held: f64,
    /// Requests that it may let run at once for others; none if it keeps nothing of the customer.
    pooled: Option<f64>,
    granted: u64,
    refused: u64,
    limited_ms: Option<u64>,
}

/// What each arm did since an instance started.
#[derive(Serialize)]
struct Arms {
    /// Differs for each start of each instance.
    incarnation: String,
    flows: Vec<FlowCounts>,
}

/// Answers an operator's question.
pub(crate) async fn answer(
    instance: Rc<Instance>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let path = request.uri().path();
    if let Some(request_id) = path.strip_prefix(REQUESTS_PATH) {
        let found = instance.recent.borrow().find(request_id);
        return if found.is_empty() { empty(StatusCode::NOT_FOUND) } else { json(&found) };
    }
    if let Some(name) = path.strip_prefix(CUSTOMERS_PATH) {
        let found = customer(&instance, name);
        return found.map_or_else(|| empty(StatusCode::NOT_FOUND), |found| json(&found));
    }
    match path {
        METRICS_PATH => metrics(&instance).unwrap_or_else(|error| {
            log::warn!(target: "process", error:%; "metrics can't be rendered");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }),
        ARMS_PATH => json(&arms(&instance)),
        STATUS_PATH => json(&status(&instance)),
        ROLLOUTS_PATH => json(&rollouts::of(&instance)),
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn metrics(instance: &Instance) -> Result<Response<AnswerBody>, EntryError> {
    let known = &instance.metrics.state;
    let set = |of: &str, value: u64| {
        known.with_label_values(&[of]).set(i64::try_from(value).unwrap_or(i64::MAX));
    };
    set("configuration-version", instance.replica.borrow().configuration.content.version);
    set("backend-servers", instance.roster.borrow().server_count() as u64);
    set("instances", instance.peers.borrow().alive_count(Instant::now()) as u64 + 1);
    Ok(Response::new(whole(instance.metrics.render()?)))
}

fn status(instance: &Instance) -> Status {
    let own = instance.own_peer();
    let replica = instance.replica.borrow();
    let roster = instance.roster.borrow();
    let peers = instance.peers.borrow();
    Status {
        name: own.name,
        availability_zone: own.availability_zone,
        state: own.state,
        configuration_version: replica.configuration.content.version,
        configuration_as_of: replica.configuration.as_of,
        servers_as_of: replica.servers.as_of,
        evacuations_as_of: replica.evacuations.as_of,
        policies_number: replica.policies.content.number,
        arms: replica.policies.content.arms.iter().map(|arm| arm.name.clone()).collect(),
        backend_servers: roster.server_count(),
        evacuated: replica.evacuations.content.iter().cloned().collect(),
        instances: peers.alive(Instant::now()).map(|peer| peer.name.clone()).collect(),
        follows_store: instance.is_watcher(),
        reaches_store: instance.reaches_store(),
        in_flight: instance.in_flight.get(),
        held_back: held_back(instance),
        server_conditions: server_conditions(&roster),
        limited_customers: instance.quotas.limited_customers(),
        moved_shares: roster.moved_shares().map(|(name, part)| (name.clone(), part)).collect(),
    }
}

fn held_back(instance: &Instance) -> Vec<HeldBack> {
    let suspects = instance.suspects.borrow();
    let held = suspects.held();
    held.map(|(request, ended)| HeldBack { fingerprint: request.to_string(), ended }).collect()
}

fn server_conditions(roster: &Roster) -> Vec<ServerCondition> {
    let now = Instant::now();
    let conditions = roster.conditions(now).map(|(server, condition)| ServerCondition {
        server: server.clone(),
        limit_per_s: condition.limit.map(|limit| limit.per_s),
        is_leaving: condition.is_leaving,
        rests_ms: millis(condition.rest_left(now)),
    });
    conditions.collect()
}

fn customer(instance: &Instance, name: &str) -> Option<CustomerAnswer> {
    let in_force = instance.active_configuration.borrow();
    let customer = in_force.customers.named(name)?;
    let state = instance.quotas.customer_state(customer, instance.clock.now());
    let limited_ms = state.limited_for.map(|time| u64::try_from(time.as_millis()));
    Some(CustomerAnswer {
        name: customer.name.clone(),
        configuration_version: in_force.version,
        keys: customer.keys.len(),
        priority: customer.priority,
        allowed_regions: customer.allowed_regions.to_string(),
        rate_per_s: customer.quota.map(|quota| quota.rate_per_s),
        burst: customer.quota.map(|quota| quota.burst),
        part: state.quota_status.map_or(0.0, |standing| standing.part.max(0.0)),
        held: state.quota_status.map_or(0.0, |standing| standing.held),
        pooled: state.quota_status.and_then(|standing| standing.pooled),
        granted: state.granted,
        refused: state.refused,
        limited_ms: limited_ms.map(|ms| ms.unwrap_or(u64::MAX)),
    })
}

fn arms(instance: &Instance) -> Arms {
    let own = instance.own_peer();
    let incarnation = format!("{}-{}", own.name, own.started_ms);
    Arms { incarnation, flows: instance.arms.borrow().all() }
}

fn json<T: Serialize>(value: &T) -> Response<AnswerBody> {
    match serde_json::to_vec(value) {
        Ok(text) => {
            let mut response = Response::new(whole(text));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Err(error) => {
            log::warn!(target: "process", error:%; "answer can't be encoded");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(whole(""));
    *response.status_mut() = status;
    response
}
