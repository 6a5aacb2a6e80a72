//! Refusals of requests with an idempotency key.

use super::outcome::Outcome;
use http::StatusCode;
use steering::KeyError;
use thiserror::Error;

/// Why a request with an idempotency key gets no answer of a backend server.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum KeyProblem {
    /// The header does not hold a key.
    #[error("the header `idempotency-key`: {0}")]
    Bad(#[from] KeyError),
    /// No look-up gave the prefix.
    #[error("no look-up gave the prefix of the idempotency key yet")]
    NotIssued,
    /// The key was used for another request.
    #[error("the idempotency key was used with another method or path")]
    Mismatch,
    /// The ledger is full.
    #[error("this instance remembers as many idempotency keys as it can")]
    Full,
    /// The request with this key is in progress.
    #[error("the request with this idempotency key is in progress")]
    InProgress,
    /// The request with this key ended without a known outcome.
    #[error("the request with this idempotency key may have been run")]
    Unknown,
    /// The request with this key was run, and its answer is not kept.
    #[error("the request with this idempotency key was run; its answer was too large to be kept")]
    Ran,
    /// The key is older than what is remembered.
    #[error("the idempotency key is too old: whether its request was run is no longer known")]
    Expired,
    /// No instance is the key's home any more.
    #[error("the instance that knows this idempotency key is gone")]
    HomeGone,
    /// The key's home can't be reached now.
    #[error("the instance that knows this idempotency key can't be reached now")]
    HomeUnreachable,
    /// The home stops and runs nothing more; no successor does yet.
    #[error("the instance that runs this idempotency key is stopping; a successor will run it")]
    HomeStopping,
    /// The exchange with the key's home broke.
    #[error("the exchange with the instance that knows this idempotency key broke")]
    HomeBroken,
}

impl KeyProblem {
    /// Returns the HTTP status of the refusal.
    pub fn status(&self) -> StatusCode {
        match self {
            KeyProblem::Bad(_) | KeyProblem::NotIssued => StatusCode::BAD_REQUEST,
            KeyProblem::Mismatch => StatusCode::UNPROCESSABLE_ENTITY,
            KeyProblem::Full | KeyProblem::HomeUnreachable | KeyProblem::HomeStopping => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            KeyProblem::InProgress | KeyProblem::Unknown | KeyProblem::Ran => StatusCode::CONFLICT,
            KeyProblem::Expired | KeyProblem::HomeGone => StatusCode::GONE,
            KeyProblem::HomeBroken => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns what is known of the request with this key, earlier attempts included.
    pub fn outcome(&self) -> Outcome {
        match self {
            KeyProblem::Bad(_)
            | KeyProblem::NotIssued
            | KeyProblem::Mismatch
            | KeyProblem::Full
            | KeyProblem::HomeStopping => Outcome::NotRun,
            KeyProblem::Ran => Outcome::Ran,
            _ => Outcome::Unknown,
        }
    }

    /// Tells whether this attempt certainly ran nothing, whatever earlier ones did.
    pub fn attempt_not_run(&self) -> bool {
        *self != KeyProblem::HomeBroken
    }

    /// Tells whether the same key may get another answer soon.
    pub fn is_passing(&self) -> bool {
        matches!(
            self,
            KeyProblem::Full
                | KeyProblem::InProgress
                | KeyProblem::HomeUnreachable
                | KeyProblem::HomeStopping
                | KeyProblem::HomeBroken
        )
    }

    /// Returns the last part of the problem's type URI.
    pub fn kind(&self) -> &'static str {
        match self {
            KeyProblem::Bad(_) => "bad-key",
            KeyProblem::NotIssued => "key-not-issued",
            KeyProblem::Mismatch => "key-mismatch",
            KeyProblem::Full => "ledger-full",
            KeyProblem::InProgress => "key-in-progress",
            KeyProblem::Unknown => "key-unknown",
            KeyProblem::Ran => "key-ran",
            KeyProblem::Expired => "key-expired",
            KeyProblem::HomeGone => "key-home-gone",
            KeyProblem::HomeUnreachable => "key-home-unreachable",
            KeyProblem::HomeStopping => "key-home-stopping",
            KeyProblem::HomeBroken => "key-home-broken",
        }
    }
}
