//! Token bucket capacities of instances and of brokers.

use super::super::limit::Limit;

/// Fraction of a limit's capacity that instances hold themselves, if that is at least one token
/// each: it saves requests to brokers, and remains usable when the brokers fail.
const LOCAL_FRACTION: f64 = 0.25;

/// Tokens that one instance may hold for a customer; 0 if that would be less than one.
pub(super) fn local_capacity(limit: &Limit, fraction: f64) -> f64 {
    let capacity = limit.capacity * LOCAL_FRACTION * fraction;
    if capacity >= 1.0 { capacity } else { 0.0 }
}

/// Tokens that all brokers together may hold for a customer.
pub(super) fn pooled_capacity(limit: &Limit, fraction: f64) -> f64 {
    limit.capacity - local_capacity(limit, fraction) / fraction
}
