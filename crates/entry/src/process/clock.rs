//! Two clocks: the time that an instance was awake, and all time.
//!
//! While a machine is suspended the steady clock of the library stands still.  What ends for others
//! meanwhile, such as a caller's deadline or a backend server's patience with a connection, goes by
//! all time; what is concluded from silence goes by the time in which this instance listened.  The
//! time of day goes into neither: it may be set.

use rustix::time::{ClockId, clock_gettime};
use std::cell::Cell;
use std::time::Duration;
use steering::Time;
use tokio::sync::watch;

/// Difference between the clocks from which on it is a suspension: far above the time between two
/// readings on a busy machine, below what any deadline of a request leaves to spare.
const NOTICED: Duration = Duration::from_millis(50);

/// Suspension from which on what was believed may be older than a change is given to be in force: with
/// the second or so in which news comes, it stays below the 2.5 s of the tightest bound.
const DOUBTED: Duration = Duration::from_millis(300);

/// The clocks of a machine.
pub trait Clocks {
    /// Time since some moment, in which the machine was awake.
    fn awake(&self) -> Duration;

    /// Time since the machine started, suspensions included.
    fn since_boot(&self) -> Duration;
}

/// The clocks of this machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineClocks;

impl Clocks for MachineClocks {
    fn awake(&self) -> Duration {
        read(ClockId::Monotonic)
    }

    fn since_boot(&self) -> Duration {
        read(ClockId::Boottime)
    }
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Tells all time, and notices suspensions.
pub struct Clock {
    clocks: Box<dyn Clocks>,
    /// Time for which the machine was suspended, as far as that was noticed, and a constant.
    apart: Cell<Duration>,
    woke: watch::Sender<Duration>,
    /// Suspensions after which what was believed is doubted.
    doubted: Cell<u64>,
}

impl Clock {
    /// Begins with clocks whose present difference is no suspension.
    pub fn new(clocks: Box<dyn Clocks>) -> Self {
        let apart = Cell::new(clocks.since_boot().saturating_sub(clocks.awake()));
        Self { clocks, apart, woke: watch::Sender::new(Duration::ZERO), doubted: Cell::new(0) }
    }

    /// The time now, suspensions included.
    ///
    /// Each reading compares both clocks: a decision that trusts an age must not wait for a timer that
    /// was suspended too.
    pub fn now(&self) -> Time {
        let since_boot = self.clocks.since_boot();
        let apart = since_boot.saturating_sub(self.clocks.awake());
        let suspended = apart.saturating_sub(self.apart.get());
        if suspended >= NOTICED {
            self.apart.set(apart);
            let suspended_ms = u64::try_from(suspended.as_millis()).unwrap_or(u64::MAX);
            log::warn!(target: "process", suspended_ms; "was suspended");
            if suspended >= DOUBTED {
                self.doubted.set(self.doubted.get() + 1);
            }
            self.woke.send_replace(suspended);
        }
        Time::from_ns(u64::try_from(since_boot.as_nanos()).unwrap_or(u64::MAX))
    }

    /// The number of suspensions so far after which what was believed is doubted.
    pub fn doubted(&self) -> u64 {
        self.now();
        self.doubted.get()
    }

    /// Tells of suspensions as they are noticed.
    pub fn suspensions(&self) -> watch::Receiver<Duration> {
        self.woke.subscribe()
    }
}
