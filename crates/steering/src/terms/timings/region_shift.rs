//! Limits on the requests that change their region.

use super::tightness::{Ratio, USUAL_RECONNECTION};
use crate::terms::Terms;
use std::time::Duration;

/// Usual fraction of a region's requests that may change their region within two seconds.
const USUAL_MAX_SHIFT: f64 = 0.15;

/// Limits on the requests that change their region.
///
/// All fractions together must stay well below the term, which also counts requests that leave
/// for other reasons, such as those of customers that may only be served elsewhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShiftLimits {
    /// Largest fraction of requests that leave a region while it is not overloaded: of each
    /// service, moved shares and others together; of all services, moved shares alone.
    ///
    /// Requests that leave take longer.  When traffic drops, most of those that still arrive are on
    /// their way to other regions, which looks like a shift of traffic although no object moved.
    pub max_offload: f64,
    /// Largest change of a share per second: less than half of what may shift between windows of
    /// two seconds.
    pub max_change_per_s: f64,
    /// Largest change per second of the requests of all services together, where some of them are
    /// short of usable slots: about half of what may shift between windows of two seconds.
    pub max_total_change_per_s: f64,
    /// Largest change of a share per second after backend servers were added or lost.  The demand
    /// measured until then says little, because responses wait and callers return.
    pub max_settling_change_per_s: f64,
    /// Time for which the faster change applies: the time in which the measured demand is renewed
    /// twice.
    pub settling_time: Duration,
    /// Fraction of requests that may spill to another region than the one where they belong while
    /// nothing fails, as far as the moved shares leave a part of [`Self::max_offload`] unused.
    pub spill_ratio: f64,
}

impl Default for ShiftLimits {
    fn default() -> Self {
        Self::from(&Terms::default())
    }
}

impl From<&Terms> for ShiftLimits {
    fn from(terms: &Terms) -> Self {
        let shift_ratio =
            terms.max_region_shift.map_or(1.0, |max_shift| (max_shift / USUAL_MAX_SHIFT).min(1.0));
        let reconnection = Ratio::new(terms.reconnection, &USUAL_RECONNECTION);
        Self {
            max_offload: 0.06 * shift_ratio,
            max_change_per_s: 0.03 * shift_ratio,
            max_total_change_per_s: 0.04 * shift_ratio,
            max_settling_change_per_s: 0.15 * shift_ratio,
            settling_time: reconnection.shorten(Duration::from_secs(4), Duration::ZERO),
            spill_ratio: 0.04 * shift_ratio,
        }
    }
}
