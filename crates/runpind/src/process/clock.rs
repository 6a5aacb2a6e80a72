//! Clock used for all decisions.

use steering::Time;

/// Source of the current time for all decisions.
pub trait Clock: Send + Sync + 'static {
    /// Returns the current time.
    fn now(&self) -> Time;
}

/// Time since boot of the machine (`CLOCK_BOOTTIME`), including time spent suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Time {
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
        let nanoseconds = u64::try_from(now.tv_nsec).unwrap_or(0);
        Time::from_ns(seconds.saturating_mul(1_000_000_000).saturating_add(nanoseconds))
    }
}
