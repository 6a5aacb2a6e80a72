//! Asking instances over HTTP, on their address for operators.

use crate::error::CommandError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Variable with the token for reading.
const READ_TOKEN: &str = "RUNPIN_READ_TOKEN";

/// Variable with the token for changes.
const CHANGE_TOKEN: &str = "RUNPIN_CHANGE_TOKEN";

/// Variable with the instances to ask, separated by commas.
const INSTANCE: &str = "RUNPIN_INSTANCE";

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Asks one instance after another until one answers.
pub(crate) struct Client {
    instances: Vec<SocketAddr>,
    token: Option<String>,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// Why one instance gave no answer.
enum Failure {
    /// The request was not sent.
    NotSent(String),
    /// The request may have been acted on.
    Lost(String),
    /// The instance refused.
    Refused { status: u16, message: String },
}

impl Client {
    /// Makes a client with the token for reading.
    pub(crate) fn for_reading(instances: &[SocketAddr]) -> Result<Self, CommandError> {
        Self::new(instances, READ_TOKEN)
    }

    /// Makes a client with the token for changes.
    pub(crate) fn for_changes(instances: &[SocketAddr]) -> Result<Self, CommandError> {
        Self::new(instances, CHANGE_TOKEN)
    }

    /// Makes a client of instances that ask for no token.
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
            [] => instances_of_environment()?,
            named => named.to_vec(),
        };
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Ok(Self { instances, token, http })
    }

    /// Returns the instances that are asked.
    pub(crate) fn instances(&self) -> &[SocketAddr] {
        &self.instances
    }

    /// Reads from the first instance that can be asked.
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

    /// Reads from one instance.
    pub(crate) async fn read_one<T: DeserializeOwned>(
        &self,
        instance: SocketAddr,
        path: &str,
    ) -> Result<T, CommandError> {
        let body = self.read_bytes(instance, path).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Reads from one instance what is not JSON.
    pub(crate) async fn read_bytes(
        &self,
        instance: SocketAddr,
        path: &str,
    ) -> Result<Bytes, CommandError> {
        self.ask(instance, &Method::GET, path, Bytes::new()).await.map_err(
            |failure| match failure {
                Failure::NotSent(cause) | Failure::Lost(cause) => {
                    CommandError::Unreachable(vec![(instance, cause)])
                }
                Failure::Refused { status, message } => {
                    CommandError::Refused { instance, status, message }
                }
            },
        )
    }

    /// Sends a change to the first instance that can be reached.
    pub(crate) async fn change<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CommandError> {
        let mut tried = Vec::new();
        for instance in self.instances.iter().copied() {
            match self.ask(instance, &method, path, body.clone()).await {
                Ok(answer) => return Ok(serde_json::from_slice(&answer)?),
                Err(Failure::NotSent(cause)) => tried.push((instance, cause)),
                Err(Failure::Lost(cause)) => return Err(CommandError::Unsure { instance, cause }),
                Err(Failure::Refused { status, message }) => {
                    return Err(CommandError::Refused { instance, status, message });
                }
            }
        }
        Err(CommandError::Unreachable(tried))
    }

    async fn ask(
        &self,
        instance: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, Failure> {
        let mut request = Request::builder().method(method).uri(format!("http://{instance}{path}"));
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        let request =
            request.body(Full::new(body)).map_err(|error| Failure::NotSent(error.to_string()))?;
        match tokio::time::timeout(TIMEOUT, self.exchange(request)).await {
            Ok(answered) => answered,
            Err(_) => Err(Failure::Lost("timeout".to_owned())),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Bytes, Failure> {
        let response = self.http.request(request).await.map_err(|error| {
            let cause = innermost(&error);
            if error.is_connect() { Failure::NotSent(cause) } else { Failure::Lost(cause) }
        })?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| Failure::Lost(error.to_string()))?.to_bytes();
        if status.is_success() {
            return Ok(body);
        }
        Err(Failure::Refused { status: status.as_u16(), message: message_of(&body) })
    }
}

fn instances_of_environment() -> Result<Vec<SocketAddr>, CommandError> {
    let list = std::env::var(INSTANCE).map_err(|_| CommandError::MissingInstance)?;
    list.split(',')
        .map(|text| text.trim().parse().map_err(|_| CommandError::Instance(text.to_owned())))
        .collect()
}

/// Returns the cause that says most: the last one of the chain.
fn innermost(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

/// Returns what a refusal says.
fn message_of(body: &[u8]) -> String {
    let parsed: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    match parsed.as_ref().and_then(|value| value.get("error")?.as_str()) {
        Some(text) => text.to_owned(),
        None => String::from_utf8_lossy(body).trim().to_owned(),
    }
}
