//! Tests the shares of one instance and the allocator, one failure at a time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use steering::shares::timing::{FENCE_TIMEOUT, GRANT_DURATION};
use steering::shares::{
    AllocationRequest, Allocator, Amounts, Cap, Grant, GrantRefusal, HeldSlot, Plan, RefusalCause,
    Resource, Shares,
};
use steering::{Incarnation, Time};

const A: Incarnation = Incarnation(1);
const B: Incarnation = Incarnation(2);

fn at(ms: u64) -> Time {
    Time::from_ms(1_000_000 + ms)
}

fn link() -> Resource {
    Resource::Link { to: "z".into() }
}

fn site() -> Resource {
    Resource::Site { service: "s".into(), availability_zone: "z".into() }
}

/// Returns shares with slot 0 of 4 and contact at 0 ms.
///
/// The floors are 10 requests per second and 1 slot.
fn shares() -> Shares {
    let caps = BTreeMap::from([
        (link(), Cap { total: 100, floor_total: 40, instance_slots: 4, is_own_zone: true }),
        (site(), Cap { total: 10, floor_total: 4, instance_slots: 4, is_own_zone: true }),
    ]);
    let mut shares = Shares::default();
    shares.set_plan(&Plan { caps, instance_slots: 4 });
    shares.set_slot(Some(HeldSlot { number: 0, usable_from: at(0) }));
    shares.on_contact(at(0));
    shares
}

fn amounts(requests_per_s: u64, slots: u64) -> Amounts {
    BTreeMap::from([(link(), requests_per_s), (site(), slots)])
}

fn grant(epoch: u64, number: u64, requests_per_s: u64) -> Grant {
    Grant { epoch, number, duration: GRANT_DURATION, amounts: amounts(requests_per_s, 2) }
}

fn names() -> (Arc<str>, Arc<str>) {
    ("z".into(), "s".into())
}

/// Returns a request whose sender holds the previous grant.
fn request(number: u64, demand: u64, in_use: u64) -> AllocationRequest {
    AllocationRequest {
        number,
        accepted_number: number - 1,
        known_epoch: 1,
        demand: amounts(demand, demand),
        in_use: BTreeMap::from([(site(), in_use)]),
    }
}

#[test]
fn floors_remain_usable_without_contact_until_the_fence_timeout() {
    let shares = shares();

    assert_eq!(shares.allowance(&link(), at(0) + Duration::from_secs(60 * 60)), 10);
    assert_eq!(shares.allowance(&link(), at(0) + FENCE_TIMEOUT), 0);
}

#[test]
fn a_grant_expires_relative_to_the_time_of_its_request() {
    let mut shares = shares();
    shares.next_request(at(0));

    shares.on_grant(&grant(1, 1, 30), at(0), at(1_000)).expect("accepted");

    assert_eq!(shares.allowance(&link(), at(2_900)), 40);
    assert_eq!(
        shares.allowance(&link(), at(2_950)),
        10,
        "valid for less than 3 s from before the request was sent"
    );
    assert_eq!(shares.on_grant(&grant(1, 2, 30), at(0), at(3_000)), Err(GrantRefusal::Expired));
}

#[test]
fn grants_of_a_lower_epoch_and_of_an_earlier_request_are_refused() {
    let mut shares = shares();
    shares.on_grant(&grant(2, 5, 30), at(0), at(1)).expect("accepted");

    let epoch = shares.on_grant(&grant(1, 6, 50), at(0), at(1));
    let number = shares.on_grant(&grant(2, 4, 50), at(0), at(1));

    assert_eq!(epoch, Err(GrantRefusal::StaleEpoch { epoch: 1, known_epoch: 2 }));
    assert_eq!(number, Err(GrantRefusal::Superseded { number: 4, accepted: 5 }));
    assert_eq!(shares.allowance(&link(), at(2)), 40);
}

#[test]
fn a_late_reply_does_not_restore_released_grants() {
    let mut shares = shares();
    let number = shares.next_request(at(0)).number;
    shares.release_grants();

    let late = shares.on_grant(&grant(1, number, 30), at(0), at(1));

    assert!(matches!(late, Err(GrantRefusal::Superseded { .. })));
}

#[test]
fn a_refusal_by_the_site_uses_no_request_of_the_link() {
    let mut shares = shares();
    let (to, service) = names();
    let first = shares.acquire(&to, &service, at(0)).expect("the floor of one slot");

    let refusal = shares.acquire(&to, &service, at(0)).expect_err("no second slot is available");

    assert_eq!(refusal.cause, RefusalCause::Site);
    assert_eq!(used_on_link(&mut shares), 1);
    shares.release(&first);
    assert!(shares.acquire(&to, &service, at(0)).is_ok());
}

fn used_on_link(shares: &mut Shares) -> u64 {
    let status = shares.status(at(0));
    status.iter().find(|share| share.resource == link()).expect("the link").used
}

#[test]
fn a_refusal_by_the_link_reports_when_to_retry_and_releases_the_slot() {
    let mut shares = shares();
    let (to, service) = names();
    for _ in 0..10 {
        let permit = shares.acquire(&to, &service, at(0)).expect("within the floor");
        shares.release(&permit);
    }

    let refusal = shares.acquire(&to, &service, at(100)).expect_err("the floor is exhausted");

    assert_eq!(refusal.cause, RefusalCause::Link);
    let wait = refusal.retry_after(at(100));
    assert!(shares.acquire(&to, &service, at(100) + wait).is_ok(), "after {wait:?}");
}

#[test]
fn a_new_holder_waits_until_grants_of_the_previous_epoch_expire() {
    let mut later = Allocator::new(2, at(0), false);
    let mut first = Allocator::new(1, at(0), true);

    assert!(first.grant(A, &request(1, 5, 0), &amounts(60, 6), at(1)).is_some());
    assert!(later.grant(A, &request(1, 5, 0), &amounts(60, 6), at(4_000)).is_none());
    let grant =
        later.grant(A, &request(2, 5, 0), &amounts(60, 6), at(4_100)).expect("links are open");
    assert_eq!(grant.amounts.get(&site()), None, "slots may still be occupied");
    let grant = later.grant(A, &request(3, 5, 0), &amounts(60, 6), at(33_100)).expect("a grant");
    assert_eq!(grant.amounts[&site()], 6);
}

#[test]
fn sites_open_once_all_instances_with_slots_have_reported() {
    let mut allocator = Allocator::new(2, at(0), false);
    allocator.grant(A, &request(1, 5, 0), &amounts(60, 6), at(4_100)).expect("links are open");

    allocator.open_sites_if_all_reported([A, B].into_iter(), at(4_200));
    let closed =
        allocator.grant(A, &request(2, 5, 0), &amounts(60, 6), at(4_300)).expect("a grant");
    allocator.grant(B, &request(1, 5, 4), &amounts(60, 6), at(4_300)).expect("a grant");
    allocator.open_sites_if_all_reported([A, B].into_iter(), at(4_400));
    let open = allocator.grant(A, &request(3, 5, 0), &amounts(60, 6), at(4_500)).expect("a grant");

    assert_eq!(closed.amounts.get(&site()), None);
    assert_eq!(open.amounts[&site()], 2, "the other instance occupies four");
}

#[test]
fn one_instance_is_granted_everything_and_two_share_by_demand() {
    let mut allocator = Allocator::new(1, at(0), true);
    let available = amounts(60, 6);

    let alone = allocator.grant(A, &request(1, 0, 0), &available, at(0)).expect("a grant");
    let none = allocator.grant(B, &request(1, 30, 0), &available, at(0)).expect("a grant");
    let less = allocator.grant(A, &request(2, 0, 0), &available, at(500)).expect("a grant");
    allocator.grant(A, &request(3, 0, 0), &available, at(1_000)).expect("a grant");
    let now = at(2_100);
    let some = allocator.grant(B, &request(2, 30, 0), &available, now).expect("a grant");

    assert_eq!(alone.amounts[&link()], 60);
    assert_eq!(none.amounts[&link()], 0, "the other instance holds everything");
    assert_eq!(less.amounts[&link()], 15, "half of the spare capacity");
    assert_eq!(some.amounts[&link()], 45, "free one window after the other instance held less");
}

#[test]
fn an_outdated_request_is_not_answered() {
    let mut allocator = Allocator::new(1, at(0), true);
    allocator.grant(A, &request(2, 5, 0), &amounts(60, 6), at(0)).expect("a grant");

    assert!(allocator.grant(A, &request(1, 5, 0), &amounts(60, 6), at(1)).is_none());
    assert!(allocator.grant(A, &request(2, 5, 0), &amounts(60, 6), at(1)).is_none());
}

#[test]
fn a_superseded_holder_refuses_requesters_that_know_the_new_epoch() {
    let mut allocator = Allocator::new(1, at(0), true);
    let request = AllocationRequest { known_epoch: 2, ..request(1, 5, 0) };

    assert!(allocator.grant(A, &request, &amounts(60, 6), at(0)).is_none());
}

#[test]
fn a_late_release_does_not_free_a_later_grant() {
    let mut allocator = Allocator::new(1, at(0), true);
    allocator.grant(A, &request(2, 60, 0), &amounts(60, 6), at(0)).expect("a grant");
    allocator.release(A, 1, 1, at(1));

    let other =
        allocator.grant(B, &request(1, 60, 0), &amounts(60, 6), at(2_000)).expect("a grant");

    assert_eq!(other.amounts[&link()], 0);
}

#[test]
fn a_small_remainder_is_divided_without_rounding_losses() {
    for (slots, demand) in [(1, [5, 5]), (3, [7, 7]), (5, [2, 9]), (6, [100, 1])] {
        let mut allocator = Allocator::new(1, at(0), true);
        let available = amounts(0, slots);
        allocator.grant(A, &request(1, demand[0], 0), &amounts(0, 0), at(0)).expect("a grant");
        allocator.grant(B, &request(1, demand[1], 0), &amounts(0, 0), at(0)).expect("a grant");

        let first =
            allocator.grant(A, &request(2, demand[0], 0), &available, at(1)).expect("a grant");
        let second =
            allocator.grant(B, &request(2, demand[1], 0), &available, at(1)).expect("a grant");

        assert_eq!(first.amounts[&site()] + second.amounts[&site()], slots, "{demand:?}");
    }
}
