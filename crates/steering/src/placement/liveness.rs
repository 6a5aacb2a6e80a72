//! Failure detection: which instances count as alive.
//!
//! An instance whose heartbeat counter no longer grows counts as lost.  In a large fleet not all
//! heartbeats reach all instances in time, because the size of a gossip round stays the same while
//! the number of instances grows.  There, heartbeats stay frequent within an availability zone.
//! Instances of other zones count as alive for longer, as long as heartbeats of their zone arrive
//! and no member of it reports them silent.

use crate::terms::timings::LivenessTimings;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest number of instances whose heartbeats all reach all others before they count as lost.
const MAX_FULLY_REACHED_INSTANCES: usize = 300;

/// Size of a zone from which on at least one heartbeat always arrives before all its instances
/// count as lost while the zone is alive.
const MIN_INSTANCES_OF_SILENT_ZONE: usize = 20;

/// Time for which a silence report is passed on: several times what it takes to reach all
/// instances.
const REPORT_FOR: Duration = Duration::from_secs(8);

/// A report that no heartbeat followed this one.
#[derive(Clone, Copy, Debug)]
struct Silence {
    /// The last heartbeat that the reporter received.
    heartbeat: u64,
    /// Time at which the report arrived; for an instance of the own zone, time from which it is
    /// reported.
    reported_at: Instant,
}

/// The heartbeats received from one instance, and reports of its silence.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeartbeatRecord {
    /// The latest heartbeat counter.
    pub(super) heartbeat: u64,
    /// Time at which that heartbeat was received.
    pub(super) received_at: Instant,
    /// Time at which it was sent, by the age that came with it.
    pub(super) sent_at: Instant,
    /// The last report that the instance is silent.
    silence: Option<Silence>,
}

impl HeartbeatRecord {
    /// An instance first known by a heartbeat that was sent `age` ago.
    pub(super) fn new(heartbeat: u64, age: Duration, now: Instant) -> Self {
        let sent_at = now.checked_sub(age).unwrap_or(now);
        Self { heartbeat, received_at: now, sent_at, silence: None }
    }

    /// Records a heartbeat that was sent `age` ago, if it is later than the known one.
    pub(super) fn add_heartbeat(&mut self, heartbeat: u64, age: Duration, now: Instant) {
        if heartbeat > self.heartbeat {
            self.heartbeat = heartbeat;
            self.received_at = now;
            self.sent_at = now.checked_sub(age).unwrap_or(now).max(self.sent_at);
        }
    }

    /// Records a report that no heartbeat followed this one.
    pub(super) fn add_silence(&mut self, heartbeat: u64, now: Instant) {
        if self.silence.is_none_or(|reported| reported.heartbeat < heartbeat) {
            self.silence = Some(Silence { heartbeat, reported_at: now });
        }
    }

    /// The silence report, unless a later heartbeat was received since.
    fn current_silence(&self) -> Option<Silence> {
        self.silence.filter(|silence| silence.heartbeat >= self.heartbeat)
    }
}

/// Liveness of availability zones, as seen from the own zone.
#[derive(Debug, Default)]
pub(super) struct Zones {
    timings: LivenessTimings,
    own: Option<Arc<str>>,
    silent: Vec<Arc<str>>,
    /// Time without a heartbeat after which an instance of another zone is lost even if no instance
    /// reports it.
    other_zone_lost_after: Duration,
}

/// The heartbeats of one zone.
struct Zone<'a> {
    name: &'a Arc<str>,
    members: usize,
    /// Time at which the latest heartbeat of any of its instances was sent.
    sent_at: Instant,
}

impl Zones {
    /// Zones as seen from an instance of the zone `own`.
    pub(super) fn in_zone(own: Arc<str>, timings: LivenessTimings) -> Self {
        Self { own: Some(own), timings, ..Self::default() }
    }

    /// Timings of heartbeats and of failure detection.
    pub(super) fn timings(&self) -> &LivenessTimings {
        &self.timings
    }

    /// Updates which zones are silent, by the zone and heartbeats of each known instance.
    pub(super) fn update<'a>(
        &mut self,
        instances: impl Iterator<Item = (&'a Arc<str>, &'a HeartbeatRecord)>,
        now: Instant,
    ) {
        let mut zones: Vec<Zone<'_>> = Vec::new();
        let mut count = 0;
        let lost_after = self.timings.lost_after;
        for (name, record) in instances {
            count += 1;
            match zones.iter_mut().find(|zone| zone.name == name) {
                Some(zone) => {
                    zone.members += 1;
                    zone.sent_at = zone.sent_at.max(record.sent_at);
                }
                None => zones.push(Zone { name, members: 1, sent_at: record.sent_at }),
            }
        }
        let fleet_ratio = count as f64 / MAX_FULLY_REACHED_INSTANCES as f64;
        self.other_zone_lost_after = lost_after.mul_f64(fleet_ratio.max(1.0));
        let is_silent = |zone: &Zone<'_>| {
            zone.members >= MIN_INSTANCES_OF_SILENT_ZONE
                && now.duration_since(zone.sent_at) >= lost_after
        };
        let silent = zones.iter().filter(|zone| is_silent(zone));
        self.silent = silent.map(|zone| zone.name.clone()).collect();
    }

    /// Returns whether there are too many instances for all heartbeats to reach all in time.
    pub(super) fn is_large(&self) -> bool {
        self.own.is_some() && self.other_zone_lost_after > self.timings.lost_after
    }

    /// Returns whether an instance of a zone counts as alive.
    pub(super) fn is_alive(&self, zone: &Arc<str>, record: &HeartbeatRecord, now: Instant) -> bool {
        let silent_for = now.duration_since(record.received_at);
        if !self.is_large() || self.own.as_ref() == Some(zone) {
            return silent_for < self.timings.lost_after;
        }
        silent_for < self.other_zone_lost_after
            && record.current_silence().is_none()
            && !self.silent.contains(zone)
    }

    /// The last heartbeat of an instance that should be reported as silent to others: an instance
    /// of the own zone, or of another zone by a report received.
    pub(super) fn silence_to_report(
        &self,
        zone: &Arc<str>,
        record: &HeartbeatRecord,
        now: Instant,
    ) -> Option<u64> {
        if !self.is_large() {
            return None;
        }
        let silence = match self.own.as_ref() == Some(zone) {
            true if self.is_alive(zone, record, now) => return None,
            true => Silence {
                heartbeat: record.heartbeat,
                reported_at: record.sent_at + self.timings.report_after,
            },
            false => record.current_silence()?,
        };
        let reported_for = now.checked_duration_since(silence.reported_at)?;
        (reported_for < REPORT_FOR).then_some(silence.heartbeat)
    }
}
