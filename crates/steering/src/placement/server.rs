//! What one instance knows of one backend server.

use super::condition::KnownCondition;
use super::incarnation::Incarnation;
use super::load::{Load, LoadReport};
use super::rank::{name_hash, rank};
use super::senders::{Pace, Role};
use crate::deployment::BackendServer;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// First pause after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Longest pause of a backend server that fails again and again.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Pause after a backend server had no room.
const SHED_PAUSE: Duration = Duration::from_millis(50);

/// A backend server with work from here that answered nothing for so long is taken for silent, at
/// the least, and so many times the mean answer of its service: a cold answer takes three.
const SILENCE: (Duration, f64) = (Duration::from_millis(1500), 5.0);

/// Weight of a new sample in the mean of answer times.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Weight of one answer in the part of failures.
const ERROR_WEIGHT: f64 = 0.1;

/// Part of failures above which a backend server comes last: one failure among ten answers is
/// bad luck, two in a row among few are not.
const DOUBTFUL_PART: f64 = 0.15;

/// Times the service's warm answers above which those of a backend server are slow: waits for a slot
/// alone make it 1 to 2 under load.
const SLOW_FACTOR: f64 = 2.5;

/// Answer times below this one are too short to tell a slow backend server by: the network and
/// the scheduling of an instance add as much.
const LEAST_WARM_MS: f64 = 10.0;

/// Time without an answer after which what was learned of slowness and failures no longer counts:
/// the backend server gets its objects back, and is judged anew by the first answers.
const JUDGED_FOR: Duration = Duration::from_secs(4);

/// Cold backend servers work slower; their slots count for this part.
const COLD_SLOTS: f64 = 0.1;

/// How an exchange with a backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// A whole answer came after this time.
    Answered {
        /// From sending the request to the head of the answer.
        after: Duration,
        /// Whether the object was known to be warm there.
        known_warm: bool,
    },
    /// A whole answer came that says that the request failed.
    Erred,
    /// It said that it did not run the request, because it had no room.
    Shed,
    /// No connection came up, or it broke.
    Failed,
    /// Another backend server has its address.
    Replaced,
    /// The caller or this instance gave up.
    Abandoned,
    /// Nothing was sent.
    Unsent,
}

/// A backend server and what was learned of it.
#[derive(Debug)]
pub struct Server {
    /// Its identity.
    pub id: Arc<str>,
    /// What it told of itself.
    pub record: BackendServer,
    /// Its region.
    pub region: Arc<str>,
    /// Hash of its identity, the seed of its ranks.
    pub hash: u64,
    /// Hash of its incarnation, which has no object warm that an earlier one had.
    pub incarnation_hash: u64,
    /// Its load.
    pub load: Load,
    /// Pace while it is cold.
    pub pace: Pace,
    /// What it said of its condition in answers.
    pub condition: KnownCondition,
    /// Whether it has the version that is brought in.
    pub is_target: bool,
    /// Whether it is among the few of that version that get requests until it is found sound.
    pub is_in_trial: bool,
    cold_until: Option<Instant>,
    failures: u32,
    failed_until: Option<Instant>,
    shed_until: Option<Instant>,
    heard_at: Instant,
    answer_ms: Option<f64>,
    /// Part of its latest answers that were failures.
    failure_ratio: f64,
    /// Mean of its warm answers' times, as a multiple of those of the service.
    slowness: f64,
}

impl Server {
    /// Begins with what the backend server told of itself.
    pub fn new(id: Arc<str>, record: BackendServer, region: Arc<str>, now: Instant) -> Self {
        let hash = name_hash(&id);
        let incarnation_hash = rank(record.born_ms, hash);
        let mut server = Self {
            id,
            record,
            region,
            hash,
            incarnation_hash,
            load: Load::default(),
            pace: Pace::new(now),
            condition: KnownCondition::default(),
            is_target: false,
            is_in_trial: false,
            cold_until: None,
            failures: 0,
            failed_until: None,
            shed_until: None,
            heard_at: now,
            answer_ms: None,
            failure_ratio: 0.0,
            slowness: 1.0,
        };
        server.cold_for(server.record.cold_remaining, now);
        server
    }

    /// The start of the backend server that this is known of.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), born_ms: self.record.born_ms }
    }

    /// The hash of its identity, and its region.
    pub fn place(&self) -> (u64, &str) {
        (self.hash, &self.region)
    }

    /// Takes over what the same incarnation tells of itself now.
    pub fn update(&mut self, record: &BackendServer, now: Instant) {
        if self.record != *record {
            self.record = record.clone();
            self.cold_for(record.cold_remaining, now);
        }
    }

    /// Notes that it is cold for a time, unless it is known to be cold for longer.
    pub fn cold_for(&mut self, time: Duration, now: Instant) {
        if !time.is_zero() {
            self.cold_until = self.cold_until.max(Some(now + time));
        }
    }

    /// Takes over what a health check said.
    pub fn record_health_check(&mut self, cold: Duration, now: Instant) {
        self.cold_until = (!cold.is_zero()).then(|| now + cold);
        self.failures = 0;
        self.failed_until = None;
    }

    /// Tells whether it is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }

    /// Tells whether the next request of an instance with this role goes elsewhere, as it bears few:
    /// while it is cold, `cold_rate_per_s`, and at any time what it names as its limit.
    pub fn is_spared(&mut self, role: Role, cold_rate_per_s: f64, now: Instant) -> bool {
        let may_warm =
            |pace: &mut Pace| role == Role::Sender && pace.has_token(cold_rate_per_s, now);
        let is_too_cold = self.is_cold(now) && !may_warm(&mut self.pace);
        is_too_cold || !self.condition.may_get(role, now)
    }

    /// Slots that it can use, if a request keeps one busy for `slot_s` seconds.
    pub fn usable_slots(&self, slot_s: f64, now: Instant) -> f64 {
        let part = if self.is_cold(now) { COLD_SLOTS } else { 1.0 };
        self.condition.usable_slots(f64::from(self.record.slots) * part, slot_s)
    }

    /// Tells whether it failed a moment ago.
    pub fn has_failed(&self, now: Instant) -> bool {
        self.failed_until.is_some_and(|until| until > now)
    }

    /// Tells whether it failed a moment ago, or wants rest, so that what belongs there has to go elsewhere.
    pub fn is_out(&self, now: Instant) -> bool {
        self.has_failed(now) || self.condition.is_backing_off(now)
    }

    /// Tells whether it should get no request for now, as it failed, wants rest, had no room or is
    /// silent; `mean_answer` is that of its service.
    pub fn is_paused(&self, mean_answer: Duration, now: Instant) -> bool {
        let silence = SILENCE.0.max(mean_answer.mul_f64(SILENCE.1));
        let silent = self.load.in_flight > 0 && now.duration_since(self.heard_at) > silence;
        silent || self.is_out(now) || self.shed_until.is_some_and(|until| until > now)
    }

    /// Part of its latest answers that were failures.
    pub fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }

    /// Time since it answered last, or got work after a rest.
    pub fn time_since_answer(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard_at)
    }

    /// Tells whether it has answered anything after a time.
    pub fn answered_after(&self, time: Instant) -> bool {
        self.heard_at > time
    }

    /// Tells whether so many of its answers are failures, or its warm answers so slow, that its
    /// objects should go to others.
    ///
    /// Refusals in spite of room don't count: marks for them would move objects when the refusals end,
    /// which costs more than asking again.
    pub fn is_doubtful(&self, now: Instant) -> bool {
        self.is_judged(now) && (self.failure_ratio > DOUBTFUL_PART || self.slowness > SLOW_FACTOR)
    }

    fn is_judged(&self, now: Instant) -> bool {
        self.time_since_answer(now) < JUDGED_FOR
    }

    /// Mean time to an answer in milliseconds, once there was one.
    pub fn answer_ms(&self) -> Option<f64> {
        self.answer_ms
    }

    /// Counts a request that is sent to it.
    pub fn sent(&mut self, now: Instant) {
        if !self.is_judged(now) {
            self.failure_ratio = 0.0;
            self.slowness = 1.0;
        }
        if self.load.in_flight == 0 {
            // It had nothing to answer until now.
            self.heard_at = now;
        }
        self.load.in_flight += 1;
        self.condition.sent();
        if self.is_cold(now) {
            self.pace.spend();
        }
    }

    /// Records how an exchange ended, with the report that came along; `warm_ms` is the time to a
    /// warm answer of the service.
    pub fn record_ending(
        &mut self,
        ending: Ending,
        report: Option<LoadReport>,
        warm_ms: f64,
        now: Instant,
    ) {
        self.load.in_flight = self.load.in_flight.saturating_sub(1);
        match ending {
            Ending::Answered { after, known_warm } => {
                self.heard_at = now;
                self.failures = 0;
                self.failed_until = None;
                self.shed_until = None;
                let sample = after.as_secs_f64() * 1_000.0;
                let mean = self.answer_ms.unwrap_or(sample);
                self.answer_ms = Some(mean + (sample - mean) * SAMPLE_WEIGHT);
                if known_warm {
                    // Cold answers would make whoever takes over objects seem slow.
                    let slowness = sample / warm_ms.max(LEAST_WARM_MS);
                    self.slowness += (slowness - self.slowness) * SAMPLE_WEIGHT;
                }
                self.failure_ratio *= 1.0 - ERROR_WEIGHT;
            }
            Ending::Erred => {
                self.heard_at = now;
                self.failure_ratio += (1.0 - self.failure_ratio) * ERROR_WEIGHT;
            }
            Ending::Shed => {
                self.heard_at = now;
                // A pause would only move the objects of one that refuses for another reason than load.
                if !report.is_some_and(LoadReport::has_free_slot) {
                    self.shed_until = Some(now + SHED_PAUSE);
                }
            }
            Ending::Failed | Ending::Replaced => {
                self.failures += 1;
                let factor = 1u32 << (self.failures - 1).min(4);
                self.failed_until = Some(now + (FIRST_PAUSE * factor).min(LONGEST_PAUSE));
            }
            Ending::Abandoned | Ending::Unsent => {}
        }
        match (report, ending) {
            (Some(report), _) => self.load.reported(report, now),
            (None, Ending::Answered { .. }) => self.load.not_reported(),
            (None, _) => {}
        }
    }
}
