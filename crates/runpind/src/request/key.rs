//! Requests with an idempotency key, which run at most once, at the key's home instance.

use super::body::{self, Body};
use super::key_problem::KeyProblem;
use super::problem::Problem;
use super::refuse::refuse;
use super::state::Exchange;
use super::{forward, home, replay};
use crate::process::ledger::RunningKey;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use std::sync::Arc;
use steering::IdempotencyKey;
use steering::ledger::{Fingerprint, KeyDecision, Outcome, StoredResponse};

/// The caller's idempotency key.
pub(super) const KEY_HEADER: &str = "idempotency-key";

/// Marks a stored response, which was first sent to an earlier request with the same key.
const REPLAYED_HEADER: &str = "runpin-replayed";

/// Handles a request; one that is repeatable or has no key is forwarded without a check.
pub(super) async fn handle(exchange: Exchange, request: Request<Incoming>) -> Response<Body> {
    if exchange.class.is_repeatable() || !request.headers().contains_key(KEY_HEADER) {
        return forward::run(exchange, request).await;
    }
    let key = match parse_key(&request) {
        Ok(key) => key,
        Err(problem) => return refuse(&exchange, problem.into()),
    };
    let home = key.home();
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let fingerprint = Fingerprint::from_method_and_path(request.method().as_str(), path);
    let ledger = exchange.process.ledger.clone();
    let problem = match ledger.begin(&exchange.version, &key, fingerprint) {
        KeyDecision::Run => {
            let running = Arc::new(RunningKey::new(ledger, key));
            return replay::run(exchange, request, running).await;
        }
        KeyDecision::Replay(Outcome::Answered(answer)) => return replayed_response(&answer),
        KeyDecision::Replay(Outcome::Ran) => KeyProblem::Ran,
        KeyDecision::Replay(Outcome::Unknown) => KeyProblem::Unknown,
        KeyDecision::InProgress => KeyProblem::InProgress,
        KeyDecision::Mismatch => KeyProblem::Mismatch,
        KeyDecision::Full => KeyProblem::LedgerFull,
        KeyDecision::Expired => KeyProblem::Expired,
        KeyDecision::NotIssued => KeyProblem::NotIssued,
        KeyDecision::Closed => KeyProblem::HomeStopping,
        KeyDecision::NotHome if home::knows_no_other_instance(&exchange.process) => {
            return forward::run(exchange, request).await;
        }
        KeyDecision::HandedOver | KeyDecision::NotHome => {
            return home::forward(exchange, request, home).await;
        }
    };
    refuse(&exchange, problem.into())
}

fn parse_key(request: &Request<Incoming>) -> Result<IdempotencyKey, KeyProblem> {
    let values = request.headers().get_all(KEY_HEADER);
    let mut texts = values.iter().map(|value| value.to_str().unwrap_or_default());
    match (texts.next(), texts.next()) {
        (Some(text), None) => Ok(text.parse()?),
        _ => Err(KeyProblem::Malformed(steering::KeyError::Character)),
    }
}

/// Returns the stored response of the first request with the key.
fn replayed_response(answer: &StoredResponse) -> Response<Body> {
    let mut response = Response::new(body::full(answer.body.clone()));
    // The stored status came from a received response, so it is valid.
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(&answer.content_type)
        && !answer.content_type.is_empty()
    {
        headers.insert(CONTENT_TYPE, content_type);
    }
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    response
}

impl From<KeyProblem> for Problem {
    fn from(problem: KeyProblem) -> Self {
        Problem::Key(problem)
    }
}
