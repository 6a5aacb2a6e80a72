//! The HTTP interface for operators: metrics, status, and decisions about requests.

use super::body::{ResponseBody, full_body};
use super::held_response::held_response;
use super::rollouts;
use crate::error::EntryError;
use crate::process::arm_counts::FlowCounts;
use crate::process::instance::Instance;
use crate::process::millis::millis;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use steering::placement::{PeerState, Roster};
use steering::terms::TermsDescription;

/// Path of the instance's status.
const STATUS_PATH: &str = "/v1/status";

/// Path prefix of the decisions about a request; the request's identity follows.
const REQUESTS_PATH: &str = "/v1/requests/";

/// Path of the counts for each policy arm.
const ARMS_PATH: &str = "/v1/arms";

/// Path prefix of a customer's status; the customer's name follows.
const CUSTOMERS_PATH: &str = "/v1/customers/";

/// Path of the roll-outs.
const ROLLOUTS_PATH: &str = "/v1/rollouts";

/// Path of the terms of the deployment.
const TERMS_PATH: &str = "/v1/terms";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// State of an instance.
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
    /// Time for which no backend server has been reached, in milliseconds.
    cut_off_ms: Option<u64>,
    /// Services of which none is reached while others are.
    unreached_services: Vec<Arc<str>>,
    /// Known instances that reach no backend server, this one included.
    cut_off_instances: usize,
    in_flight: usize,
    held_back: Vec<QuarantinedStatus>,
    server_conditions: Vec<ServerCondition>,
    limited_customers: Vec<Arc<str>>,
    moved_shares: BTreeMap<Arc<str>, f64>,
}

/// A request that is refused because backend servers crashed while they ran it.
#[derive(Serialize)]
struct QuarantinedStatus {
    fingerprint: String,
    /// Number of backend servers that crashed.
    ended: usize,
}

/// Condition that a backend server reported in its responses, if it limits requests.
#[derive(Serialize)]
struct ServerCondition {
    server: Arc<str>,
    limit_per_s: Option<f64>,
    is_leaving: bool,
    /// Time for which it asked this instance to send nothing, in milliseconds.
    rests_ms: u64,
}

/// State of a customer at this instance.
#[derive(Serialize)]
struct CustomerStatus {
    name: Arc<str>,
    configuration_version: u64,
    keys: usize,
    priority: Option<u8>,
    allowed_regions: String,
    rate_per_s: Option<f64>,
    burst: Option<f64>,
    /// Fraction of the quota that is lent to this instance now; 1 is all of it.
    part: f64,
    /// Requests that this instance may grant at once without asking other instances.
    held: f64,
    /// Requests that it may grant at once to other instances; `None` if it does not manage the customer's
    /// quota.
    pooled: Option<f64>,
    granted: u64,
    refused: u64,
    limited_ms: Option<u64>,
}

/// Counts for each policy arm since the instance started.
#[derive(Serialize)]
struct Arms {
    /// Identifies the instance and its start.
    incarnation: String,
    flows: Vec<FlowCounts>,
}

/// Answers an operator's request.
pub(crate) async fn handle(
    instance: Rc<Instance>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    if let Some(request_id) = path.strip_prefix(REQUESTS_PATH) {
        let found = instance.recent_decisions.borrow().find(request_id);
        return match found.is_empty() {
            true => empty_response(StatusCode::NOT_FOUND),
            false => json(&instance, &found).await,
        };
    }
    if let Some(name) = path.strip_prefix(CUSTOMERS_PATH) {
        let found = customer_status(&instance, name);
        return match found {
            None => empty_response(StatusCode::NOT_FOUND),
            Some(found) => json(&instance, &found).await,
        };
    }
    match path {
        METRICS_PATH => match render_metrics(&instance) {
            Ok(text) => held_response(&instance, text.into()).await,
            Err(error) => {
                log::warn!(target: "process", error:%; "failed to render metrics");
                empty_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        },
        ARMS_PATH => json(&instance, &arm_counts(&instance)).await,
        STATUS_PATH => json(&instance, &instance_status(&instance)).await,
        TERMS_PATH => json(&instance, &TermsDescription::from(&instance.settings.terms)).await,
        ROLLOUTS_PATH => json(&instance, &rollouts::statuses(&instance)).await,
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn render_metrics(instance: &Instance) -> Result<Vec<u8>, EntryError> {
    let state_gauge = &instance.metrics.state;
    let set = |subject: &str, value: u64| {
        state_gauge.with_label_values(&[subject]).set(i64::try_from(value).unwrap_or(i64::MAX));
    };
    set("configuration-version", instance.replica.borrow().configuration.content.version);
    set("backend-servers", instance.roster.borrow().server_count() as u64);
    set("instances", instance.peers.borrow().alive_count(Instant::now()) as u64 + 1);
    instance.metrics.render()
}

fn instance_status(instance: &Instance) -> Status {
    let own = instance.own_peer();
    let replica = instance.replica.borrow();
    let roster = instance.roster.borrow();
    let peers = instance.peers.borrow();
    let reach = instance.reach.borrow();
    let now = Instant::now();
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
        cut_off_ms: reach.cut_off_for(now).map(millis),
        unreached_services: reach.lost_services().cloned().collect(),
        cut_off_instances: peers.reach.cut_off_count(now),
        in_flight: instance.in_flight.get(),
        held_back: quarantined_requests(instance),
        server_conditions: server_conditions(&roster),
        limited_customers: instance.quotas.limited_customers(),
        moved_shares: roster.moved_shares().map(|(name, part)| (name.clone(), part)).collect(),
    }
}

fn quarantined_requests(instance: &Instance) -> Vec<QuarantinedStatus> {
    let suspects = instance.suspects.borrow();
    let quarantined = suspects.quarantined();
    quarantined
        .map(|(request, crashes)| QuarantinedStatus {
            fingerprint: request.to_string(),
            ended: crashes,
        })
        .collect()
}

fn server_conditions(roster: &Roster) -> Vec<ServerCondition> {
    let now = Instant::now();
    let conditions = roster.conditions(now).map(|(server, condition)| ServerCondition {
        server: server.clone(),
        limit_per_s: condition.limit.map(|limit| limit.per_s),
        is_leaving: condition.is_leaving,
        rests_ms: millis(condition.backoff_left(now)),
    });
    conditions.collect()
}

fn customer_status(instance: &Instance, name: &str) -> Option<CustomerStatus> {
    let configuration = instance.active_configuration.borrow();
    let customer = configuration.customers.find(name)?;
    let state = instance.quotas.customer_state(customer, instance.clock.now());
    let limited_ms = state.limited_for.map(|time| u64::try_from(time.as_millis()));
    Some(CustomerStatus {
        name: customer.name.clone(),
        configuration_version: configuration.version,
        keys: customer.keys.len(),
        priority: customer.priority,
        allowed_regions: customer.allowed_regions.to_string(),
        rate_per_s: customer.quota.map(|quota| quota.rate_per_s),
        burst: customer.quota.map(|quota| quota.burst),
        part: state.quota_status.map_or(0.0, |status| status.fraction.max(0.0)),
        held: state.quota_status.map_or(0.0, |status| status.local_tokens),
        pooled: state.quota_status.and_then(|status| status.pooled_tokens),
        granted: state.granted,
        refused: state.refused,
        limited_ms: limited_ms.map(|ms| ms.unwrap_or(u64::MAX)),
    })
}

fn arm_counts(instance: &Instance) -> Arms {
    let own = instance.own_peer();
    let incarnation = format!("{}-{}", own.name, own.started_ms);
    Arms { incarnation, flows: instance.arm_counts.borrow().flow_counts() }
}

async fn json<T: Serialize>(instance: &Instance, value: &T) -> Response<ResponseBody> {
    match serde_json::to_vec(value) {
        Ok(text) => {
            let mut response = held_response(instance, text.into()).await;
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Err(error) => {
            log::warn!(target: "process", error:%; "failed to encode response");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(""));
    *response.status_mut() = status;
    response
}
