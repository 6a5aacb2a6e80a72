//! Which instances of a region keep what its instances lend, and for which customers.

use super::super::fleet::MemberId;
use crate::deployment::CustomerId;

/// Instances of a region for each one that keeps: each request of a small customer asks a keeper, so one
/// keeper answers for four instances.
const MEMBERS_PER_KEEPER: usize = 4;

/// Fewest keepers of a region: with one, what is lost or late on its way to it is refused, 0.7 % of all
/// requests where a hundredth of the datagrams takes longer than is waited for.
const FEWEST_KEEPERS: usize = 2;

/// Most keepers of a region: all of its instances lend to each of them, twice a second.
const MOST_KEEPERS: usize = 8;

/// Keepers of one customer in one region: when one is gone, half of the quota is still to be had.
const KEEPERS_OF_CUSTOMER: usize = 2;

/// Places the keepers among the instances of a region.
const KEEPER_SALT: u64 = 0x6b65_6570_6572;

/// The keepers among the living instances of a region.
pub(super) fn keepers_among(members: &[MemberId]) -> Vec<MemberId> {
    let count = members.len().div_ceil(MEMBERS_PER_KEEPER).clamp(FEWEST_KEEPERS, MOST_KEEPERS);
    let mut keepers = first_by(KEEPER_SALT, members, count);
    keepers.sort_unstable();
    keepers
}

/// The keepers of a customer, of those of its region.
pub(super) fn keepers_of(customer: CustomerId, keepers: &[MemberId]) -> Vec<MemberId> {
    first_by(customer.hash(), keepers, KEEPERS_OF_CUSTOMER)
}

/// The part of what is lent to these keepers that one of them keeps for a customer.
pub(super) fn share_of(keeper: MemberId, customer: CustomerId, keepers: &[MemberId]) -> f64 {
    let of_customer = keepers_of(customer, keepers);
    if of_customer.contains(&keeper) { 1.0 / of_customer.len() as f64 } else { 0.0 }
}

/// The first so many by their rank for a hash.
fn first_by(hash: u64, members: &[MemberId], count: usize) -> Vec<MemberId> {
    let mut ranked: Vec<MemberId> = members.to_vec();
    ranked.sort_unstable_by_key(|member| std::cmp::Reverse(member.rank(hash)));
    ranked.truncate(count);
    ranked
}
