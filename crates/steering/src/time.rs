//! Points in time on the clock of one instance.

use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// A point in time: nanoseconds since the instance's machine booted, including time suspended.
///
/// Times of different instances can't be compared; messages carry durations.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time {
    since_boot_ns: u64,
}

impl Time {
    /// Creates a time from nanoseconds since the machine booted.
    pub const fn from_ns(since_boot_ns: u64) -> Self {
        Self { since_boot_ns }
    }

    /// Creates a time from milliseconds since the machine booted.
    pub const fn from_ms(since_boot_ms: u64) -> Self {
        Self { since_boot_ns: since_boot_ms * 1_000_000 }
    }

    /// Returns the nanoseconds since the machine booted.
    pub const fn as_ns(self) -> u64 {
        self.since_boot_ns
    }

    /// Returns the time since `earlier`, zero if that is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.since_boot_ns.saturating_sub(earlier.since_boot_ns))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        let ns = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Time { since_boot_ns: self.since_boot_ns.saturating_add(ns) }
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        let ns = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Time { since_boot_ns: self.since_boot_ns.saturating_sub(ns) }
    }
}
