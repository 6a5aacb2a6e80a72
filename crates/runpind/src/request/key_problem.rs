//! Refusals of requests with an idempotency key.

use super::outcome::Outcome;
use http::StatusCode;
use steering::KeyError;
use thiserror::Error;

/// The reason why a request was refused or failed because of its idempotency key.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum KeyProblem {
    /// The header does not hold exactly one valid key.
    #[error("the header `idempotency-key`: {0}")]
    Malformed(#[from] KeyError),
    /// No lookup has issued the key's prefix yet.
    #[error("no look-up gave the prefix of the idempotency key yet")]
    NotIssued,
    /// The key was used with another method or path.
    #[error("the idempotency key was used with another method or path")]
    Mismatch,
    /// The ledger of idempotency keys is full.
    #[error("this instance remembers as many idempotency keys as it can")]
    LedgerFull,
    /// The request with this key is in progress.
    #[error("the request with this idempotency key is in progress")]
    InProgress,
    /// The request with this key ended without a known outcome.
    #[error("the request with this idempotency key may have been run")]
    Unknown,
    /// The request with this key was run, and its response was not stored.
    #[error("the request with this idempotency key was run; its answer was too large to be kept")]
    Ran,
    /// The key is older than the ledger's records.
    #[error("the idempotency key is too old: whether its request was run is no longer known")]
    Expired,
    /// No instance is the home of the key any more.
    #[error("the instance that knows this idempotency key is gone")]
    HomeGone,
    /// The key's home instance can't be reached at the moment.
    #[error("the instance that knows this idempotency key can't be reached now")]
    HomeUnreachable,
    /// The home instance is stopping and runs nothing more; its successor has not taken over yet.
    #[error("the instance that runs this idempotency key is stopping; a successor will run it")]
    HomeStopping,
    /// The exchange with the key's home instance failed.
    #[error("the exchange with the instance that knows this idempotency key broke")]
    HomeBroken,
}

impl KeyProblem {
    /// Returns the HTTP status of the refusal.
    pub fn status(&self) -> StatusCode {
        match self {
            KeyProblem::Malformed(_) | KeyProblem::NotIssued => StatusCode::BAD_REQUEST,
            KeyProblem::Mismatch => StatusCode::UNPROCESSABLE_ENTITY,
            KeyProblem::LedgerFull | KeyProblem::HomeUnreachable | KeyProblem::HomeStopping => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            KeyProblem::InProgress | KeyProblem::Unknown | KeyProblem::Ran => StatusCode::CONFLICT,
            KeyProblem::Expired | KeyProblem::HomeGone => StatusCode::GONE,
            KeyProblem::HomeBroken => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns whether the request with this key was run, in this attempt or an earlier one.
    pub fn outcome(&self) -> Outcome {
        match self {
            KeyProblem::Malformed(_)
            | KeyProblem::NotIssued
            | KeyProblem::Mismatch
            | KeyProblem::LedgerFull
            | KeyProblem::HomeStopping => Outcome::NotRun,
            KeyProblem::Ran => Outcome::Ran,
            _ => Outcome::Unknown,
        }
    }

    /// Returns whether this attempt certainly did not run the request, whatever earlier ones did.
    pub fn attempt_not_run(&self) -> bool {
        *self != KeyProblem::HomeBroken
    }

    /// Returns whether a retry with the same key may soon get another result.
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            KeyProblem::LedgerFull
                | KeyProblem::InProgress
                | KeyProblem::HomeUnreachable
                | KeyProblem::HomeStopping
                | KeyProblem::HomeBroken
        )
    }

    /// Returns the last part of the problem's type URI.
    pub fn kind(&self) -> &'static str {
        match self {
            KeyProblem::Malformed(_) => "bad-key",
            KeyProblem::NotIssued => "key-not-issued",
            KeyProblem::Mismatch => "key-mismatch",
            KeyProblem::LedgerFull => "ledger-full",
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
