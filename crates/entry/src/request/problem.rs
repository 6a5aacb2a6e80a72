//! Why a request got no response from a backend server, and the response to its caller.

use super::body::{ResponseBody, full_body};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use std::time::Duration;

/// Why this instance answers a request itself.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(super) enum Problem {
    /// No configuration is known yet.
    #[error("no configuration is known yet")]
    NoConfiguration,
    /// The other instances are not known yet, so this instance's share of the quotas is unknown.
    #[error("the other instances are not known yet")]
    Joining,
    /// No route matches the host and path.
    #[error("no route has this host and path")]
    NoRoute,
    /// The request has no key, or not the key of any customer.
    #[error("the key is missing or not known")]
    UnknownKey,
    /// The customer's quota is exceeded; the request has not run.
    #[error("the customer's quota is used up")]
    OverQuota {
        /// Time after which the quota may allow the request.
        retry_after: Duration,
    },
    /// The body has a transfer coding that this instance can't decode.
    #[error("the transfer coding is not known")]
    UnknownCoding,
    /// The body is longer than the configuration allows.
    #[error("body is longer than {limit_bytes} bytes")]
    BodyTooLong {
        /// Longest body in bytes.
        limit_bytes: u64,
    },
    /// There is no memory for the body; the request was not sent.
    #[error("no memory for the body")]
    NoMemory {
        /// Time after which there may be some.
        retry_after: Duration,
    },
    /// The caller's body was truncated.
    #[error("body was cut")]
    BodyTruncated,
    /// The caller's body did not arrive before the deadline; the request was not sent.
    #[error("body did not come in time")]
    BodyTimeout,
    /// No backend server has capacity in time; the request has not run.
    #[error("no backend server has room")]
    NoCapacity {
        /// Time after which there may be capacity.
        retry_after: Duration,
    },
    /// This instance reaches no backend server, and no other instance can pass the request on; it has
    /// not run.
    #[error("no backend server is reached")]
    CutOff {
        /// Time after which one may be.
        retry_after: Duration,
    },
    /// No backend server that was tried accepted the request; it has not run.
    #[error("backend servers did not take the request")]
    AllRefused {
        /// Time after which there may be capacity.
        retry_after: Duration,
    },
    /// The request is quarantined, as backend servers crashed while they ran it; it was not sent.
    #[error("backend servers ended under this request")]
    Quarantined,
    /// The deadline passed before the request was sent.
    #[error("time was over before the request was sent")]
    TimeoutBeforeSend,
    /// The deadline passed after the request was sent; it may have run.
    #[error("time was over before an answer came")]
    TimeoutAfterSend,
    /// The exchange with the backend server broke; the request may have run.
    #[error("exchange with the backend server broke")]
    Broken,
}

/// Mean time after which a caller is told to retry for lack of memory: half of that after which a body that stands
/// still is given up for another one.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Problem {
    /// The problem that there is no memory for a body.
    pub(super) fn no_memory() -> Self {
        // Jitter spreads the retries of callers that were refused together.
        let retry_after = NO_MEMORY_RETRY_AFTER.mul_f64(rand::random::<f64>() + 0.5);
        Self::NoMemory { retry_after }
    }

    /// Status of the response: 429 and 503 say that the request has not run and never will.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverQuota { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::UnknownCoding => StatusCode::NOT_IMPLEMENTED,
            Self::BodyTooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTruncated => StatusCode::BAD_REQUEST,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NoConfiguration
            | Self::Joining
            | Self::NoMemory { .. }
            | Self::NoCapacity { .. }
            | Self::CutOff { .. }
            | Self::AllRefused { .. }
            | Self::Quarantined
            | Self::TimeoutBeforeSend => StatusCode::SERVICE_UNAVAILABLE,
            Self::TimeoutAfterSend => StatusCode::GATEWAY_TIMEOUT,
            Self::Broken => StatusCode::BAD_GATEWAY,
        }
    }

    /// Whether the response says that the request has not run and never will.
    pub(super) fn guarantees_not_run(&self) -> bool {
        matches!(self.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
    }

    /// Name in logs and metrics.
    pub(super) fn as_str(&self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::Joining => "joining",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "unknown-key",
            Self::OverQuota { .. } => "over-quota",
            Self::UnknownCoding => "unknown-coding",
            Self::BodyTooLong { .. } => "body-too-long",
            Self::NoMemory { .. } => "no-memory",
            Self::BodyTruncated => "body-cut",
            Self::BodyTimeout => "body-timeout",
            Self::NoCapacity { .. } => "no-room",
            Self::CutOff { .. } => "cut-off",
            Self::AllRefused { .. } => "not-taken",
            Self::Quarantined => "held-back",
            Self::TimeoutBeforeSend => "timeout-before-send",
            Self::TimeoutAfterSend => "timeout-after-send",
            Self::Broken => "broken",
        }
    }

    /// The response for the caller.
    pub(super) fn response(&self) -> Response<ResponseBody> {
        let mut response = Response::new(full_body(format!("{self}\n")));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        let retry_after = match self {
            Self::NoMemory { retry_after }
            | Self::NoCapacity { retry_after }
            | Self::CutOff { retry_after }
            | Self::AllRefused { retry_after }
            | Self::OverQuota { retry_after } => Some(*retry_after),
            Self::NoConfiguration | Self::Joining => Some(Duration::from_millis(300)),
            Self::Quarantined => Some(steering::suspects::RETRY_AFTER),
            _ => None,
        };
        let value =
            retry_after.map(|delay| HeaderValue::try_from(format!("{:.3}", delay.as_secs_f64())));
        if let Some(Ok(value)) = value {
            headers.insert(RETRY_AFTER, value);
        }
        response
    }
}
