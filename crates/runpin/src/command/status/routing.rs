//! Status of the arms, sites and backend servers that an instance routes requests to.

use crate::table::Table;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// State of a backend server that receives requests without restriction.
const LIVE: &str = "live";

/// The arms of all services.
#[derive(Debug, Deserialize)]
pub(super) struct Routing {
    flows: Vec<Flow>,
}

/// Requests for one service under one arm.
#[derive(Debug, Deserialize)]
struct Flow {
    service: String,
    arm: String,
    share_percent: u32,
    shadow: bool,
    policy: String,
    origin: String,
    policy_error: Option<String>,
    rate_per_s: f64,
    sites: Vec<SiteFigures>,
}

/// Load figures of a site; `None` if they are not known.
#[derive(Debug, Deserialize)]
pub(super) struct SiteFigures {
    availability_zone: String,
    /// Number of free slots.
    pub(super) headroom_slots: Option<f64>,
    pub(super) age_ms: Option<f64>,
}

impl Routing {
    /// Returns a table with a row for each service and arm.
    pub(super) fn arms_table(&self) -> Table {
        let mut table =
            Table::new(["SERVICE", "ARM", "CALLERS", "POLICY", "WEIGHTS FROM", "REQUESTS"]);
        for flow in &self.flows {
            let callers = match flow.shadow {
                true => "shadow".to_owned(),
                false => format!("{} %", flow.share_percent),
            };
            table.add_row([
                flow.service.clone(),
                flow.arm.clone(),
                callers,
                flow.policy.clone(),
                flow.origin.clone(),
                format!("{:.1}/s", flow.rate_per_s),
            ]);
        }
        table
    }

    /// Returns a line for each policy that fails.
    pub(super) fn policy_failures(&self) -> Vec<String> {
        let failing = self.flows.iter().filter_map(|flow| {
            let error = flow.policy_error.as_ref()?;
            Some(format!(
                "policy {} of arm {} fails for service {}: {error}",
                flow.policy, flow.arm, flow.service
            ))
        });
        failing.collect()
    }

    /// Returns the load figures of a site.
    pub(super) fn site_figures(
        &self,
        service: &str,
        availability_zone: &str,
    ) -> Option<&SiteFigures> {
        let flow = self.flows.iter().find(|flow| flow.service == service)?;
        flow.sites.iter().find(|site| site.availability_zone == availability_zone)
    }
}

/// A backend server as seen by the instance.
#[derive(Debug, Deserialize)]
pub(super) struct BackendServer {
    address: SocketAddr,
    state: String,
    /// Reason for the state.
    why: String,
    in_flight: u32,
}

/// Returns a line with the number of backend servers in each state.
pub(super) fn describe_states(servers: &[BackendServer]) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for server in servers {
        *counts.entry(&server.state).or_default() += 1;
    }
    let states: Vec<String> =
        counts.iter().map(|(state, count)| format!("{count} {state}")).collect();
    match states.is_empty() {
        true => "backend servers: none is tracked yet".to_owned(),
        false => format!("backend servers: {}", states.join(", ")),
    }
}

/// Returns a table with a row for each backend server that is not live.
pub(super) fn non_live_servers(servers: &[BackendServer]) -> Table {
    let mut table = Table::new(["BACKEND SERVER", "STATE", "IN FLIGHT HERE", "WHY"]);
    for server in servers.iter().filter(|server| server.state != LIVE) {
        table.add_row([
            server.address.to_string(),
            server.state.clone(),
            server.in_flight.to_string(),
            server.why.clone(),
        ]);
    }
    table
}
