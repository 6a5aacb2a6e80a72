//! Selection of the backend server for a request.

use super::candidate::{Candidate, SelectionContext, select_candidate};
use super::rank::{key_position, weighted_rank};
use super::region_view::RegionView;
use super::request::{Choice, PlacementRequest, Refusal};
use super::roster::{Roster, accepts_new_requests};
use super::senders::ColdRate;
use super::service::ServiceState;
use super::version_filter::VersionFilter;
use crate::deployment::{AllowedRegions, Evacuations, RequestKind};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Salt of the hash that assigns keys to regions.
const REGION_SALT: u64 = 0x7265_6769_6f6e;

/// Bounds of the time after which a refused caller is told to retry.
const RETRY_AFTER: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(800)];

/// Location of this instance, and the inputs of a selection that don't depend on the backend
/// server.
struct LocalContext<'a> {
    zone: &'a Arc<str>,
    region: &'a Arc<str>,
    region_view: &'a RegionView,
    evacuated: &'a Evacuations,
    /// Rate of requests to a cold backend server of the service.
    cold_rate: ColdRate,
}

/// The backend servers that may serve a request.
struct EligibleServers {
    candidates: Vec<Candidate>,
    /// Whether more than half of those in the home region have failed or asked for a backoff.
    is_failing: bool,
    /// Whether any of them is in the home region.
    has_home: bool,
    /// Whether requests may go to any other region while none of them is in the home region: it has
    /// no backend servers, or most of them failed, are silent or cold.
    may_displace: bool,
}

impl LocalContext<'_> {
    /// Returns the home region of a request; `moved_to` is the region that its object was moved to,
    /// if any.
    fn home(&self, moved_to: Option<&Arc<str>>, request: &PlacementRequest<'_>) -> Arc<str> {
        let home = moved_to.unwrap_or(self.region);
        match () {
            () if request.allowed_regions.permits(home) => home.clone(),
            // A request that may not run in its object's region runs in the own region if allowed.
            () if request.allowed_regions.permits(self.region) => self.region.clone(),
            () => home.clone(),
        }
    }

    /// Returns the backend servers that may serve a request whose home region is `home`.
    fn eligible_servers(
        &self,
        state: &mut ServiceState,
        home: &Arc<str>,
        request: &PlacementRequest<'_>,
        versions: VersionFilter,
        now: Instant,
    ) -> EligibleServers {
        let mean_response_time = state.mean_response_time();
        let avoids_zone_crossing =
            request.kind == RequestKind::Upload && !state.uploads_share_region;
        let mut candidates = Vec::new();
        let (mut listed_at_home, mut unavailable_at_home, mut lost_at_home) =
            (0usize, 0usize, 0usize);
        for (index, server) in state.servers.iter_mut().enumerate() {
            let allowed =
                request.allowed_regions.permits(&server.region) && versions.admits(server);
            if !allowed
                || request.excluded.contains(&server.id)
                || !accepts_new_requests(server, self.evacuated)
            {
                continue;
            }
            let at_home = server.region == *home;
            listed_at_home += usize::from(at_home);
            unavailable_at_home += usize::from(at_home && server.is_unavailable(now));
            lost_at_home += usize::from(at_home && server.is_lost(mean_response_time, now));
            if server.is_paused(mean_response_time, now) {
                continue;
            }
            if server.is_rate_limited(self.region_view, self.cold_rate, now) {
                continue;
            }
            let crosses_zones =
                avoids_zone_crossing && server.record.availability_zone != *self.zone;
            let tier = match () {
                () if at_home && !crosses_zones => 0,
                () if at_home => 1,
                () if server.region == *self.region => 2,
                () => 3,
            };
            let is_deprioritized = server.is_degraded(now);
            let rank = weighted_rank(request.key_hash, server.hash, server.record.slots);
            candidates.push(Candidate { index, tier, is_deprioritized, rank });
        }
        if versions.prefers_home_region() {
            candidates.retain(Candidate::is_home);
        }
        let has_home = candidates.iter().any(Candidate::is_home);
        let is_failing = 2 * unavailable_at_home > listed_at_home;
        let may_displace = listed_at_home == 0 || 2 * lost_at_home > listed_at_home;
        EligibleServers { candidates, is_failing, has_home, may_displace }
    }

    /// Returns the time until the first backend server may get requests again, if all that may serve a
    /// request asked for a backoff.
    fn common_backoff(
        &self,
        state: &ServiceState,
        allowed_regions: &AllowedRegions,
        now: Instant,
    ) -> Option<Duration> {
        let serving = state.servers.iter().filter(|server| {
            allowed_regions.permits(&server.region) && accepts_new_requests(server, self.evacuated)
        });
        let shortest = serving.map(|server| server.condition.backoff_left(now)).min()?;
        (!shortest.is_zero()).then_some(shortest)
    }
}

impl Roster {
    /// Selects the backend server of a request.
    ///
    /// # Errors
    ///
    /// Refuses the request if no backend server can serve it in time.
    pub fn choose(
        &mut self,
        request: &PlacementRequest<'_>,
        now: Instant,
    ) -> Result<Choice, Refusal> {
        let cold_rate = self.cold_rate(request.service);
        let Some(state) = self.services.get_mut(request.service) else {
            return Err(Refusal { retry_after: RETRY_AFTER[1], usable: 0 });
        };
        let local = LocalContext {
            zone: &self.zone,
            region: &self.region,
            region_view: &self.region_view,
            evacuated: &self.evacuated,
            cold_rate,
        };
        let arm = self.arms.assign(request.key_hash).map(|(position, _)| position);
        let region_position = key_position(request.key_hash, REGION_SALT);
        let moved_to = match request.kind {
            RequestKind::Upload => state.upload_share.region_of(region_position),
            _ => state.share_of(arm).region_of(region_position),
        };
        let home = local.home(moved_to, request);
        let sending_instances = self.region_view.size();
        let mut usable = 0;
        let found =
            state.version_filters(request.key_hash).into_iter().flatten().find_map(|versions| {
                if versions == VersionFilter::NonTargetFallback && usable > 0 {
                    return None;
                }
                let EligibleServers { mut candidates, is_failing, has_home, may_displace } =
                    local.eligible_servers(state, &home, request, versions, now);
                usable += candidates.len();
                let mean_response_time = state.mean_response_time();
                let context = SelectionContext {
                    replicas: state.replicas.max(1),
                    max_wait: request
                        .remaining_objective
                        .saturating_sub(mean_response_time)
                        .max(request.min_wait_budget),
                    response_ms: state.response_ms(),
                    cold_penalty_ms: state.cold_penalty_ms(),
                    // Load alone must not move these requests, but failures of backend servers may.
                    may_spill: is_failing || state.spill_tokens >= 1.0,
                    may_displace,
                    is_hedge: request.is_hedge,
                    sending_instances,
                    now,
                };
                let is_warm =
                    |incarnation| state.warmth.is_warm(request.key_hash, incarnation, now);
                let best = select_candidate(&mut candidates, &state.servers, is_warm, context)?;
                Some((best, is_failing, has_home))
            });
        let Some((best, is_failing, has_home)) = found else {
            let backoff_left = local.common_backoff(state, request.allowed_regions, now);
            let retry_after = backoff_left.unwrap_or_else(|| {
                state.mean_response_time().clamp(RETRY_AFTER[0], RETRY_AFTER[1])
            });
            return Err(Refusal { retry_after, usable });
        };
        if best.tier > 1 && !is_failing {
            state.spill_tokens = (state.spill_tokens - 1.0).max(0.0);
        }
        let server = &mut state.servers[best.index];
        match () {
            () if server.region == self.region => state.placed.stayed += 1,
            () if !request.allowed_regions.permits(&self.region) => state.placed.homed += 1,
            () if server.region == home => state.placed.moved += 1,
            () => {
                state.placed.spilled += 1;
                state.placed.displaced += u64::from(!has_home);
            }
        }
        let cold = server.is_cold(now);
        let load = server.load.estimate(sending_instances, now);
        server.record_sent(now);
        let was_object_warm =
            state.warmth.record_sent(request.key_hash, server.incarnation_hash, now);
        Ok(Choice {
            id: server.id.clone(),
            started_ms: server.record.started_ms,
            address: server.record.address,
            availability_zone: server.record.availability_zone.clone(),
            version: server.record.version.clone(),
            is_target: server.is_target,
            load,
            slots: server.record.slots,
            cold,
            was_object_warm,
        })
    }
}
