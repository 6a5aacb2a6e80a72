//! Why requests go where they go, in a form to be shown.

use crate::guard::GrowthLimit;
use serde::Serialize;
use std::sync::Arc;

/// Where the weights that the guard was given come from.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Origin {
    /// The arm's policy.
    Policy,
    /// What the arm's policy said before it began to fail.
    LastGood,
    /// The built-in policy.
    BuiltIn,
}

/// State of routing at one instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Status {
    /// Number of the configuration version that the table belongs to; 0 before the first table.
    pub configuration_version: u64,
    /// Every service and arm.
    pub flows: Vec<ArmExplanation>,
}

/// Why the requests of one caller and service go where they go.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// Address of the caller.
    pub caller: std::net::IpAddr,
    /// Number of the configuration version.
    pub configuration_version: u64,
    /// The caller's arm.
    pub arm: ArmExplanation,
    /// What shadow arms would do.
    pub shadows: Vec<ArmExplanation>,
}

/// One service of one arm.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ArmExplanation {
    /// The service.
    pub service: Arc<str>,
    /// Name of the arm.
    pub arm: Arc<str>,
    /// Part of the callers, in percent.
    pub share_percent: u32,
    /// Whether the arm only records.
    pub shadow: bool,
    /// Name of the arm's policy.
    pub policy: Arc<str>,
    /// Where the wishes come from.
    pub origin: Origin,
    /// Why the policy failed, if it did.
    pub policy_error: Option<String>,
    /// Requests of the arm at this instance, per second.
    pub rate_per_s: f64,
    /// Part of the requests that no site may take now.
    pub unplaced_share: f64,
    /// The sites, in the order of the configuration.
    pub sites: Vec<SiteExplanation>,
}

/// One site for one service and arm.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SiteExplanation {
    /// The site's availability zone.
    pub availability_zone: Arc<str>,
    /// Weight that the policy wishes.
    pub wished: f64,
    /// Weight in force.
    pub weight: f64,
    /// Whether the guard closed the site.
    pub is_closed: bool,
    /// Growth that free slots allow in this step, in requests per second.
    pub headroom_growth_per_s: f64,
    /// Growth that answer times allow in this step, in requests per second.
    pub ramp_growth_per_s: f64,
    /// Growth that the link allows in one second, in requests per second.
    pub link_growth_per_s: f64,
    /// Slots that steering may fill.
    pub capacity_slots: f64,
    /// Free slots, as far as known.
    pub headroom_slots: f64,
    /// Median time to an answer's head, in milliseconds.
    pub latency_ms: f64,
    /// Whether a recent answer to this instance stands behind the latency.
    pub is_measured: bool,
    /// Part of exchanges that failed.
    pub failed_share: f64,
    /// Age of the figures behind the headroom, in milliseconds.
    pub age_ms: f64,
}

impl SiteExplanation {
    /// Fills in what limits the site's growth; `None` for a closed site.
    pub(super) fn limited(mut self, limit: Option<GrowthLimit>, link_per_s: f64) -> Self {
        self.is_closed = limit.is_none();
        self.headroom_growth_per_s = limit.map_or(0.0, |limit| limit.headroom_per_s);
        self.ramp_growth_per_s = limit.map_or(0.0, |limit| limit.ramp_per_s);
        self.link_growth_per_s = link_per_s;
        self
    }
}
