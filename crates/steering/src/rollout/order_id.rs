//! Identifiers of rollout orders.

use crate::deployment::RolloutOrder;
use crate::hash::mix;
use crate::placement::rank::name_hash;
use serde::{Deserialize, Serialize};

/// Identifies an order in messages between instances: a hash of its contents.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct OrderId(u64);

impl OrderId {
    /// Computes the identifier of an order.
    pub fn new(order: &RolloutOrder) -> Self {
        let RolloutOrder { service, target_version, duration, number } = order;
        let names = name_hash(service) ^ mix(name_hash(target_version));
        let duration_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(mix(names ^ mix(duration_ms ^ mix(*number))))
    }
}
