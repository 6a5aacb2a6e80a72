//! The configuration as written: its types mirror the fields of the TOML text.

use crate::Class;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use toml::Spanned;

/// A parsed configuration text whose values are not validated yet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawConfiguration {
    pub(crate) deployment: RawDeployment,
    #[serde(rename = "region", default)]
    pub(crate) regions: Vec<RawRegion>,
    pub(crate) delays: RawDelays,
    #[serde(default)]
    pub(crate) overload: RawOverload,
    #[serde(rename = "service", default)]
    pub(crate) services: Vec<RawService>,
    pub(crate) link_defaults: RawLinkDefaults,
    #[serde(rename = "link", default)]
    pub(crate) links: Vec<RawLink>,
    #[serde(default)]
    pub(crate) client_blocks: BTreeMap<Spanned<String>, Spanned<String>>,
    #[serde(rename = "policy", default)]
    pub(crate) policies: Vec<RawPolicy>,
    #[serde(rename = "arm", default)]
    pub(crate) arms: Vec<RawArm>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawDeployment {
    pub(crate) name: Spanned<String>,
    pub(crate) lookup_ttl_ms: Spanned<u64>,
    pub(crate) lookup_instances: Spanned<u64>,
    pub(crate) idempotency_key_ttl_ms: Spanned<u64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawRegion {
    pub(crate) name: Spanned<String>,
    pub(crate) availability_zones: Vec<Spanned<String>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawDelays {
    pub(crate) same_region_ms: f64,
    pub(crate) between_regions_ms: f64,
    pub(crate) client_ms: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawOverload {
    pub(crate) queue_length: u64,
    pub(crate) queue_wait_ms: u64,
    pub(crate) default_timeout_ms: u64,
    pub(crate) retry_budget_percent: f64,
}

impl Default for RawOverload {
    fn default() -> Self {
        Self {
            queue_length: 256,
            queue_wait_ms: 200,
            default_timeout_ms: 10_000,
            retry_budget_percent: 10.0,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawService {
    pub(crate) name: Spanned<String>,
    pub(crate) host: Option<Spanned<String>>,
    pub(crate) path_prefix: Spanned<String>,
    pub(crate) slots_per_server: Spanned<u64>,
    #[serde(default = "default_connections")]
    pub(crate) connections_per_server: u64,
    pub(crate) target_utilization: Spanned<f64>,
    #[serde(default)]
    pub(crate) shed_status_not_run: bool,
    #[serde(rename = "route", default)]
    pub(crate) routes: Vec<RawRoute>,
    #[serde(rename = "site", default)]
    pub(crate) sites: Vec<RawSite>,
}

fn default_connections() -> u64 {
    400
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawRoute {
    pub(crate) method: Spanned<String>,
    pub(crate) path_prefix: Spanned<String>,
    pub(crate) class: Class,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawSite {
    pub(crate) availability_zone: Spanned<String>,
    pub(crate) backend_servers: Spanned<Vec<Spanned<String>>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawLinkDefaults {
    pub(crate) cap_requests_per_s: Spanned<u64>,
    pub(crate) cap_bytes_per_s: Option<Spanned<u64>>,
    pub(crate) floor_percent: Spanned<f64>,
    pub(crate) instance_slots: Spanned<u64>,
    pub(crate) shift_percent_per_s: Spanned<f64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawLink {
    pub(crate) from: Spanned<String>,
    pub(crate) to: Spanned<String>,
    pub(crate) cap_requests_per_s: Spanned<u64>,
    pub(crate) cap_bytes_per_s: Option<Spanned<u64>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawPolicy {
    pub(crate) name: Spanned<String>,
    pub(crate) program: Spanned<String>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawArm {
    pub(crate) name: Spanned<String>,
    pub(crate) policy: Spanned<String>,
    #[serde(default)]
    pub(crate) share_percent: u32,
    #[serde(default)]
    pub(crate) shadow: bool,
}
