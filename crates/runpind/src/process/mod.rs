//! What lives as long as the daemon.

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
pub mod lookups;
pub mod membership;
pub mod membership_metrics;
pub mod metrics;
pub mod overload_metrics;
pub mod peer_metrics;
pub mod peers;
mod planned_stop;
pub mod platform_budget;
pub mod routing;
pub mod shares;
pub mod signal;
pub mod waiting;

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
use routing::Routing;
use shares::ShareState;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use steering::Incarnation;
use tokio::sync::Notify;
use waiting::Waiting;

/// State shared by all requests and actors of one daemon.
pub struct Process {
    /// The checked settings, with the addresses that the listeners really have.
    pub settings: Settings,
    /// This life of this instance.
    pub incarnation: Incarnation,
    /// The clock that every decision is given its time from.
    pub clock: Arc<dyn Clock>,
    /// Makes connections to backend servers and peers.
    pub dialer: Arc<dyn Dialer>,
    /// The platform's object API.
    pub store: Arc<dyn ObjectStore>,
    /// Calls other instances.
    pub peers: Arc<dyn PeerClient>,
    /// The version in force; `None` until the first one is known.
    pub version: ArcSwapOption<Version>,
    /// How the configuration is kept up to date.
    pub configuration: configuration::status::Distribution,
    /// The table that look-ups are answered from.
    pub lookups: lookups::Lookups,
    /// The entry instances that look-ups may name.
    pub members: ArcSwapOption<Members>,
    /// What this instance knows of backend servers.
    pub backend_servers: BackendServers,
    /// Requests that wait for room.
    pub waiting: Waiting,
    /// What is known of the entry instances.
    pub membership: MembershipState,
    /// Connections to backend servers.
    pub pools: Pools,
    /// The ledger of idempotency keys.
    pub ledger: Arc<LedgerState>,
    /// Figures of the sites and the tables built from them.
    pub routing: Routing,
    /// Shares of links, spent before a request is dispatched.
    pub shares: ShareState,
    /// What each arm did here.
    pub arms: ArmMeasurements,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Set once a planned stop began.
    draining: AtomicBool,
    in_flight: AtomicUsize,
    idle: Notify,
}

/// Counts a request as in flight until dropped.
pub struct InFlight {
    process: Arc<Process>,
}

impl Process {
    /// Makes the state of a daemon that knows no configuration yet.
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
        let shares = ShareState::new(incarnation, name, clock.now(), metrics.registry())?;
        let membership = MembershipState::new(&settings, incarnation, metrics.membership.clone());
        let ledger = LedgerState::new(incarnation, clock.clone(), metrics.ledger.clone());
        Ok(Self {
            settings,
            incarnation,
            clock,
            dialer,
            store,
            peers,
            version: ArcSwapOption::empty(),
            configuration: configuration::status::Distribution::default(),
            lookups: lookups::Lookups::default(),
            members: ArcSwapOption::empty(),
            backend_servers: BackendServers::new(incarnation),
            waiting: Waiting::default(),
            membership,
            pools: Pools::default(),
            ledger: Arc::new(ledger),
            routing: Routing::new(incarnation.0),
            shares,
            arms: ArmMeasurements::default(),
            metrics,
            draining: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            idle: Notify::new(),
        })
    }

    /// Tells whether a planned stop began.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Begins a planned stop.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Counts one more request in flight until the result is dropped.
    pub fn enter(self: &Arc<Self>) -> InFlight {
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
            // Registered before the count is read, so that no notification is missed.
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
