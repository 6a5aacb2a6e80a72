//! Tests the hand-over of a ledger: what the successor learns, and what it refuses.

use std::time::Duration;
use steering::ledger::{
    ExchangeResult, ExecutionStatus, Fingerprint, HandOver, KeyDecision, Ledger, Limits, NextStep,
    Outcome, PartReply,
};
use steering::{IdempotencyKey, Incarnation, Time};

const HOME: Incarnation = Incarnation(1);
const SUCCESSOR: Incarnation = Incarnation(2);
const OTHER: Incarnation = Incarnation(3);
const UNIX_MS: u64 = 1_000_000;
const TTL_MS: u64 = 100;

fn ledger(own: Incarnation) -> Ledger {
    let limits = Limits { max_part_records: 1, ..Limits::default() };
    let mut ledger = Ledger::new(own, limits, Time::from_ms(0), UNIX_MS);
    ledger.set_ttl(Duration::from_millis(TTL_MS));
    ledger
}

fn key(name: u64) -> IdempotencyKey {
    let text = format!("{}{name}", IdempotencyKey::prefix(HOME, UNIX_MS));
    text.parse().expect("a key")
}

fn begin_at(ledger: &mut Ledger, name: u64, ms: u64) -> KeyDecision {
    ledger.begin(&key(name), Fingerprint(0), Time::from_ms(ms))
}

fn end_at(ledger: &mut Ledger, name: u64, outcome: Outcome, ms: u64) -> ExecutionStatus {
    ledger.finish(&key(name), ExchangeResult::Sent(outcome), Time::from_ms(ms))
}

/// Returns a closed home that ran two keys, and its hand-over to the successor.
fn closed_home() -> (Ledger, HandOver) {
    let mut home = ledger(HOME);
    for name in 0..2 {
        begin_at(&mut home, name, 0);
        end_at(&mut home, name, Outcome::Ran, 0);
    }
    let mut hand_over = home.close(Time::from_ms(0)).remove(0);
    assert!(hand_over.begin(SUCCESSOR));
    (home, hand_over)
}

/// Sends all remaining parts.
fn send_all(home: &mut Ledger, hand_over: &mut HandOver, to: &mut Ledger, ms: u64) {
    while let Some(part) = home.next_part(hand_over) {
        assert!(to.receive(part, Time::from_ms(ms)));
        hand_over.on_reply(PartReply::Accepted);
    }
}

#[test]
fn the_successor_decides_after_the_last_part() {
    let ((mut home, mut hand_over), mut successor) = (closed_home(), ledger(SUCCESSOR));
    let first = home.next_part(&mut hand_over).expect("a part");
    assert!(!first.last && successor.receive(first, Time::from_ms(0)));
    hand_over.on_reply(PartReply::Accepted);
    let before = begin_at(&mut successor, 9, 0);
    let at_home_before = begin_at(&mut home, 9, 0);

    send_all(&mut home, &mut hand_over, &mut successor, 0);

    assert_eq!((before, at_home_before), (KeyDecision::NotHome, KeyDecision::Closed));
    assert_eq!(begin_at(&mut successor, 0, 0), KeyDecision::Replay(Outcome::Ran));
    assert_eq!(begin_at(&mut successor, 9, 0), KeyDecision::Run);
    assert_eq!(begin_at(&mut home, 9, 0), KeyDecision::HandedOver);
    assert_eq!(successor.taken_over_homes(), [HOME]);
    assert_eq!(hand_over.taken_over_by(), Some(SUCCESSOR));
}

#[test]
fn parts_are_applied_in_order_and_once() {
    let ((mut home, mut hand_over), mut successor) = (closed_home(), ledger(SUCCESSOR));
    let first = home.next_part(&mut hand_over).expect("a part");
    hand_over.on_reply(PartReply::Accepted);
    let second = home.next_part(&mut hand_over).expect("a part");
    let now = Time::from_ms(0);

    let too_early = successor.receive(second.clone(), now);
    let accepted =
        [first.clone(), first, second.clone(), second].map(|part| successor.receive(part, now));

    assert!(!too_early);
    assert_eq!(accepted, [true; 4]);
    assert_eq!(begin_at(&mut successor, 1, 0), KeyDecision::Replay(Outcome::Ran));
}

#[test]
fn only_the_named_successor_accepts_parts_and_only_until_it_closes() {
    let (mut home, mut hand_over) = closed_home();
    let part = home.next_part(&mut hand_over).expect("a part");
    let now = Time::from_ms(0);
    let (mut other, mut stopping) = (ledger(OTHER), ledger(SUCCESSOR));
    stopping.close(now);

    assert!(!other.receive(part.clone(), now));
    assert!(!stopping.receive(part, now));
}

#[test]
fn a_lost_reply_to_the_last_part_commits_the_home_to_its_successor() {
    let (mut home, mut hand_over) = closed_home();
    home.next_part(&mut hand_over).expect("a part");
    hand_over.on_reply(PartReply::Accepted);
    assert!(home.next_part(&mut hand_over).expect("a part").last);

    let after_unsure = hand_over.on_reply(PartReply::Unsure);
    let started_with_other = hand_over.begin(OTHER);
    let after_refusal = hand_over.on_reply(PartReply::Refused);

    assert_eq!(
        (after_unsure, started_with_other, after_refusal),
        (NextStep::Repeat, false, NextStep::GiveUp)
    );
    assert_eq!(begin_at(&mut home, 9, 0), KeyDecision::HandedOver);
    assert_eq!(home.next_part(&mut hand_over), None);
}

#[test]
fn before_the_last_part_another_successor_may_be_tried() {
    let ((mut home, mut hand_over), mut other) = (closed_home(), ledger(OTHER));
    home.next_part(&mut hand_over).expect("a part");

    let step = hand_over.on_reply(PartReply::Refused);
    let started = hand_over.begin(OTHER);
    send_all(&mut home, &mut hand_over, &mut other, 0);

    assert_eq!((step, started), (NextStep::TryAnother, true));
    assert_eq!(begin_at(&mut other, 9, 0), KeyDecision::Run);
}

#[test]
fn outcomes_of_requests_in_progress_reach_the_successor() {
    let (mut home, mut successor) = (ledger(HOME), ledger(SUCCESSOR));
    assert_eq!(
        [0, 1].map(|name| begin_at(&mut home, name, 0)),
        [KeyDecision::Run, KeyDecision::Run]
    );
    let mut hand_over = home.close(Time::from_ms(0)).remove(0);
    hand_over.begin(SUCCESSOR);
    send_all(&mut home, &mut hand_over, &mut successor, 0);
    let meanwhile = begin_at(&mut successor, 0, 0);

    end_at(&mut home, 0, Outcome::Ran, 1);
    home.finish(&key(1), ExchangeResult::NotSent, Time::from_ms(1));
    send_all(&mut home, &mut hand_over, &mut successor, 1);

    assert_eq!(meanwhile, KeyDecision::InProgress);
    assert_eq!(begin_at(&mut successor, 0, 1), KeyDecision::Replay(Outcome::Ran));
    assert_eq!(begin_at(&mut successor, 1, 1), KeyDecision::Run);
}

#[test]
fn a_key_expired_at_the_home_is_expired_at_a_successor_with_a_longer_ttl() {
    let (mut home, mut successor) = (ledger(HOME), ledger(SUCCESSOR));
    begin_at(&mut home, 0, 0);
    end_at(&mut home, 0, Outcome::Ran, 0);
    let mut hand_over = home.close(Time::from_ms(TTL_MS)).remove(0);
    hand_over.begin(SUCCESSOR);
    successor.set_ttl(Duration::from_millis(1_000 * TTL_MS));

    send_all(&mut home, &mut hand_over, &mut successor, TTL_MS);

    assert_eq!(begin_at(&mut successor, 0, TTL_MS), KeyDecision::Expired);
}

#[test]
fn a_longer_ttl_keeps_keys_that_could_run_again() {
    let mut home = ledger(HOME);
    begin_at(&mut home, 0, 0);
    end_at(&mut home, 0, Outcome::Ran, 0);

    home.set_ttl(Duration::from_millis(10 * TTL_MS));

    assert_eq!(begin_at(&mut home, 0, 2 * TTL_MS), KeyDecision::Replay(Outcome::Ran));
}

#[test]
fn an_unknown_outcome_stays_unknown() {
    let mut home = ledger(HOME);
    begin_at(&mut home, 0, 0);
    end_at(&mut home, 0, Outcome::Unknown, 0);

    let again = home.finish(&key(0), ExchangeResult::Shed, Time::from_ms(0));
    let later = end_at(&mut home, 0, Outcome::Ran, 0);

    assert_eq!((again, later), (ExecutionStatus::Unknown, ExecutionStatus::Unknown));
    assert_eq!(begin_at(&mut home, 0, 0), KeyDecision::Replay(Outcome::Unknown));
}
