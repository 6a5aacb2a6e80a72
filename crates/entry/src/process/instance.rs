//! The state of an instance, shared by its tasks on one thread.

use super::arm_counts::ArmCounts;
use super::clock::{Clock, Clocks, MachineClocks};
use super::held_failures::HeldFailures;
use super::metrics::Metrics;
use super::probes::Probes;
use super::quotas::Quotas;
use super::recent_decisions::RecentDecisions;
use super::registrations::Registrations;
use super::relays::{Relay, Relays};
use super::retry_budgets::RetryBudgets;
use super::service_selectors::ServiceSelectors;
use super::standstills::Standstills;
use crate::connection::open_connections::OpenConnections;
use crate::connection::pool::Pools;
use crate::error::EntryError;
use crate::platform_api::{SUBJECTS, Store, Wire};
use crate::settings::Settings;
use crate::version::{ActiveConfiguration, StoreReplica};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::Time;
use steering::deployment::Service;
use steering::machine::{MachineLimits, MemoryPool};
use steering::placement::bootstrap_delay::RegistrationState;
use steering::placement::peer_update::StartId;
use steering::placement::peers::FORGOTTEN_AFTER;
use steering::placement::{Peer, PeerState, Peers, Roster, start_id};
use steering::quota::MemberId;
use steering::reach::Reach;
use steering::rollout::{ExposureLimit, RolloutTable};
use steering::suspects::Suspects;
use steering::terms::Timings;
use tokio::sync::{Notify, watch};

/// Time after a failed accept during which the instance is not ready: two readiness checks of the
/// platform, which are a second apart.
const NOT_READY_AFTER_ACCEPT_FAILURE: Duration = Duration::from_secs(2);

/// Revisions at which the subjects last changed, and which of the subjects are present at all.
type FullUpdateKey = ([u64; SUBJECTS], [bool; SUBJECTS]);

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum StopPhase {
    /// No stop was requested.
    #[default]
    Running,
    /// Callers are directed elsewhere; new connections are still served.
    Leaving,
    /// The listeners are closed; requests in flight are finished.
    Closed,
}

/// The state of an instance, shared by its tasks.
pub struct Instance {
    /// Settings of the process.
    pub settings: Settings,
    /// Timings that follow from the terms of the deployment.
    pub timings: Timings,
    /// Hosts of a few other instances, which may be stale.
    pub seeds: RefCell<Vec<IpAddr>>,
    /// Encoding of the platform's messages.
    pub wire: Box<dyn Wire>,
    /// The platform's store.
    pub store: Box<dyn Store>,
    /// The replica of the store's objects.
    pub replica: RefCell<StoreReplica>,
    /// The last full update for an instance without any state, encoded, and its cache key.
    pub(crate) full_update_cache: RefCell<Option<(FullUpdateKey, Bytes)>>,
    /// The configuration in force, indexed for use by requests.
    pub active_configuration: RefCell<Rc<ActiveConfiguration>>,
    /// The backend servers and their load.
    pub roster: RefCell<Roster>,
    /// The other instances.
    pub peers: RefCell<Peers>,
    /// The instances that are registered in the store.
    pub(super) registrations: Registrations,
    /// Connections to backend servers.
    pub pools: Pools,
    /// Connections that the listeners have open.
    pub(crate) connections: Rc<OpenConnections>,
    /// Memory for bodies.
    pub memory: MemoryPool,
    /// The instances that relay requests to other regions.
    pub(crate) relays: RefCell<Relays>,
    /// Whether the backend servers are reached.
    pub(crate) reach: RefCell<Reach>,
    /// Wakes the task that checks whether backend servers are reached.
    pub(crate) reach_unclear: Notify,
    /// Number of times that backend servers were found not to be reached.
    pub(crate) reach_losses: watch::Sender<u64>,
    /// Failures that count for roll-outs once a backend server is reached again.
    pub(crate) held_failures: RefCell<HeldFailures>,
    /// Quotas of customers.
    pub quotas: Quotas,
    /// Roll-outs of service versions.
    pub rollouts: RefCell<RolloutTable>,
    /// Wakes the task that advances roll-outs.
    pub rollouts_changed: Notify,
    /// Requests during which backend servers crashed.
    pub suspects: RefCell<Suspects>,
    /// Wakes the task that gossips urgent changes without waiting for the next heartbeat.
    pub urgent_gossip: Notify,
    /// Probes under way of backend servers that closed connections, with the requests affected.
    pub probes: RefCell<Probes>,
    /// Retry budgets of the services.
    pub retry_budgets: RetryBudgets,
    /// Selectors of services of routes with several.
    pub service_selectors: ServiceSelectors,
    /// The latest requests and the decisions about them.
    pub recent_decisions: RefCell<RecentDecisions>,
    /// Counts by arm of the policies.
    pub arm_counts: RefCell<ArmCounts>,
    /// Metrics.
    pub metrics: Metrics,
    /// Phase of a planned stop.
    pub stop: watch::Sender<StopPhase>,
    /// The clock that keeps running while the machine is suspended.
    pub clock: Rc<Clock>,
    /// When the process stood still.
    pub(crate) standstills: Rc<Standstills>,
    /// Value of [`Clock::long_suspensions`] at the last resynchronization.
    pub resynced: watch::Sender<u64>,
    /// Time by which requests that arrive during a planned stop have to be answered.
    pub stop_deadline: Cell<Option<Time>>,
    /// Time at which requests that are still under way in a planned stop are answered.
    pub(crate) stop_answer_time: Cell<Option<Time>>,
    /// Number of requests in flight.
    pub in_flight: Cell<usize>,
    /// Number of requests of other instances in flight.
    pub(crate) relayed_in_flight: Cell<usize>,
    /// Time of the last failure to accept a connection.
    pub accept_failed_at: Cell<Option<Instant>>,
    /// Time of the last failed call to the store.
    pub store_failed_at: Cell<Option<Instant>>,
    /// Triggers a heartbeat at once when the state of the deployment has changed.
    pub heartbeat_trigger: Notify,
    /// By subject, ends a watch that an update from another instance has made obsolete.
    pub watch_interrupts: [Notify; SUBJECTS],
    /// By subject, wakes the task that waits to watch it, as another instance's watch gets no
    /// response.
    pub(super) watch_handovers: [Notify; SUBJECTS],
    started_at: Instant,
    own_peer: RefCell<Peer>,
}

impl Instance {
    /// Creates an instance without any state of the deployment.
    ///
    /// # Errors
    ///
    /// Fails if the metrics can't be registered.
    pub fn new(
        settings: Settings,
        wire: Box<dyn Wire>,
        store: Box<dyn Store>,
    ) -> Result<Rc<Self>, EntryError> {
        Self::with_clocks(settings, wire, store, Box::new(MachineClocks))
    }

    /// Creates an instance without any state of the deployment, with the given clocks.
    ///
    /// # Errors
    ///
    /// Fails if the metrics can't be registered.
    pub fn with_clocks(
        settings: Settings,
        wire: Box<dyn Wire>,
        store: Box<dyn Store>,
        clocks: Box<dyn Clocks>,
    ) -> Result<Rc<Self>, EntryError> {
        let clock = Rc::new(Clock::new(clocks));
        let own = Peer {
            name: settings.name.clone(),
            started_ms: Clock::unix_ms(),
            heartbeat: 0,
            state: PeerState::Joining,
            caller_address: settings.caller_address,
            gossip_address: settings.gossip_address,
            knowledge_address: settings.peer_address,
            availability_zone: settings.availability_zone.clone(),
            region: settings.region.clone(),
            alive_peers: 0,
            reaches_store: true,
            revisions: [0; SUBJECTS],
            demand: Vec::new(),
            objects: Vec::new(),
        };
        let exposure = settings.exposure.unwrap_or(ExposureLimit::NONE);
        let rollouts = RolloutTable::new(
            MemberId::from_name(&settings.name),
            own.started_ms,
            exposure,
            clock.now(),
        );
        let quotas = Quotas::new(&settings.name, own.started_ms, settings.quota_terms);
        let timings = Timings::from(&settings.terms);
        let retry_budgets = RetryBudgets::new(clock.clone(), settings.retry_terms);
        let own_host = settings.peer_address.ip();
        let limits = MachineLimits::from(&settings.terms.machine);
        let zone = settings.availability_zone.clone();
        let roster = Roster::new(&settings.name, zone.clone(), settings.regions.clone())
            .with_limits(&timings);
        let relays = Relays::new(settings.name.clone(), timings.liveness.lost_after);
        Ok(Rc::new(Self {
            seeds: RefCell::new(settings.seeds.clone()),
            wire,
            store,
            replica: RefCell::default(),
            full_update_cache: RefCell::default(),
            active_configuration: RefCell::default(),
            roster: RefCell::new(roster),
            peers: RefCell::new(Peers::in_zone(zone, timings.liveness)),
            registrations: Registrations::default(),
            connections: Rc::new(OpenConnections::new(limits.connections)),
            memory: MemoryPool::new(limits.buffer_bytes),
            pools: Pools::new(clock.clone(), timings.connections, own_host),
            relays: RefCell::new(relays),
            reach: RefCell::default(),
            reach_unclear: Notify::new(),
            reach_losses: watch::Sender::new(0),
            held_failures: RefCell::default(),
            clock,
            quotas,
            rollouts: RefCell::new(rollouts),
            rollouts_changed: Notify::new(),
            suspects: RefCell::default(),
            urgent_gossip: Notify::new(),
            probes: RefCell::default(),
            retry_budgets,
            service_selectors: ServiceSelectors::default(),
            recent_decisions: RefCell::default(),
            arm_counts: RefCell::default(),
            metrics: Metrics::new()?,
            stop: watch::Sender::new(StopPhase::Running),
            standstills: Rc::new(Standstills::new(Instant::now())),
            resynced: watch::Sender::new(0),
            stop_deadline: Cell::new(None),
            stop_answer_time: Cell::new(None),
            in_flight: Cell::new(0),
            relayed_in_flight: Cell::new(0),
            accept_failed_at: Cell::new(None),
            store_failed_at: Cell::new(None),
            heartbeat_trigger: Notify::new(),
            watch_interrupts: Default::default(),
            watch_handovers: Default::default(),
            started_at: Instant::now(),
            own_peer: RefCell::new(own),
            settings,
            timings,
        }))
    }

    /// The present record of this instance, as it is gossiped to others.
    pub fn own_peer(&self) -> Peer {
        let mut own = self.own_peer.borrow_mut();
        own.state = match *self.stop.borrow() {
            StopPhase::Running if self.is_ready() => PeerState::Serving,
            StopPhase::Running => PeerState::Joining,
            StopPhase::Leaving | StopPhase::Closed => PeerState::Leaving,
        };
        own.reaches_store = self.reaches_store();
        own.revisions = self.replica.borrow().revisions();
        own.demand = self.roster.borrow().demand();
        own.objects = self.roster.borrow().objects();
        own.clone()
    }

    /// Identity of this start of the instance.
    pub(crate) fn start_id(&self) -> StartId {
        start_id(&self.own_peer.borrow())
    }

    /// Time since the start.
    pub(super) fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns whether the instance started too recently for its list of peers to be complete and free
    /// of stopped ones.
    pub(super) fn is_recently_started(&self) -> bool {
        self.uptime() < FORGOTTEN_AFTER
    }

    /// Increments the heartbeat counter and updates the number of live peers.
    pub fn count_heartbeat(&self) {
        let mut own = self.own_peer.borrow_mut();
        own.heartbeat += 1;
        own.alive_peers = self.peers.borrow().alive_count(Instant::now());
    }

    /// Returns whether this instance watches the store itself instead of relying on gossip.
    pub fn is_watcher(&self) -> bool {
        let own = self.own_peer();
        let now = Instant::now();
        let peers = self.peers.borrow();
        if now.duration_since(self.started_at) >= self.timings.liveness.lost_after {
            return peers.is_watcher(&own, now);
        }
        let registered = self.registrations.names_in(&own.region);
        peers.is_first_watcher(&own, registered.iter().map(|name| &**name), now)
    }

    /// Draws an instance that passes on a request for a service.
    pub(crate) fn draw_stand_in(&self, service: &Arc<str>) -> Option<Relay> {
        let peers = self.peers.borrow();
        let own = self.own_peer.borrow();
        self.relays.borrow_mut().draw_stand_in(&own, service, &peers, Instant::now())
    }

    /// Number of instances of the region that list from the store before this one does, while it is not
    /// yet known which instances are live.
    pub(super) fn startup_rank(&self) -> usize {
        let own = self.own_peer.borrow();
        let registered = self.registrations.names_in(&own.region);
        let names = registered.iter().map(|name| &**name);
        self.peers.borrow().startup_rank(&own, names, Instant::now())
    }

    /// What is known about other instances just after the start.
    pub(super) fn registration_state(&self) -> RegistrationState {
        let own = &self.settings.name;
        let was_registered = self.registrations.contains(own);
        let is_alone = self.registrations.count_of_others(own) == Some(0)
            && self.seeds.borrow().is_empty()
            && self.peers.borrow().all().next().is_none();
        match (is_alone, was_registered) {
            (true, _) => RegistrationState::None,
            (false, true) => RegistrationState::Registered,
            (false, false) => RegistrationState::Unsure,
        }
    }

    /// Returns whether the instance is ready to serve callers.
    pub fn is_ready(&self) -> bool {
        self.has_required_state()
            && *self.stop.borrow() == StopPhase::Running
            && self.accepts_connections()
            && self.is_resynced()
            && self.quotas.can_decide()
    }

    /// Returns whether the state suffices to serve callers. Without the orders of roll-outs a bad
    /// version would be treated like any other.
    pub(crate) fn has_required_state(&self) -> bool {
        let replica = self.replica.borrow();
        let needs_rollouts = self.settings.exposure.is_some();
        replica.is_complete() && (!needs_rollouts || replica.rollouts.as_of > 0)
    }

    /// Returns whether the state was resynchronized after the last long suspension.
    pub fn is_resynced(&self) -> bool {
        *self.resynced.borrow() >= self.clock.long_suspensions()
    }

    /// Waits until the state is resynchronized after the last long suspension, or the attempt timed out.
    pub(crate) async fn wait_for_resync(&self) {
        if self.is_resynced() {
            return;
        }
        let long_suspensions = self.clock.long_suspensions();
        let mut resynced = self.resynced.subscribe();
        // The sender lives as long as the instance. The wait is rare, so boxing keeps the futures of
        // all requests small.
        let _ = Box::pin(resynced.wait_for(|resynced| *resynced >= long_suspensions)).await;
    }

    /// Returns whether no call to the store failed recently.
    pub(crate) fn reaches_store(&self) -> bool {
        let delay = self.timings.propagation.store_recovery_delay;
        self.store_failed_at.get().is_none_or(|at| at.elapsed() > delay)
    }

    /// Returns whether no accept failed recently.
    fn accepts_connections(&self) -> bool {
        self.accept_failed_at.get().is_none_or(|at| at.elapsed() > NOT_READY_AFTER_ACCEPT_FAILURE)
    }

    /// Configuration of a service.
    pub fn service(&self, name: &str) -> Option<Service> {
        self.replica.borrow().configuration.content.services.get(name).cloned()
    }

    /// Addresses of the instances that callers of an availability zone should use.
    pub fn look_up(&self, zone: &str, region: &str) -> Vec<SocketAddr> {
        self.peers.borrow().look_up(&self.own_peer(), zone, region, Instant::now())
    }
}
