//! Refusals, as problem details (RFC 9457) with an outcome header.

use super::body::{self, Body};
use super::key_problem::KeyProblem;
use super::outcome::{OUTCOME_HEADER, Outcome};
use crate::process::Process;
use crate::process::arms::FlowName;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use std::time::Duration;
use thiserror::Error;

/// Seconds after which a refused caller may retry, where no better estimate exists.
const RETRY_AFTER_S: u64 = 1;

/// The reason why a request was refused or failed.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum Problem {
    /// This instance has not received a configuration yet.
    #[error("this instance has no configuration yet")]
    NoConfiguration,
    /// This instance is stopping.
    #[error("this instance is stopping")]
    Draining,
    /// No service matches.
    #[error("no service matches `{0}`")]
    UnknownService(String),
    /// A required query parameter is missing.
    #[error("the query parameter `{0}` is missing")]
    MissingParameter(&'static str),
    /// A header has a value that is not allowed.
    #[error("the header `{name}` is not {expected}")]
    BadHeader {
        /// Name of the header.
        name: &'static str,
        /// What it should be.
        expected: &'static str,
    },
    /// No backend server can take the request.
    #[error("no backend server has capacity")]
    NoCapacity,
    /// The request can't get capacity in time.
    #[error("there is more work than capacity")]
    Overloaded {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The timeout passed before the request was sent.
    #[error("the timeout passed before the request was sent")]
    TimeoutBeforeSend,
    /// The timeout passed after the request was sent.
    #[error("the timeout passed while a backend server had the request")]
    TimeoutAfterSend,
    /// The exchange with the backend server failed after the request was sent.
    #[error("the exchange with the backend server broke")]
    BrokenExchange,
    /// In this version of HTTP, a caller can't tell a truncated response from a complete one.
    #[error("HTTP/1.1 or HTTP/2 is needed")]
    HttpVersion,
    /// The backend server's response has neither a content length nor a transfer encoding.
    #[error("the backend server's answer has neither a length nor chunks")]
    UnboundedResponse,
    /// The request was refused because of its idempotency key.
    #[error("{0}")]
    Key(KeyProblem),
}

impl Problem {
    /// Returns the HTTP status of the refusal.
    pub fn status(&self) -> StatusCode {
        match self {
            Problem::NoConfiguration
            | Problem::Draining
            | Problem::NoCapacity
            | Problem::Overloaded { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Problem::UnknownService(_) => StatusCode::NOT_FOUND,
            Problem::MissingParameter(_) | Problem::BadHeader { .. } => StatusCode::BAD_REQUEST,
            Problem::TimeoutBeforeSend | Problem::TimeoutAfterSend => StatusCode::GATEWAY_TIMEOUT,
            Problem::BrokenExchange | Problem::UnboundedResponse => StatusCode::BAD_GATEWAY,
            Problem::HttpVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Problem::Key(problem) => problem.status(),
        }
    }

    /// Returns whether the request was run, as far as this instance knows.
    pub fn outcome(&self) -> Outcome {
        match self {
            Problem::TimeoutAfterSend | Problem::BrokenExchange | Problem::UnboundedResponse => {
                Outcome::Unknown
            }
            Problem::Key(problem) => problem.outcome(),
            _ => Outcome::NotRun,
        }
    }

    /// Returns the last part of the problem's type URI.
    pub fn kind(&self) -> &'static str {
        match self {
            Problem::NoConfiguration => "no-configuration",
            Problem::Draining => "draining",
            Problem::UnknownService(_) => "unknown-service",
            Problem::MissingParameter(_) => "missing-parameter",
            Problem::BadHeader { .. } => "bad-header",
            Problem::NoCapacity => "no-capacity",
            Problem::Overloaded { .. } => "overloaded",
            Problem::TimeoutBeforeSend => "timeout-before-send",
            Problem::TimeoutAfterSend => "timeout-after-send",
            Problem::BrokenExchange => "broken-exchange",
            Problem::HttpVersion => "http-version",
            Problem::UnboundedResponse => "unbounded-answer",
            Problem::Key(problem) => problem.kind(),
        }
    }

    /// Returns the seconds after which the caller may retry, rounded up.
    fn retry_after_s(&self) -> u64 {
        match self {
            Problem::Overloaded { retry_after } => retry_after.as_secs_f64().ceil() as u64,
            _ => RETRY_AFTER_S,
        }
    }

    /// Returns the response that reports the problem to the caller.
    pub fn response(&self) -> Response<Body> {
        let status = self.status();
        let mut text = serde_json::json!({
            "type": format!("urn:runpin:problem:{}", self.kind()),
            "title": self.to_string(),
            "status": status.as_u16(),
            "outcome": self.outcome().as_str(),
        });
        if let Problem::Key(problem) = self
            && problem.attempt_not_run()
        {
            text["attempt"] = Outcome::NotRun.as_str().into();
        }
        let mut response = Response::new(body::full(text.to_string()));
        response.extensions_mut().insert(self.outcome());
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(self.outcome().as_str()));
        let is_transient = match self {
            Problem::Key(problem) => problem.is_transient(),
            _ => status == StatusCode::SERVICE_UNAVAILABLE,
        };
        if is_transient {
            headers.insert(RETRY_AFTER, HeaderValue::from(self.retry_after_s()));
        }
        response
    }
}

impl Process {
    /// Counts a refusal in the metrics and for its arm.
    pub fn count_refusal(&self, flow: &FlowName, problem: &Problem) {
        let FlowName { service, class, arm } = flow;
        self.metrics.count_request(service, *class, problem.outcome().as_str());
        let labels = [&**service, class.as_str(), &**arm, problem.kind()];
        self.metrics.refusals.with_label_values(&labels).inc();
        self.arms.record_refusal(flow, problem.kind());
    }
}
