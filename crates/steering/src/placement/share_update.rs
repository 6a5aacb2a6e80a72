//! Updates the regional shares by the demand of all instances, and by policies if there are any.

use super::peer_choice::start_id;
use super::peers::{Demand, Peer, Peers};
use super::policy_view::service_view;
use super::request::ShareChange;
use super::roster::{DEMAND_WINDOW_S, Roster, accepts_new_requests, demand_key, region_key};
use super::senders::SenderCount;
use super::service::ServiceState;
use super::shares::{
    RegionLoad, ServiceLoad, assume_demand, limits_of_short_services, max_optional_offload,
    target_split_within, target_upload_split,
};
use super::slot_counts::SlotCounts;
use crate::terms::timings::ShiftLimits;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

/// Demand of a region, in requests per second, below which its objects are not counted.
const MIN_DEMAND_PER_S: f32 = 0.5;

/// Demand of one instance for another region, in requests per second, below which the entry is
/// removed.
const MIN_REMOTE_ONLY_PER_S: f64 = 0.005;

/// Change of a share from which on it is reported for logs.
const REPORTED_SHARE_CHANGE: f64 = 0.05;

/// Objects that a backend server is assumed to keep in its cache, because none reports the number.
/// It is near the smallest one, since a cold upload costs more than its bytes between zones.
const CACHED_OBJECTS_PER_SERVER: f64 = 14.0;

/// Fraction of these below which uploads stay in their zone again, so that a count that varies by a
/// few objects changes nothing.
const SHARED_UPLOADS_HYSTERESIS: f64 = 0.75;

impl Roster {
    /// Updates the regional shares by the demand of all instances; called about twice a second.
    ///
    /// Returns the shares that changed by 0.05 or more since they were last returned.
    pub fn update_shares(&mut self, own: &Peer, peers: &Peers, now: Instant) -> Vec<ShareChange> {
        let elapsed = self
            .shares_updated_at
            .replace(now)
            .map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        let decay = (-elapsed / DEMAND_WINDOW_S).exp();
        self.region_view.update(
            peers.alive_name_hashes(&self.region, now),
            peers.alive(now).filter(|peer| peer.region == self.region).count(),
            peers.count_in_region(&self.region),
            !peers.reach.is_cut_off(start_id(own), None, now),
        );
        self.drain_former_senders(now);
        self.region_sizes = region_sizes(own, peers, now);
        let demand = regional_demand(own, peers, now);
        self.merge_objects(&own.region, peers, now);
        let warm_ms = mean_warm_ms(own, peers, now);
        let max_description_lag = peers
            .alive_with_freshness(now)
            .map(|(_, freshness)| freshness.description_lag)
            .max()
            .unwrap_or(0);
        let mut services = std::mem::take(&mut self.services);
        let mut loads: BTreeMap<Arc<str>, ServiceLoad> = BTreeMap::new();
        for (name, state) in &mut services {
            state.movable_per_s *= decay;
            state.pinned_per_s *= decay;
            state.remote_only_per_s.values_mut().for_each(|per_s| *per_s *= decay);
            state.remote_only_per_s.retain(|_, per_s| *per_s >= MIN_REMOTE_ONLY_PER_S);
            loads.insert(name.clone(), self.service_load(name, state, &demand, &warm_ms, now));
        }
        let max_optional_offload =
            max_optional_offload(&self.region, loads.values(), self.shift_limits.max_offload);
        let moved = services.values().map(|state| state.moved_fraction(&self.arms));
        let short_limits =
            limits_of_short_services(&self.region, loads.values().zip(moved), &self.shift_limits);
        let mut changes = Vec::new();
        self.policy_failures.clear();
        for ((name, state), ServiceLoad { loads, slot_s }) in
            services.iter_mut().zip(loads.values())
        {
            let moved = state.moved_fraction(&self.arms);
            let own_load = loads.get(&self.region);
            let is_short = own_load.is_some_and(|own| own.is_short_of_usable_slots(moved));
            let limits = if is_short { short_limits } else { self.shift_limits };
            self.update_service_shares(name, state, loads, max_optional_offload, &limits, now);
            let moved = state.moved_fraction(&self.arms);
            let moved_uploads = state.upload_share.moved_fraction();
            if (moved - state.reported_share).abs() >= REPORTED_SHARE_CHANGE
                || (moved_uploads - state.reported_upload_share).abs() >= REPORTED_SHARE_CHANGE
            {
                state.reported_share = moved;
                state.reported_upload_share = moved_uploads;
                let slots = loads.get(&self.region).map_or(0.0, |load| load.slots);
                let demand = state.demand_slots;
                changes.push(ShareChange {
                    service: name.clone(),
                    moved,
                    moved_uploads,
                    slots,
                    demand,
                    max_description_lag,
                    slot_counts: state.slot_counts,
                    slot_s: *slot_s,
                    step: std::mem::take(&mut state.unreported_step),
                });
            }
        }
        self.services = services;
        changes
    }

    /// Demand and capacity of each region for a service; sets the service's number of replicas.
    fn service_load(
        &self,
        name: &str,
        state: &mut ServiceState,
        demand: &HashMap<(u32, Arc<str>), Demand>,
        warm_ms: &HashMap<u32, f64>,
        now: Instant,
    ) -> ServiceLoad {
        let key = demand_key(name);
        let slot_s =
            warm_ms.get(&key).copied().unwrap_or_else(|| state.warm_response_ms()) / 1_000.0;
        let mut loads: BTreeMap<Arc<str>, RegionLoad> = BTreeMap::new();
        let none = Demand::default();
        let mut keys = Some(0);
        for region in self.regions.values() {
            loads.entry(region.clone()).or_insert_with(|| {
                let part = demand.get(&(key, region.clone())).unwrap_or(&none);
                if part.movable_per_s + part.pinned_per_s >= MIN_DEMAND_PER_S {
                    keys = keys.zip(part.keys).map(|(sum, added)| sum + added as usize);
                }
                let remote_only_per_s: f32 =
                    part.remote_only_per_s.iter().map(|(_, per_s)| per_s).sum();
                RegionLoad {
                    movable: f64::from(part.movable_per_s) * slot_s,
                    pinned: f64::from(part.pinned_per_s) * slot_s,
                    remote_only: f64::from(remote_only_per_s) * slot_s,
                    ..RegionLoad::default()
                }
            });
        }
        let of_service = demand.iter().filter(|((service, _), _)| *service == key);
        for (to, per_s) in of_service.flat_map(|(_, part)| &part.remote_only_per_s) {
            let to = loads.iter_mut().find(|(region, _)| region_key(region) == *to);
            if let Some((_, load)) = to {
                load.inbound += f64::from(*per_s) * slot_s;
            }
        }
        let mut servers = 0;
        let mut slot_counts: BTreeMap<Arc<str>, SlotCounts> = BTreeMap::new();
        // Paused backend servers count: they come and go with load alone.
        for server in
            state.servers.iter().filter(|server| accepts_new_requests(server, &self.evacuated))
        {
            let part = state.version_share(server);
            let region_size = self.region_sizes.get(&server.region).copied().unwrap_or(0);
            let senders = SenderCount::in_region(region_size);
            *slot_counts.entry(server.region.clone()).or_default() +=
                server.slot_counts(part, slot_s, senders, now);
            servers += usize::from(part > 0.0);
        }
        for (region, counts) in &slot_counts {
            let load = loads.entry(region.clone()).or_default();
            load.slots = counts.usable();
            load.installed_slots = counts.installed();
        }
        state.slot_counts = slot_counts.remove(&self.region).unwrap_or_default();
        assume_demand(&mut loads);
        // With fewer objects than backend servers, one replica each would leave some backend
        // servers idle.  While a region's objects are not counted yet, requests must not spread.
        let keys = keys.filter(|keys| *keys > 0);
        state.replicas = keys.map_or(1, |keys| servers / keys);
        let own_keys = demand.get(&(key, self.region.clone())).and_then(|part| part.keys);
        self.update_upload_scope(state, own_keys.map_or(0.0, f64::from));
        ServiceLoad { loads, slot_s }
    }

    /// Merges the objects that other instances of the region received requests for.
    fn merge_objects(&mut self, region: &str, peers: &Peers, now: Instant) {
        for peer in peers.alive(now).filter(|peer| *peer.region == *region) {
            for (key, objects) in &peer.objects {
                let state = self.services.iter_mut().find(|(name, _)| demand_key(name) == *key);
                if let Some((_, state)) = state {
                    state.objects.merge(objects, now);
                }
            }
        }
    }

    /// Decides whether uploads choose among all backend servers of the region.
    ///
    /// An upload that stays in its availability zone saves traffic between zones, but places its
    /// object in each zone.  If that exceeds what the zone's backend servers keep in their caches,
    /// and one place per region would not, uploads choose in the whole region.
    fn update_upload_scope(&self, state: &mut ServiceState, min_objects: f64) {
        let objects = state.objects.count().max(min_objects);
        let usable =
            || state.servers.iter().filter(|server| accepts_new_requests(server, &self.evacuated));
        let of_zone =
            usable().filter(|server| server.record.availability_zone == self.zone).count();
        let of_region = usable().filter(|server| server.region == self.region).count();
        let cached_objects = match state.uploads_share_region {
            true => CACHED_OBJECTS_PER_SERVER * SHARED_UPLOADS_HYSTERESIS,
            false => CACHED_OBJECTS_PER_SERVER,
        };
        state.uploads_share_region = of_region > of_zone
            && objects > cached_objects * of_zone as f64
            && objects <= CACHED_OBJECTS_PER_SERVER * of_region as f64;
    }

    /// Updates the shares of a service.
    fn update_service_shares(
        &mut self,
        name: &Arc<str>,
        state: &mut ServiceState,
        loads: &BTreeMap<Arc<str>, RegionLoad>,
        max_optional_offload: f64,
        limits: &ShiftLimits,
        now: Instant,
    ) {
        let own = loads.get(&self.region).copied().unwrap_or_default();
        state.demand_slots = own.demand();
        let upload_target = target_upload_split(&self.region, loads);
        let upload_step = state.upload_share.step(&upload_target, own.installed_slots, limits, now);
        state.record_step(upload_step);
        let built_in = target_split_within(&self.region, loads, max_optional_offload);
        // A service added after the policies starts from the built-in rule's share.
        state.arm_shares.resize(self.arms.len(), state.share.clone());
        if self.arms.is_empty() {
            let step = state.share.step(&built_in, own.installed_slots, limits, now);
            state.record_step(step);
            return;
        }
        let view = service_view(
            name,
            state,
            &self.zone,
            &self.region,
            &self.evacuated,
            &self.region_sizes,
            now,
        );
        for arm in 0..self.arms.len() {
            let target = self.arms.target_split(arm, &view, loads, &built_in);
            let target = target.unwrap_or_else(|failure| {
                self.policy_failures.push(failure);
                built_in.clone()
            });
            let step = state.arm_shares[arm].step(&target, own.installed_slots, limits, now);
            state.record_step(step);
        }
    }
}

/// Number of live instances by region, this one included.
fn region_sizes(own: &Peer, peers: &Peers, now: Instant) -> BTreeMap<Arc<str>, usize> {
    let mut sizes = BTreeMap::new();
    for peer in peers.alive(now).chain(std::iter::once(own)) {
        *sizes.entry(peer.region.clone()).or_insert(0) += 1;
    }
    sizes
}

/// Demand of all instances, by service and region.
fn regional_demand(own: &Peer, peers: &Peers, now: Instant) -> HashMap<(u32, Arc<str>), Demand> {
    let mut demand: HashMap<(u32, Arc<str>), Demand> = HashMap::new();
    for peer in peers.alive(now).chain(std::iter::once(own)) {
        for (service, part) in &peer.demand {
            let sum = demand.entry((*service, peer.region.clone())).or_default();
            sum.movable_per_s += part.movable_per_s;
            sum.pinned_per_s += part.pinned_per_s;
            for (region, per_s) in &part.remote_only_per_s {
                match sum.remote_only_per_s.iter_mut().find(|(key, _)| key == region) {
                    Some((_, sum_per_s)) => *sum_per_s += per_s,
                    None => sum.remote_only_per_s.push((*region, *per_s)),
                }
            }
            // Instances of a region receive requests for the same objects; each region has its own.
            sum.keys = sum.keys.max(part.keys);
        }
    }
    demand
}

/// Time to a warm response of each service: the mean over all instances, weighted by their
/// requests.
///
/// One instance has few responses of a small service.  With its own figures alone, instances of one
/// region gave a service shares from 0 to 0.8 at the same time, and callers that reached another
/// instance were sent to another region.
fn mean_warm_ms(own: &Peer, peers: &Peers, now: Instant) -> HashMap<u32, f64> {
    let mut sums: HashMap<u32, (f64, f64)> = HashMap::new();
    for peer in peers.alive(now).chain(std::iter::once(own)) {
        for (service, part) in &peer.demand {
            let Some(warm_ms) = part.warm_ms else { continue };
            let per_s = f64::from(part.movable_per_s + part.pinned_per_s);
            let (weighted, weight) = sums.entry(*service).or_default();
            *weighted += f64::from(warm_ms) * per_s;
            *weight += per_s;
        }
    }
    sums.retain(|_, (_, weight)| *weight > 0.0);
    sums.into_iter().map(|(service, (weighted, weight))| (service, weighted / weight)).collect()
}
