//! The backend servers that an instance knows, and its choice among them.

use super::ask::{Ask, Choice, Refusal, ShareMove};
use super::candidate::{Candidate, Terms, best_of};
use super::cold::is_sender;
use super::load::LoadReport;
use super::peers::{Demand, Peer, Peers};
use super::rank::{name_hash, unit, weighted_rank};
use super::server::{Ending, Server};
use super::service::ServiceState;
use super::shares::{RegionLoad, expect_demand, target};
use crate::deployment::{BackendServer, BackendServers, Deployment, Evacuations, RequestKind};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Part of the requests that may go elsewhere than where they belong while nothing fails.  Together
/// with what the shares move it stays below the shift that is allowed between two windows.
const SPILL_RATIO: f64 = 0.04;

/// Most requests that go elsewhere in a row.
const MOST_SPILLS: f64 = 3.0;

/// Requests a second of a region below which its objects don't count.
const LEAST_DEMAND_PER_S: f32 = 0.5;

/// Change of a share that is told, for logs.
const TOLD_SHARE: f64 = 0.05;

/// Salt of the place of a key among the regions.
const REGION_SALT: u64 = 0x7265_6769_6f6e;

/// Time over which demand is averaged.
const DEMAND_WINDOW_S: f64 = 2.0;

/// Cold backend servers work slower; their slots count for this part.
const COLD_SLOTS: f64 = 0.1;

/// Shortest and longest time after which a refused caller is asked to come back.
const RETRY_AFTER: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(800)];

/// Objects that a backend server is expected to keep warm.  None tells; the sites of today keep 11
/// to 53, and too few replicas cost less than too many.
const KEPT_OBJECTS: usize = 24;

/// Backend servers that an object may be at, in any case: one may be full.
const LEAST_REPLICAS: usize = 2;

/// A backend server this many times slower than its service comes last.
const SLOW_FACTOR: f64 = 2.5;

/// What an instance knows of all backend servers.
#[derive(Debug)]
pub struct Roster {
    own_hash: u64,
    zone: Arc<str>,
    region: Arc<str>,
    regions: HashMap<Arc<str>, Arc<str>>,
    services: BTreeMap<Arc<str>, ServiceState>,
    evacuated: Evacuations,
    cold_rates: HashMap<Arc<str>, f64>,
    /// Hashes of the living instances of the own region, this one included; empty while unknown.
    senders: Vec<u64>,
    stepped_at: Option<Instant>,
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
            cold_rates: HashMap::new(),
            senders: Vec::new(),
            stepped_at: None,
        }
    }

    /// Takes over what the configuration says of services.
    pub fn set_deployment(&mut self, deployment: &Deployment) {
        self.cold_rates = deployment
            .services
            .iter()
            .map(|(name, service)| (name.clone(), service.cold_rate_per_s))
            .collect();
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

    /// Takes over the evacuated zones; returns the backend servers that come back into use, which
    /// may be cold and get nothing until [`Roster::checked`].
    pub fn set_evacuations(
        &mut self,
        evacuated: &Evacuations,
        now: Instant,
    ) -> Vec<(Arc<str>, SocketAddr)> {
        let back: Vec<Arc<str>> = self.evacuated.difference(evacuated).cloned().collect();
        self.evacuated = evacuated.clone();
        let mut unproven = Vec::new();
        for state in self.services.values_mut() {
            for server in &mut state.servers {
                if back.contains(&server.record.availability_zone) {
                    server.cold_for(Duration::from_secs(3), now);
                    unproven.push((server.id.clone(), server.record.address));
                }
            }
        }
        unproven
    }

    /// Takes over the outcome of a health check of a backend server that answered.
    pub fn checked(&mut self, id: &str, cold: Duration, now: Instant) {
        if let Some(server) = self.server_mut(id) {
            server.checked(cold, now);
        }
    }

    /// Counts a request of a caller, and its object.
    pub fn asked(&mut self, service: &Arc<str>, kind: RequestKind, key_hash: u64, now: Instant) {
        let state = self.services.entry(service.clone()).or_default();
        state.keys.seen(key_hash, now);
        state.spills = (state.spills + SPILL_RATIO).min(MOST_SPILLS);
        match kind {
            RequestKind::Upload => state.near_per_s += 1.0 / DEMAND_WINDOW_S,
            _ => state.movable_per_s += 1.0 / DEMAND_WINDOW_S,
        }
    }

    /// The demand of this instance by service, for the other ones.
    pub fn demand(&self) -> Vec<(u32, Demand)> {
        self.services
            .iter()
            .map(|(name, state)| {
                let movable_per_s = state.movable_per_s as f32;
                let near_per_s = state.near_per_s as f32;
                let keys = state.keys.count().map(|keys| keys.try_into().unwrap_or(u32::MAX));
                (demand_key(name), Demand { movable_per_s, near_per_s, keys })
            })
            .collect()
    }

    /// Moves the regional shares on, by the demand of all instances; about twice a second.
    ///
    /// Returns the shares that have moved by 0.05 or more since they were returned last.
    pub fn step(&mut self, own: &Peer, peers: &Peers, now: Instant) -> Vec<ShareMove> {
        let elapsed =
            self.stepped_at.replace(now).map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        let fade = (-elapsed / DEMAND_WINDOW_S).exp();
        self.senders = peers.hashes_in(&self.region, now);
        if !self.senders.is_empty() {
            self.senders.push(self.own_hash);
        }
        let mut moves = Vec::new();
        let mut demand: HashMap<(u32, Arc<str>), Demand> = HashMap::new();
        for peer in peers.alive(now).chain(std::iter::once(own)) {
            for (service, part) in &peer.demand {
                let sum = demand.entry((*service, peer.region.clone())).or_default();
                sum.movable_per_s += part.movable_per_s;
                sum.near_per_s += part.near_per_s;
                // Instances of a region meet the same objects, regions have their own.
                sum.keys = sum.keys.max(part.keys);
            }
        }
        for (name, state) in &mut self.services {
            state.movable_per_s *= fade;
            state.near_per_s *= fade;
            let slots_s = state.warm_answer_ms() / 1_000.0;
            let mut loads: BTreeMap<Arc<str>, RegionLoad> = BTreeMap::new();
            let mut keys = Some(0);
            for region in self.regions.values() {
                loads.entry(region.clone()).or_insert_with(|| {
                    let part = demand.get(&(demand_key(name), region.clone()));
                    let part = part.copied().unwrap_or_default();
                    if part.movable_per_s + part.near_per_s >= LEAST_DEMAND_PER_S {
                        keys = keys.zip(part.keys).map(|(sum, more)| sum + more as usize);
                    }
                    RegionLoad {
                        movable: f64::from(part.movable_per_s) * slots_s,
                        near: f64::from(part.near_per_s) * slots_s,
                        slots: 0.0,
                    }
                });
            }
            let mut servers = 0;
            // Those that only pause count: they come and go while nothing happened but load.
            for server in state.servers.iter().filter(|it| may_work(it, &self.evacuated)) {
                let part = if server.is_cold(now) { COLD_SLOTS } else { 1.0 };
                loads.entry(server.region.clone()).or_default().slots +=
                    f64::from(server.record.slots) * part;
                servers += 1;
            }
            expect_demand(&mut loads);
            // While a region does not know its objects yet, they must not spread.
            let keys = keys.filter(|keys| *keys > 0);
            state.replicas = keys.map_or(0, |keys| servers * KEPT_OBJECTS / keys);
            let slots = loads.get(&self.region).map_or(0.0, |load| load.slots);
            state.share.step(&target(&self.region, &loads), slots, now);
            state.demand_slots = loads.get(&self.region).map_or(0.0, |it| it.movable + it.near);
            let moved: f64 = state.share.split().values().sum();
            if (moved - state.told_share).abs() >= TOLD_SHARE {
                state.told_share = moved;
                let demand = state.demand_slots;
                moves.push(ShareMove { service: name.clone(), moved, slots, demand });
            }
        }
        moves
    }

    /// Chooses the backend server of a request.
    ///
    /// # Errors
    ///
    /// Refuses the request if no backend server may take it in time.
    pub fn choose(&mut self, ask: &Ask<'_>, now: Instant) -> Result<Choice, Refusal> {
        let none = Refusal { retry_after: RETRY_AFTER[1], usable: 0 };
        let Some(state) = self.services.get_mut(ask.service) else { return Err(none) };
        let answer_ms = state.answer_ms();
        let mean_answer = Duration::from_secs_f64(answer_ms / 1_000.0);
        let place = unit(ask.key_hash, REGION_SALT);
        let home = match ask.kind {
            RequestKind::Upload => &self.region,
            _ => state.share.region_of(place).unwrap_or(&self.region),
        };
        let home = home.clone();
        let cold_rate = self.cold_rates.get(ask.service).copied().unwrap_or(0.0);
        let replicas = state.replicas.max(LEAST_REPLICAS);
        let mut candidates: Vec<Candidate> = Vec::new();
        let (mut listed_at_home, mut failed_at_home) = (0usize, 0usize);
        for (index, server) in state.servers.iter_mut().enumerate() {
            let allowed =
                ask.allowed_regions.is_empty() || ask.allowed_regions.contains(&server.region);
            if !allowed || ask.excluded.contains(&server.id) || !may_work(server, &self.evacuated) {
                continue;
            }
            let at_home = server.region == home;
            listed_at_home += usize::from(at_home);
            failed_at_home += usize::from(at_home && server.has_failed(now));
            if server.is_paused(mean_answer, now) {
                continue;
            }
            let cold = server.is_cold(now);
            if cold
                && !(server.region == self.region
                    && is_sender(self.own_hash, server.hash, &self.senders)
                    && !self.senders.is_empty()
                    && server.pace.has_token(cold_rate, now))
            {
                continue;
            }
            let near =
                ask.kind == RequestKind::Upload && server.record.availability_zone != self.zone;
            let tier = match () {
                () if server.region == home && !near => 0,
                () if server.region == home => 1,
                () if server.region == self.region => 2,
                () => 3,
            };
            let slow = server.answer_ms().is_some_and(|mean| mean > answer_ms * SLOW_FACTOR);
            let last = slow || server.is_doubtful();
            let rank = weighted_rank(ask.key_hash, server.hash, server.record.slots);
            candidates.push(Candidate { index, tier, last, rank });
        }
        let usable = candidates.len();
        let patience = ask.objective_left.saturating_sub(mean_answer).max(ask.least_patience);
        // What must not shift with load alone may do so when backend servers fail.
        let failing = 2 * failed_at_home > listed_at_home;
        let may_spill = failing || state.spills >= 1.0;
        let sharers = self.senders.len().max(1);
        let is_second = ask.is_second;
        let terms = Terms { replicas, patience, answer_ms, may_spill, is_second, sharers, now };
        let Some(best) = best_of(&mut candidates, &state.servers, terms) else {
            let soon = Duration::from_secs_f64(answer_ms / 1_000.0);
            let retry_after = soon.clamp(RETRY_AFTER[0], RETRY_AFTER[1]);
            return Err(Refusal { retry_after, usable });
        };
        if best.tier > 1 && !failing {
            state.spills = (state.spills - 1.0).max(0.0);
        }
        let server = &mut state.servers[best.index];
        let cold = server.is_cold(now);
        let load = server.load.estimate(sharers, now);
        server.sent(now);
        Ok(Choice {
            id: server.id.clone(),
            address: server.record.address,
            availability_zone: server.record.availability_zone.clone(),
            load,
            slots: server.record.slots,
            cold,
        })
    }

    /// Records how an exchange with a chosen backend server ended.
    pub fn ended(&mut self, id: &str, ending: Ending, report: Option<LoadReport>, now: Instant) {
        let Some((state, index)) = self.find(id) else { return };
        state.servers[index].ended(ending, report, now);
        if let Ending::Answered { after } = ending {
            state.answered(after.as_secs_f64() * 1_000.0);
        }
    }

    /// Time after which the answer of a chosen backend server is overdue; none while too few
    /// answers of the service came to tell.
    pub fn overdue_after(&self, service: &str, cold: bool) -> Option<Duration> {
        self.services.get(service)?.overdue.after(cold)
    }

    /// Records that an answer of a service is overdue.
    ///
    /// The backend server is not held to have failed: measured on both sites, that moves objects to
    /// where they are cold, and costs more than waiting for the next overdue answer.
    pub fn was_overdue(&mut self, service: &str) {
        if let Some(state) = self.services.get_mut(service) {
            state.overdue.was_overdue();
        }
    }

    /// Tells whether a backend server has answered anything after a time.
    pub fn was_heard_after(&mut self, id: &str, time: Instant) -> bool {
        self.server_mut(id).is_some_and(|server| server.was_heard_after(time))
    }

    /// Busy slots that the own region's requests for a service would need, at the last step.
    pub fn demand_slots(&self, service: &str) -> f64 {
        self.services.get(service).map_or(0.0, |state| state.demand_slots)
    }

    /// The number of backend servers known.
    pub fn server_count(&self) -> usize {
        self.services.values().map(|state| state.servers.len()).sum()
    }

    /// The part of this region's traffic for each service that goes to other regions.
    pub fn moved_shares(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        self.services.iter().map(|(name, state)| (name, state.share.split().values().sum()))
    }

    fn find(&mut self, id: &str) -> Option<(&mut ServiceState, usize)> {
        self.services.values_mut().find_map(|state| {
            let position = *state.positions.get(id)?;
            Some((state, position))
        })
    }

    fn server_mut(&mut self, id: &str) -> Option<&mut Server> {
        self.find(id).map(|(state, index)| &mut state.servers[index])
    }
}

/// Key of a service in the demand that instances tell each other.
pub fn demand_key(service: &str) -> u32 {
    name_hash(service) as u32
}

/// Tells whether a backend server is meant to get work.
fn may_work(server: &Server, evacuated: &Evacuations) -> bool {
    !server.record.draining && !evacuated.contains(&server.record.availability_zone)
}
