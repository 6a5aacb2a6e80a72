//! HTTP client for the instances' operator interface.

use crate::error::CommandError;
use bytes::Bytes;
use entry::connection::remainder::Remainder;
use entry::connection::response::CheckedResponse;
use entry::request::server_stream::ServerStream;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Environment variable with the token for reading.
const READ_TOKEN_VARIABLE: &str = "RUNPIN_READ_TOKEN";

/// Environment variable with the token for changes.
const CHANGE_TOKEN_VARIABLE: &str = "RUNPIN_CHANGE_TOKEN";

/// Environment variable with the addresses of the instances, separated by commas.
const INSTANCE_VARIABLE: &str = "RUNPIN_INSTANCE";

/// Maximum time for a request, from connecting to the end of the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum bytes of a response body, many times the metrics and views of the largest fleets.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls instances in the given order until one can be reached.
pub(crate) struct Client {
    instances: Vec<SocketAddr>,
    token: Option<String>,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// Why a call to one instance failed.
enum CallError {
    /// The request was not sent.
    NotSent(String),
    /// The request was sent, but no complete response was received; it may have been processed.
    NoResponse(String),
    /// The instance responded with an error status.
    Refused { status: u16, message: String },
}

impl Client {
    /// Creates a client with the token for reading.
    pub(crate) fn for_reading(instances: &[SocketAddr]) -> Result<Self, CommandError> {
        Self::new(instances, READ_TOKEN_VARIABLE)
    }

    /// Creates a client with the token for changes.
    pub(crate) fn for_changes(instances: &[SocketAddr]) -> Result<Self, CommandError> {
        Self::new(instances, CHANGE_TOKEN_VARIABLE)
    }

    /// Creates a client for instances that require no token.
    pub(crate) fn without_token(instances: &[SocketAddr]) -> Result<Self, CommandError> {
        Self::with_token(instances, None)
    }

    fn new(instances: &[SocketAddr], variable: &'static str) -> Result<Self, CommandError> {
        let token = std::env::var(variable).ok().filter(|token| !token.is_empty());
        let token = token.ok_or(CommandError::MissingToken(variable))?;
        Self::with_token(instances, Some(token))
    }

    fn with_token(instances: &[SocketAddr], token: Option<String>) -> Result<Self, CommandError> {
        let instances = match instances {
            [] => instances_from_environment()?,
            named => named.to_vec(),
        };
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Ok(Self { instances, token, http })
    }

    /// Returns the addresses of the instances.
    pub(crate) fn instances(&self) -> &[SocketAddr] {
        &self.instances
    }

    /// Reads JSON from the first instance that responds.
    pub(crate) async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let mut tried = Vec::new();
        for instance in &self.instances {
            match self.read_one(*instance, path).await {
                Err(CommandError::Unreachable(cause)) => tried.extend(cause),
                other => return other,
            }
        }
        Err(CommandError::Unreachable(tried))
    }

    /// Reads JSON from one instance.
    pub(crate) async fn read_one<T: DeserializeOwned>(
        &self,
        instance: SocketAddr,
        path: &str,
    ) -> Result<T, CommandError> {
        let body = self.read_bytes(instance, path).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Reads the raw body of a response from one instance.
    pub(crate) async fn read_bytes(
        &self,
        instance: SocketAddr,
        path: &str,
    ) -> Result<Bytes, CommandError> {
        self.call(instance, &Method::GET, path, Bytes::new()).await.map_err(|error| match error {
            CallError::NotSent(cause) | CallError::NoResponse(cause) => {
                CommandError::Unreachable(vec![(instance, cause)])
            }
            CallError::Refused { status, message } => {
                CommandError::Refused { instance, status, message }
            }
        })
    }

    /// Sends a change to the first instance that can be reached.
    ///
    /// A request without a response is not retried at another instance, because the change may have
    /// been accepted.
    pub(crate) async fn change<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CommandError> {
        let mut tried = Vec::new();
        for instance in self.instances.iter().copied() {
            match self.call(instance, &method, path, body.clone()).await {
                Ok(response) => return Ok(serde_json::from_slice(&response)?),
                Err(CallError::NotSent(cause)) => tried.push((instance, cause)),
                Err(CallError::NoResponse(cause)) => {
                    return Err(CommandError::OutcomeUnknown { instance, cause });
                }
                Err(CallError::Refused { status, message }) => {
                    return Err(CommandError::Refused { instance, status, message });
                }
            }
        }
        Err(CommandError::Unreachable(tried))
    }

    async fn call(
        &self,
        instance: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, CallError> {
        let mut request = Request::builder().method(method).uri(format!("http://{instance}{path}"));
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        let request =
            request.body(Full::new(body)).map_err(|error| CallError::NotSent(error.to_string()))?;
        match tokio::time::timeout(REQUEST_TIMEOUT, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::NoResponse("timeout".to_owned())),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Bytes, CallError> {
        let response = self.http.request(request).await.map_err(|error| {
            let cause = root_cause(&error);
            if error.is_connect() {
                CallError::NotSent(cause)
            } else {
                CallError::NoResponse(cause)
            }
        })?;
        let CheckedResponse { parts, framing, body } = CheckedResponse::try_from(response)
            .map_err(|error| CallError::NoResponse(error.to_string()))?;
        let status = parts.status;
        // What follows on the connection is not known here; a shortened body can't be decoded.
        let body = ServerStream::new(body, framing, Remainder::default());
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| CallError::NoResponse(error.to_string()))?.to_bytes();
        if status.is_success() {
            return Ok(body);
        }
        Err(CallError::Refused { status: status.as_u16(), message: error_message(&body) })
    }
}

fn instances_from_environment() -> Result<Vec<SocketAddr>, CommandError> {
    let list = std::env::var(INSTANCE_VARIABLE).map_err(|_| CommandError::MissingInstance)?;
    list.split(',')
        .map(|text| text.trim().parse().map_err(|_| CommandError::InvalidInstance(text.to_owned())))
        .collect()
}

/// Returns the last error of the chain, which is the most specific.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

/// Returns the message of an error response: its JSON field `error`, or the whole body.
fn error_message(body: &[u8]) -> String {
    let parsed: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    match parsed.as_ref().and_then(|value| value.get("error")?.as_str()) {
        Some(text) => text.to_owned(),
        None => String::from_utf8_lossy(body).trim().to_owned(),
    }
}
