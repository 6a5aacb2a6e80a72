//! Detects that the process stood still or is short of processor time, as what it reads then may have waited
//! for long, and what it sends waits too.

use super::millis::millis;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between two ticks; all that was readable at one is read before the next.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time between two ticks that counts as a standstill.
const MIN_STANDSTILL: Duration = Duration::from_millis(150);

/// Shortest time for which a ready task waits for its turn that counts.
const MIN_TURN_DELAY: Duration = Duration::from_millis(10);

/// Largest ratio of two delays in a row; a longer one is a standstill.
const MAX_TURN_DELAY_GROWTH: u32 = 2;

/// A time in which the process did not run, or too little to read what arrived.
#[derive(Clone, Copy, Debug)]
struct Standstill {
    from: Instant,
    until: Instant,
}

/// When the process stood still last, from the ticks of a timer.
#[derive(Debug)]
pub struct Standstills {
    last_tick: Cell<Instant>,
    last: Cell<Option<Standstill>>,
    /// How late the last tick was, and the one before it.
    lateness: Cell<[Duration; 2]>,
}

impl Standstills {
    /// Creates a record that begins with a tick.
    pub fn new(now: Instant) -> Self {
        Self { last_tick: Cell::new(now), last: Cell::default(), lateness: Cell::default() }
    }

    /// Records a tick; returns the time since the one before if the process stood still.
    pub fn record_tick(&self, now: Instant) -> Option<Duration> {
        let from = self.last_tick.replace(now);
        let length = now.duration_since(from);
        let [last, _] = self.lateness.get();
        self.lateness.set([length.saturating_sub(TICK_INTERVAL), last]);
        if length < MIN_STANDSTILL {
            return None;
        }
        self.last.set(Some(Standstill { from, until: now }));
        Some(length)
    }

    /// Time for which each task that is ready waits for its turn, as two late ticks in a row show; a single one
    /// shows a standstill.
    pub fn turn_delay(&self, now: Instant) -> Duration {
        let [last, before] = self.lateness.get();
        let overdue = now.duration_since(self.last_tick.get()).saturating_sub(TICK_INTERVAL);
        let [one, other] = if overdue > last { [overdue, last] } else { [last, before] };
        let delay = one.max(other).min(one.min(other) * MAX_TURN_DELAY_GROWTH);
        if delay < MIN_TURN_DELAY { Duration::ZERO } else { delay }
    }

    /// Longest time for which a request that is read now may have waited.
    pub fn longest_wait(&self, now: Instant) -> Duration {
        let since_tick = now.duration_since(self.last_tick.get());
        if since_tick >= MIN_STANDSTILL {
            return since_tick;
        }
        let last = self.last.get().filter(|last| now.duration_since(last.until) < TICK_INTERVAL);
        last.map_or(Duration::ZERO, |last| now.duration_since(last.from))
    }
}

/// Ticks for the lifetime of the process.
pub(super) async fn run(standstills: Rc<Standstills>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        if let Some(length) = standstills.record_tick(Instant::now()) {
            let length_ms = millis(length);
            log::warn!(target: "process", length_ms; "process stood still");
        }
    }
}
