//! Reports of an instance to the judges of a rollout.

use super::order_id::OrderId;
use super::tally::VersionTallies;
use crate::quota::MemberId;
use serde::{Deserialize, Serialize};

/// The responses that an instance has counted since it learned of an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Report {
    pub(super) order: OrderId,
    pub(super) member: MemberId,
    /// Start time of the instance, in milliseconds since the Unix epoch.
    pub(super) started_ms: u64,
    /// Sequence number of the report.
    pub(super) number: u32,
    /// Whether the instance sends all requests to the version and none to others is in flight.
    pub(super) is_done: bool,
    /// Tallies by the hash of the route's name.
    pub(super) routes: Vec<(u32, VersionTallies)>,
}
