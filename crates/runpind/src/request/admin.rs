//! The address for operators: health, readiness, metrics and the configuration.

use super::body::{self, Body};
use crate::process::Process;
use crate::process::acceptance::{AcceptanceError, Proposal, propose};
use crate::settings::Secret;
use http::header::AUTHORIZATION;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use platform::StoreError;
use serde::Serialize;
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Path of the configuration.
const CONFIGURATION_PATH: &str = "/v1/configuration";

/// Largest configuration text, in bytes.
const MAX_CONFIGURATION_BYTES: usize = 900_000;

/// A refusal on the address for operators.
#[derive(Debug, Serialize)]
struct Refusal {
    error: String,
}

/// Answers a request of an operator or a monitoring system.
pub(super) async fn answer(process: Arc<Process>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => text(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => ready(&process),
        (&Method::GET, "/metrics") => match render_metrics(&process) {
            Ok(metrics) => Response::new(body::full(metrics)),
            Err(error) => refuse(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
        (&Method::GET, CONFIGURATION_PATH) => {
            match is_allowed(&request, &process.settings.read_token) {
                true => get_configuration(&process),
                false => unauthorized(),
            }
        }
        (&Method::PUT, CONFIGURATION_PATH) => {
            match is_allowed(&request, &process.settings.change_token) {
                true => put_configuration(&process, request).await,
                false => unauthorized(),
            }
        }
        _ => refuse(StatusCode::NOT_FOUND, "no such page".to_owned()),
    }
}

fn render_metrics(process: &Process) -> Result<Vec<u8>, prometheus::Error> {
    process.ledger.publish_size();
    process.metrics.render()
}

fn is_allowed<B>(request: &Request<B>, token: &Secret) -> bool {
    request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
        .is_some_and(|given| given.ct_eq(token.expose()).into())
}

fn unauthorized() -> Response<Body> {
    refuse(StatusCode::UNAUTHORIZED, "the token is missing or wrong".to_owned())
}

fn get_configuration(process: &Process) -> Response<Body> {
    match &*process.version.load() {
        Some(version) => json(StatusCode::OK, &*version.manifest),
        None => refuse(StatusCode::NOT_FOUND, "no configuration is known yet".to_owned()),
    }
}

async fn put_configuration(process: &Process, request: Request<Incoming>) -> Response<Body> {
    let query = request.uri().query().unwrap_or_default().to_owned();
    let parameter =
        |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    let expected_number = match parameter("expect_version").map(str::parse).transpose() {
        Ok(number) => number,
        Err(_) => {
            let error = "`expect_version` is not a number".to_owned();
            return refuse(StatusCode::BAD_REQUEST, error);
        }
    };
    let author = parameter("author").unwrap_or("unknown").into();
    let Ok(body) = Limited::new(request.into_body(), MAX_CONFIGURATION_BYTES).collect().await
    else {
        let error = format!("the text is cut short or over {MAX_CONFIGURATION_BYTES} bytes");
        return refuse(StatusCode::PAYLOAD_TOO_LARGE, error);
    };
    let Ok(text) = String::from_utf8(body.to_bytes().into()) else {
        return refuse(StatusCode::BAD_REQUEST, "the text is not UTF-8".to_owned());
    };
    let proposal = Proposal { text: text.into(), blocks: None, author, expected_number };
    let in_force = process.version.load_full();
    match propose(&*process.store, in_force.as_deref(), proposal).await {
        Ok(accepted) => json(StatusCode::OK, &serde_json::json!({ "number": accepted.number })),
        Err(error) => refuse(status_of(&error), error.to_string()),
    }
}

fn status_of(error: &AcceptanceError) -> StatusCode {
    match error {
        AcceptanceError::Configuration(_) => StatusCode::UNPROCESSABLE_ENTITY,
        AcceptanceError::Conflict { .. } => StatusCode::CONFLICT,
        AcceptanceError::Store(StoreError::TooLarge { .. }) => StatusCode::PAYLOAD_TOO_LARGE,
        AcceptanceError::Store(StoreError::Unsure) => StatusCode::GATEWAY_TIMEOUT,
        AcceptanceError::Manifest(_) | AcceptanceError::MissingChunk(_) => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
        AcceptanceError::Store(_) | AcceptanceError::Interrupted => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn ready(process: &Process) -> Response<Body> {
    if process.is_draining() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
    }
    match &*process.version.load() {
        None => text(StatusCode::SERVICE_UNAVAILABLE, "no configuration known yet\n"),
        Some(version) if version.own_zone.is_none() => text(
            StatusCode::SERVICE_UNAVAILABLE,
            "the configuration does not have this instance's availability zone\n",
        ),
        Some(_) => text(StatusCode::OK, "ready\n"),
    }
}

fn text(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(body::full(text));
    *response.status_mut() = status;
    response
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let mut response = Response::new(body::full(serde_json::to_vec(value).unwrap_or_default()));
    *response.status_mut() = status;
    response
}

fn refuse(status: StatusCode, error: String) -> Response<Body> {
    json(status, &Refusal { error })
}
