//! Single decisions about whether backend servers are reached.

use super::placement_common::{name, peer};
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::placement::{Incarnation, Peers, start_id};
use steering::reach::reports::{ReachReports, Unreached};
use steering::reach::{Change, FailedServer, Failure, Path, Reach, ServerCounts};

const COUNTS: ServerCounts =
    ServerCounts { of_service: 8, all: 16, elsewhere_of_service: 0, elsewhere: 0 };

fn server(number: usize) -> Incarnation {
    Incarnation { id: name(&format!("server-{number}")), started_ms: 0 }
}

fn service() -> Arc<str> {
    name("dossier")
}

fn fail(reach: &mut Reach, number: usize, failure: Failure, at: Instant) -> Vec<Change> {
    let (service, id) = (service(), server(number));
    let failed = FailedServer { service: &service, id: &id, is_elsewhere: false };
    reach.record_failure(failed, failure, at, COUNTS, at)
}

/// Fails two servers, one of them at a check, so that they count as lost.
fn lose(reach: &mut Reach, (first, second): (usize, usize), at: Instant) {
    fail(reach, first, Failure::Broken, at);
    fail(reach, second, Failure::CheckConnecting, at);
}

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn one_failed_server_is_not_a_cut() {
    let start = Instant::now();
    let mut reach = Reach::default();
    for ms in 0..20 {
        assert!(fail(&mut reach, 1, Failure::Broken, after(start, ms)).is_empty());
    }
    assert_eq!(reach.path("dossier", 0.5, after(start, 20)), Path::Direct);
}

// Guards against requests that are given up and passed on as some responses are slow or lost.
#[test]
fn failures_without_a_failed_check_are_not_a_cut() {
    let start = Instant::now();
    let mut reach = Reach::default();
    for number in 0..8 {
        fail(&mut reach, number, Failure::Overdue, start);
    }
    assert!(!reach.is_cut_off("dossier"));
    assert_eq!(reach.unclear_scopes().len(), 1, "a check tells");
    reach.record_response(&service(), after(start, 100));
    assert!(reach.unclear_scopes().is_empty());
}

#[test]
fn a_response_between_two_failures_outweighs_the_first() {
    let start = Instant::now();
    let mut reach = Reach::default();
    fail(&mut reach, 1, Failure::Broken, after(start, 10));
    reach.record_response(&service(), after(start, 20));
    fail(&mut reach, 2, Failure::Broken, after(start, 30));
    assert!(!reach.is_cut_off("dossier"));
    // What began before the response says nothing.
    let earlier = after(start, 15);
    let (service, id) = (service(), server(3));
    let failed = FailedServer { service: &service, id: &id, is_elsewhere: false };
    reach.record_failure(failed, Failure::Overdue, earlier, COUNTS, after(start, 40));
    assert!(!reach.is_cut_off("dossier"));
    fail(&mut reach, 3, Failure::CheckConnecting, after(start, 50));
    assert!(reach.is_cut_off("dossier"));
}

#[test]
fn servers_that_others_do_not_reach_either_are_not_counted() {
    let start = Instant::now();
    let mut reach = Reach::default();
    lose(&mut reach, (1, 2), start);
    assert!(reach.is_cut_off("dossier"));
    reach.record_failed_server(&service(), &server(1), after(start, 5));
    assert!(reach.is_cut_off("dossier"));
    reach.record_failed_server(&service(), &server(2), after(start, 6));
    assert!(!reach.is_cut_off("dossier"));
    lose(&mut reach, (1, 2), after(start, 10));
    assert!(!reach.is_cut_off("dossier"));
}

// Guards against an instance that takes the end of a service's only server for a cut, again and again.
#[test]
fn a_server_that_is_no_longer_listed_does_not_count() {
    let start = Instant::now();
    let mut reach = Reach::default();
    let only = ServerCounts { of_service: 1, all: 1, ..ServerCounts::default() };
    let (service, id) = (service(), server(1));
    let failed = FailedServer { service: &service, id: &id, is_elsewhere: false };
    reach.record_failure(failed, Failure::CheckConnecting, start, only, start);
    assert!(reach.is_cut_off("dossier"));
    let changes = reach.retain_servers(|listed| *listed != server(1), after(start, 10));
    assert!(changes.iter().all(|change| !change.is_lost));
    assert_eq!(reach.path("dossier", 0.5, after(start, 20)), Path::Direct);
}

#[test]
fn a_service_may_be_lost_while_others_are_reached() {
    let start = Instant::now();
    let mut reach = Reach::default();
    fail(&mut reach, 1, Failure::Broken, after(start, 1));
    reach.record_response(&name("agenda"), after(start, 2));
    fail(&mut reach, 2, Failure::CheckConnecting, after(start, 3));
    assert!(reach.is_cut_off("dossier"));
    assert!(!reach.is_cut_off("agenda"));
    assert!(!reach.is_cut_off_from_all());
    assert_eq!(reach.path("agenda", 0.5, after(start, 4)), Path::Direct);
}

#[test]
fn open_connections_are_used_while_only_new_ones_fail() {
    let start = Instant::now();
    let mut reach = Reach::default();
    fail(&mut reach, 1, Failure::Connecting, after(start, 1));
    reach.record_response(&service(), after(start, 2));
    fail(&mut reach, 2, Failure::CheckConnecting, after(start, 3));
    reach.record_response(&service(), after(start, 4));
    assert_eq!(reach.path("dossier", 0.5, after(start, 5)), Path::OpenConnectionsOnly);
    reach.record_first_response(&service(), after(start, 6));
    assert_eq!(reach.path("dossier", 0.5, after(start, 2_000)), Path::Direct);
}

// Guards against new connections that are accepted and reset with the first request, while responses over
// open ones go on.
#[test]
fn new_connections_that_break_before_a_response_count_as_refused() {
    let start = Instant::now();
    let mut reach = Reach::default();
    fail(&mut reach, 1, Failure::NewBroken, after(start, 1));
    reach.record_response(&service(), after(start, 2));
    fail(&mut reach, 2, Failure::CheckUnanswered, after(start, 3));
    reach.record_response(&service(), after(start, 4));
    assert_eq!(reach.path("dossier", 0.5, after(start, 5)), Path::OpenConnectionsOnly);
    assert!(reach.is_cut_off_over("dossier", true));
    assert!(!reach.is_cut_off("dossier"));
}

// Guards against open connections that break together, as their servers stop, and count as refused ones.
#[test]
fn open_connections_that_break_say_nothing_about_new_ones() {
    let start = Instant::now();
    let mut reach = Reach::default();
    fail(&mut reach, 1, Failure::Broken, after(start, 1));
    fail(&mut reach, 2, Failure::Overdue, after(start, 2));
    reach.record_response(&service(), after(start, 3));
    fail(&mut reach, 3, Failure::CheckUnanswered, after(start, 4));
    reach.record_response(&service(), after(start, 5));
    assert_eq!(reach.path("dossier", 0.5, after(start, 6)), Path::Direct);
}

#[test]
fn requests_return_to_direct_paths_by_and_by() {
    let start = Instant::now();
    let mut reach = Reach::default();
    fail(&mut reach, 1, Failure::Broken, start);
    fail(&mut reach, 2, Failure::CheckConnecting, start);
    let not_confirmed = Path::StandIn { is_confirmed: false };
    let confirmed = Path::StandIn { is_confirmed: true };
    assert_eq!(reach.path("dossier", 0.0, start), not_confirmed);
    assert_eq!(reach.path("dossier", 0.0, after(start, 1_000)), confirmed);
    reach.record_response(&service(), after(start, 1_100));
    assert_eq!(reach.path("dossier", 0.3, after(start, 1_600)), Path::Direct);
    assert_eq!(reach.path("dossier", 0.9, after(start, 1_600)), not_confirmed);
    assert_eq!(reach.path("dossier", 0.9, after(start, 2_200)), Path::Direct);
}

#[test]
fn a_time_without_responses_is_conspicuous_by_what_is_under_way() {
    let start = Instant::now();
    let mut reach = Reach::default();
    let mean = Duration::from_secs(1);
    (0..10).for_each(|_| reach.record_sent(start));
    assert!(!reach.has_drought(mean, after(start, 700)));
    assert!(reach.has_drought(mean, after(start, 900)));
    reach.record_response(&service(), after(start, 900));
    assert!(!reach.has_drought(mean, after(start, 1_000)));
    (0..10).for_each(|_| reach.record_ended());
    assert!(!reach.has_drought(mean, after(start, 9_000)));
}

#[test]
fn a_report_that_is_not_repeated_expires() {
    let start = Instant::now();
    let (own, other) = (start_id(&peer("one", "north-a")), start_id(&peer("two", "north-a")));
    let mut sender = ReachReports::new(Duration::from_secs(4));
    let mut receiver = ReachReports::new(Duration::from_secs(4));
    assert!(sender.set_own(other, Unreached::All, start));
    let message = sender.encode(&mut rand::rng()).expect("there is a report");
    assert_eq!(receiver.merge(own, &message, start), Some(1));
    assert!(receiver.is_cut_off(other, None, after(start, 3_900)));
    assert!(!receiver.is_cut_off(other, None, after(start, 4_100)));
    assert_eq!(receiver.merge(own, &[0xff], start), None);
}

#[test]
fn the_report_of_a_return_outweighs_earlier_ones() {
    let start = Instant::now();
    let (own, other) = (start_id(&peer("one", "north-a")), start_id(&peer("two", "north-a")));
    let mut sender = ReachReports::new(Duration::from_secs(4));
    let mut receiver = ReachReports::new(Duration::from_secs(4));
    sender.set_own(other, Unreached::All, start);
    let old = sender.encode(&mut rand::rng()).expect("there is a report");
    sender.set_own(other, Unreached::None, after(start, 100));
    let new = sender.encode(&mut rand::rng()).expect("there is a report");
    receiver.merge(own, &new, after(start, 100));
    assert_eq!(receiver.merge(own, &old, after(start, 200)), Some(0));
    assert!(!receiver.is_cut_off(other, None, after(start, 200)));
}

/// Five instances of north-a, two of north-b and one of south-a, of which some are cut off.
fn peers(cut_off: &[&str], now: Instant) -> Peers {
    let mut peers = Peers::default();
    let own = start_id(&peer("a-0", "north-a"));
    let of_zones = [("a", "north-a", 1..5), ("b", "north-b", 0..2), ("s", "south-a", 0..1)];
    for (prefix, zone, numbers) in of_zones {
        numbers.for_each(|number| {
            peers.record(peer(&format!("{prefix}-{number}"), zone), now);
        });
    }
    for name in cut_off {
        let cut_off = peers.all().find(|peer| *peer.name == **name).cloned();
        let id = cut_off.map_or(own, |peer| start_id(&peer));
        peers.reach.set_own(id, Unreached::All, now);
    }
    peers
}

fn stand_ins(peers: &Peers, now: Instant) -> Vec<String> {
    let own = peer("a-0", "north-a");
    let mut names: Vec<String> = peers
        .stand_ins(&own, 1, now, |_| true)
        .into_iter()
        .map(|(start, _)| start.id.to_string())
        .collect();
    names.sort();
    names
}

#[test]
fn stand_ins_are_near_unless_these_are_too_few() {
    let now = Instant::now();
    assert_eq!(stand_ins(&peers(&[], now), now), ["a-1", "a-2", "a-3", "a-4"]);
    assert_eq!(stand_ins(&peers(&["a-1", "a-2", "a-3"], now), now), ["a-4", "b-0", "b-1"]);
    let zone = ["a-1", "a-2", "a-3", "a-4"];
    assert_eq!(stand_ins(&peers(&zone, now), now), ["b-0", "b-1"]);
    let region = ["a-1", "a-2", "a-3", "a-4", "b-0", "b-1"];
    assert_eq!(stand_ins(&peers(&region, now), now), ["s-0"]);
    let all = ["a-1", "a-2", "a-3", "a-4", "b-0", "b-1", "s-0"];
    assert!(stand_ins(&peers(&all, now), now).is_empty());
}

#[test]
fn look_ups_name_instances_that_reach_the_backend_servers() {
    let now = Instant::now();
    let own = peer("a-0", "north-a");
    let count = |cut_off: &[&str]| peers(cut_off, now).look_up(&own, "north-a", "north", now).len();
    assert_eq!(count(&[]), 5);
    assert_eq!(count(&["a-1", "a-2"]), 3);
    // One is left in the zone, so the two of the other zone help.
    assert_eq!(count(&["a-1", "a-2", "a-3", "a-4"]), 3);
    assert_eq!(count(&["a-0", "a-1", "a-2", "a-3", "a-4"]), 2);
    // All of the region serve through others, and callers stay in it.
    assert_eq!(count(&["a-0", "a-1", "a-2", "a-3", "a-4", "b-0", "b-1"]), 5);
}

#[test]
fn an_instance_that_is_cut_off_relays_nothing_and_sends_nothing_under_a_limit() {
    let now = Instant::now();
    let peers = peers(&["b-0"], now);
    let relay = |zone: &str| peers.relay_to("a-0", zone, now, |_| true).map(|(start, _)| start.id);
    assert_eq!(relay("north-b").as_deref(), Some("b-1"));
    assert_eq!(peers.alive_name_hashes("north", now).len(), 5);
}

// Guards against an instance that takes the failure of a service's two servers in its region for a cut.
#[test]
fn failures_in_the_own_region_are_no_cut_while_there_are_servers_elsewhere() {
    let start = Instant::now();
    let counts = ServerCounts { elsewhere_of_service: 6, elsewhere: 6, ..COUNTS };
    let mut reach = Reach::default();
    let service = service();
    let mut check = |number: usize, is_elsewhere: bool| {
        let id = server(number);
        let failed = FailedServer { service: &service, id: &id, is_elsewhere };
        reach.record_failure(failed, Failure::CheckUnanswered, start, counts, start);
        reach.is_cut_off("dossier")
    };
    assert!(!check(1, false));
    assert!(!check(2, false));
    assert!(check(3, true));
}
