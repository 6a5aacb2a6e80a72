//! Which instances count as living.
//!
//! An instance whose heartbeats no longer grow is taken for gone.  In a large fleet the heartbeats of
//! all don't reach all in time, as what a round carries stays the same while instances grow.  There,
//! heartbeats stay dense within availability zones, and instances of other zones count for longer: for
//! as long as their zone is heard and nobody of it reports them silent.

use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time without a new heartbeat after which an instance is in no look-up any more: the time in
/// which a heartbeat reaches a hundred instances through others, twice.
pub const LOST_AFTER: Duration = Duration::from_millis(3800);

/// Instances whose heartbeats reach all others within [`LOST_AFTER`].
const REACHED: usize = 300;

/// Instances of a zone of which one is always heard that beat within [`LOST_AFTER`], while the zone lives.
const HEARD_TOGETHER: usize = 20;

/// Age of the last heartbeat at which an instance that is lost in its own zone is reported to others.
const REPORTED_AFTER: Duration = Duration::from_millis(4600);

/// Time for which a report is passed on: several times what it takes to reach all.
const REPORTED_FOR: Duration = Duration::from_secs(8);

/// That an instance was silent after one of its heartbeats.
#[derive(Clone, Copy, Debug)]
struct Silence {
    /// The last heartbeat that was heard by who reports it.
    heartbeat: u64,
    /// Time at which that was heard.
    heard_at: Instant,
}

/// What is known of the life of one instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct Life {
    /// Its latest heartbeat.
    pub(super) heartbeat: u64,
    /// Time at which that was heard.
    pub(super) grew_at: Instant,
    /// Time at which it was sent, as far as those know that passed it on.
    pub(super) sent_at: Instant,
    /// The last report that it is silent.
    silence: Option<Silence>,
}

impl Life {
    /// One that is heard first, by a heartbeat that was sent `age` ago.
    pub(super) fn new(heartbeat: u64, age: Duration, now: Instant) -> Self {
        let sent_at = now.checked_sub(age).unwrap_or(now);
        Self { heartbeat, grew_at: now, sent_at, silence: None }
    }

    /// Takes a later heartbeat, which was sent `age` ago, as a sign of life.
    pub(super) fn lives(&mut self, heartbeat: u64, age: Duration, now: Instant) {
        if heartbeat > self.heartbeat {
            self.heartbeat = heartbeat;
            self.grew_at = now;
            self.sent_at = now.checked_sub(age).unwrap_or(now).max(self.sent_at);
        }
    }

    /// Takes over that it was silent after a heartbeat.
    pub(super) fn heard_silent(&mut self, heartbeat: u64, now: Instant) {
        if self.silence.is_none_or(|known| known.heartbeat < heartbeat) {
            self.silence = Some(Silence { heartbeat, heard_at: now });
        }
    }

    /// The report that holds: nothing later was heard of the instance.
    fn holding(&self) -> Option<Silence> {
        self.silence.filter(|silence| silence.heartbeat >= self.heartbeat)
    }
}

/// The zones of the known instances, and which of them are silent.
#[derive(Debug, Default)]
pub(super) struct Zones {
    own: Option<Arc<str>>,
    silent: Vec<Arc<str>>,
    /// Time after which one of another zone is lost that nobody reports.
    far_lost_after: Duration,
}

/// What is known of a zone.
struct Zone<'a> {
    name: &'a Arc<str>,
    members: usize,
    /// Time of the latest heartbeat of any of its instances.
    sent_at: Instant,
}

impl Zones {
    /// For an instance of a zone.
    pub(super) fn in_zone(own: Arc<str>) -> Self {
        Self { own: Some(own), ..Self::default() }
    }

    /// Judges anew which zones are silent, by the zone and the life of each known instance.
    pub(super) fn judge<'a>(
        &mut self,
        known: impl Iterator<Item = (&'a Arc<str>, &'a Life)>,
        now: Instant,
    ) {
        let mut zones: Vec<Zone<'_>> = Vec::new();
        let mut count = 0;
        for (name, life) in known {
            count += 1;
            match zones.iter_mut().find(|zone| zone.name == name) {
                Some(zone) => {
                    zone.members += 1;
                    zone.sent_at = zone.sent_at.max(life.sent_at);
                }
                None => zones.push(Zone { name, members: 1, sent_at: life.sent_at }),
            }
        }
        let times = count as f64 / REACHED as f64;
        self.far_lost_after = LOST_AFTER.mul_f64(times.max(1.0));
        let is_silent = |zone: &Zone<'_>| {
            zone.members >= HEARD_TOGETHER && now.duration_since(zone.sent_at) >= LOST_AFTER
        };
        let silent = zones.iter().filter(|zone| is_silent(zone));
        self.silent = silent.map(|zone| zone.name.clone()).collect();
    }

    /// Tells whether there are too many instances for the heartbeats of all to reach all in time.
    pub(super) fn is_large(&self) -> bool {
        self.own.is_some() && self.far_lost_after > LOST_AFTER
    }

    /// Tells whether an instance of a zone counts as living.
    pub(super) fn is_alive(&self, zone: &Arc<str>, life: &Life, now: Instant) -> bool {
        let silent_for = now.duration_since(life.grew_at);
        if !self.is_large() || self.own.as_ref() == Some(zone) {
            return silent_for < LOST_AFTER;
        }
        silent_for < self.far_lost_after && life.holding().is_none() && !self.silent.contains(zone)
    }

    /// The last heartbeat of an instance that others should know to be silent: one of the own zone, or of
    /// another as was heard.
    pub(super) fn report(&self, zone: &Arc<str>, life: &Life, now: Instant) -> Option<u64> {
        if !self.is_large() {
            return None;
        }
        let silence = match self.own.as_ref() == Some(zone) {
            true if self.is_alive(zone, life, now) => return None,
            true => Silence { heartbeat: life.heartbeat, heard_at: life.sent_at + REPORTED_AFTER },
            false => life.holding()?,
        };
        let known_for = now.checked_duration_since(silence.heard_at)?;
        (known_for < REPORTED_FOR).then_some(silence.heartbeat)
    }
}
