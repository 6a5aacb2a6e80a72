//! Asking an instance over HTTP.

use crate::error::CommandError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;

/// Variable with the token for reading.
pub(crate) const READ_TOKEN: &str = "RUNPIN_READ_TOKEN";

/// Variable with the token for changes.
pub(crate) const CHANGE_TOKEN: &str = "RUNPIN_CHANGE_TOKEN";

/// Reads a token from its environment variable.
pub(crate) fn token(variable: &'static str) -> Result<String, CommandError> {
    std::env::var(variable).map_err(|_| CommandError::MissingToken(variable))
}

/// Sends one request and returns the body of a successful answer.
pub(crate) async fn ask(
    instance: SocketAddr,
    method: Method,
    path: &str,
    token: Option<&str>,
    body: Bytes,
) -> Result<Bytes, CommandError> {
    let unreachable = |cause: String| CommandError::Unreachable { instance, cause };
    let mut request = Request::builder().method(method).uri(format!("http://{instance}{path}"));
    if let Some(token) = token {
        request = request.header(AUTHORIZATION, format!("Bearer {token}"));
    }
    let request = request.body(Full::new(body)).map_err(|error| unreachable(error.to_string()))?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.map_err(|error| unreachable(error.to_string()))?;
    let status = response.status();
    let body = response.into_body().collect().await;
    let body = body.map_err(|error| unreachable(error.to_string()))?.to_bytes();
    if status.is_success() {
        return Ok(body);
    }
    let message = message_of(&body);
    Err(CommandError::Refused { instance, status: status.as_u16(), message })
}

/// Returns what a refusal says, in either of the forms that instances use.
fn message_of(body: &[u8]) -> String {
    let parsed: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let field = parsed.as_ref().and_then(|value| value.get("error").or(value.get("title")));
    match field.and_then(|field| field.as_str()) {
        Some(text) => text.to_owned(),
        None => String::from_utf8_lossy(body).trim().to_owned(),
    }
}
