//! What one instance knows of one service.

use super::arms::Arms;
use super::ask::Placed;
use super::condition::KnownCondition;
use super::distinct_keys::DistinctKeys;
use super::objects::RegionObjects;
use super::overdue::Overdue;
use super::quantile::Quantile;
use super::server::Server;
use super::shares::RegionalShare;
use super::warmth::Warmth;
use crate::deployment::BackendServer;
use crate::rollout::VersionRule;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Part of the answers that are taken to be warm and to have waited for nothing: the work of a
/// request must not seem to grow because its object was moved and is cold where it is now.
const WARM_QUANTILE: f64 = 0.3;

/// Weight of a new sample in a service's mean answer time.
const SAMPLE_WEIGHT: f64 = 0.03;

/// Mean answer time of a service until one is known, in milliseconds.
const FIRST_ANSWER_MS: f64 = 300.0;

/// Time for which the condition of a backend server is kept that is listed no more: entries that lapsed
/// while the store was down come back within seconds.
const ABSENT_FOR: Duration = Duration::from_secs(60);

/// What was known of a backend server that is listed no more.
#[derive(Debug)]
struct Absent {
    condition: KnownCondition,
    since: Instant,
}

/// A service with its backend servers.
#[derive(Debug)]
pub(super) struct ServiceState {
    /// Its backend servers; their order means nothing.
    pub(super) servers: Vec<Server>,
    /// Position of each in `servers`, by identity.
    pub(super) positions: HashMap<Arc<str>, usize>,
    /// Backend servers that are listed no more, by the hash of their incarnation.
    absent: HashMap<u64, Absent>,
    pub(super) answer_ms: Option<f64>,
    /// Answer time that a part of [`WARM_QUANTILE`] of the answers stays below.
    warm_answer_ms: Quantile,
    /// When an answer of the own region is overdue.
    pub(super) overdue: Overdue,
    /// When one of another region is: it has a longer way, and what was moved is often cold there, so
    /// that most of the overdue answers would be of requests that left.
    pub(super) overdue_away: Overdue,
    pub(super) movable_per_s: f64,
    pub(super) pinned_per_s: f64,
    /// Requests that the own region may not serve, by the region that they go to.
    pub(super) remote_only_per_s: BTreeMap<Arc<str>, f64>,
    /// The share of the built-in rule, in use while there are no arms.
    pub(super) share: RegionalShare,
    /// The shares of the arms, in their order.
    pub(super) arm_shares: Vec<RegionalShare>,
    pub(super) keys: DistinctKeys,
    /// Objects that the own region's requests concern.
    pub(super) objects: RegionObjects,
    /// Whether uploads choose among all backend servers of their region.
    pub(super) uploads_share_region: bool,
    /// Which backend servers have which objects warm.
    pub(super) warmth: Warmth,
    /// Backend servers that an object is spread over.
    pub(super) replicas: usize,
    /// Requests that may go elsewhere than where they belong.
    pub(super) spill_tokens: f64,
    pub(super) reported_share: f64,
    /// Where requests were sent since that was taken last.
    pub(super) placed: Placed,
    pub(super) demand_slots: f64,
    /// How requests are divided between versions, while one is brought in.
    pub(super) version_rule: Option<VersionRule>,
}

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            servers: Vec::new(),
            positions: HashMap::new(),
            absent: HashMap::new(),
            answer_ms: None,
            warm_answer_ms: Quantile::new(WARM_QUANTILE),
            overdue: Overdue::default(),
            overdue_away: Overdue::default(),
            movable_per_s: 0.0,
            pinned_per_s: 0.0,
            remote_only_per_s: BTreeMap::new(),
            share: RegionalShare::default(),
            arm_shares: Vec::new(),
            keys: DistinctKeys::default(),
            objects: RegionObjects::default(),
            uploads_share_region: false,
            warmth: Warmth::default(),
            replicas: 0,
            spill_tokens: 0.0,
            reported_share: 0.0,
            placed: Placed::default(),
            demand_slots: 0.0,
            version_rule: None,
        }
    }
}

impl ServiceState {
    /// Mean time to an answer, in milliseconds.
    pub(super) fn answer_ms(&self) -> f64 {
        self.answer_ms.unwrap_or(FIRST_ANSWER_MS)
    }

    /// The same, as a time.
    pub(super) fn mean_answer(&self) -> Duration {
        Duration::from_secs_f64(self.answer_ms() / 1_000.0)
    }

    /// Time to an answer of a request that is warm and waited for nothing, in milliseconds.
    pub(super) fn warm_answer_ms(&self) -> f64 {
        self.own_warm_answer_ms().unwrap_or(FIRST_ANSWER_MS)
    }

    /// The same, once this instance has had an answer.
    pub(super) fn own_warm_answer_ms(&self) -> Option<f64> {
        self.warm_answer_ms.value()
    }

    /// Time that a request for an object takes longer where that is cold, in milliseconds.
    pub(super) fn cold_extra_ms(&self) -> f64 {
        self.warm_answer_ms() * (self.warmth.cold_factor() - 1.0)
    }

    /// When answers are overdue, of another region or of the own one.
    pub(super) fn overdue_of(&mut self, is_in_other_region: bool) -> &mut Overdue {
        if is_in_other_region { &mut self.overdue_away } else { &mut self.overdue }
    }

    /// Takes over the time to an answer; `was_warm` tells whether the object was known to be warm, `is_in_other_region`
    /// whether it came from another region.
    pub(super) fn answered(&mut self, was_warm: bool, is_in_other_region: bool, sample_ms: f64) {
        self.warmth.answered(was_warm, sample_ms);
        let mean = self.answer_ms.unwrap_or(sample_ms);
        self.answer_ms = Some(mean + (sample_ms - mean) * SAMPLE_WEIGHT);
        self.warm_answer_ms.add(sample_ms);
        self.overdue_of(is_in_other_region).answered(sample_ms);
    }

    /// The share in use for an arm.
    pub(super) fn share_of(&self, arm: Option<usize>) -> &RegionalShare {
        arm.and_then(|arm| self.arm_shares.get(arm)).unwrap_or(&self.share)
    }

    /// The part of the movable requests that goes to other regions.
    pub(super) fn moved_fraction(&self, arms: &Arms) -> f64 {
        let of = |share: &RegionalShare| share.split().values().sum::<f64>();
        match self.arm_shares.as_slice() {
            [] => of(&self.share),
            shares => shares.iter().zip(0..).map(|(share, arm)| of(share) * arms.part(arm)).sum(),
        }
    }

    /// Begins the shares of new arms with the mean of the present ones.
    pub(super) fn begin_arms(&mut self, present: &Arms, count: usize) {
        self.share = self.mean_share(present);
        self.arm_shares = vec![self.share.clone(); count];
    }

    fn mean_share(&self, arms: &Arms) -> RegionalShare {
        let parts = self.arm_shares.iter().zip(0..arms.len());
        let parts: Vec<_> = parts.map(|(share, arm)| (share, arms.part(arm))).collect();
        if parts.is_empty() { self.share.clone() } else { RegionalShare::mean(&parts) }
    }

    /// Takes over the list of the service's backend servers; `region_of` an availability zone.
    pub(super) fn set_servers(
        &mut self,
        listed: &BTreeMap<&Arc<str>, &BackendServer>,
        region_of: impl Fn(&Arc<str>) -> Arc<str>,
        now: Instant,
    ) {
        self.remove_unlisted(listed, now);
        self.index();
        for (id, record) in listed {
            match self.positions.get(*id) {
                Some(position) if self.servers[*position].record.born_ms == record.born_ms => {
                    self.servers[*position].update(record, now);
                }
                // What was learned of an earlier incarnation does not hold for the next one.
                known => {
                    let region = region_of(&record.availability_zone);
                    let mut server = Server::new((*id).clone(), (*record).clone(), region, now);
                    if let Some(Absent { condition, .. }) =
                        self.absent.remove(&server.incarnation_hash)
                    {
                        server.condition = condition;
                    }
                    match known {
                        Some(position) => self.servers[*position] = server,
                        None => self.servers.push(server),
                    }
                }
            }
        }
        self.index();
        self.mark_versions();
    }

    /// Removes backend servers that are listed no more.  What they said of their condition is kept: the
    /// list may lack them for a moment, while they go on as they are.
    fn remove_unlisted(&mut self, listed: &BTreeMap<&Arc<str>, &BackendServer>, now: Instant) {
        self.absent.retain(|_, absent| now.duration_since(absent.since) < ABSENT_FOR);
        let gone = self.servers.extract_if(.., |server| !listed.contains_key(&server.id));
        let bound = gone.filter(|server| server.condition.binds(now));
        self.absent.extend(bound.map(|server| {
            (server.incarnation_hash, Absent { condition: server.condition, since: now })
        }));
    }

    fn index(&mut self) {
        let ids = self.servers.iter().map(|server| server.id.clone());
        self.positions = ids.zip(0..).collect();
    }
}
