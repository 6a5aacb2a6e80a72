//! What a policy is given.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One service as seen from one availability zone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct View {
    /// The service.
    pub service: Arc<str>,
    /// The availability zone whose instances send.
    pub availability_zone: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// The sites that run the service, in the order of the configuration.
    pub sites: Vec<SiteView>,
}

/// One site of the service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SiteView {
    /// The site's availability zone.
    pub availability_zone: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// One-way delay to it, in milliseconds.
    pub delay_ms: f64,
    /// Slots that steering may fill.
    pub capacity_slots: f64,
    /// Slots that are free, as far as known; decays to the floor as figures grow old.
    pub headroom_slots: f64,
    /// Median time to an answer's head, in milliseconds; the round trip while nothing is known.
    pub latency_ms: f64,
    /// Part of exchanges that failed, from 0 to 1.
    pub failed_share: f64,
    /// Age of the figures behind the headroom, in milliseconds.
    pub age_ms: f64,
}
