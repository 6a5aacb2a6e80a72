//! State that one instance has of one service.

use super::arms::Arms;
use super::condition::ConditionState;
use super::distinct_keys::DistinctKeys;
use super::incarnation::ServerRef;
use super::objects::RegionObjects;
use super::overdue::OverdueThreshold;
use super::quantile::QuantileEstimator;
use super::request::PlacementCounts;
use super::server::Server;
use super::share_step::ShareStep;
use super::shares::RegionalShare;
use super::slot_counts::SlotCounts;
use super::warmth::Warmth;
use crate::deployment::BackendServer;
use crate::rollout::VersionRule;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Quantile of the response times that stands for warm responses without waiting: a request must
/// not seem to take longer because its object was moved and is cold at the new place.
const WARM_QUANTILE: f64 = 0.3;

/// Weight of a new sample in the moving average of response times.
const SAMPLE_WEIGHT: f64 = 0.03;

/// Mean response time of a service without responses, in milliseconds.
const INITIAL_RESPONSE_MS: f64 = 300.0;

/// Time for which the conditions of an unlisted backend server are kept: entries that expired while
/// the store was down come back within seconds.
const UNLISTED_TTL: Duration = Duration::from_secs(60);

/// State that is kept of a backend server which is no longer listed.
#[derive(Debug)]
struct UnlistedServer {
    condition: ConditionState,
    since: Instant,
}

/// A service with its backend servers.
#[derive(Debug)]
pub(super) struct ServiceState {
    /// Its backend servers, in no particular order.
    pub(super) servers: Vec<Server>,
    /// Index in `servers`, by identity.
    positions: HashMap<Arc<str>, usize>,
    /// Backend servers that are no longer listed, by the hash of their incarnation.
    unlisted: HashMap<u64, UnlistedServer>,
    /// Mean response time in milliseconds, once there was a response.
    pub(super) response_ms: Option<f64>,
    /// Estimate of the [`WARM_QUANTILE`] quantile of the response times.
    warm_response_ms: QuantileEstimator,
    /// Overdue threshold for responses from the own region.
    pub(super) overdue: OverdueThreshold,
    /// Overdue threshold for responses from other regions. It is separate because these take
    /// longer, and moved objects are often cold there: with one threshold, most overdue responses
    /// would be of requests that left the region.
    pub(super) overdue_other_regions: OverdueThreshold,
    /// Requests per second that may leave the own region.
    pub(super) movable_per_s: f64,
    /// Requests per second that stay in the own region, because of their size or because only it
    /// may serve them.
    pub(super) pinned_per_s: f64,
    /// Requests per second that the own region may not serve, by target region.
    pub(super) remote_only_per_s: BTreeMap<Arc<str>, f64>,
    /// Share of the built-in rule, in use while there are no arms.
    pub(super) share: RegionalShare,
    /// Share of the uploads, which policies do not change.
    pub(super) upload_share: RegionalShare,
    /// Shares of the arms, in the order of the arms.
    pub(super) arm_shares: Vec<RegionalShare>,
    pub(super) keys: DistinctKeys,
    /// Counts the objects of the own region's requests.
    pub(super) objects: RegionObjects,
    /// Whether uploads select among all backend servers of their region.
    pub(super) uploads_share_region: bool,
    /// Which backend servers have which objects warm.
    pub(super) warmth: Warmth,
    /// Backend servers per object.
    pub(super) replicas: usize,
    /// Tokens for requests that may leave their home region.
    pub(super) spill_tokens: f64,
    /// Moved fraction of the requests as it was last reported.
    pub(super) reported_share: f64,
    /// Moved fraction of the uploads as it was last reported.
    pub(super) reported_upload_share: f64,
    /// Counts of requests by destination, since they were last taken.
    pub(super) placed: PlacementCounts,
    /// Busy slots that the own region's requests need, as of the last update of the shares.
    pub(super) demand_slots: f64,
    /// Slots in the own region, as of the last update of the shares.
    pub(super) slot_counts: SlotCounts,
    /// Whether a share followed its target at once since the shares were last reported.
    pub(super) unreported_step: ShareStep,
    /// Division of requests between versions during a rollout.
    pub(super) version_rule: Option<VersionRule>,
}

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            servers: Vec::new(),
            positions: HashMap::new(),
            unlisted: HashMap::new(),
            response_ms: None,
            warm_response_ms: QuantileEstimator::new(WARM_QUANTILE),
            overdue: OverdueThreshold::default(),
            overdue_other_regions: OverdueThreshold::default(),
            movable_per_s: 0.0,
            pinned_per_s: 0.0,
            remote_only_per_s: BTreeMap::new(),
            share: RegionalShare::default(),
            upload_share: RegionalShare::default(),
            arm_shares: Vec::new(),
            keys: DistinctKeys::default(),
            objects: RegionObjects::default(),
            uploads_share_region: false,
            warmth: Warmth::default(),
            replicas: 0,
            spill_tokens: 0.0,
            reported_share: 0.0,
            reported_upload_share: 0.0,
            placed: PlacementCounts::default(),
            demand_slots: 0.0,
            slot_counts: SlotCounts::default(),
            unreported_step: ShareStep::Paced,
            version_rule: None,
        }
    }
}

impl ServiceState {
    /// Returns the mean response time, in milliseconds.
    pub(super) fn response_ms(&self) -> f64 {
        self.response_ms.unwrap_or(INITIAL_RESPONSE_MS)
    }

    /// Returns the mean response time as a duration.
    pub(super) fn mean_response_time(&self) -> Duration {
        Duration::from_secs_f64(self.response_ms() / 1_000.0)
    }

    /// Returns the time to a warm response without waiting, in milliseconds.
    pub(super) fn warm_response_ms(&self) -> f64 {
        self.own_warm_response_ms().unwrap_or(INITIAL_RESPONSE_MS)
    }

    /// Returns the same, or `None` if this instance has had no response.
    pub(super) fn own_warm_response_ms(&self) -> Option<f64> {
        self.warm_response_ms.value()
    }

    /// Returns the additional response time where an object is cold, in milliseconds.
    pub(super) fn cold_penalty_ms(&self) -> f64 {
        self.warm_response_ms() * (self.warmth.cold_factor() - 1.0)
    }

    /// Returns the overdue threshold for other regions or for the own one.
    pub(super) fn overdue_for(&mut self, is_in_other_region: bool) -> &mut OverdueThreshold {
        if is_in_other_region { &mut self.overdue_other_regions } else { &mut self.overdue }
    }

    /// Records the time to a response; `was_warm` is whether the object was known to be warm,
    /// `is_in_other_region` whether the response came from another region.
    pub(super) fn record_response(
        &mut self,
        was_warm: bool,
        is_in_other_region: bool,
        sample_ms: f64,
    ) {
        self.warmth.record_response(was_warm, sample_ms);
        let mean = self.response_ms.unwrap_or(sample_ms);
        self.response_ms = Some(mean + (sample_ms - mean) * SAMPLE_WEIGHT);
        self.warm_response_ms.add(sample_ms);
        self.overdue_for(is_in_other_region).record_response(sample_ms);
    }

    /// Returns the share of an arm.
    pub(super) fn share_of(&self, arm: Option<usize>) -> &RegionalShare {
        arm.and_then(|arm| self.arm_shares.get(arm)).unwrap_or(&self.share)
    }

    /// Returns the fraction of the movable requests that goes to other regions.
    pub(super) fn moved_fraction(&self, arms: &Arms) -> f64 {
        match self.arm_shares.as_slice() {
            [] => self.share.moved_fraction(),
            shares => shares
                .iter()
                .zip(0..)
                .map(|(share, arm)| share.moved_fraction() * arms.object_fraction(arm))
                .sum(),
        }
    }

    /// Starts the shares of new arms with the mean of the current ones.
    pub(super) fn begin_arms(&mut self, current_arms: &Arms, count: usize) {
        self.share = self.mean_share(current_arms);
        self.arm_shares = vec![self.share.clone(); count];
    }

    /// Records how a share changed, until it is reported.
    pub(super) fn record_step(&mut self, step: ShareStep) {
        if step == ShareStep::AtOnce {
            self.unreported_step = step;
        }
    }

    fn mean_share(&self, arms: &Arms) -> RegionalShare {
        let parts = self.arm_shares.iter().zip(0..arms.len());
        let parts: Vec<_> = parts.map(|(share, arm)| (share, arms.object_fraction(arm))).collect();
        if parts.is_empty() { self.share.clone() } else { RegionalShare::mean(&parts) }
    }

    /// Applies the list of the service's backend servers; `region_of` maps an availability zone to
    /// its region.
    pub(super) fn set_servers(
        &mut self,
        listed: &BTreeMap<&Arc<str>, &BackendServer>,
        region_of: impl Fn(&Arc<str>) -> Arc<str>,
        now: Instant,
    ) {
        self.remove_unlisted(listed, now);
        self.rebuild_positions();
        for (id, record) in listed {
            match self.positions.get(*id) {
                Some(position)
                    if self.servers[*position].record.started_ms == record.started_ms =>
                {
                    self.servers[*position].update(record, now);
                }
                // Observations of an earlier incarnation don't apply to the next one.
                existing => {
                    let region = region_of(&record.availability_zone);
                    let mut server = Server::new((*id).clone(), (*record).clone(), region, now);
                    if let Some(UnlistedServer { condition, .. }) =
                        self.unlisted.remove(&server.incarnation_hash)
                    {
                        server.condition = condition;
                    }
                    match existing {
                        Some(position) => self.servers[*position] = server,
                        None => self.servers.push(server),
                    }
                }
            }
        }
        self.rebuild_positions();
        self.mark_versions();
    }

    /// Removes unlisted backend servers, but keeps the conditions that they announce: the list may
    /// lack a backend server for a moment while it goes on unchanged.
    fn remove_unlisted(&mut self, listed: &BTreeMap<&Arc<str>, &BackendServer>, now: Instant) {
        self.unlisted.retain(|_, unlisted| {
            now.duration_since(unlisted.since) < UNLISTED_TTL
                || unlisted.condition.is_backing_off(now)
        });
        let removed = self.servers.extract_if(.., |server| !listed.contains_key(&server.id));
        // Also of those without any: a response that is under way may still state some.
        self.unlisted.extend(removed.map(|server| {
            (server.incarnation_hash, UnlistedServer { condition: server.condition, since: now })
        }));
    }

    /// Returns the index of a backend server in `servers`, if it is listed.
    pub(super) fn position_of(&self, ServerRef { id, started_ms }: ServerRef<'_>) -> Option<usize> {
        let position = *self.positions.get(id)?;
        let is_listed = |started_ms| started_ms == self.servers[position].record.started_ms;
        started_ms.is_none_or(is_listed).then_some(position)
    }

    /// Returns the conditions of an unlisted incarnation, by its hash, if they are kept.
    pub(super) fn unlisted_condition_mut(
        &mut self,
        incarnation_hash: u64,
    ) -> Option<&mut ConditionState> {
        self.unlisted.get_mut(&incarnation_hash).map(|unlisted| &mut unlisted.condition)
    }

    fn rebuild_positions(&mut self) {
        let ids = self.servers.iter().map(|server| server.id.clone());
        self.positions = ids.zip(0..).collect();
    }
}
