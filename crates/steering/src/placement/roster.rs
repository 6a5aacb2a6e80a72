//! The backend servers that an instance knows, by service.

use super::arms::{Arms, PolicyFailure};
use super::incarnation::{Incarnation, ServerRef};
use super::load::LoadReport;
use super::rank::name_hash;
use super::region_view::RegionView;
use super::request::PlacementCounts;
use super::role::Role;
use super::senders::ColdRate;
use super::server::{Ending, Server};
use super::service::ServiceState;
use crate::deployment::{
    BackendServer, BackendServers, Deployment, Evacuations, Policies, Service,
};
use crate::policy::PolicyError;
use crate::terms::Timings;
use crate::terms::timings::{SenderLimits, ShiftLimits};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time constant of the average demand, in seconds.
pub(super) const DEMAND_WINDOW_S: f64 = 2.0;

/// Time for which backend servers stay cold if the configuration does not have their service: that
/// of existing sites.
const DEFAULT_COLD_START: Duration = Duration::from_secs(3);

/// Configured limits for cold backend servers of a service.
#[derive(Clone, Copy, Debug)]
struct ColdLimits {
    rate_per_s: f64,
    duration: Duration,
}

/// State that an instance has of all backend servers.
#[derive(Debug)]
pub struct Roster {
    pub(super) zone: Arc<str>,
    pub(super) region: Arc<str>,
    pub(super) regions: HashMap<Arc<str>, Arc<str>>,
    pub(super) services: BTreeMap<Arc<str>, ServiceState>,
    pub(super) evacuated: Evacuations,
    cold_limits: HashMap<Arc<str>, ColdLimits>,
    /// Limits on what this instance sends to one cold backend server.
    cold_sender_limits: SenderLimits,
    /// Limits on the requests that change their region.
    pub(super) shift_limits: ShiftLimits,
    /// The instances of the own region.
    pub(super) region_view: RegionView,
    /// Number of live instances by region.
    pub(super) region_sizes: BTreeMap<Arc<str>, usize>,
    pub(super) shares_updated_at: Option<Instant>,
    /// The active policies.
    pub(super) arms: Arms,
    /// Policies that gave no shares in the last update of the shares.
    pub(super) policy_failures: Vec<PolicyFailure>,
}

impl Roster {
    /// Starts without backend servers; `regions` maps availability zones to regions.
    pub fn new(name: &str, zone: Arc<str>, regions: HashMap<Arc<str>, Arc<str>>) -> Self {
        let region = regions.get(&zone).cloned().unwrap_or_else(|| zone.clone());
        Self {
            zone,
            region_view: RegionView::new(region.clone(), name_hash(name)),
            region,
            regions,
            services: BTreeMap::new(),
            evacuated: Evacuations::new(),
            cold_limits: HashMap::new(),
            cold_sender_limits: SenderLimits::default(),
            shift_limits: ShiftLimits::default(),
            region_sizes: BTreeMap::new(),
            shares_updated_at: None,
            arms: Arms::default(),
            policy_failures: Vec::new(),
        }
    }

    /// Applies the limits that follow from the terms of the deployment.
    #[must_use]
    pub fn with_limits(mut self, timings: &Timings) -> Self {
        self.cold_sender_limits = timings.cold_start;
        self.shift_limits = timings.region_shift;
        self
    }

    /// Rate of requests to a cold backend server of a service.
    pub(super) fn cold_rate(&self, service: &str) -> ColdRate {
        let per_s = self.cold_limits.get(service).map_or(0.0, |limits| limits.rate_per_s);
        ColdRate { per_s, limits: self.cold_sender_limits }
    }

    /// Applies the configuration of services.
    pub fn set_deployment(&mut self, deployment: &Deployment) {
        let limits = |service: &Service| ColdLimits {
            rate_per_s: service.cold_rate_per_s,
            duration: service.cold_start,
        };
        let services = deployment.services.iter();
        self.cold_limits =
            services.map(|(name, service)| (name.clone(), limits(service))).collect();
    }

    /// Applies policies. Each new arm starts with the mean of the current shares, so that a change
    /// of policies alone moves no requests at once.
    ///
    /// # Errors
    ///
    /// Fails if a program can't be compiled; the policies in use stay active.
    pub fn set_policies(&mut self, policies: &Policies) -> Result<(), PolicyError> {
        let arms = Arms::new(policies)?;
        for state in self.services.values_mut() {
            state.begin_arms(&self.arms, arms.len());
        }
        self.arms = arms;
        Ok(())
    }

    /// Returns the arm of an object; `None` while no policies are active.
    pub fn arm_of(&self, key_hash: u64) -> Option<Arc<str>> {
        self.arms.assign(key_hash).map(|(_, name)| name.clone())
    }

    /// Takes the policies that gave no shares in the last update of the shares.
    pub fn take_policy_failures(&mut self) -> Vec<PolicyFailure> {
        std::mem::take(&mut self.policy_failures)
    }

    /// Applies the list of backend servers.
    pub fn set_servers(&mut self, servers: &BackendServers, now: Instant) {
        let mut services = std::mem::take(&mut self.services);
        let mut by_service: BTreeMap<Arc<str>, BTreeMap<&Arc<str>, &BackendServer>> =
            services.keys().map(|name| (name.clone(), BTreeMap::new())).collect();
        for (id, record) in servers {
            by_service.entry(record.service.clone()).or_default().insert(id, record);
        }
        let region_of = |zone: &Arc<str>| self.regions.get(zone).unwrap_or(zone).clone();
        for (name, service_servers) in by_service {
            services.entry(name).or_default().set_servers(&service_servers, region_of, now);
        }
        self.services = services;
    }

    /// Applies the list of evacuated zones; returns the backend servers of restored zones that this
    /// instance should check.
    ///
    /// All backend servers of a restored zone may be cold and get no requests until
    /// [`Roster::record_health_check`], or for the configured time of their service. Only the
    /// instances that may send to a cold one check it, as each check occupies a slot like a
    /// request.
    pub fn set_evacuations(
        &mut self,
        evacuated: &Evacuations,
        now: Instant,
    ) -> Vec<(Incarnation, SocketAddr)> {
        let restored_zones: Vec<Arc<str>> = self.evacuated.difference(evacuated).cloned().collect();
        self.evacuated = evacuated.clone();
        let mut unchecked = Vec::new();
        let view = &self.region_view;
        // While no other instance is known, this one has to check.
        let should_check = |server: &Server| {
            view.is_alone() || view.role_for(server.hash_and_region()) == Role::Sender
        };
        for (name, state) in &mut self.services {
            let cold_time =
                self.cold_limits.get(name).map_or(DEFAULT_COLD_START, |limits| limits.duration);
            for server in &mut state.servers {
                if restored_zones.contains(&server.record.availability_zone) {
                    server.mark_cold(cold_time, now);
                    if should_check(server) {
                        unchecked.push((server.incarnation(), server.record.address));
                    }
                }
            }
        }
        unchecked
    }

    /// Records the result of a health check of a backend server that answered.
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

    /// Records how an exchange with a selected backend server ended.
    ///
    /// An exchange with an earlier incarnation says nothing about the current one, and is ignored.
    pub fn record_ending<'a>(
        &mut self,
        server: impl Into<ServerRef<'a>>,
        ending: Ending,
        report: Option<LoadReport>,
        now: Instant,
    ) {
        let region = self.region.clone();
        let Some((state, index)) = self.find_server(server.into()) else { return };
        let warm_ms = state.warmth.response_ms().unwrap_or_else(|| state.response_ms());
        state.servers[index].record_ending(ending, report, warm_ms, now);
        let is_on_trial = state.is_on_trial(&state.servers[index]);
        if let Ending::Answered { after, was_object_warm } = ending
            && !is_on_trial
        {
            let is_in_other_region = state.servers[index].region != region;
            state.record_response(
                was_object_warm,
                is_in_other_region,
                after.as_secs_f64() * 1_000.0,
            );
        }
    }

    /// Takes the placement counts of the services that had requests leave the region.
    pub fn take_placements(&mut self) -> Vec<(Arc<str>, PlacementCounts)> {
        let services = self.services.iter_mut();
        let counts =
            services.map(|(name, state)| (name.clone(), std::mem::take(&mut state.placed)));
        counts.filter(|(_, placed)| placed.left_region() > 0).collect()
    }

    /// Counts a request that left the region and had to wait for a new connection.
    pub fn record_cross_region_dial(&mut self, service: &str) {
        if let Some(state) = self.services.get_mut(service) {
            state.placed.opened += 1;
        }
    }

    /// Returns the time after which the response of a backend server in `zone` is overdue; `None`
    /// while the service has too few responses.
    pub fn overdue_after(&self, service: &str, zone: &str, cold: bool) -> Option<Duration> {
        let state = self.services.get(service)?;
        if self.is_in_other_region(zone) {
            // With too few responses from other regions, these are assumed to take as long as cold
            // ones.
            state.overdue_other_regions.threshold(cold).or_else(|| state.overdue.threshold(true))
        } else {
            state.overdue.threshold(cold)
        }
    }

    /// Records that a response of a service is overdue.
    ///
    /// This does not count as a failure of the backend server: that would move its objects to where
    /// they are cold, which costs more than waiting for the next overdue response.
    pub fn record_overdue(&mut self, service: &str, zone: &str) {
        let is_in_other_region = self.is_in_other_region(zone);
        if let Some(state) = self.services.get_mut(service) {
            state.overdue_for(is_in_other_region).record_overdue();
        }
    }

    /// Returns whether an availability zone is in another region.
    pub fn is_in_other_region(&self, zone: &str) -> bool {
        self.regions.get(zone).is_none_or(|region| *region != self.region)
    }

    /// Returns whether a backend server has answered after `time`.
    pub fn answered_after<'a>(&mut self, server: impl Into<ServerRef<'a>>, time: Instant) -> bool {
        self.server_mut(server.into()).is_some_and(|server| server.answered_after(time))
    }

    /// Returns the busy slots that the own region's requests for a service need, as of the last
    /// update of the shares.
    pub fn demand_slots(&self, service: &str) -> f64 {
        self.services.get(service).map_or(0.0, |state| state.demand_slots)
    }

    /// Returns the service of a backend server, if this incarnation is known at this address.
    pub fn service_at(&self, server: &Incarnation, address: SocketAddr) -> Option<&Arc<str>> {
        self.services.iter().find_map(|(name, state)| {
            let position = state.position_of(server.into())?;
            (state.servers[position].record.address == address).then_some(name)
        })
    }

    /// Returns the mean response time of a service.
    pub fn mean_response_time(&self, service: &str) -> Duration {
        self.services.get(service).map_or(Duration::ZERO, ServiceState::mean_response_time)
    }

    /// Returns the number of known backend servers.
    pub fn server_count(&self) -> usize {
        self.services.values().map(|state| state.servers.len()).sum()
    }

    /// Returns the fraction of this region's movable requests for each service that goes to other
    /// regions.
    pub fn moved_shares(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        self.services.iter().map(|(name, state)| (name, state.moved_fraction(&self.arms)))
    }

    fn find_server(&mut self, server: ServerRef<'_>) -> Option<(&mut ServiceState, usize)> {
        self.services.values_mut().find_map(|state| {
            let position = state.position_of(server)?;
            Some((state, position))
        })
    }

    pub(super) fn server(&self, server: ServerRef<'_>) -> Option<&Server> {
        self.services.values().find_map(|state| Some(&state.servers[state.position_of(server)?]))
    }

    pub(super) fn server_mut(&mut self, server: ServerRef<'_>) -> Option<&mut Server> {
        self.find_server(server).map(|(state, index)| &mut state.servers[index])
    }
}

/// Returns the key of a service in the demand that instances exchange.
pub fn demand_key(service: &str) -> u32 {
    name_hash(service) as u32
}

/// Returns the key of a region in the demand that instances exchange.
pub(super) fn region_key(region: &str) -> u32 {
    name_hash(region) as u32
}

/// Returns whether a backend server may get new requests.
///
/// Its own announcement that it is leaving counts besides the store's entry, which may be late, or
/// unavailable.
pub(super) fn accepts_new_requests(server: &Server, evacuated: &Evacuations) -> bool {
    let is_leaving = server.record.draining || server.condition.is_leaving;
    !is_leaving && !evacuated.contains(&server.record.availability_zone)
}
