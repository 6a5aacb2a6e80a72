//! The address for operators: health, readiness, metrics and the admin API.
//!
//! | request | token | response |
//! |---|---|---|
//! | `GET /healthz`, `/readyz`, `/metrics` | none | text |
//! | `GET /v1/status` | read | [`status::Status`] |
//! | `GET /v1/lookup?service=S&caller=IP` | read | what a lookup by this caller returns |
//! | `GET /v1/explain?service=S&caller=IP` | read | how this caller's requests are routed |
//! | `GET /v1/configuration` | read | the manifest of the active version |
//! | `GET /v1/configuration?number=N` | read | the manifest of an accepted version |
//! | `GET /v1/configuration/history?limit=N` | read | [`history::History`] |
//! | `GET /v1/arms` | read | [`Arms`]: statistics of each arm |
//! | `PUT /v1/configuration`, body = configuration text | change | [`changes::AcceptedChange`] |
//! | `PUT /v1/configuration/blocks`, body = lines of `BLOCK ZONE` | change | [`changes::AcceptedChange`] |
//! | `PUT /v1/drains/KIND/NAME` | change | [`changes::AcceptedChange`] |
//! | `DELETE /v1/drains/KIND/NAME` | change | [`changes::AcceptedChange`] |
//!
//! Every change accepts `expect_version=N`, `dry_run=true` and `author=NAME`.  The body of a refusal
//! is an [`error::Refusal`], with the status of its [`error::AdminError`].

mod access;
mod changes;
mod error;
mod health;
mod history;
mod query;
mod respond;
mod status;

use super::body::Body;
use super::lookup;
use super::problem::Problem;
use crate::process::Process;
use crate::process::arms::FlowStatus;
use error::AdminError;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use query::Query;
use respond::json;
use serde::Serialize;
use std::sync::Arc;

const ARMS_PATH: &str = "/v1/arms";
const STATUS_PATH: &str = "/v1/status";
const EXPLAIN_PATH: &str = "/v1/explain";
const LOOKUP_PATH: &str = "/v1/lookup";
const CONFIGURATION_PATH: &str = "/v1/configuration";
const BLOCKS_PATH: &str = "/v1/configuration/blocks";
const HISTORY_PATH: &str = "/v1/configuration/history";
const DRAINS_PREFIX: &str = "/v1/drains/";

/// Statistics of each arm at this instance, since its process started.
#[derive(Debug, Serialize)]
struct Arms {
    incarnation: String,
    flows: Vec<FlowStatus>,
}

impl Arms {
    fn from_process(process: &Process) -> Self {
        Self { incarnation: process.incarnation.to_string(), flows: process.arms.status() }
    }
}

/// Handles a request of an operator or a monitoring system.
pub(super) async fn handle(process: Arc<Process>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => health::liveness(),
        (&Method::GET, "/readyz") => health::readiness(&process),
        (&Method::GET, "/metrics") => health::metrics(&process),
        (&Method::GET, _) => read(&process, &request).await,
        _ => changes::handle(&process, request).await,
    }
    .unwrap_or_else(|error| error.response())
}

/// Handles a read request after checking its token.
async fn read(
    process: &Arc<Process>,
    request: &Request<Incoming>,
) -> Result<Response<Body>, AdminError> {
    access::check(request, &process.settings.read_token)?;
    let query = Query::from_request(request);
    match request.uri().path() {
        HISTORY_PATH => {
            json(StatusCode::OK, &history::list(process, query.number("limit")?).await?)
        }
        STATUS_PATH => json(StatusCode::OK, &status::collect(process)),
        ARMS_PATH => json(StatusCode::OK, &Arms::from_process(process)),
        LOOKUP_PATH => {
            let service = query.required("service")?;
            let caller = query.address("caller")?;
            let caller = caller.unwrap_or(process.settings.caller_address.ip());
            json(StatusCode::OK, &lookup::look_up(process, caller, service)?)
        }
        EXPLAIN_PATH => {
            let service = query.required("service")?;
            let caller = query.address("caller")?;
            let caller = caller.unwrap_or(process.settings.caller_address.ip());
            let version = process.version.load_full().ok_or(AdminError::NoConfiguration)?;
            let explanation = process.routing.explain(&version, caller, service);
            let unknown_service = || Problem::UnknownService(service.to_owned());
            json(StatusCode::OK, &explanation.ok_or_else(unknown_service)?)
        }
        CONFIGURATION_PATH => match query.number("number")? {
            Some(number) => json(StatusCode::OK, &history::find_manifest(process, number).await?),
            None => json(StatusCode::OK, &*history::active_manifest(process)?),
        },
        path => Err(AdminError::UnknownPath(path.to_owned())),
    }
}
