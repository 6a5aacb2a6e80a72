//! Demand that this instance receives and reports to other instances.

use super::objects::ObjectBitmap;
use super::peers::Demand;
use super::roster::{DEMAND_WINDOW_S, Roster, demand_key, region_key};
use super::service::ServiceState;
use crate::deployment::{AllowedRegions, RequestKind};
use crate::terms::timings::ShiftLimits;
use std::sync::Arc;
use std::time::Instant;

/// Most requests that may spill in a row.
const MAX_SPILLS: f64 = 3.0;

impl Roster {
    /// Counts a request from a caller and its object; `allowed` are the regions that may serve it.
    pub fn record_request(
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
        // Spilled requests and moved shares count towards the same limit on requests that change
        // their region.
        let ShiftLimits { max_offload, spill_ratio, .. } = self.shift_limits;
        let allowance = (max_offload - state.moved_fraction(&self.arms)).clamp(0.0, spill_ratio);
        state.spill_tokens = (state.spill_tokens + allowance).min(MAX_SPILLS);
        let per_s = 1.0 / DEMAND_WINDOW_S;
        match allowed {
            AllowedRegions::Only(regions) if !allowed.permits(&self.region) => {
                for region in regions {
                    let remote_only_per_s =
                        state.remote_only_per_s.entry(region.clone()).or_default();
                    *remote_only_per_s += per_s / regions.len() as f64;
                }
            }
            AllowedRegions::Only(regions) if regions.len() == 1 => state.pinned_per_s += per_s,
            _ if kind == RequestKind::Upload => state.pinned_per_s += per_s,
            _ => state.movable_per_s += per_s,
        }
    }

    /// The demand of this instance by service key, as sent to other instances.
    pub fn demand(&self) -> Vec<(u32, Demand)> {
        self.services
            .iter()
            .map(|(name, state)| {
                let movable_per_s = state.movable_per_s as f32;
                let pinned_per_s = state.pinned_per_s as f32;
                let remote_only = state.remote_only_per_s.iter();
                let remote_only_per_s = remote_only
                    .map(|(region, per_s)| (region_key(region), *per_s as f32))
                    .collect();
                let keys = state.keys.count().map(|keys| keys.try_into().unwrap_or(u32::MAX));
                let warm_ms = state.own_warm_response_ms().map(|warm_ms| warm_ms as f32);
                let demand =
                    Demand { movable_per_s, pinned_per_s, remote_only_per_s, keys, warm_ms };
                (demand_key(name), demand)
            })
            .collect()
    }

    /// The objects that the region's requests concern, by service key, as sent to other instances.
    pub fn objects(&self) -> Vec<(u32, ObjectBitmap)> {
        let bitmap_by_key =
            |(name, state): (&Arc<str>, &ServiceState)| (demand_key(name), state.objects.bitmap());
        self.services.iter().map(bitmap_by_key).collect()
    }
}
