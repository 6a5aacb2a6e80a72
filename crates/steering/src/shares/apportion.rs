//! Dividing a whole number of slots or requests in proportion to demand, without rounding losses.

/// Returns one claimant's part of `total`, in proportion to its `own_demand` of `total_demand`.
///
/// All claimants use the same order; `demand_before` is the demand of those that come earlier in
/// it.  The parts of all claimants add up to exactly `total`, and each differs from the exact share
/// by less than one, so even a single slot among many claimants is assigned.
pub(super) fn proportional_part(
    total: u64,
    demand_before: u64,
    own_demand: u64,
    total_demand: u64,
) -> u64 {
    if total_demand == 0 {
        return 0;
    }
    let cumulative = |demand: u64| {
        let part =
            u128::from(total) * u128::from(demand.min(total_demand)) / u128::from(total_demand);
        u64::try_from(part).unwrap_or(total)
    };
    cumulative(demand_before.saturating_add(own_demand)) - cumulative(demand_before)
}
