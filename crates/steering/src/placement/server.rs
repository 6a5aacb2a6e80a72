//! State that one instance has of one backend server.

use super::condition::ConditionState;
use super::incarnation::Incarnation;
use super::load::{Load, LoadReport};
use super::rank::{name_hash, rank};
use super::region_view::RegionView;
use super::role::Role;
use super::senders::{ColdRate, SenderCount, TokenBucket};
use super::slot_counts::SlotCounts;
use crate::deployment::BackendServer;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pause after the first failure; it doubles with each further one.
const FIRST_FAILURE_PAUSE: Duration = Duration::from_millis(400);

/// Longest pause after repeated failures.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(4);

/// Pause after a backend server had no free slot.
const SHED_PAUSE: Duration = Duration::from_millis(50);

/// Time without a response after which a backend server with requests in flight counts as silent: a
/// lower bound, and a multiple of the service's mean response time. A cold response takes three
/// times the mean.
const SILENCE_TIMEOUT: (Duration, f64) = (Duration::from_millis(1500), 5.0);

/// Weight of a new sample in the moving average of response times.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Weight of one response in the failure ratio.
const FAILURE_WEIGHT: f64 = 0.1;

/// Failure ratio above which a backend server is degraded: one failure among ten responses is
/// chance, two in a row among few are not.
const MAX_FAILURE_RATIO: f64 = 0.15;

/// Multiple of the service's warm response time above which a backend server counts as slow:
/// waiting for a slot under load alone takes it to between 1 and 2.
const SLOW_FACTOR: f64 = 2.5;

/// Lower bound of the response time that slowness is relative to: below it, the network and the
/// instance's scheduling add as much as the backend server.
pub(crate) const MIN_WARM_MS: f64 = 10.0;

/// Time without a response after which slowness and failures no longer count: the backend server
/// gets its objects back, and its next responses decide.
const OBSERVATION_TTL: Duration = Duration::from_secs(4);

/// Fraction of the slots that counts while a backend server is cold, as it works slower.
const COLD_SLOT_FRACTION: f64 = 0.1;

/// How an exchange with a backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// A complete response.
    Answered {
        /// Time from sending the request to the head of the response.
        after: Duration,
        /// Whether the object was known to be warm there.
        was_object_warm: bool,
    },
    /// A complete response that reports a failure of the request.
    Erred,
    /// It refused to run the request, for lack of a free slot.
    Shed,
    /// The connection could not be opened, or broke.
    Failed,
    /// Another backend server has its address now.
    Replaced,
    /// The caller or this instance gave up.
    Abandoned,
    /// Nothing was sent.
    Unsent,
}

/// A backend server and what this instance has observed of it.
#[derive(Debug)]
pub struct Server {
    /// Its identity.
    pub id: Arc<str>,
    /// Its registration record.
    pub record: BackendServer,
    /// Its region.
    pub region: Arc<str>,
    /// Hash of its identity, which seeds its ranks.
    pub hash: u64,
    /// Hash of its incarnation; a new incarnation starts with no objects warm.
    pub incarnation_hash: u64,
    /// Its load.
    pub load: Load,
    /// Limits this instance's requests while it is cold.
    pub bucket: TokenBucket,
    /// Conditions that it announced in responses.
    pub condition: ConditionState,
    /// Whether it runs the target version of a rollout.
    pub is_target: bool,
    /// Whether it is one of the few with the target version that get requests during the trial.
    pub is_in_trial: bool,
    cold_until: Option<Instant>,
    failures: u32,
    failed_until: Option<Instant>,
    shed_until: Option<Instant>,
    last_response_at: Instant,
    response_ms: Option<f64>,
    /// Moving average of failures among its responses.
    failure_ratio: f64,
    /// Moving average of its warm response times relative to those of the service.
    slowness: f64,
}

/// Returns the hash of an incarnation.
pub(super) fn incarnation_hash(id: &str, started_ms: u64) -> u64 {
    rank(started_ms, name_hash(id))
}

impl Server {
    /// Creates the state from the registration record.
    pub fn new(id: Arc<str>, record: BackendServer, region: Arc<str>, now: Instant) -> Self {
        let hash = name_hash(&id);
        let incarnation_hash = incarnation_hash(&id, record.started_ms);
        let mut server = Self {
            id,
            record,
            region,
            hash,
            incarnation_hash,
            load: Load::default(),
            bucket: TokenBucket::new(now),
            condition: ConditionState::default(),
            is_target: false,
            is_in_trial: false,
            cold_until: None,
            failures: 0,
            failed_until: None,
            shed_until: None,
            last_response_at: now,
            response_ms: None,
            failure_ratio: 0.0,
            slowness: 1.0,
        };
        server.mark_cold(server.record.cold_remaining, now);
        server
    }

    /// Returns the incarnation that this state describes.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), started_ms: self.record.started_ms }
    }

    /// Returns the hash of its identity and its region.
    pub fn hash_and_region(&self) -> (u64, &str) {
        (self.hash, &self.region)
    }

    /// Applies a new registration record of the same incarnation.
    pub fn update(&mut self, record: &BackendServer, now: Instant) {
        if self.record != *record {
            self.record = record.clone();
            self.mark_cold(record.cold_remaining, now);
        }
    }

    /// Marks it as cold for a time, unless it is already cold for longer.
    pub fn mark_cold(&mut self, time: Duration, now: Instant) {
        if !time.is_zero() {
            self.cold_until = self.cold_until.max(Some(now + time));
        }
    }

    /// Records the result of a health check: `cold` is the remaining time for which it is cold.
    pub fn record_health_check(&mut self, cold: Duration, now: Instant) {
        self.cold_until = (!cold.is_zero()).then(|| now + cold);
        self.failures = 0;
        self.failed_until = None;
    }

    /// Forgets its failures and its silence.
    pub(super) fn forgive(&mut self, now: Instant) {
        self.failures = 0;
        self.failed_until = None;
        self.last_response_at = now;
    }

    /// Returns whether it is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }

    /// Returns whether the rate limit keeps the next request of this instance away: `cold_rate`
    /// while it is cold, and always the limit that it announces.
    pub(super) fn is_rate_limited(
        &mut self,
        view: &RegionView,
        cold_rate: ColdRate,
        now: Instant,
    ) -> bool {
        if !self.is_cold(now) && self.condition.limit.is_none() {
            return false;
        }
        let role = view.role_for(self.hash_and_region());
        let may_send_cold = |bucket: &mut TokenBucket| {
            role == Role::Sender && bucket.has_token(cold_rate.per_s, cold_rate.limits, now)
        };
        let exceeds_cold_rate = self.is_cold(now) && !may_send_cold(&mut self.bucket);
        exceeds_cold_rate || !self.condition.permits_request(role, view.live_fraction(), now)
    }

    /// Returns its slots by what keeps them from use, if a request occupies one for `slot_s` seconds
    /// and `version_share` of its slots counts.
    pub fn slot_counts(
        &self,
        version_share: f64,
        slot_s: f64,
        senders: SenderCount,
        now: Instant,
    ) -> SlotCounts {
        let listed = f64::from(self.record.slots);
        let warm = if self.is_cold(now) { COLD_SLOT_FRACTION * listed } else { listed };
        let usable = self.condition.usable_slots(warm, slot_s, senders);
        SlotCounts {
            listed,
            cold: listed - warm,
            limited: warm - usable,
            versioned: usable * (1.0 - version_share),
        }
    }

    /// Returns whether it is paused after a failure.
    pub fn has_failed(&self, now: Instant) -> bool {
        self.failed_until.is_some_and(|until| until > now)
    }

    /// Returns whether a recent failure or a backoff keeps it from serving its objects.
    pub fn is_unavailable(&self, now: Instant) -> bool {
        self.has_failed(now) || self.condition.is_backing_off(now)
    }

    /// Returns whether it should get no requests for now, because it failed, asked for a backoff,
    /// had no free slot or is silent; `mean_response_time` is the mean response time of its
    /// service.
    pub fn is_paused(&self, mean_response_time: Duration, now: Instant) -> bool {
        self.is_silent(mean_response_time, now)
            || self.is_unavailable(now)
            || self.shed_until.is_some_and(|until| until > now)
    }

    /// Returns whether it failed, is silent, is cold or asked for a backoff: neither load nor a rate
    /// limit keeps requests away.
    pub fn is_lost(&self, mean_response_time: Duration, now: Instant) -> bool {
        self.is_silent(mean_response_time, now) || self.is_unavailable(now) || self.is_cold(now)
    }

    fn is_silent(&self, mean_response_time: Duration, now: Instant) -> bool {
        let silence = SILENCE_TIMEOUT.0.max(mean_response_time.mul_f64(SILENCE_TIMEOUT.1));
        self.load.in_flight > 0 && now.duration_since(self.last_response_at) > silence
    }

    /// Returns the moving average of failures among its responses, in `0.0..=1.0`.
    pub fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }

    /// Returns the time since its last response, or since the first request after an idle time.
    pub fn time_since_response(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_response_at)
    }

    /// Returns whether it has answered after `time`.
    pub fn answered_after(&self, time: Instant) -> bool {
        self.last_response_at > time
    }

    /// Returns whether so many of its responses are failures, or its warm responses so slow, that
    /// its objects should go to others.
    ///
    /// Refusals despite a free slot don't count: they would move objects back when the refusals
    /// end, which costs more than a retry.
    pub fn is_degraded(&self, now: Instant) -> bool {
        self.has_recent_response(now)
            && (self.failure_ratio > MAX_FAILURE_RATIO || self.slowness > SLOW_FACTOR)
    }

    fn has_recent_response(&self, now: Instant) -> bool {
        self.time_since_response(now) < OBSERVATION_TTL
    }

    /// Returns its mean response time in milliseconds, once there was a response.
    pub fn response_ms(&self) -> Option<f64> {
        self.response_ms
    }

    /// Counts a request that is sent to it.
    pub fn record_sent(&mut self, now: Instant) {
        if !self.has_recent_response(now) {
            self.failure_ratio = 0.0;
            self.slowness = 1.0;
        }
        if self.load.in_flight == 0 {
            // It was idle, so its silence begins now.
            self.last_response_at = now;
        }
        self.load.in_flight += 1;
        self.condition.record_sent(now);
        if self.is_cold(now) {
            self.bucket.take_token();
        }
    }

    /// Records how an exchange ended, with the load report of the response; `warm_ms` is the warm
    /// response time of the service, in milliseconds.
    pub fn record_ending(
        &mut self,
        ending: Ending,
        report: Option<LoadReport>,
        warm_ms: f64,
        now: Instant,
    ) {
        self.load.in_flight = self.load.in_flight.saturating_sub(1);
        match ending {
            Ending::Answered { after, was_object_warm } => {
                self.last_response_at = now;
                self.failures = 0;
                self.failed_until = None;
                self.shed_until = None;
                let sample = after.as_secs_f64() * 1_000.0;
                let mean = self.response_ms.unwrap_or(sample);
                self.response_ms = Some(mean + (sample - mean) * SAMPLE_WEIGHT);
                if was_object_warm {
                    // Cold responses would make a backend server that takes over objects seem slow.
                    let slowness = sample / warm_ms.max(MIN_WARM_MS);
                    self.slowness += (slowness - self.slowness) * SAMPLE_WEIGHT;
                }
                self.failure_ratio *= 1.0 - FAILURE_WEIGHT;
            }
            Ending::Erred => {
                self.last_response_at = now;
                self.failure_ratio += (1.0 - self.failure_ratio) * FAILURE_WEIGHT;
            }
            Ending::Shed => {
                self.last_response_at = now;
                // With a free slot it refuses for another reason than load, and a pause would only
                // move objects.
                if !report.is_some_and(LoadReport::has_free_slot) {
                    self.shed_until = Some(now + SHED_PAUSE);
                }
            }
            Ending::Failed | Ending::Replaced => {
                self.failures += 1;
                let factor = 1u32 << (self.failures - 1).min(4);
                self.failed_until =
                    Some(now + (FIRST_FAILURE_PAUSE * factor).min(MAX_FAILURE_PAUSE));
            }
            Ending::Abandoned | Ending::Unsent => {}
        }
        match (report, ending) {
            (Some(report), _) => self.load.record_report(report, now),
            (None, Ending::Answered { .. }) => self.load.record_missing_report(),
            (None, _) => {}
        }
    }
}
