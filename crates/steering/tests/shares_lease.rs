//! Tests the session and the numbered slots, one failure at a time.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use steering::shares::timing::{FENCE_TIMEOUT, PROMISE_DURATION, SESSION_DURATION};
use steering::shares::{Reclaimer, Session, SessionWrite, SlotTable};
use steering::{Incarnation, Time};

const A: Incarnation = Incarnation(1);
const B: Incarnation = Incarnation(2);

fn at(ms: u64) -> Time {
    Time::from_ms(1_000_000 + ms)
}

fn electors() -> BTreeSet<Arc<str>> {
    BTreeSet::from(["a".into(), "b".into()])
}

/// Returns a session that was started long ago and has read that there is no object.
fn session(incarnation: Incarnation, name: &str) -> Session {
    let mut session = Session::new(incarnation, name.into(), Time::default());
    session.on_read(at(0), None, None);
    session
}

/// Returns a session held by `a` whose claim was sent at 0 ms, and the claim.
fn held_session() -> (Session, SessionWrite) {
    let mut session = session(A, "a");
    let write = session.next_write(at(0), &electors()).expect("a claim");
    session.on_written(at(10), 1);
    (session, write)
}

#[test]
fn a_claim_with_a_lost_reply_takes_effect_once_it_is_read_back() {
    let mut session = session(A, "a");
    let write = session.next_write(at(0), &electors()).expect("a claim");

    assert_eq!(session.held_epoch(at(100)), None);
    session.on_read(at(3_000), Some(1), Some(write.record));

    assert_eq!(session.held_epoch(at(5_800)), Some(1));
    assert_eq!(
        session.held_epoch(at(5_900)),
        None,
        "the lease is counted from before the claim was sent"
    );
}

#[test]
fn no_promise_is_given_while_an_own_claim_may_take_effect() {
    let (_, other_claim) = held_session();
    let mut session = session(B, "b");
    session.on_read(at(20), Some(1), Some(other_claim.record.clone()));
    let claim = session.next_write(at(7_000), &electors()).expect("a claim");

    assert!(!session.promise(at(7_100), 1, PROMISE_DURATION), "the claim may still take effect");
    session.on_read(at(7_200), Some(2), Some(other_claim.record));

    assert_eq!(claim.expected, Some(1));
    assert!(session.promise(at(7_300), 1, PROMISE_DURATION), "the claim can no longer take effect");
}

#[test]
fn only_one_of_two_concurrent_claims_succeeds() {
    let (mut first, mut second) = (session(A, "a"), session(B, "b"));
    let write = first.next_write(at(0), &electors()).expect("a claim");
    let late = second.next_write(at(0), &electors()).expect("a claim");

    first.on_written(at(5), 1);
    second.on_read(at(10), Some(1), Some(write.record));

    assert_eq!(late.expected, None, "the platform refuses a claim that expects no object");
    assert_eq!((first.held_epoch(at(20)), second.held_epoch(at(20))), (Some(1), None));
}

#[test]
fn a_holder_loses_the_session_during_a_long_pause() {
    let (session, _) = held_session();

    assert_eq!(session.held_epoch(at(5_000)), Some(1));
    assert_eq!(session.held_epoch(at(3_600_000)), None);
}

#[test]
fn only_electors_claim_an_expired_session_before_the_fence_timeout() {
    let (_, write) = held_session();
    let mut elector = session(B, "b");
    let mut non_elector = session(Incarnation(3), "c");
    let expiry_ms = SESSION_DURATION.as_millis() as u64 * 102 / 100;
    for session in [&mut elector, &mut non_elector] {
        session.on_read(at(20), Some(1), Some(write.record.clone()));
    }

    assert!(elector.next_write(at(20 + expiry_ms - 1), &electors()).is_none());
    assert!(elector.next_write(at(20 + expiry_ms), &electors()).is_some());
    assert!(non_elector.next_write(at(600_000), &electors()).is_none());
    assert!(
        non_elector.next_write(at(30) + FENCE_TIMEOUT + FENCE_TIMEOUT / 50, &electors()).is_some()
    );
}

#[test]
fn promises_extend_a_session_for_more_than_an_hour() {
    let (mut session, write) = held_session();
    let mut other = Session::new(B, "b".into(), Time::default());
    other.on_read(at(20), Some(1), Some(write.record));

    // Renewals fail from here on; a promise is requested every five seconds.
    for second in (5..4_000).step_by(5) {
        let now = at(second * 1_000);
        assert_eq!(session.held_epoch(now), Some(1), "after {second} s");
        assert!(other.promise(now, 1, PROMISE_DURATION));
        assert!(other.next_write(now, &electors()).is_none(), "it has promised not to claim");
        session.on_promise(&"b".into(), 1, now, PROMISE_DURATION);
    }

    let over = at(3_995_000) + PROMISE_DURATION;
    assert_eq!(session.held_epoch(over), None, "one promise is missing");
    assert!(other.next_write(over + Duration::from_secs(1), &electors()).is_some());
}

#[test]
fn promises_do_not_extend_a_session_beyond_the_fence_timeout() {
    let (mut session, _) = held_session();
    let now = at(0) + FENCE_TIMEOUT - Duration::from_secs(60);

    session.on_promise(&"b".into(), 1, now, PROMISE_DURATION);

    assert_eq!(session.held_epoch(now), None);
}

#[test]
fn a_restarted_instance_honors_promises_of_its_previous_process() {
    let (_, write) = held_session();
    let mut restarted = Session::new(Incarnation(4), "b".into(), at(7_000));
    restarted.on_read(at(7_001), Some(1), Some(write.record));

    assert!(restarted.next_write(at(13_500), &electors()).is_none());
    assert!(restarted.next_write(at(17_300), &electors()).is_some());
}

#[test]
fn a_released_session_can_be_claimed_immediately() {
    let (mut session, _) = held_session();
    let release = session.release(at(100)).expect("a release");
    let mut other = Session::new(B, "b".into(), at(0));
    other.on_read(at(200), Some(2), Some(release.record));

    assert_eq!(session.held_epoch(at(100)), None);
    assert_eq!(other.next_write(at(200), &electors()).expect("a claim").record.epoch, 2);
}

/// Returns a table in which `a` and `b` have slots 0 and 1.
fn table() -> SlotTable {
    let mut table = SlotTable::default();
    table.grow(3);
    table.claim(A, &"a".into()).expect("a slot");
    table.claim(B, &"b".into()).expect("a slot");
    table
}

#[test]
fn the_slot_of_a_removed_instance_is_reclaimed_after_the_fence_timeout() {
    let mut table = table();
    let mut reclaimer = Reclaimer::default();
    let mut step = |table: &mut SlotTable, now| {
        reclaimer.reclaim_slots(table, now, |name| name == "a", |_| Some(at(500)))
    };

    assert!(step(&mut table, at(0)), "it is marked");
    assert!(!step(&mut table, at(1_000)));
    assert!(!step(&mut table, at(1_000) + FENCE_TIMEOUT));
    let free = at(1_000) + (FENCE_TIMEOUT + Duration::from_secs(1)) * 51 / 50;
    assert!(step(&mut table, free));

    assert_eq!(table.slot_of(B), None);
    assert_eq!(table.claim(Incarnation(5), &"e".into()).expect("a slot").number, 1);
}

#[test]
fn contact_with_the_holder_postpones_reclaiming() {
    let mut table = table();
    let mut reclaimer = Reclaimer::default();
    let contact = at(1_000) + FENCE_TIMEOUT;
    for now in [at(0), at(1_000), contact + Duration::from_secs(200)] {
        reclaimer.reclaim_slots(&mut table, now, |name| name == "a", |_| Some(contact));
    }

    assert_eq!(table.slot_of(B), Some((1, true)));
}

#[test]
fn an_instance_that_is_listed_again_keeps_its_slot() {
    let mut table = table();
    let mut reclaimer = Reclaimer::default();
    reclaimer.reclaim_slots(&mut table, at(0), |name| name == "a", |_| None);

    assert!(reclaimer.reclaim_slots(&mut table, at(1_000), |_| true, |_| None));

    assert_eq!(table.slot_of(B), Some((1, false)));
}

#[test]
fn a_process_that_restarts_takes_over_its_slot_after_one_window() {
    let mut table = table();

    let claim = table.claim(Incarnation(6), &"b".into()).expect("a slot");

    assert_eq!((claim.number, claim.used_before), (1, true));
    assert!(claim.into_held_slot(at(0)).usable_from > at(1_000));
    assert_eq!(table.slot_of(B), None);
}
