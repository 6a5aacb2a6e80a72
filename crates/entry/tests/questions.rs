//! Limits on the update requests that an instance sends to others.

use entry::process::update_requests::UpdateRequests;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Delay before a hedged request to another instance.
const HEDGE_DELAY: Duration = Duration::from_millis(400);

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + number))
}

#[test]
fn an_unresponsive_instance_does_not_block_requests_to_others() {
    let start = Instant::now();
    let mut requests = UpdateRequests::default();
    assert!(requests.begin(address(1), HEDGE_DELAY, start));
    // Heartbeats with later revisions arrive every 10 ms; the first instance never responds.
    let hedged = (1..250u32).find(|number| {
        let now = start + Duration::from_millis(10) * *number;
        requests.begin(address(2), HEDGE_DELAY, now)
    });
    assert_eq!(hedged, Some(40), "the hedged request is sent after the delay, not after a timeout");
}

#[test]
fn no_hedged_request_is_sent_before_the_delay() {
    let start = Instant::now();
    let mut requests = UpdateRequests::default();
    assert!(requests.begin(address(1), HEDGE_DELAY, start));
    assert!(!requests.begin(address(2), HEDGE_DELAY, start + HEDGE_DELAY / 2));
    requests.end(address(1));
    assert!(requests.begin(address(2), HEDGE_DELAY, start + HEDGE_DELAY / 2));
}

#[test]
fn requests_in_flight_are_limited_in_total_and_to_one_per_instance() {
    let start = Instant::now();
    let mut requests = UpdateRequests::default();
    let at = |number: u16| start + HEDGE_DELAY * u32::from(number);
    assert!(requests.begin(address(0), HEDGE_DELAY, at(0)));
    assert!(!requests.begin(address(0), HEDGE_DELAY, at(5)));
    let begun = (1..20).filter(|number| requests.begin(address(*number), HEDGE_DELAY, at(*number)));
    assert_eq!(begun.count(), 2);
}

#[test]
fn a_request_without_hedge_delay_does_not_block_another() {
    let start = Instant::now();
    let mut requests = UpdateRequests::default();
    assert!(requests.begin(address(1), Duration::ZERO, start));
    assert!(requests.begin(address(2), HEDGE_DELAY, start));
}
