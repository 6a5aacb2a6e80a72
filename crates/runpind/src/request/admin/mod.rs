//! The address for operators: health, readiness, metrics and the admin API.
//!
//! | call | token | answer |
//! |---|---|---|
//! | `GET /healthz`, `/readyz`, `/metrics` | none | text |
//! | `GET /v1/status` | read | [`status::Status`] |
//! | `GET /v1/lookup?service=S&caller=IP` | read | what a look-up of this caller answers |
//! | `GET /v1/explain?service=S&caller=IP` | read | why this caller's requests go where they go |
//! | `GET /v1/configuration` | read | the manifest in force here |
//! | `GET /v1/configuration?number=N` | read | the manifest of an accepted version |
//! | `GET /v1/configuration/history?limit=N` | read | [`history::History`] |
//! | `GET /v1/arms` | read | [`Arms`]: what each arm did here |
//! | `PUT /v1/configuration`, body = text | change | [`changes::Accepted`] |
//! | `PUT /v1/configuration/blocks`, body = lines of `BLOCK ZONE` | change | [`changes::Accepted`] |
//! | `PUT /v1/drains/KIND/NAME` | change | [`changes::Accepted`] |
//! | `DELETE /v1/drains/KIND/NAME` | change | [`changes::Accepted`] |
//!
//! Every change takes `expect_version=N`, `dry_run=true` and `author=NAME`.  A refusal is a
//! [`error::Refusal`] with the status of its [`error::AdminError`].

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

/// What each arm did at one instance, since this life of it began.
#[derive(Debug, Serialize)]
struct Arms {
    incarnation: String,
    flows: Vec<FlowStatus>,
}

impl Arms {
    fn of(process: &Process) -> Self {
        Self { incarnation: process.incarnation.to_string(), flows: process.arms.status() }
    }
}

/// Answers a request of an operator or a monitoring system.
pub(super) async fn answer(process: Arc<Process>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => health::alive(),
        (&Method::GET, "/readyz") => health::ready(&process),
        (&Method::GET, "/metrics") => health::metrics(&process),
        (&Method::GET, _) => read(&process, &request).await,
        _ => changes::answer(&process, request).await,
    }
    .unwrap_or_else(|error| error.response())
}

/// Answers a request that reads, once its token was checked.
async fn read(
    process: &Arc<Process>,
    request: &Request<Incoming>,
) -> Result<Response<Body>, AdminError> {
    access::check(request, &process.settings.read_token)?;
    let query = Query::of(request);
    match request.uri().path() {
        HISTORY_PATH => {
            json(StatusCode::OK, &history::list(process, query.number("limit")?).await?)
        }
        STATUS_PATH => json(StatusCode::OK, &status::of(process)),
        ARMS_PATH => json(StatusCode::OK, &Arms::of(process)),
        LOOKUP_PATH => {
            let service = query.required("service")?;
            let caller = query.address("caller")?;
            let caller = caller.unwrap_or(process.settings.caller_address.ip());
            json(StatusCode::OK, &lookup::answer_for(process, caller, service)?)
        }
        EXPLAIN_PATH => {
            let service = query.required("service")?;
            let caller = query.address("caller")?;
            let caller = caller.unwrap_or(process.settings.caller_address.ip());
            let version = process.version.load_full().ok_or(AdminError::NoConfiguration)?;
            let explanation = process.routing.explain(&version, caller, service);
            let unknown = || Problem::UnknownService(service.to_owned());
            json(StatusCode::OK, &explanation.ok_or_else(unknown)?)
        }
        CONFIGURATION_PATH => match query.number("number")? {
            Some(number) => json(StatusCode::OK, &history::manifest(process, number).await?),
            None => json(StatusCode::OK, &*history::in_force(process)?),
        },
        path => Err(AdminError::NoPage(path.to_owned())),
    }
}
