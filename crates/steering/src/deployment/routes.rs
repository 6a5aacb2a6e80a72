//! Selects the route of a request.

use super::{Deployment, Route};
use std::collections::HashMap;
use std::sync::Arc;

/// The routes of a configuration, indexed by host.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Routes by host, longest prefix first.
    by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(deployment: &Deployment) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in &deployment.routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// Finds the route of the host with the longest matching path prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }
}

/// Removes the port of a `Host` header.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
