//! Refusals on the address for operators.

use super::respond::json;
use crate::process::acceptance::AcceptanceError;
use crate::request::body::{self, Body};
use crate::request::problem::Problem;
use configuration::DrainError;
use http::{Response, StatusCode};
use platform::StoreError;
use serde::Serialize;
use thiserror::Error;

/// The reason why a request of an operator was refused.
#[derive(Debug, Error)]
pub(super) enum AdminError {
    /// No token was given.
    #[error("a token is required: send it as `Authorization: Bearer TOKEN`")]
    MissingToken,
    /// The token is not the one that the request needs.
    #[error("the token is wrong; reading and changing have different ones")]
    WrongToken,
    /// The path does not exist, or does not support the method.
    #[error("there is no page `{0}` for this method")]
    UnknownPath(String),
    /// A query parameter is missing.
    #[error("the query parameter `{0}` is missing")]
    MissingParameter(&'static str),
    /// A query parameter has a value that is not allowed.
    #[error("the query parameter `{name}` is not {expected}")]
    BadParameter {
        /// Name of the parameter.
        name: &'static str,
        /// Description of the allowed values.
        expected: &'static str,
    },
    /// The body is too large or was truncated.
    #[error("the text is cut short or over {0} bytes")]
    TooLarge(usize),
    /// Another text is being read.
    #[error("another text is being read: try again")]
    Busy,
    /// The body did not go on.
    #[error("the text did not go on")]
    Stalled,
    /// The body is not UTF-8 text.
    #[error("the text is not UTF-8")]
    NotText,
    /// This instance, or the platform, has no configuration yet.
    #[error("this instance knows no configuration yet")]
    NoConfiguration,
    /// The version is not in the history.
    #[error("version {0} is not kept: see `runpin config history` for those that are")]
    NoVersion(u64),
    /// The drain is malformed.
    #[error(transparent)]
    Drain(#[from] DrainError),
    /// The change was not accepted.
    #[error(transparent)]
    Acceptance(#[from] AcceptanceError),
    /// The lookup or the explanation of routing was refused.
    #[error(transparent)]
    Lookup(#[from] Problem),
    /// The metrics can't be encoded.
    #[error("the metrics can't be shown: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The response can't be serialized.
    #[error("the answer can't be written: {0}")]
    Format(#[from] serde_json::Error),
}

/// Response body of a refusal.
#[derive(Debug, Serialize)]
pub(super) struct Refusal {
    /// Message that describes the error.
    error: String,
    /// Version that the change expected, if another is current.
    #[serde(skip_serializing_if = "Option::is_none")]
    expected_version: Option<u64>,
    /// Current version, if it is not the expected one.
    #[serde(skip_serializing_if = "Option::is_none")]
    current_version: Option<u64>,
}

impl AdminError {
    fn status(&self) -> StatusCode {
        match self {
            AdminError::MissingToken | AdminError::WrongToken => StatusCode::UNAUTHORIZED,
            AdminError::UnknownPath(_) | AdminError::NoVersion(_) => StatusCode::NOT_FOUND,
            AdminError::MissingParameter(_)
            | AdminError::BadParameter { .. }
            | AdminError::NotText
            | AdminError::Drain(_) => StatusCode::BAD_REQUEST,
            AdminError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            AdminError::Stalled => StatusCode::REQUEST_TIMEOUT,
            AdminError::NoConfiguration | AdminError::Busy => StatusCode::SERVICE_UNAVAILABLE,
            AdminError::Acceptance(error) => acceptance_status(error),
            AdminError::Lookup(problem) => problem.status(),
            AdminError::Metrics(_) | AdminError::Format(_) => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Returns the response that reports the error.
    pub(super) fn response(&self) -> Response<Body> {
        let (expected_version, current_version) = match self {
            AdminError::Acceptance(AcceptanceError::Conflict { expected, current, .. }) => {
                (Some(*expected), Some(current.number))
            }
            _ => (None, None),
        };
        let refusal = Refusal { error: self.to_string(), expected_version, current_version };
        json(self.status(), &refusal).unwrap_or_else(|error: serde_json::Error| {
            let mut response = Response::new(body::full(error.to_string()));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        })
    }
}

fn acceptance_status(error: &AcceptanceError) -> StatusCode {
    match error {
        AcceptanceError::Configuration(_)
        | AcceptanceError::Manifest(_)
        | AcceptanceError::MissingChunk(_)
        | AcceptanceError::Drain(_)
        | AcceptanceError::NoConfiguration => StatusCode::UNPROCESSABLE_ENTITY,
        AcceptanceError::Conflict { .. } => StatusCode::CONFLICT,
        AcceptanceError::Store(StoreError::TooLarge { .. }) => StatusCode::PAYLOAD_TOO_LARGE,
        AcceptanceError::Store(StoreError::OutcomeUnknown) => StatusCode::GATEWAY_TIMEOUT,
        AcceptanceError::Store(_) | AcceptanceError::Interrupted => StatusCode::SERVICE_UNAVAILABLE,
    }
}
