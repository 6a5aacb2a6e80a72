//! The backend servers that an instance knows, and its choice among them.

use super::arms::{Arms, PolicyFailure};
use super::incarnation::{Incarnation, ServerRef};
use super::load::LoadReport;
use super::rank::name_hash;
use super::request::PlacementCounts;
use super::senders::Role;
use super::server::{Ending, Server};
use super::service::ServiceState;
use crate::deployment::{
    BackendServer, BackendServers, Deployment, Evacuations, Policies, Service,
};
use crate::policy::PolicyError;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time over which demand is averaged.
pub(super) const DEMAND_WINDOW_S: f64 = 2.0;

/// How long backend servers of a service stay cold that the configuration does not name: as those
/// of today's sites.
const UNKNOWN_COLD_START: Duration = Duration::from_secs(3);

/// What cold backend servers of a service bear, by the configuration.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdTerms {
    pub(super) rate_per_s: f64,
    start: Duration,
}

/// What an instance knows of all backend servers.
#[derive(Debug)]
pub struct Roster {
    pub(super) own_hash: u64,
    pub(super) zone: Arc<str>,
    pub(super) region: Arc<str>,
    pub(super) regions: HashMap<Arc<str>, Arc<str>>,
    pub(super) services: BTreeMap<Arc<str>, ServiceState>,
    pub(super) evacuated: Evacuations,
    pub(super) cold: HashMap<Arc<str>, ColdTerms>,
    /// Hashes of the living instances of the own region, this one included; empty while unknown.
    pub(super) region_instances: Vec<u64>,
    pub(super) stepped_at: Option<Instant>,
    /// The policies in force.
    pub(super) arms: Arms,
    /// Policies that gave no shares at the last step.
    pub(super) policy_failures: Vec<PolicyFailure>,
}

impl Roster {
    /// Begins without any backend server; `regions` has the region of each availability zone.
    pub fn new(name: &str, zone: Arc<str>, regions: HashMap<Arc<str>, Arc<str>>) -> Self {
        let region = regions.get(&zone).cloned().unwrap_or_else(|| zone.clone());
        Self {
            own_hash: name_hash(name),
            zone,
            region,
            regions,
            services: BTreeMap::new(),
            evacuated: Evacuations::new(),
            cold: HashMap::new(),
            region_instances: Vec::new(),
            stepped_at: None,
            arms: Arms::default(),
            policy_failures: Vec::new(),
        }
    }

    /// Takes over what the configuration says of services.
    pub fn set_deployment(&mut self, deployment: &Deployment) {
        let terms = |service: &Service| ColdTerms {
            rate_per_s: service.cold_rate_per_s,
            start: service.cold_start,
        };
        let services = deployment.services.iter();
        self.cold = services.map(|(name, service)| (name.clone(), terms(service))).collect();
    }

    /// Takes over policies.  Shares go on from where they are: each new arm begins with the mean of
    /// the present ones, so that a change of policies alone moves nothing at once.
    ///
    /// # Errors
    ///
    /// Fails if a program can't be compiled; the policies in force stay.
    pub fn set_policies(&mut self, policies: &Policies) -> Result<(), PolicyError> {
        let arms = Arms::new(policies)?;
        for state in self.services.values_mut() {
            state.begin_arms(&self.arms, arms.len());
        }
        self.arms = arms;
        Ok(())
    }

    /// The arm that steers an object; none while no policies are in force.
    pub fn arm_of(&self, key_hash: u64) -> Option<Arc<str>> {
        self.arms.assign(key_hash).map(|(_, name)| name.clone())
    }

    /// Takes the policies that gave no shares when these were moved last.
    pub fn take_policy_failures(&mut self) -> Vec<PolicyFailure> {
        std::mem::take(&mut self.policy_failures)
    }

    /// Takes over the list of backend servers.
    pub fn set_servers(&mut self, servers: &BackendServers, now: Instant) {
        let mut services = std::mem::take(&mut self.services);
        let mut by_service: BTreeMap<Arc<str>, BTreeMap<&Arc<str>, &BackendServer>> =
            services.keys().map(|name| (name.clone(), BTreeMap::new())).collect();
        for (id, record) in servers {
            by_service.entry(record.service.clone()).or_default().insert(id, record);
        }
        let region_of = |zone: &Arc<str>| self.regions.get(zone).unwrap_or(zone).clone();
        for (name, of_service) in by_service {
            services.entry(name).or_default().set_servers(&of_service, region_of, now);
        }
        self.services = services;
    }

    /// Takes over the evacuated zones; returns those of the backend servers that come back into use
    /// which this instance should check.
    ///
    /// All of them may be cold, and get nothing until [`Roster::record_health_check`], or for as long as their
    /// service says.  Only those that may send to cold ones check, as each check waits for a slot as a
    /// request does.
    pub fn set_evacuations(
        &mut self,
        evacuated: &Evacuations,
        now: Instant,
    ) -> Vec<(Incarnation, SocketAddr)> {
        let back: Vec<Arc<str>> = self.evacuated.difference(evacuated).cloned().collect();
        self.evacuated = evacuated.clone();
        let mut unproven = Vec::new();
        let (own, region_instances, region) = (self.own_hash, &self.region_instances, &self.region);
        // While no other instance is known, this one has to find out.
        let checks = |server: &Server| {
            region_instances.is_empty()
                || Role::of(own, region_instances, region, server.place()) == Role::Sender
        };
        for (name, state) in &mut self.services {
            let start = self.cold.get(name).map_or(UNKNOWN_COLD_START, |terms| terms.start);
            for server in &mut state.servers {
                if back.contains(&server.record.availability_zone) {
                    server.cold_for(start, now);
                    if checks(server) {
                        unproven.push((server.incarnation(), server.record.address));
                    }
                }
            }
        }
        unproven
    }

    /// Takes over the outcome of a health check of a backend server that answered.
    pub fn record_health_check<'a>(
        &mut self,
        server: impl Into<ServerRef<'a>>,
        cold: Duration,
        now: Instant,
    ) {
        if let Some(server) = self.server_mut(server.into()) {
            server.record_health_check(cold, now);
        }
    }

    /// Records how an exchange with a chosen backend server ended.
    ///
    /// An exchange with an earlier incarnation says nothing of the present one.
    pub fn record_ending<'a>(
        &mut self,
        server: impl Into<ServerRef<'a>>,
        ending: Ending,
        report: Option<LoadReport>,
        now: Instant,
    ) {
        let region = self.region.clone();
        let Some((state, index)) = self.find(server.into()) else { return };
        let warm_ms = state.warmth.answer_ms().unwrap_or_else(|| state.answer_ms());
        state.servers[index].record_ending(ending, report, warm_ms, now);
        let is_on_trial = state.is_on_trial(&state.servers[index]);
        if let Ending::Answered { after, known_warm } = ending
            && !is_on_trial
        {
            let is_in_other_region = state.servers[index].region != region;
            state.answered(known_warm, is_in_other_region, after.as_secs_f64() * 1_000.0);
        }
    }

    /// Takes the counts of the services of which requests left the region.
    pub fn take_placements(&mut self) -> Vec<(Arc<str>, PlacementCounts)> {
        let services = self.services.iter_mut();
        let counts = services.map(|(name, it)| (name.clone(), std::mem::take(&mut it.placed)));
        counts.filter(|(_, placed)| placed.left_region() > 0).collect()
    }

    /// Counts a request that left the region and had to wait until a connection came up.
    pub fn record_cross_region_dial(&mut self, service: &str) {
        if let Some(state) = self.services.get_mut(service) {
            state.placed.opened += 1;
        }
    }

    /// Time after which the answer of a chosen backend server of a zone is overdue; none while too few
    /// answers of the service came to tell.
    pub fn overdue_after(&self, service: &str, zone: &str, cold: bool) -> Option<Duration> {
        let state = self.services.get(service)?;
        if self.is_in_other_region(zone) {
            // Until that is known, answers from afar are taken to come as late as those of cold ones.
            state.overdue_away.after(cold).or_else(|| state.overdue.after(true))
        } else {
            state.overdue.after(cold)
        }
    }

    /// Records that an answer of a service is overdue.
    ///
    /// The backend server is not held to have failed: that would move objects to where they are cold,
    /// which costs more than waiting for the next overdue answer.
    pub fn record_overdue(&mut self, service: &str, zone: &str) {
        let is_in_other_region = self.is_in_other_region(zone);
        if let Some(state) = self.services.get_mut(service) {
            state.overdue_of(is_in_other_region).record_overdue();
        }
    }

    /// Tells whether an availability zone is of another region.
    pub fn is_in_other_region(&self, zone: &str) -> bool {
        self.regions.get(zone).is_none_or(|region| *region != self.region)
    }

    /// Tells whether a backend server has answered anything after a time.
    pub fn answered_after<'a>(&mut self, server: impl Into<ServerRef<'a>>, time: Instant) -> bool {
        self.server_mut(server.into()).is_some_and(|server| server.answered_after(time))
    }

    /// Busy slots that the own region's requests for a service would need, at the last step.
    pub fn demand_slots(&self, service: &str) -> f64 {
        self.services.get(service).map_or(0.0, |state| state.demand_slots)
    }

    /// The service of a backend server, if that start of it is known at this address.
    pub fn service_at(&self, server: &Incarnation, address: SocketAddr) -> Option<&Arc<str>> {
        self.services.iter().find_map(|(name, state)| {
            let position = *state.positions.get(&server.id)?;
            let record = &state.servers[position].record;
            (record.born_ms == server.born_ms && record.address == address).then_some(name)
        })
    }

    /// The number of backend servers known.
    pub fn server_count(&self) -> usize {
        self.services.values().map(|state| state.servers.len()).sum()
    }

    /// The part of this region's traffic for each service that goes to other regions.
    pub fn moved_shares(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        self.services.iter().map(|(name, state)| (name, state.moved_fraction(&self.arms)))
    }

    fn find(&mut self, server: ServerRef<'_>) -> Option<(&mut ServiceState, usize)> {
        let ServerRef { id, born_ms } = server;
        self.services.values_mut().find_map(|state| {
            let position = *state.positions.get(id)?;
            let known_ms = state.servers[position].record.born_ms;
            born_ms.is_none_or(|born_ms| born_ms == known_ms).then_some((state, position))
        })
    }

    pub(super) fn server_mut(&mut self, server: ServerRef<'_>) -> Option<&mut Server> {
        self.find(server).map(|(state, index)| &mut state.servers[index])
    }
}

/// Key of a service in the demand that instances tell each other.
pub fn demand_key(service: &str) -> u32 {
    name_hash(service) as u32
}

/// Key of a region in the demand that instances tell each other.
pub(super) fn region_key(region: &str) -> u32 {
    name_hash(region) as u32
}

/// Tells whether a backend server is meant to get work.
///
/// Its own word that it leaves counts beside the store's, which may be late, or down.
pub(super) fn accepts_new_requests(server: &Server, evacuated: &Evacuations) -> bool {
    let leaves = server.record.draining || server.condition.is_leaving;
    !leaves && !evacuated.contains(&server.record.availability_zone)
}
