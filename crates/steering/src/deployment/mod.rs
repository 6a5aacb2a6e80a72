//! The deployment as read from the store: routes, services, customers, backend servers,
//! evacuations, policies and rollouts.
//!
//! These types have validated values.  Instances send them to each other unchanged, so that an
//! instance that can't reach the platform gets them from another one.

mod customers;
mod policies;
mod regions;
mod rollouts;
mod routes;

pub use customers::{
    Authentication, Customer, CustomerId, CustomerTable, KeyDigest, Quota, QuotaError,
};
pub use policies::{
    Arm, MAX_ARMS, MAX_EARLIER_SETS, POLICIES_KEY, Policies, PoliciesError, PolicyRecord,
};
pub use regions::AllowedRegions;
pub use rollouts::{Rollout, RolloutError, RolloutOrder, RolloutOutcome, Rollouts};
pub use routes::RouteTable;

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RequestKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
    /// It has a large body and runs at most once.
    Upload,
}

impl RequestKind {
    /// Returns whether a request of this kind may be retried after it may have run.
    pub fn is_idempotent(self) -> bool {
        self == Self::Idempotent
    }

    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non-idempotent",
            Self::Upload => "upload",
        }
    }
}

/// One of the services that a route's requests are distributed over.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its share relative to the other services of the route; zero if it gets no requests.
    pub weight: f64,
}

/// Routing rule for the requests with a host and path prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name, also the request class in logs and metrics.
    pub name: Arc<str>,
    /// Host of the requests, in lower case.
    pub host: Arc<str>,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: Arc<str>,
    /// Whether the requests may run more than once.
    pub kind: RequestKind,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Time within which a response has its full value.
    pub latency_objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Number of backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests for the same object should go to the same backend servers.
    pub affinity: bool,
    /// Whether callers need no API key.
    pub is_public: bool,
    /// Regions that may serve the route.
    pub allowed_regions: AllowedRegions,
    /// Services that run the requests; never empty.
    pub weighted_services: Vec<WeightedService>,
}

/// Configuration of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Path of the health check.
    pub health_path: Arc<str>,
    /// Connections that one backend server accepts from all instances together.
    pub max_connections: u32,
    /// Time for which a backend server is cold after its start.
    pub cold_start: Duration,
    /// Requests per second that a cold backend server can handle.
    pub cold_rate_per_s: f64,
}

/// Size limits and timeouts for callers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Timeout for reading the head of a request.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A version of the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Deployment {
    /// Version number; a higher version replaces a lower one.
    pub version: u64,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Customers that may send requests; none if no request needs a key.
    pub customers: Option<Vec<Customer>>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// A backend server as it registered itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BackendServer {
    /// Service that it runs.
    pub service: Arc<str>,
    /// Address for requests and health checks.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to stop.
    pub draining: bool,
    /// Time for which it was still to be cold when it registered.
    pub cold_remaining: Duration,
    /// Time of its start, in milliseconds since the Unix epoch; zero if unknown.  A server that
    /// restarts under its identity has lost its state, and everything learned about it before is
    /// invalid.
    pub started_ms: u64,
    /// Revision of the store at which it registered this; an older registration never replaces it.
    pub revision: u64,
}

/// Backend servers by identity.
pub type BackendServers = BTreeMap<Arc<str>, BackendServer>;

/// Availability zones whose backend servers get no requests.
pub type Evacuations = BTreeSet<Arc<str>>;
