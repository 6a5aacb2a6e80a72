//! Dividing a whole number of slots or requests so that nothing is lost by rounding.

/// Returns one claimant's part of `whole`, by its demand `own` out of `all`.
///
/// The claimants stand in one order, known to all; `before` is the demand of those ahead.  The parts
/// of all claimants add up to `whole` exactly, and each differs from its exact share by less than
/// one: even a single slot among many goes to somebody.
pub(super) fn part_by_demand(whole: u64, before: u64, own: u64, all: u64) -> u64 {
    if all == 0 {
        return 0;
    }
    let up_to = |demand: u64| {
        let part = u128::from(whole) * u128::from(demand.min(all)) / u128::from(all);
        u64::try_from(part).unwrap_or(whole)
    };
    up_to(before.saturating_add(own)) - up_to(before)
}
