//! The choice of the backend server that a request goes to.
use super::candidate::{Candidate, Terms, best_of};
use super::rank::{key_position, weighted_rank};
use super::request::{Choice, PlacementRequest, Refusal};
use super::roster::{Roster, accepts_new_requests};
use super::senders::Role;
use super::service::ServiceState;
use super::version_filter::VersionFilter;
use crate::deployment::{Evacuations, RequestKind};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Salt of the place of a key among the regions.
const REGION_SALT: u64 = 0x7265_6769_6f6e;

/// Shortest and longest time after which a refused caller is asked to come back.
const RETRY_AFTER: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(800)];

/// Where an instance is, and what it knows beside the backend servers.
struct Here<'a> {
    own_hash: u64,
    zone: &'a Arc<str>,
    region: &'a Arc<str>,
    /// Hashes of the living instances of the region.
    region_instances: &'a [u64],
    evacuated: &'a Evacuations,
    /// Requests a second that a cold backend server of the service bears.
    cold_rate_per_s: f64,
}

/// The backend servers that may take a request.
struct Usable {
    candidates: Vec<Candidate>,
    /// Whether most of those where the request belongs have failed, or want rest.
    is_failing: bool,
}

impl Here<'_> {
    /// The region in which a request belongs; `moved_to` is the one that its object was moved to.
    fn home(&self, moved_to: Option<&Arc<str>>, ask: &PlacementRequest<'_>) -> Arc<str> {
        let home = moved_to.unwrap_or(self.region);
        match () {
            () if ask.allowed_regions.permits(home) => home.clone(),
            // What may not go where its object belongs stays near if it may.
            () if ask.allowed_regions.permits(self.region) => self.region.clone(),
            () => home.clone(),
        }
    }

    /// The backend servers that may take a request which belongs to `home`.
    fn usable(
        &self,
        state: &mut ServiceState,
        home: &Arc<str>,
        ask: &PlacementRequest<'_>,
        versions: VersionFilter,
        now: Instant,
    ) -> Usable {
        let mean_answer = state.mean_answer();
        let stays = ask.kind == RequestKind::Upload && !state.uploads_share_region;
        let mut candidates = Vec::new();
        let (mut listed_at_home, mut out_at_home) = (0usize, 0usize);
        for (index, server) in state.servers.iter_mut().enumerate() {
            let allowed = ask.allowed_regions.permits(&server.region) && versions.admits(server);
            if !allowed
                || ask.excluded.contains(&server.id)
                || !accepts_new_requests(server, self.evacuated)
            {
                continue;
            }
            let at_home = server.region == *home;
            listed_at_home += usize::from(at_home);
            out_at_home += usize::from(at_home && server.is_out(now));
            if server.is_paused(mean_answer, now) {
                continue;
            }
            let role = Role::of(self.own_hash, self.region_instances, self.region, server.place());
            if server.is_spared(role, self.cold_rate_per_s, now) {
                continue;
            }
            let crosses_zones = stays && server.record.availability_zone != *self.zone;
            let tier = match () {
                () if at_home && !crosses_zones => 0,
                () if at_home => 1,
                () if server.region == *self.region => 2,
                () => 3,
            };
            let last = server.is_doubtful(now);
            let rank = weighted_rank(ask.key_hash, server.hash, server.record.slots);
            candidates.push(Candidate { index, tier, last, rank });
        }
        if versions.prefers_home_region() {
            candidates.retain(Candidate::is_home);
        }
        Usable { candidates, is_failing: 2 * out_at_home > listed_at_home }
    }
}

impl Roster {
    /// Chooses the backend server of a request.
    ///
    /// # Errors
    ///
    /// Refuses the request if no backend server may take it in time.
    pub fn choose(&mut self, ask: &PlacementRequest<'_>, now: Instant) -> Result<Choice, Refusal> {
        let Some(state) = self.services.get_mut(ask.service) else {
            return Err(Refusal { retry_after: RETRY_AFTER[1], usable: 0 });
        };
        let here = Here {
            own_hash: self.own_hash,
            zone: &self.zone,
            region: &self.region,
            region_instances: &self.region_instances,
            evacuated: &self.evacuated,
            cold_rate_per_s: self.cold.get(ask.service).map_or(0.0, |terms| terms.rate_per_s),
        };
        let arm = self.arms.assign(ask.key_hash).map(|(position, _)| position);
        let place = key_position(ask.key_hash, REGION_SALT);
        let moved_to = match ask.kind {
            RequestKind::Upload => None,
            _ => state.share_of(arm).region_of(place),
        };
        let home = here.home(moved_to, ask);
        let sharers = self.region_instances.len().max(1);
        let mut usable = 0;
        let found =
            state.version_filters(ask.key_hash).into_iter().flatten().find_map(|versions| {
                if versions == VersionFilter::NonTargetFallback && usable > 0 {
                    return None;
                }
                let Usable { mut candidates, is_failing } =
                    here.usable(state, &home, ask, versions, now);
                usable += candidates.len();
                let mean_answer = state.mean_answer();
                let terms = Terms {
                    replicas: state.replicas.max(1),
                    patience: ask
                        .remaining_objective
                        .saturating_sub(mean_answer)
                        .max(ask.min_wait_budget),
                    answer_ms: state.answer_ms(),
                    cold_extra_ms: state.cold_extra_ms(),
                    // What must not shift with load alone may do so when backend servers fail.
                    may_spill: is_failing || state.spill_tokens >= 1.0,
                    is_second: ask.is_hedge,
                    sharers,
                    now,
                };
                let is_warm = |incarnation| state.warmth.is_warm(ask.key_hash, incarnation, now);
                let best = best_of(&mut candidates, &state.servers, is_warm, terms)?;
                Some((best, is_failing))
            });
        let Some((best, is_failing)) = found else {
            let retry_after = state.mean_answer().clamp(RETRY_AFTER[0], RETRY_AFTER[1]);
            return Err(Refusal { retry_after, usable });
        };
        if best.tier > 1 && !is_failing {
            state.spill_tokens = (state.spill_tokens - 1.0).max(0.0);
        }
        let server = &mut state.servers[best.index];
        match () {
            () if server.region == self.region => state.placed.stayed += 1,
            () if !ask.allowed_regions.permits(&self.region) => state.placed.homed += 1,
            () if server.region == home => state.placed.moved += 1,
            () => state.placed.spilled += 1,
        }
        let cold = server.is_cold(now);
        let load = server.load.estimate(sharers, now);
        server.sent(now);
        let known_warm = state.warmth.sent(ask.key_hash, server.incarnation_hash, now);
        Ok(Choice {
            id: server.id.clone(),
            born_ms: server.record.born_ms,
            address: server.record.address,
            availability_zone: server.record.availability_zone.clone(),
            version: server.record.version.clone(),
            is_target: server.is_target,
            load,
            slots: server.record.slots,
            cold,
            known_warm,
        })
    }
}
