//! Rollouts: orders to move a service's requests to the backend servers of another version.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Longest duration of a rollout.
const MAX_DURATION: Duration = Duration::from_secs(7 * 24 * 3600);

/// Why an order is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RolloutError {
    /// The service is empty, or differs from the name of the order.
    #[error("service {0:?} differs from the name of the rollout")]
    Service(String),
    /// The target version is empty.
    #[error("the target version is missing")]
    Version,
    /// The duration is not above zero, or too long.
    #[error("duration of {0} s is not between 0 and {longest} s", longest = MAX_DURATION.as_secs())]
    Duration(f64),
}

/// An order to move a service's requests to the backend servers of a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: Arc<str>,
    /// The version that is to run all requests of the service.
    pub target_version: Arc<str>,
    /// Time from the order within which the rollout must end.
    pub duration: Duration,
    /// Number that distinguishes the order from earlier ones for the same version.
    pub number: u64,
}

impl RolloutOrder {
    /// Validates an order; `name` is its name in the store, which must be that of the service.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn new(
        name: &str,
        service: &str,
        target_version: &str,
        duration_s: f64,
        number: u64,
    ) -> Result<Self, RolloutError> {
        if service.is_empty() || service != name {
            return Err(RolloutError::Service(service.to_owned()));
        }
        if target_version.is_empty() {
            return Err(RolloutError::Version);
        }
        let is_valid_duration = duration_s > 0.0 && duration_s <= MAX_DURATION.as_secs_f64();
        if !is_valid_duration {
            return Err(RolloutError::Duration(duration_s));
        }
        Ok(Self {
            service: service.into(),
            target_version: target_version.into(),
            duration: Duration::from_secs_f64(duration_s),
            number,
        })
    }
}

/// Outcome of a rollout.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RolloutOutcome {
    /// The version runs all requests; the backend servers of other versions are no longer needed.
    Succeeded,
    /// The version gets no more requests.
    RolledBack,
}

impl RolloutOutcome {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Succeeded => "succeeded",
            Self::RolledBack => "turned-back",
        }
    }
}

/// An order and its outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rollout {
    /// The order.
    pub order: RolloutOrder,
    /// Its outcome; none while it is in progress.
    pub outcome: Option<RolloutOutcome>,
}

/// Rollouts by service.
pub type Rollouts = BTreeMap<Arc<str>, Rollout>;
