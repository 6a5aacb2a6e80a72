//! A clock that includes suspensions of the machine and detects them.
//!
//! [`std::time::Instant`] stands still while the machine is suspended. Whatever expires for others
//! meanwhile, such as a caller's deadline or a backend server's idle timeout of a connection, is
//! measured by [`Clock`]; failure detection by silence uses `Instant`, as nothing can be received
//! during a suspension. The time of day is used for neither, as it may be set.

use super::millis::millis;
use rustix::time::{ClockId, clock_gettime};
use std::cell::Cell;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use steering::Time;
use tokio::sync::watch;

/// Shortest difference between the clocks that counts as a suspension: far above the time between two
/// readings on a busy machine, and below the slack of any request deadline.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(50);

/// Shortest suspension after which the state counts as stale. Changes take about a second to arrive;
/// with a shorter suspension on top, they are in force within the tightest bound of 2.5 s.
const STALE_THRESHOLD: Duration = Duration::from_millis(300);

/// Time on [`Clock`] at which the machine booted, so that earlier events have a time too: the oldest are
/// roll-out orders that were given several days before.
const BOOT_TIME: Duration = Duration::from_secs(30 * 24 * 3600);

/// The clocks of a machine.
pub trait Clocks {
    /// Time since a fixed moment, suspensions excluded.
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

/// A clock that includes suspensions and detects them.
pub struct Clock {
    clocks: Box<dyn Clocks>,
    /// Difference between the clocks at the last detected suspension.
    offset: Cell<Duration>,
    suspensions: watch::Sender<Duration>,
    /// Number of suspensions after which the state counts as stale.
    long_suspensions: Cell<u64>,
}

impl Clock {
    /// Creates a clock; the present difference between the clocks does not count as a suspension.
    pub fn new(clocks: Box<dyn Clocks>) -> Self {
        let offset = Cell::new(clocks.since_boot().saturating_sub(clocks.awake()));
        Self {
            clocks,
            offset,
            suspensions: watch::Sender::new(Duration::ZERO),
            long_suspensions: Cell::new(0),
        }
    }

    /// The time now, suspensions included.
    ///
    /// Each reading compares both clocks, as a timer that checks for suspensions would itself be late
    /// after one.
    pub fn now(&self) -> Time {
        let since_boot = self.clocks.since_boot();
        let offset = since_boot.saturating_sub(self.clocks.awake());
        let suspended = offset.saturating_sub(self.offset.get());
        if suspended >= SUSPENSION_THRESHOLD {
            self.offset.set(offset);
            let suspended_ms = millis(suspended);
            log::warn!(target: "process", suspended_ms; "machine was suspended");
            if suspended >= STALE_THRESHOLD {
                self.long_suspensions.set(self.long_suspensions.get() + 1);
            }
            self.suspensions.send_replace(suspended);
        }
        Time::default() + BOOT_TIME + since_boot
    }

    /// The time of day, in milliseconds since the Unix epoch.
    pub fn unix_ms() -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        millis(since_epoch)
    }

    /// Number of suspensions so far after which the state counts as stale.
    pub fn long_suspensions(&self) -> u64 {
        self.now();
        self.long_suspensions.get()
    }

    /// Subscribes to the durations of suspensions as they are detected.
    pub fn suspensions(&self) -> watch::Receiver<Duration> {
        self.suspensions.subscribe()
    }
}
