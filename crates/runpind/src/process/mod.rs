//! State and background tasks of the daemon.

pub mod acceptance;
mod acceptance_error;
pub mod arms;
pub mod backend_servers;
pub mod clock;
pub mod configuration;
pub mod daemon;
pub mod dependencies;
pub mod digest;
pub mod gossip;
pub mod history;
pub mod ledger;
pub mod logging;
pub mod lookup_cache;
mod machine;
pub mod membership;
pub mod membership_metrics;
pub mod metrics;
pub mod overload_metrics;
pub mod peer_metrics;
pub mod peers;
mod planned_stop;
pub mod platform_budget;
pub mod request_queues;
pub mod routing;
pub mod shares;
pub mod signal;
pub mod uploads;

use crate::connection::dialer::Dialer;
use crate::connection::pool::Pools;
use crate::settings::Settings;
use crate::version::Version;
use arc_swap::ArcSwapOption;
use arms::ArmMeasurements;
use backend_servers::BackendServers;
use clock::Clock;
use ledger::LedgerState;
use membership::{Members, MembershipState};
use metrics::Metrics;
use peer::PeerClient;
use platform::ObjectStore;
use request_queues::RequestQueues;
use routing::Routing;
use shares::ShareState;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use steering::Incarnation;
use steering::machine::MachineLimits;
use tokio::sync::{Notify, Semaphore};
use uploads::Uploads;

/// State shared by all requests and tasks of one daemon.
pub struct Process {
    /// Validated settings, with the actual addresses of the listeners.
    pub settings: Settings,
    /// What callers get of the machine.
    pub limits: MachineLimits,
    /// Incarnation of this instance, drawn at random at each start.
    pub incarnation: Incarnation,
    /// Clock used for all decisions.
    pub clock: Arc<dyn Clock>,
    /// Opens connections to backend servers and peers.
    pub dialer: Arc<dyn Dialer>,
    /// The platform's object API.
    pub store: Arc<dyn ObjectStore>,
    /// Client for calls to other instances.
    pub peers: Arc<dyn PeerClient>,
    /// Active configuration version; `None` until the first one is adopted.
    pub version: ArcSwapOption<Version>,
    /// Distribution of the configuration.
    pub configuration: configuration::status::ConfigurationState,
    /// Cache of the lookup table.
    pub lookup_cache: lookup_cache::LookupCache,
    /// Known entry instances; `None` until they are published for the first time.
    pub members: ArcSwapOption<Members>,
    /// State of the backend servers.
    pub backend_servers: BackendServers,
    /// Queues of requests that wait for capacity.
    pub request_queues: RequestQueues,
    /// Membership of entry instances, from which `members` is published.
    pub membership: MembershipState,
    /// Connection pools of backend servers.
    pub pools: Pools,
    /// Ledger of idempotency keys.
    pub ledger: Arc<LedgerState>,
    /// Site figures, and the routing tables built from them.
    pub routing: Routing,
    /// Shares of links and sites, which are acquired before a request is dispatched.
    pub shares: ShareState,
    /// Measurements of each arm.
    pub arms: ArmMeasurements,
    /// Bodies of requests on their way to backend servers.
    pub uploads: Arc<Uploads>,
    /// Permit to read the text of a change by an operator.
    pub operator_uploads: Semaphore,
    /// Prometheus metrics.
    pub metrics: Metrics,
    /// Set once a planned stop has started.
    draining: AtomicBool,
    in_flight: AtomicUsize,
    idle: Notify,
}

/// Guard that counts a request as in flight until it is dropped.
pub struct InFlight {
    process: Arc<Process>,
}

impl Process {
    /// Creates the state of a daemon without a configuration.
    pub fn new(
        settings: Settings,
        incarnation: Incarnation,
        clock: Arc<dyn Clock>,
        dialer: Arc<dyn Dialer>,
        store: Arc<dyn ObjectStore>,
        peers: Arc<dyn PeerClient>,
        metrics: Metrics,
    ) -> Result<Self, prometheus::Error> {
        let name = settings.name.clone();
        let limits = machine::limits(&settings);
        let shares = ShareState::new(incarnation, name, clock.now(), metrics.registry())?;
        let membership = MembershipState::new(&settings, incarnation, metrics.membership.clone());
        let ledger = LedgerState::new(incarnation, clock.clone(), metrics.ledger.clone());
        Ok(Self {
            settings,
            limits,
            incarnation,
            clock,
            dialer,
            store,
            peers,
            version: ArcSwapOption::empty(),
            configuration: configuration::status::ConfigurationState::default(),
            lookup_cache: lookup_cache::LookupCache::default(),
            members: ArcSwapOption::empty(),
            backend_servers: BackendServers::new(incarnation),
            request_queues: RequestQueues::default(),
            membership,
            pools: Pools::default(),
            ledger: Arc::new(ledger),
            routing: Routing::new(incarnation.0),
            shares,
            arms: ArmMeasurements::default(),
            uploads: Arc::default(),
            operator_uploads: Semaphore::new(1),
            metrics,
            draining: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            idle: Notify::new(),
        })
    }

    /// Returns whether a planned stop has started.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Marks the start of a planned stop.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn count_in_flight(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight { process: self.clone() }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight.
    pub async fn wait_idle(&self) {
        loop {
            let notified = self.idle.notified();
            tokio::pin!(notified);
            // Registers the waiter before the count is read, so that no notification is missed.
            notified.as_mut().enable();
            if self.in_flight() == 0 {
                return;
            }
            notified.await;
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.process.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.process.idle.notify_waiters();
        }
    }
}
