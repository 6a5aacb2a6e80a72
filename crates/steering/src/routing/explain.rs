//! Explanations of routing decisions, for operators.

use crate::guard::GrowthLimit;
use serde::Serialize;
use std::sync::Arc;

/// The source of the weights that the guard was given.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Origin {
    /// The arm's policy.
    Policy,
    /// The last weights of the arm's policy before it began to fail.
    LastGood,
    /// The built-in policy.
    BuiltIn,
}

/// Routing state of one instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Status {
    /// Configuration version of the table; 0 before the first table.
    pub configuration_version: u64,
    /// Every service and arm.
    pub flows: Vec<ArmExplanation>,
}

/// Explains the routing of one caller's requests for one service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// Address of the caller.
    pub caller: std::net::IpAddr,
    /// Configuration version.
    pub configuration_version: u64,
    /// The caller's arm.
    pub arm: ArmExplanation,
    /// Decisions of shadow arms, which are not applied.
    pub shadows: Vec<ArmExplanation>,
}

/// Explains the weights of one service and arm.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ArmExplanation {
    /// The service.
    pub service: Arc<str>,
    /// Name of the arm.
    pub arm: Arc<str>,
    /// Percentage of the callers.
    pub share_percent: u32,
    /// Whether the arm only records its decisions.
    pub shadow: bool,
    /// Name of the arm's policy.
    pub policy: Arc<str>,
    /// Source of the proposed weights.
    pub origin: Origin,
    /// Error of the policy, if it failed.
    pub policy_error: Option<String>,
    /// Requests of the arm at this instance, per second.
    pub rate_per_s: f64,
    /// Share of the requests that no site may take now.
    pub unplaced_share: f64,
    /// The sites, in the order of the configuration.
    pub sites: Vec<SiteExplanation>,
}

/// One site for one service and arm.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SiteExplanation {
    /// The site's availability zone.
    pub availability_zone: Arc<str>,
    /// Weight that the policy proposes.
    #[serde(rename = "wished")]
    pub proposed: f64,
    /// Weight in effect.
    pub weight: f64,
    /// Whether the guard closed the site.
    pub is_closed: bool,
    /// Growth that free slots allow in this step, in requests per second.
    pub headroom_growth_per_s: f64,
    /// Growth that latencies allow in this step, in requests per second.
    pub ramp_growth_per_s: f64,
    /// Growth that the link allows in one second, in requests per second.
    pub link_growth_per_s: f64,
    /// Slots that steering may fill.
    pub capacity_slots: f64,
    /// Free slots, as far as known.
    pub headroom_slots: f64,
    /// Median time to the response head, in milliseconds.
    pub latency_ms: f64,
    /// Whether the latency is based on a recent response to this instance.
    pub is_measured: bool,
    /// Share of exchanges that failed.
    pub failed_share: f64,
    /// Age of the figures that the headroom is based on, in milliseconds.
    pub age_ms: f64,
}

impl SiteExplanation {
    /// Sets the growth limits of the site; `None` for a closed site.
    pub(super) fn with_limits(mut self, limit: Option<GrowthLimit>, link_per_s: f64) -> Self {
        self.is_closed = limit.is_none();
        self.headroom_growth_per_s = limit.map_or(0.0, |limit| limit.headroom_per_s);
        self.ramp_growth_per_s = limit.map_or(0.0, |limit| limit.ramp_per_s);
        self.link_growth_per_s = link_per_s;
        self
    }
}
