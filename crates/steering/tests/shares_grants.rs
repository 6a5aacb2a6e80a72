//! What one instance may spend, and how the session holder divides: one failure at a time.

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

/// Shares with slot 0 of 4, contact at 0 ms; floors are 10 requests a second and 1 slot.
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

/// An ask that holds the grant before it.
fn ask(number: u64, wanted: u64, in_use: u64) -> AllocationRequest {
    AllocationRequest {
        number,
        accepted_number: number - 1,
        known_epoch: 1,
        demand: amounts(wanted, wanted),
        in_use: BTreeMap::from([(site(), in_use)]),
    }
}

#[test]
fn without_contact_floors_go_on_until_the_fence_time() {
    let shares = shares();

    assert_eq!(shares.allowance(&link(), at(0) + Duration::from_secs(60 * 60)), 10);
    assert_eq!(shares.allowance(&link(), at(0) + FENCE_TIMEOUT), 0);
}

#[test]
fn a_grant_is_over_when_it_was_asked_for_too_long_ago() {
    let mut shares = shares();
    shares.next_request(at(0));

    shares.on_grant(&grant(1, 1, 30), at(0), at(1_000)).expect("accepted");

    assert_eq!(shares.allowance(&link(), at(2_900)), 40);
    assert_eq!(shares.allowance(&link(), at(2_950)), 10, "less than 3 s from before it was asked");
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
fn what_was_given_back_does_not_return_with_a_late_answer() {
    let mut shares = shares();
    let number = shares.next_request(at(0)).number;
    shares.release_grants();

    let late = shares.on_grant(&grant(1, number, 30), at(0), at(1));

    assert!(matches!(late, Err(GrantRefusal::Superseded { .. })));
}

#[test]
fn a_site_without_room_costs_nothing_on_the_link() {
    let mut shares = shares();
    let (to, service) = names();
    let first = shares.acquire(&to, &service, at(0)).expect("the floor of one slot");

    let refusal = shares.acquire(&to, &service, at(0)).expect_err("no second slot");

    assert_eq!(refusal.cause, RefusalCause::Site);
    assert_eq!(spent_on_link(&mut shares), 1);
    shares.release(&first);
    assert!(shares.acquire(&to, &service, at(0)).is_ok());
}

fn spent_on_link(shares: &mut Shares) -> u64 {
    let status = shares.status(at(0));
    status.iter().find(|share| share.resource == link()).expect("the link").spent
}

#[test]
fn a_link_without_room_names_when_to_come_back_and_keeps_the_slot_free() {
    let mut shares = shares();
    let (to, service) = names();
    for _ in 0..10 {
        let spent = shares.acquire(&to, &service, at(0)).expect("within the floor");
        shares.release(&spent);
    }

    let refusal = shares.acquire(&to, &service, at(100)).expect_err("the floor is used up");

    assert_eq!(refusal.cause, RefusalCause::Link);
    let wait = refusal.retry_after(at(100));
    assert!(shares.acquire(&to, &service, at(100) + wait).is_ok(), "after {wait:?}");
}

#[test]
fn a_new_holder_waits_out_the_grants_of_the_epoch_before() {
    let mut later = Allocator::new(2, at(0), false);
    let mut first = Allocator::new(1, at(0), true);

    assert!(first.grant(A, &ask(1, 5, 0), &amounts(60, 6), at(1)).is_some());
    assert!(later.grant(A, &ask(1, 5, 0), &amounts(60, 6), at(4_000)).is_none());
    let grant = later.grant(A, &ask(2, 5, 0), &amounts(60, 6), at(4_100)).expect("links are open");
    assert_eq!(grant.amounts.get(&site()), None, "slots may be occupied still");
    let grant = later.grant(A, &ask(3, 5, 0), &amounts(60, 6), at(33_100)).expect("a grant");
    assert_eq!(grant.amounts[&site()], 6);
}

#[test]
fn sites_are_open_once_all_that_may_occupy_slots_were_heard() {
    let mut allocator = Allocator::new(2, at(0), false);
    allocator.grant(A, &ask(1, 5, 0), &amounts(60, 6), at(4_100)).expect("links are open");

    allocator.open_sites_if_all_reported([A, B].into_iter(), at(4_200));
    let closed = allocator.grant(A, &ask(2, 5, 0), &amounts(60, 6), at(4_300)).expect("a grant");
    allocator.grant(B, &ask(1, 5, 4), &amounts(60, 6), at(4_300)).expect("a grant");
    allocator.open_sites_if_all_reported([A, B].into_iter(), at(4_400));
    let open = allocator.grant(A, &ask(3, 5, 0), &amounts(60, 6), at(4_500)).expect("a grant");

    assert_eq!(closed.amounts.get(&site()), None);
    assert_eq!(open.amounts[&site()], 2, "the other one occupies four");
}

#[test]
fn one_alone_is_granted_everything_and_two_by_demand() {
    let mut allocator = Allocator::new(1, at(0), true);
    let rest = amounts(60, 6);

    let alone = allocator.grant(A, &ask(1, 0, 0), &rest, at(0)).expect("a grant");
    let none = allocator.grant(B, &ask(1, 30, 0), &rest, at(0)).expect("a grant");
    let less = allocator.grant(A, &ask(2, 0, 0), &rest, at(500)).expect("a grant");
    allocator.grant(A, &ask(3, 0, 0), &rest, at(1_000)).expect("a grant");
    let now = at(2_100);
    let some = allocator.grant(B, &ask(2, 30, 0), &rest, now).expect("a grant");

    assert_eq!(alone.amounts[&link()], 60);
    assert_eq!(none.amounts[&link()], 0, "all is held by the other one");
    assert_eq!(less.amounts[&link()], 15, "half of what nobody wants");
    assert_eq!(some.amounts[&link()], 45, "free one window after the other one held less");
}

#[test]
fn a_request_that_was_overtaken_is_not_answered() {
    let mut allocator = Allocator::new(1, at(0), true);
    allocator.grant(A, &ask(2, 5, 0), &amounts(60, 6), at(0)).expect("a grant");

    assert!(allocator.grant(A, &ask(1, 5, 0), &amounts(60, 6), at(1)).is_none());
    assert!(allocator.grant(A, &ask(2, 5, 0), &amounts(60, 6), at(1)).is_none());
}

#[test]
fn a_holder_that_was_overtaken_grants_nothing_to_those_who_know() {
    let mut allocator = Allocator::new(1, at(0), true);
    let ask = AllocationRequest { known_epoch: 2, ..ask(1, 5, 0) };

    assert!(allocator.grant(A, &ask, &amounts(60, 6), at(0)).is_none());
}

#[test]
fn a_late_release_frees_no_later_grant() {
    let mut allocator = Allocator::new(1, at(0), true);
    allocator.grant(A, &ask(2, 60, 0), &amounts(60, 6), at(0)).expect("a grant");
    allocator.release(A, 1, 1, at(1));

    let other = allocator.grant(B, &ask(1, 60, 0), &amounts(60, 6), at(2_000)).expect("a grant");

    assert_eq!(other.amounts[&link()], 0);
}

#[test]
fn nothing_of_a_small_rest_is_lost_by_dividing_it() {
    for (slots, wanted) in [(1, [5, 5]), (3, [7, 7]), (5, [2, 9]), (6, [100, 1])] {
        let mut allocator = Allocator::new(1, at(0), true);
        let rest = amounts(0, slots);
        allocator.grant(A, &ask(1, wanted[0], 0), &amounts(0, 0), at(0)).expect("a grant");
        allocator.grant(B, &ask(1, wanted[1], 0), &amounts(0, 0), at(0)).expect("a grant");

        let first = allocator.grant(A, &ask(2, wanted[0], 0), &rest, at(1)).expect("a grant");
        let second = allocator.grant(B, &ask(2, wanted[1], 0), &rest, at(1)).expect("a grant");

        assert_eq!(first.amounts[&site()] + second.amounts[&site()], slots, "{wanted:?}");
    }
}
