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

/// Why a request of an operator was refused.
#[derive(Debug, Error)]
pub(super) enum AdminError {
    /// No token was given.
    #[error("a token is required: send it as `Authorization: Bearer TOKEN`")]
    MissingToken,
    /// The token is not the one that the call needs.
    #[error("the token is wrong; reading and changing have different ones")]
    WrongToken,
    /// There is no such page, or the method is not for it.
    #[error("there is no page `{0}` for this method")]
    NoPage(String),
    /// A query parameter is missing.
    #[error("the query parameter `{0}` is missing")]
    MissingParameter(&'static str),
    /// A query parameter has a value that is not allowed.
    #[error("the query parameter `{name}` is not {expected}")]
    BadParameter {
        /// Its name.
        name: &'static str,
        /// What it should be.
        expected: &'static str,
    },
    /// The body is too large or was cut short.
    #[error("the text is cut short or over {0} bytes")]
    TooLarge(usize),
    /// The body is not text.
    #[error("the text is not UTF-8")]
    NotText,
    /// No configuration is known.
    #[error("this instance knows no configuration yet")]
    NoConfiguration,
    /// A version is not kept.
    #[error("version {0} is not kept: see `runpin config history` for those that are")]
    NoVersion(u64),
    /// A drain is not well formed.
    #[error(transparent)]
    Drain(#[from] DrainError),
    /// A change was not accepted.
    #[error(transparent)]
    Acceptance(#[from] AcceptanceError),
    /// A look-up has no answer.
    #[error(transparent)]
    Lookup(#[from] Problem),
    /// Metrics can't be shown.
    #[error("the metrics can't be shown: {0}")]
    Metrics(#[from] prometheus::Error),
    /// An answer can't be written.
    #[error("the answer can't be written: {0}")]
    Format(#[from] serde_json::Error),
}

/// Body of a refusal.
#[derive(Debug, Serialize)]
pub(super) struct Refusal {
    /// What is wrong.
    error: String,
    /// Version that the change expected, where another is in force.
    #[serde(skip_serializing_if = "Option::is_none")]
    expected_version: Option<u64>,
    /// Version in force, where it is not the one expected.
    #[serde(skip_serializing_if = "Option::is_none")]
    current_version: Option<u64>,
}

impl AdminError {
    fn status(&self) -> StatusCode {
        match self {
            AdminError::MissingToken | AdminError::WrongToken => StatusCode::UNAUTHORIZED,
            AdminError::NoPage(_) | AdminError::NoVersion(_) => StatusCode::NOT_FOUND,
            AdminError::MissingParameter(_)
            | AdminError::BadParameter { .. }
            | AdminError::NotText
            | AdminError::Drain(_) => StatusCode::BAD_REQUEST,
            AdminError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            AdminError::NoConfiguration => StatusCode::SERVICE_UNAVAILABLE,
            AdminError::Acceptance(error) => status_of_acceptance(error),
            AdminError::Lookup(problem) => problem.status(),
            AdminError::Metrics(_) | AdminError::Format(_) => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Returns the refusal as an answer.
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

fn status_of_acceptance(error: &AcceptanceError) -> StatusCode {
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
