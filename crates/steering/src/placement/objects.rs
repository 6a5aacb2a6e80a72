//! How many objects a region's requests for a service concern, counted by all of its instances.
//!
//! One instance of hundreds sees too few requests to count them: 0.6 a second of 152 objects.  Each
//! notes the groups of objects that it saw, tells them, and takes over those that others of its region
//! tell; how many groups stay empty gives the number of objects (linear counting).

use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Groups of objects: up to 1,000 objects are told from more, 150 are counted to 6 in 100.
const GROUPS: usize = 256;

/// Time over which objects are counted; whoever has counted so long begins the next span for all.
const SPAN: Duration = Duration::from_secs(30);

/// The groups of objects that a region's requests for one service concerned in one span of time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectBitmap {
    /// Which span: a later one has the higher number.
    span: u64,
    seen: [u8; GROUPS / 8],
}

impl ObjectBitmap {
    /// Notes an object.
    fn add(&mut self, key_hash: u64) {
        // The lower bits choose places elsewhere, the upper ones are as good.
        let group = (key_hash >> 32) as usize % GROUPS;
        self.seen[group / 8] |= 1 << (group % 8);
    }

    fn merge(&mut self, other: &Self) {
        self.seen.iter_mut().zip(other.seen).for_each(|(own, other)| *own |= other);
    }

    /// The number of objects.
    fn count(&self) -> f64 {
        let empty: u32 = self.seen.iter().map(|byte| byte.count_zeros()).sum();
        let groups = GROUPS as f64;
        -groups * (f64::from(empty.max(1)) / groups).ln()
    }
}

/// Counts the objects of a service, as far as this instance saw or was told.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RegionObjects {
    present: ObjectBitmap,
    /// The span before, while the present one has seen little.
    last: ObjectBitmap,
    began: Option<Instant>,
}

impl RegionObjects {
    /// Notes an object that was asked for.
    pub(super) fn record(&mut self, key_hash: u64, now: Instant) {
        let began = *self.began.get_or_insert(now);
        if now.saturating_duration_since(began) >= SPAN {
            self.begin(self.present.span + 1, now);
        }
        self.present.add(key_hash);
    }

    /// Takes over what another instance of the region tells.
    pub(super) fn merge(&mut self, told: &ObjectBitmap, now: Instant) {
        if told.span > self.present.span {
            self.begin(told.span, now);
        }
        if told.span == self.present.span {
            self.present.merge(told);
        }
    }

    /// What this instance tells others.
    pub(super) fn bitmap(&self) -> ObjectBitmap {
        self.present
    }

    /// The number of objects of the present span or the last one, whichever is more.
    pub(super) fn count(&self) -> f64 {
        self.present.count().max(self.last.count())
    }

    fn begin(&mut self, span: u64, now: Instant) {
        self.last = self.present;
        self.present = ObjectBitmap { span, ..ObjectBitmap::default() };
        self.began = Some(now);
    }
}
