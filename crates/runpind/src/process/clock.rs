//! The clock behind every decision.

use steering::Time;

/// Tells the time that decisions are given.
pub trait Clock: Send + Sync + 'static {
    /// Returns the time now.
    fn now(&self) -> Time;
}

/// The machine's clock since boot, which goes on while the machine is suspended.
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
