//! Moving the regional shares on, by the demand of all instances, and by policies if there are any.

use super::ask::ShareMove;
use super::peers::{Demand, Peer, Peers};
use super::roster::{DEMAND_WINDOW_S, Roster, accepts_new_requests, demand_key, region_key};
use super::service::ServiceState;
use super::shares::{RegionLoad, ServiceLoad, expect_demand, most_eased, target_within};
use super::view::view;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

/// Requests a second of a region below which its objects don't count.
const LEAST_DEMAND_PER_S: f32 = 0.5;

/// Requests a second of one instance for another region below which they are forgotten.
const LEAST_HOMED_PER_S: f64 = 0.005;

/// Change of a share that is told, for logs.
const TOLD_SHARE: f64 = 0.05;

/// Objects that a backend server is taken to keep warm, as nothing tells: near the fewest that any keeps,
/// since a cold upload costs more than its bytes between zones.
const KEPT_OBJECTS: f64 = 14.0;

/// Part of these below which uploads stay in their zone again, so that a count that varies by a few
/// objects moves nothing.
const STAYS_SHARED: f64 = 0.75;

impl Roster {
    /// Moves the regional shares on, by the demand of all instances; about twice a second.
    ///
    /// Returns the shares that have moved by 0.05 or more since they were returned last.
    pub fn step(&mut self, own: &Peer, peers: &Peers, now: Instant) -> Vec<ShareMove> {
        let elapsed =
            self.stepped_at.replace(now).map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        let fade = (-elapsed / DEMAND_WINDOW_S).exp();
        self.region_instances = peers.hashes_in(&self.region, now);
        if !self.region_instances.is_empty() {
            self.region_instances.push(self.own_hash);
        }
        let demand = regional_demand(own, peers, now);
        self.hear_objects(&own.region, peers, now);
        let warm_ms = common_warm_ms(own, peers, now);
        let stale_beats = peers.living(now).map(|(_, it)| it.behind).max().unwrap_or(0);
        let mut services = std::mem::take(&mut self.services);
        let mut loads: BTreeMap<Arc<str>, ServiceLoad> = BTreeMap::new();
        for (name, state) in &mut services {
            state.movable_per_s *= fade;
            state.pinned_per_s *= fade;
            state.remote_only_per_s.values_mut().for_each(|per_s| *per_s *= fade);
            state.remote_only_per_s.retain(|_, per_s| *per_s >= LEAST_HOMED_PER_S);
            loads.insert(name.clone(), self.service_load(name, state, &demand, &warm_ms, now));
        }
        let most_eased = most_eased(&self.region, loads.values());
        let mut moves = Vec::new();
        self.policy_failures.clear();
        for ((name, state), ServiceLoad { loads, .. }) in services.iter_mut().zip(loads.values()) {
            self.step_service(name, state, loads, most_eased, now);
            let moved = state.moved_fraction(&self.arms);
            if (moved - state.reported_share).abs() >= TOLD_SHARE {
                state.reported_share = moved;
                let slots = loads.get(&self.region).map_or(0.0, |load| load.slots);
                let demand = state.demand_slots;
                moves.push(ShareMove { service: name.clone(), moved, slots, demand, stale_beats });
            }
        }
        self.services = services;
        moves
    }

    /// What each region asks for and has for a service; sets the number of its replicas.
    fn service_load(
        &self,
        name: &str,
        state: &mut ServiceState,
        demand: &HashMap<(u32, Arc<str>), Demand>,
        warm_ms: &HashMap<u32, f64>,
        now: Instant,
    ) -> ServiceLoad {
        let key = demand_key(name);
        let slot_s = warm_ms.get(&key).copied().unwrap_or_else(|| state.warm_answer_ms()) / 1_000.0;
        let mut loads: BTreeMap<Arc<str>, RegionLoad> = BTreeMap::new();
        let none = Demand::default();
        let mut keys = Some(0);
        for region in self.regions.values() {
            loads.entry(region.clone()).or_insert_with(|| {
                let part = demand.get(&(key, region.clone())).unwrap_or(&none);
                if part.movable_per_s + part.near_per_s >= LEAST_DEMAND_PER_S {
                    keys = keys.zip(part.keys).map(|(sum, more)| sum + more as usize);
                }
                let homed_per_s: f32 = part.homed_per_s.iter().map(|(_, per_s)| per_s).sum();
                RegionLoad {
                    movable: f64::from(part.movable_per_s) * slot_s,
                    near: f64::from(part.near_per_s) * slot_s,
                    homed: f64::from(homed_per_s) * slot_s,
                    ..RegionLoad::default()
                }
            });
        }
        let of_service = demand.iter().filter(|((service, _), _)| *service == key);
        for (to, per_s) in of_service.flat_map(|(_, part)| &part.homed_per_s) {
            let to = loads.iter_mut().find(|(region, _)| region_key(region) == *to);
            if let Some((_, load)) = to {
                load.guests += f64::from(*per_s) * slot_s;
            }
        }
        let mut servers = 0;
        // Those that only pause count: they come and go while nothing happened but load.
        for server in state.servers.iter().filter(|it| accepts_new_requests(it, &self.evacuated)) {
            let part = state.version_part(server);
            loads.entry(server.region.clone()).or_default().slots +=
                part * server.usable_slots(slot_s, now);
            servers += usize::from(part > 0.0);
        }
        expect_demand(&mut loads);
        // With fewer objects than backend servers, one replica each would leave some without
        // work.  While a region does not know its objects yet, they must not spread.
        let keys = keys.filter(|keys| *keys > 0);
        state.replicas = keys.map_or(1, |keys| servers / keys);
        let own_keys = demand.get(&(key, self.region.clone())).and_then(|part| part.keys);
        self.place_uploads(state, own_keys.map_or(0.0, f64::from));
        ServiceLoad { loads, slot_s }
    }

    /// Takes over the objects that other instances of the region were asked for.
    fn hear_objects(&mut self, region: &str, peers: &Peers, now: Instant) {
        for peer in peers.alive(now).filter(|peer| *peer.region == *region) {
            for (key, told) in &peer.objects {
                let state = self.services.iter_mut().find(|(name, _)| demand_key(name) == *key);
                if let Some((_, state)) = state {
                    state.objects.merge(told, now);
                }
            }
        }
    }

    /// Decides whether uploads choose among all backend servers of the region.
    ///
    /// One that stays in its availability zone spares bytes, but gives its object a place in each
    /// zone.  Where that is more than a backend server keeps warm, and a place in the region would not
    /// be, it goes to the region's.
    fn place_uploads(&self, state: &mut ServiceState, least_objects: f64) {
        let objects = state.objects.count().max(least_objects);
        let usable = || state.servers.iter().filter(|it| accepts_new_requests(it, &self.evacuated));
        let of_zone = usable().filter(|it| it.record.availability_zone == self.zone).count();
        let of_region = usable().filter(|it| it.region == self.region).count();
        let kept = match state.uploads_share_region {
            true => KEPT_OBJECTS * STAYS_SHARED,
            false => KEPT_OBJECTS,
        };
        state.uploads_share_region = of_region > of_zone
            && objects > kept * of_zone as f64
            && objects <= KEPT_OBJECTS * of_region as f64;
    }

    /// Moves the shares of a service on.
    fn step_service(
        &mut self,
        name: &Arc<str>,
        state: &mut ServiceState,
        loads: &BTreeMap<Arc<str>, RegionLoad>,
        most_eased: f64,
        now: Instant,
    ) {
        let own = loads.get(&self.region).copied().unwrap_or_default();
        state.demand_slots = own.demand();
        let built_in = target_within(&self.region, loads, most_eased);
        // A service that came after the policies begins where the built-in rule is.
        state.arm_shares.resize(self.arms.len(), state.share.clone());
        if self.arms.is_empty() {
            state.share.step(&built_in, own.slots, now);
            return;
        }
        let view = view(name, state, &self.zone, &self.region, &self.evacuated, now);
        for arm in 0..self.arms.len() {
            let wanted = self.arms.target(arm, &view, loads, &built_in);
            let wanted = wanted.unwrap_or_else(|failure| {
                self.policy_failures.push(failure);
                built_in.clone()
            });
            state.arm_shares[arm].step(&wanted, own.slots, now);
        }
    }
}

/// The demand of all instances, by service and region.
fn regional_demand(own: &Peer, peers: &Peers, now: Instant) -> HashMap<(u32, Arc<str>), Demand> {
    let mut demand: HashMap<(u32, Arc<str>), Demand> = HashMap::new();
    for peer in peers.alive(now).chain(std::iter::once(own)) {
        for (service, part) in &peer.demand {
            let sum = demand.entry((*service, peer.region.clone())).or_default();
            sum.movable_per_s += part.movable_per_s;
            sum.near_per_s += part.near_per_s;
            for (region, per_s) in &part.homed_per_s {
                match sum.homed_per_s.iter_mut().find(|(known, _)| known == region) {
                    Some((_, sum_per_s)) => *sum_per_s += per_s,
                    None => sum.homed_per_s.push((*region, *per_s)),
                }
            }
            // Instances of a region meet the same objects, regions have their own.
            sum.keys = sum.keys.max(part.keys);
        }
    }
    demand
}

/// Time to a warm answer of each service, by the figures of all instances weighted by their
/// requests.
///
/// Each instance alone has few answers of a small service; going by those, instances of one region
/// gave it shares from 0 to 0.8 at the same time, and callers that met another instance met another
/// region.
fn common_warm_ms(own: &Peer, peers: &Peers, now: Instant) -> HashMap<u32, f64> {
    let mut sums: HashMap<u32, (f64, f64)> = HashMap::new();
    for peer in peers.alive(now).chain(std::iter::once(own)) {
        for (service, part) in &peer.demand {
            let Some(warm_ms) = part.warm_ms else { continue };
            let per_s = f64::from(part.movable_per_s + part.near_per_s);
            let (weighted, weight) = sums.entry(*service).or_default();
            *weighted += f64::from(warm_ms) * per_s;
            *weight += per_s;
        }
    }
    sums.retain(|_, (_, weight)| *weight > 0.0);
    sums.into_iter().map(|(service, (weighted, weight))| (service, weighted / weight)).collect()
}
