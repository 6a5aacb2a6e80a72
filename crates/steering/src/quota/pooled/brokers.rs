//! Selects the brokers of a region, and the brokers of each customer among them.

use super::super::fleet::MemberId;
use crate::deployment::CustomerId;

/// Instances of a region per broker: each request of a small customer goes to a broker, so one
/// broker serves four instances.
const MEMBERS_PER_BROKER: usize = 4;

/// Minimum number of brokers of a region: with a single one, requests whose datagrams are lost or
/// late are refused, 0.7 % of all requests if 1 % of the datagrams take longer than the timeout.
const MIN_BROKERS: usize = 2;

/// Maximum number of brokers of a region: each instance renews its lease with each of them more
/// than twice a second.
const MAX_BROKERS: usize = 8;

/// Brokers of one customer in one region: if one fails, half of the quota remains available.
const BROKERS_PER_CUSTOMER: usize = 2;

/// Hash salt that ranks the instances of a region as brokers.
const BROKER_SALT: u64 = 0x6b65_6570_6572;

/// Selects the brokers among the live instances of a region, in ascending order.
pub(super) fn select_brokers(members: &[MemberId]) -> Vec<MemberId> {
    let count = members.len().div_ceil(MEMBERS_PER_BROKER).clamp(MIN_BROKERS, MAX_BROKERS);
    let mut brokers = highest_ranked(BROKER_SALT, members, count);
    brokers.sort_unstable();
    brokers
}

/// Selects the brokers of a customer among those of a region.
pub(super) fn customer_brokers(customer: CustomerId, brokers: &[MemberId]) -> Vec<MemberId> {
    highest_ranked(customer.hash(), brokers, BROKERS_PER_CUSTOMER)
}

/// The fraction of the quota leased to `brokers` that one of them manages for a customer.
pub(super) fn broker_share(broker: MemberId, customer: CustomerId, brokers: &[MemberId]) -> f64 {
    let customer_brokers = customer_brokers(customer, brokers);
    if customer_brokers.contains(&broker) { 1.0 / customer_brokers.len() as f64 } else { 0.0 }
}

/// Returns the `count` members that rank highest for a hash.
fn highest_ranked(hash: u64, members: &[MemberId], count: usize) -> Vec<MemberId> {
    let mut ranked: Vec<MemberId> = members.to_vec();
    ranked.sort_unstable_by_key(|member| std::cmp::Reverse(member.rank(hash)));
    ranked.truncate(count);
    ranked
}
