//! Whom an instance asks for what it lacks.

use entry::process::questions::UpdateRequests;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_millis(400);

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + number))
}

#[test]
fn an_instance_that_does_not_answer_keeps_nobody_from_asking_another() {
    let start = Instant::now();
    let mut requests = UpdateRequests::default();
    assert!(requests.begin(address(1), PATIENCE, start));
    // Datagrams of others that know more come each 10 ms; the first instance never answers.
    let asked = (1..250u32).find(|number| {
        let now = start + Duration::from_millis(10) * *number;
        requests.begin(address(2), PATIENCE, now)
    });
    assert_eq!(asked, Some(40), "another is asked when the first is late, not when it is given up");
}

#[test]
fn a_question_that_may_be_answered_in_time_is_the_only_one() {
    let start = Instant::now();
    let mut requests = UpdateRequests::default();
    assert!(requests.begin(address(1), PATIENCE, start));
    assert!(!requests.begin(address(2), PATIENCE, start + PATIENCE / 2));
    requests.end(address(1));
    assert!(requests.begin(address(2), PATIENCE, start + PATIENCE / 2));
}

#[test]
fn no_instance_is_asked_twice_at_once_and_few_are_asked_together() {
    let start = Instant::now();
    let mut requests = UpdateRequests::default();
    let at = |number: u16| start + PATIENCE * u32::from(number);
    assert!(requests.begin(address(0), PATIENCE, at(0)));
    assert!(!requests.begin(address(0), PATIENCE, at(5)));
    let begun = (1..20).filter(|number| requests.begin(address(*number), PATIENCE, at(*number)));
    assert_eq!(begun.count(), 2);
}

#[test]
fn a_question_for_later_keeps_no_near_one_from_being_asked() {
    let start = Instant::now();
    let mut requests = UpdateRequests::default();
    assert!(requests.begin(address(1), Duration::ZERO, start));
    assert!(requests.begin(address(2), PATIENCE, start));
}
