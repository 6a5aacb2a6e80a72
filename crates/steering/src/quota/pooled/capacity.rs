//! How much may be kept for later, by instances and by keepers.

use super::super::limit::Limit;

/// Part of what may be kept for later that instances keep for themselves, if it is a whole request for
/// each: it spares asking, and is what is left when keepers are gone.
const KEPT_BY_INSTANCES: f64 = 0.25;

/// Requests of a customer that one instance may keep for later; none if that were less than one.
pub(super) fn own_capacity(limit: &Limit, fraction: f64) -> f64 {
    let capacity = limit.capacity * KEPT_BY_INSTANCES * fraction;
    if capacity >= 1.0 { capacity } else { 0.0 }
}

/// Requests of a customer that all keepers together may keep for later.
pub(super) fn pooled_capacity(limit: &Limit, fraction: f64) -> f64 {
    limit.capacity - own_capacity(limit, fraction) / fraction
}
