//! Count of the distinct objects in a region's requests for a service, by all of its instances.
//!
//! One instance of hundreds sees too few requests to count objects: 0.6 per second for 152 objects.
//! Each instance sets bits in a bitmap for the objects of its requests and exchanges the bitmap
//! with the instances of its region; the number of zero bits gives the number of objects (linear
//! counting).

use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Bits in the bitmap: it distinguishes up to 1,000 objects from more, and counts 150 objects to
/// within 6%.
const BITS: usize = 256;

/// Window over which objects are counted; the first instance whose window ends starts the next one
/// for all.
const WINDOW: Duration = Duration::from_secs(30);

/// Bitmap of the objects in a region's requests for one service within one window.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectBitmap {
    /// Number of the window; later windows have higher numbers.
    window: u64,
    bits: [u8; BITS / 8],
}

impl ObjectBitmap {
    /// Sets the bit of an object.
    fn add(&mut self, key_hash: u64) {
        // Other hashing uses the lower bits; the upper ones are as uniform.
        let bit = (key_hash >> 32) as usize % BITS;
        self.bits[bit / 8] |= 1 << (bit % 8);
    }

    fn merge(&mut self, other: &Self) {
        self.bits.iter_mut().zip(other.bits).for_each(|(own, other)| *own |= other);
    }

    /// Estimates the number of objects.
    fn count(&self) -> f64 {
        let empty: u32 = self.bits.iter().map(|byte| byte.count_zeros()).sum();
        let bit_count = BITS as f64;
        -bit_count * (f64::from(empty.max(1)) / bit_count).ln()
    }
}

/// Counts the objects of a service, from the requests of this instance and the bitmaps of others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RegionObjects {
    current: ObjectBitmap,
    /// Bitmap of the previous window, for use while the current one has few requests.
    previous: ObjectBitmap,
    started_at: Option<Instant>,
}

impl RegionObjects {
    /// Records the object of a request.
    pub(super) fn record(&mut self, key_hash: u64, now: Instant) {
        let started_at = *self.started_at.get_or_insert(now);
        if now.saturating_duration_since(started_at) >= WINDOW {
            self.start_window(self.current.window + 1, now);
        }
        self.current.add(key_hash);
    }

    /// Merges the bitmap of another instance of the region.
    pub(super) fn merge(&mut self, received: &ObjectBitmap, now: Instant) {
        if received.window > self.current.window {
            self.start_window(received.window, now);
        }
        if received.window == self.current.window {
            self.current.merge(received);
        }
    }

    /// Returns the bitmap for other instances.
    pub(super) fn bitmap(&self) -> ObjectBitmap {
        self.current
    }

    /// Estimates the number of objects in the current or the previous window, whichever is more.
    pub(super) fn count(&self) -> f64 {
        self.current.count().max(self.previous.count())
    }

    fn start_window(&mut self, window: u64, now: Instant) {
        self.previous = self.current;
        self.current = ObjectBitmap { window, ..ObjectBitmap::default() };
        self.started_at = Some(now);
    }
}
