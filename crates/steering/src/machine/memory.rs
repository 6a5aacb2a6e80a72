//! A bounded amount of memory that is reserved before it is taken.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that a holder may reserve of a part that larger holders leave free, so that a few of them don't keep short
/// bodies out.
const SMALL_BYTES: usize = 16 * 1024;

/// The part that is left to small holders is the whole divided by this.
const SMALL_PART: usize = 4;

/// Memory that many holders share; clones share it too.
#[derive(Clone, Debug)]
pub struct MemoryPool(Arc<Usage>);

#[derive(Debug)]
struct Usage {
    limit_bytes: usize,
    used_bytes: AtomicUsize,
}

impl MemoryPool {
    /// A pool of which nothing is used.
    pub fn new(limit_bytes: usize) -> Self {
        Self(Arc::new(Usage { limit_bytes, used_bytes: AtomicUsize::new(0) }))
    }

    /// Bytes that are reserved.
    pub fn used_bytes(&self) -> usize {
        self.0.used_bytes.load(Ordering::Relaxed)
    }

    /// A reservation of nothing, which can grow; for callers.
    pub fn begin(&self) -> Reservation {
        Reservation { pool: self.clone(), bytes: 0, may_use_all: false }
    }

    /// As [`MemoryPool::begin`], for what instances and operators ask for, of which callers leave some.
    pub fn begin_internal(&self) -> Reservation {
        Reservation { pool: self.clone(), bytes: 0, may_use_all: true }
    }

    /// Reserves bytes, if there are as many.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.begin();
        reservation.grow_to(bytes).then_some(reservation)
    }
}

/// Bytes of a pool, which are given back when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    pool: MemoryPool,
    bytes: usize,
    /// Whether it may use the part that is left to small holders, however large it is.
    may_use_all: bool,
}

impl Reservation {
    /// Reserves more, up to `bytes` in all; returns whether there was enough, and changes nothing if not.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if more == 0 {
            return true;
        }
        let Usage { limit_bytes, used_bytes } = &*self.pool.0;
        let may_use_all = self.may_use_all || bytes <= SMALL_BYTES;
        let kept_free = if may_use_all { 0 } else { limit_bytes / SMALL_PART };
        let grown = used_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            let used = used.checked_add(more)?;
            (used <= limit_bytes - kept_free).then_some(used)
        });
        if grown.is_ok() {
            self.bytes = bytes;
        }
        grown.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.pool.0.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
