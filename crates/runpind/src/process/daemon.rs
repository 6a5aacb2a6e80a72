//! Start and stop of a daemon.

use super::configuration::{self, metrics::ConfigurationMetrics};
use super::dependencies::Dependencies;
use super::ledger::hand_over;
use super::metrics::Metrics;
use super::peer_metrics::PeerMetrics;
use super::peers::{self, PeerRequestHandler};
use super::platform_budget::{self, Budget};
use super::{Process, gossip, planned_stop, routing, shares};
use crate::connection::listener::{self, Listener};
use crate::error::DaemonError;
use crate::request;
use crate::settings::Settings;
use peer::Transport;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use steering::Incarnation;
use tokio::task::JoinSet;

/// Maximum wait for the release of shares at a planned stop.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// A running daemon.
pub struct Daemon {
    process: Arc<Process>,
    callers: Listener,
    admin: Listener,
    transport: Transport,
    background: JoinSet<()>,
}

impl Daemon {
    /// Opens the listeners and starts all tasks; requests are served once a configuration is
    /// active.
    pub async fn start(
        mut settings: Settings,
        dependencies: Dependencies,
    ) -> Result<Self, DaemonError> {
        let callers = listener::bind("callers", &mut settings.caller_address).await?;
        let admin = listener::bind("operators", &mut settings.admin_address).await?;
        let peers = listener::bind("peers", &mut settings.peer_address).await?;
        let incarnation = Incarnation(rand::random());
        let metrics = Metrics::new()?;
        let configuration_metrics = ConfigurationMetrics::new(metrics.registry())?;
        let peer_metrics = PeerMetrics::new(metrics.registry())?;
        let budget = Budget::new(&metrics, &dependencies, incarnation)?;
        let (client, starter) =
            peers::transport(&settings, incarnation, dependencies.dialer.clone(), peer_metrics)?;
        let process = Arc::new(Process::new(
            settings,
            incarnation,
            dependencies.clock,
            dependencies.dialer,
            budget.regular.clone(),
            Arc::new(client),
            metrics,
        )?);
        process.configuration.set_store_for_proposals(budget.proposals);
        let transport =
            starter.start(peers.into_std()?, Arc::new(PeerRequestHandler::new(process.clone())))?;
        let mut background = JoinSet::new();
        background.spawn(configuration::watch::run(process.clone(), configuration_metrics));
        background.spawn(gossip::poll_instance_list(process.clone(), budget.regular.clone()));
        background.spawn(gossip::run(process.clone()));
        background.spawn(platform_budget::update_rate(process.clone(), budget.regular));
        background.spawn(routing::run(process.clone()));
        background.spawn(shares::run(process.clone()));
        let limits = process.limits.connections;
        let callers =
            Listener::start(callers, limits.callers, process.clone(), request::serve_caller);
        let admin = Listener::start(admin, limits.operators, process.clone(), request::serve_admin);
        log::info!(
            "incarnation {} listening for callers on {}",
            process.incarnation,
            process.settings.caller_address
        );
        Ok(Self { process, callers, admin, transport, background })
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.process.settings.caller_address
    }

    /// Returns the address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.process.settings.peer_address
    }

    /// Returns the address for operators.
    pub fn admin_address(&self) -> SocketAddr {
        self.process.settings.admin_address
    }

    /// Returns the shared state.
    pub fn process(&self) -> &Arc<Process> {
        &self.process
    }

    /// Performs a planned stop: redirects callers, closes the listener, completes requests in
    /// flight, hands over the ledger and releases the shares.
    pub async fn stop(mut self) {
        log::info!("planned stop started with {} requests in flight", self.process.in_flight());
        planned_stop::redirect_callers(&self.process).await;
        self.callers.close();
        let hand_over_task = hand_over::start(&self.process);
        let timeout = Duration::from_millis(self.process.settings.drain_timeout_ms);
        let finished = async {
            self.callers.closed().await;
            self.process.ledger.wait_for_exchanges().await;
        };
        if tokio::time::timeout(timeout, finished).await.is_err() {
            log::warn!(
                "drain timeout expired with {} requests in flight",
                self.process.in_flight()
            );
            self.process.ledger.abort();
            self.process.ledger.wait_for_exchanges().await;
        }
        hand_over_task.finish().await;
        self.admin.close();
        self.background.shutdown().await;
        if tokio::time::timeout(RELEASE_TIMEOUT, shares::release(&self.process)).await.is_err() {
            log::warn!("release of shares timed out");
        }
        drop(self.transport);
        log::info!("planned stop complete");
    }

    /// Stops immediately like a killed process: connections are aborted and nothing is handed over.
    pub fn kill(mut self) {
        self.callers.abort();
        self.process.ledger.abort();
        self.admin.abort();
        self.background.abort_all();
        drop(self.transport);
    }
}
