//! Points in time on the clock of one instance.

use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// A point in time: nanoseconds on a clock of the instance's machine that includes time suspended.
///
/// Times of different instances can't be compared; messages carry durations.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time {
    ns: u64,
}

impl Time {
    /// Creates a time from nanoseconds.
    pub const fn from_ns(ns: u64) -> Self {
        Self { ns }
    }

    /// Creates a time from milliseconds.
    pub const fn from_ms(ms: u64) -> Self {
        Self { ns: ms * 1_000_000 }
    }

    /// Returns the nanoseconds.
    pub const fn as_ns(self) -> u64 {
        self.ns
    }

    /// Returns the time since `earlier`, zero if that is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.ns.saturating_sub(earlier.ns))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        let ns = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Time { ns: self.ns.saturating_add(ns) }
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
        Time { ns: self.ns.saturating_sub(ns) }
    }
}
