//! What an instance knows of arms, sites and backend servers.

use crate::table::Table;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// State of a backend server that gets all the work it can do.
const LIVE: &str = "live";

/// The arms of every service.
#[derive(Debug, Deserialize)]
pub(super) struct Routing {
    flows: Vec<Flow>,
}

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
    sites: Vec<Figures>,
}

/// Figures of a site, absent where nothing is known.
#[derive(Debug, Deserialize)]
pub(super) struct Figures {
    availability_zone: String,
    pub(super) headroom_slots: Option<f64>,
    pub(super) age_ms: Option<f64>,
}

impl Routing {
    /// Returns a row for each service and arm.
    pub(super) fn arms(&self) -> Table {
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

    /// Returns why policies fail.
    pub(super) fn failures(&self) -> Vec<String> {
        let failing = self.flows.iter().filter_map(|flow| {
            let error = flow.policy_error.as_ref()?;
            Some(format!(
                "policy {} of arm {} fails for service {}: {error}",
                flow.policy, flow.arm, flow.service
            ))
        });
        failing.collect()
    }

    /// Returns the figures of a site.
    pub(super) fn figures(&self, service: &str, availability_zone: &str) -> Option<&Figures> {
        let flow = self.flows.iter().find(|flow| flow.service == service)?;
        flow.sites.iter().find(|site| site.availability_zone == availability_zone)
    }
}

/// A backend server as the instance sees it.
#[derive(Debug, Deserialize)]
pub(super) struct BackendServer {
    address: SocketAddr,
    state: String,
    why: String,
    in_flight: u32,
}

/// Returns how many backend servers are in each state.
pub(super) fn by_state(servers: &[BackendServer]) -> String {
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

/// Returns a row for each backend server that does not get all the work it could do.
pub(super) fn unwell(servers: &[BackendServer]) -> Table {
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
