//! Input of a policy program.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One service as seen from one availability zone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct View {
    /// The service.
    pub service: Arc<str>,
    /// The availability zone of the instances that send the requests.
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
    /// Estimated free slots; the estimate decays to a share of the capacity that is assumed without
    /// reports as the reports age.
    pub headroom_slots: f64,
    /// Median time to the head of a response, in milliseconds; the round trip while there is none.
    pub latency_ms: f64,
    /// Fraction of exchanges that failed, from 0 to 1.
    pub failed_share: f64,
    /// Age of the reports behind the headroom, in milliseconds.
    pub age_ms: f64,
}
