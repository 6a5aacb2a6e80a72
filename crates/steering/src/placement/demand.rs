//! What is asked of an instance, and what it tells others of it.

use super::objects::ObjectBitmap;
use super::peers::Demand;
use super::roster::{DEMAND_WINDOW_S, Roster, demand_key, region_key};
use super::service::ServiceState;
use super::shares::MOST_LEAVING;
use crate::deployment::{AllowedRegions, RequestKind};
use std::sync::Arc;
use std::time::Instant;

/// Part of the requests that may go elsewhere than where they belong while nothing fails, as far as
/// the moved shares leave room for it in [`MOST_LEAVING`].
const SPILL_RATIO: f64 = 0.04;

/// Most requests that go elsewhere in a row.
const MOST_SPILLS: f64 = 3.0;

impl Roster {
    /// Counts a request of a caller, and its object; `allowed` are the regions that may serve it.
    pub fn asked(
        &mut self,
        service: &Arc<str>,
        kind: RequestKind,
        key_hash: u64,
        allowed: &AllowedRegions,
        now: Instant,
    ) {
        let state = self.services.entry(service.clone()).or_default();
        state.keys.record(key_hash, now);
        state.objects.record(key_hash, now);
        // Callers that come back after a refusal meet the same full backend servers: beside a moved
        // share, 4 in 100 more broke the allowed shift on 8 of 40 calm days, within the bound on 1 of 73.
        let left = (MOST_LEAVING - state.moved_fraction(&self.arms)).clamp(0.0, SPILL_RATIO);
        state.spill_tokens = (state.spill_tokens + left).min(MOST_SPILLS);
        let per_s = 1.0 / DEMAND_WINDOW_S;
        match allowed {
            AllowedRegions::Only(regions) if !allowed.permit(&self.region) => {
                for region in regions {
                    let homed_per_s = state.remote_only_per_s.entry(region.clone()).or_default();
                    *homed_per_s += per_s / regions.len() as f64;
                }
            }
            AllowedRegions::Only(regions) if regions.len() == 1 => state.pinned_per_s += per_s,
            _ if kind == RequestKind::Upload => state.pinned_per_s += per_s,
            _ => state.movable_per_s += per_s,
        }
    }

    /// The demand of this instance by service, for the other ones.
    pub fn demand(&self) -> Vec<(u32, Demand)> {
        self.services
            .iter()
            .map(|(name, state)| {
                let movable_per_s = state.movable_per_s as f32;
                let near_per_s = state.pinned_per_s as f32;
                let homed = state.remote_only_per_s.iter();
                let homed_per_s =
                    homed.map(|(region, per_s)| (region_key(region), *per_s as f32)).collect();
                let keys = state.keys.count().map(|keys| keys.try_into().unwrap_or(u32::MAX));
                let warm_ms = state.own_warm_answer_ms().map(|warm_ms| warm_ms as f32);
                let demand = Demand { movable_per_s, near_per_s, homed_per_s, keys, warm_ms };
                (demand_key(name), demand)
            })
            .collect()
    }

    /// The objects that the region's requests concern, by service, for the other instances.
    pub fn objects(&self) -> Vec<(u32, ObjectBitmap)> {
        let told =
            |(name, state): (&Arc<str>, &ServiceState)| (demand_key(name), state.objects.bitmap());
        self.services.iter().map(told).collect()
    }
}
