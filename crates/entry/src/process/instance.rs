//! The state of an instance, shared by its tasks on one thread.

use super::arms::ArmCounts;
use super::clock::{Clock, Clocks, MachineClocks};
use super::looks::Looks;
use super::metrics::Metrics;
use super::quotas::Quotas;
use super::recent::Recent;
use super::relays::Relays;
use crate::border::{Registration, SUBJECTS, Store, Wire};
use crate::connection::pool::Pools;
use crate::error::EntryError;
use crate::settings::Settings;
use crate::version::{InForce, Knowledge};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use steering::Time;
use steering::deployment::Service;
use steering::placement::bootstrap_delay::RegistrationState;
use steering::placement::peers::{FORGOTTEN_AFTER, LOST_AFTER};
use steering::placement::{ Peer, PeerState, Peers, RetryBudget, Roster, WeightedRoundRobin};
use steering::quota::MemberId;
use steering::rollout::{ExposureLimit, RolloutTable};
use steering::suspects::Suspects;
use tokio::sync::{Notify, watch};

/// Time after a connection could not be accepted in which callers are sent elsewhere: two questions
/// of the platform for readiness, a second apart.
const NOT_ACCEPTING: Duration = Duration::from_secs(2);

/// Time without a failed call after which an instance says that it reaches the store, longer than the
/// pause between two calls that fail: one that is turned away has other calls still waiting, which
/// are answered well.  Where each of these counted, two instances that were turned away stayed those
/// that follow the store for their region, which learned of no change for 2.3 s.
const STORE_REGAINED: Duration = Duration::from_secs(2);

/// Revisions at which subjects changed last, and which of them are known at all.
type Told = ([u64; SUBJECTS], [bool; SUBJECTS]);

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum StopPhase {
    /// No stop was asked for.
    #[default]
    Running,
    /// Callers are told to go elsewhere; new connections are still served.
    Leaving,
    /// The listeners are closed; requests on the way are finished.
    Closed,
}

/// The state of an instance.
pub struct Instance {
    /// Settings of the process.
    pub settings: Settings,
    /// Hosts of a few other instances, which may be stale.
    pub seeds: RefCell<Vec<IpAddr>>,
    /// Names and forms of messages.
    pub wire: Box<dyn Wire>,
    /// The platform's store.
    pub store: Box<dyn Store>,
    /// What is known of the deployment.
    pub knowledge: RefCell<Knowledge>,
    /// What an instance was told that knew nothing, encoded, and as of which knowledge.
    pub(crate) told_whole: RefCell<Option<(Told, Bytes)>>,
    /// The version of the configuration in force.
    pub in_force: RefCell<Rc<InForce>>,
    /// The backend servers.
    pub roster: RefCell<Roster>,
    /// The other instances.
    pub peers: RefCell<Peers>,
    /// The instances that were registered in the store when it was asked last; none if it did not answer yet.
    pub registered: RefCell<Option<Vec<Registration>>>,
    /// Connections to backend servers.
    pub pools: Pools,
    /// The instances that pass requests on to other regions.
    pub(crate) relays: RefCell<Relays>,
    /// Quotas of customers.
    pub quotas: Quotas,
    /// Versions of services that are brought in.
    pub rollouts: RefCell<RolloutTable>,
    /// Wakes the task that carries roll-outs on.
    pub rollouts_changed: Notify,
    /// Requests under which backend servers ended.
    pub suspects: RefCell<Suspects>,
    /// Wakes the task that tells other instances what was learned beside heartbeats.
    pub spread: Notify,
    /// Requests whose connections closed, while it is found out whether the backend server has ended.
    pub looks: RefCell<Looks>,
    /// The last requests and what was decided about them.
    pub recent: RefCell<Recent>,
    /// What each arm of the policies did.
    pub arms: RefCell<ArmCounts>,
    /// Metrics.
    pub metrics: Metrics,
    /// How far a planned stop has come.
    pub stop: watch::Sender<StopPhase>,
    /// The clock that suspensions of the machine don't stop.
    pub clock: Rc<Clock>,
    /// Suspensions after which it was asked what is so now.
    pub settled: watch::Sender<u64>,
    /// Time by which requests have to be answered that come during a planned stop.
    pub answer_until: Cell<Option<Time>>,
    /// Requests that are being answered.
    pub in_flight: Cell<usize>,
    /// Time at which a connection could not be accepted last.
    pub accept_failed_at: Cell<Option<Instant>>,
    /// Time at which a call to the store failed last.
    pub store_failed_at: Cell<Option<Instant>>,
    /// Wakes the heartbeat when there is news of the store for the other instances.
    pub news: Notify,
    /// Wakes the watch of a subject whose knowledge came from elsewhere.
    pub learned: [Notify; SUBJECTS],
    started_at: Instant,
    own: RefCell<Peer>,
    budgets: RefCell<HashMap<Arc<str>, RetryBudget>>,
    divisions: RefCell<HashMap<Arc<str>, WeightedRoundRobin>>,
}

impl Instance {
    /// Begins without any knowledge.
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

    /// Begins without any knowledge, with these clocks.
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
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let own = Peer {
            name: settings.name.clone(),
            started_ms: u64::try_from(started.as_millis()).unwrap_or(u64::MAX),
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
        let terms = settings.exposure.unwrap_or(ExposureLimit::NONE);
        let rollouts = RolloutTable::new(MemberId::from_name(&settings.name), own.started_ms, terms);
        let quotas = Quotas::new(&settings.name, own.started_ms, settings.quota_terms);
        let zone = settings.availability_zone.clone();
        let roster = Roster::new(&settings.name, zone.clone(), settings.regions.clone());
        Ok(Rc::new(Self {
            seeds: RefCell::new(settings.seeds.clone()),
            wire,
            store,
            knowledge: RefCell::default(),
            told_whole: RefCell::default(),
            in_force: RefCell::default(),
            roster: RefCell::new(roster),
            peers: RefCell::new(Peers::in_zone(zone.clone())),
            registered: RefCell::default(),
            pools: Pools::new(clock.clone()),
            relays: RefCell::new(Relays::new(settings.name.clone())),
            clock,
            quotas,
            rollouts: RefCell::new(rollouts),
            rollouts_changed: Notify::new(),
            suspects: RefCell::default(),
            spread: Notify::new(),
            looks: RefCell::default(),
            recent: RefCell::default(),
            arms: RefCell::default(),
            metrics: Metrics::new()?,
            stop: watch::Sender::new(StopPhase::Running),
            settled: watch::Sender::new(0),
            answer_until: Cell::new(None),
            in_flight: Cell::new(0),
            accept_failed_at: Cell::new(None),
            store_failed_at: Cell::new(None),
            news: Notify::new(),
            learned: Default::default(),
            started_at: Instant::now(),
            own: RefCell::new(own),
            budgets: RefCell::default(),
            divisions: RefCell::default(),
            settings,
        }))
    }

    /// What this instance says of itself now.
    pub fn own(&self) -> Peer {
        let mut own = self.own.borrow_mut();
        own.state = match *self.stop.borrow() {
            StopPhase::Running if self.is_ready() => PeerState::Serving,
            StopPhase::Running => PeerState::Joining,
            StopPhase::Leaving | StopPhase::Closed => PeerState::Leaving,
        };
        own.reaches_store = self.reaches_store();
        own.revisions = self.knowledge.borrow().revisions();
        own.demand = self.roster.borrow().demand();
        own.objects = self.roster.borrow().objects();
        own.clone()
    }

    /// Time since the start.
    pub(super) fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Tells whether there may be instances that this one had no time to hear of, or to forget.
    pub(super) fn is_young(&self) -> bool {
        self.uptime() < FORGOTTEN_AFTER
    }

    /// Counts one more heartbeat, and the living instances that are known as of it.
    pub fn beat(&self) {
        let mut own = self.own.borrow_mut();
        own.heartbeat += 1;
        own.alive_peers = self.peers.borrow().alive_count(Instant::now());
    }

    /// Tells whether this instance follows the store, and does not just hear of it.
    pub fn is_watcher(&self) -> bool {
        let own = self.own();
        let now = Instant::now();
        let peers = self.peers.borrow();
        if now.duration_since(self.started_at) >= LOST_AFTER {
            return peers.is_watcher(&own, now);
        }
        let registered = self.registered.borrow();
        peers.is_first_watcher(&own, names_in(&registered, &own.region), now)
    }

    /// The number of instances of the region that read the platform's lists before this one does, while
    /// it is not known who lives.
    pub(super) fn place_at_start(&self) -> usize {
        let own = self.own.borrow();
        let registered = self.registered.borrow();
        let names = names_in(&registered, &own.region);
        let peers = self.peers.borrow();
        peers.startup_rank(&own, names, Instant::now())
    }

    /// What is known of others just after the start.
    pub(super) fn others_at_start(&self) -> RegistrationState {
        let registered = self.registered.borrow();
        let own = &self.settings.name;
        let was_there = registered.iter().flatten().any(|it| it.name == *own);
        let is_alone = registered.as_ref().is_some_and(|all| all.iter().all(|it| it.name == *own))
            && self.seeds.borrow().is_empty()
            && self.peers.borrow().all().next().is_none();
        match (is_alone, was_there) {
            (true, _) => RegistrationState::None,
            (false, true) => RegistrationState::Registered,
            (false, false) => RegistrationState::Unsure,
        }
    }

    /// Tells whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.knows_enough()
            && *self.stop.borrow() == StopPhase::Running
            && self.accepts()
            && self.is_settled()
            && self.quotas.may_grant()
    }

    /// Tells whether enough is known to serve callers: without the orders to bring in versions, a bad one
    /// would be taken for any other.
    pub(crate) fn knows_enough(&self) -> bool {
        let knowledge = self.knowledge.borrow();
        let needs_rollouts = self.settings.exposure.is_some();
        knowledge.is_complete() && (!needs_rollouts || knowledge.rollouts.as_of > 0)
    }

    /// Tells whether what is known is as of after the last suspension.
    pub fn is_settled(&self) -> bool {
        *self.settled.borrow() >= self.clock.doubted()
    }

    /// Waits until what is known is as of after the last suspension, or nobody told in time.
    pub(crate) async fn until_settled(&self) {
        if self.is_settled() {
            return;
        }
        let doubted = self.clock.doubted();
        let mut settled = self.settled.subscribe();
        // The sender lives as long as the instance.  Rare, so kept out of the futures of all requests.
        let _ = Box::pin(settled.wait_for(|settled| *settled >= doubted)).await;
    }

    /// Tells whether all calls to the store were answered of late, or there was none.
    pub(crate) fn reaches_store(&self) -> bool {
        self.store_failed_at.get().is_none_or(|at| at.elapsed() > STORE_REGAINED)
    }

    /// Tells whether connections could be accepted of late.
    fn accepts(&self) -> bool {
        self.accept_failed_at.get().is_none_or(|at| at.elapsed() > NOT_ACCEPTING)
    }

    /// What the configuration says of a service.
    pub fn service(&self, name: &str) -> Option<Service> {
        self.knowledge.borrow().configuration.content.services.get(name).cloned()
    }

    /// Counts a request for a service towards its retry budget.
    pub fn earn_retry(&self, service: &Arc<str>) {
        let Settings { retry_ratio, retry_extra, .. } = self.settings;
        // As of the last heartbeat: to count them for each request would cost more than the request.
        let instances = self.own.borrow().alive_peers + 1;
        let mut budgets = self.budgets.borrow_mut();
        let new = || RetryBudget::new(retry_ratio, retry_extra);
        budgets.entry(service.clone()).or_insert_with(new).earn(instances);
    }

    /// Tells whether the retry budget of a service holds a repeat.
    pub fn may_retry(&self, service: &str) -> bool {
        self.budgets.borrow().get(service).is_some_and(RetryBudget::has_token)
    }

    /// Takes one repeat of the retry budget of a service.
    pub fn take_retry(&self, service: &str) -> bool {
        self.budgets.borrow_mut().get_mut(service).is_some_and(RetryBudget::take)
    }

    /// Takes the service that runs the next request of a route.
    pub fn divide(&self, route: &steering::deployment::Route) -> Option<Arc<str>> {
        if let [only] = route.parts.as_slice() {
            return Some(only.service.clone());
        }
        let mut divisions = self.divisions.borrow_mut();
        let division = divisions.entry(route.name.clone()).or_default();
        division.next(&route.parts).map(|part| part.service.clone())
    }

    /// Addresses for callers of an availability zone.
    pub fn look_up(&self, zone: &str, region: &str) -> Vec<SocketAddr> {
        self.peers.borrow().look_up(&self.own(), zone, region, Instant::now())
    }
}

fn names_in<'a>(
    registered: &'a Option<Vec<Registration>>,
    region: &str,
) -> impl Iterator<Item = &'a str> {
    registered.iter().flatten().filter(move |it| *it.region == *region).map(|it| &*it.name)
}
