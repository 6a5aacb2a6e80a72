//! One version of the configuration, which a request uses from start to end.

use steering::deployment::{CustomerTable, Deployment, RouteTable};

/// One version of the configuration, indexed for use by requests.
#[derive(Debug, Default)]
pub struct ActiveConfiguration {
    /// Its version.
    pub version: u64,
    /// Its routes.
    pub routes: RouteTable,
    /// Its customers.
    pub customers: CustomerTable,
    /// Largest request body, in bytes.
    pub body_limit_bytes: u64,
}

impl ActiveConfiguration {
    /// Indexes a configuration.
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            version: deployment.version,
            routes: RouteTable::new(deployment),
            customers: CustomerTable::new(deployment),
            body_limit_bytes: deployment.limits.body_bytes,
        }
    }
}
