//! Total traffic of all instances to a backend server that announces a rate limit.
//!
//! Guards against two faults. Instances that ignore the limit keep sending the server's objects
//! there: two servers with limits of 6 and 2.3 requests per second got 64 and 43 in 4 s, as many as
//! without a limit. Instances that each apply the whole limit send it as many times as there are
//! instances: with all of 25 instances as senders, 24 requests arrive in 4 s where 5 are allowed.

mod placement_common;

use placement_common::{name, peer, placement_request, roster, servers, step};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::placement::load::LoadReport;
use steering::placement::{Condition, ConditionChange, Ending, Limit, Peer, Roster};

/// Time within which connected instances apply a newly announced limit, in milliseconds.
const APPLY_WITHIN_MS: u64 = 4_000;

/// Time after its first response with the limit from which an instance's requests count, in
/// milliseconds.
const LEARNED_DELAY_MS: u64 = 500;

/// Length of a window, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Duration of the simulation, in milliseconds.
const END_MS: u64 = 16_000;

/// Interval between requests of all callers together, and time to a response, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 5;
const ANSWER_MS: u64 = 100;

/// Interval between heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 800;

/// The server that announces a limit; five others of its region don't.
const LIMITED: &str = "north-a-0";

/// Returns the requests that are allowed in a window.
fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW_MS as f64 / 1_000.0) as usize + 5
}

/// An instance, and the time of its first response that announced the limit.
struct Instance {
    peer: Peer,
    roster: Roster,
    learned_ms: Option<u64>,
}

/// Requests that arrived at the limited server.
#[derive(Debug, Default)]
struct Arrivals {
    /// Arrival times of requests from instances that already knew the limit.
    informed_ms: Vec<u64>,
    refused: usize,
}

impl Arrivals {
    /// Returns the most requests in a window, once instances apply the limit.
    fn max_in_window(&self) -> usize {
        let settled = || self.informed_ms.iter().filter(|at| **at >= APPLY_WITHIN_MS);
        let within =
            |from: &u64| settled().filter(|at| (*from..*from + WINDOW_MS).contains(at)).count();
        settled().map(within).max().unwrap_or(0)
    }
}

/// Simulates callers of one region whose first server announces a limit from the start;
/// `receives_heartbeats` decides which instances know each other.
fn simulate(
    instances: usize,
    limit_per_s: f64,
    receives_heartbeats: impl Fn(usize, usize) -> bool,
) -> Arrivals {
    let start = Instant::now();
    let backend_servers = servers(&[("north-a", 3), ("north-b", 3)], 9);
    let peer_of = |number: usize| peer(&format!("instance-{number}"), "north-a");
    let others = |number: usize| -> Vec<Peer> {
        let known_peers =
            (0..instances).filter(|other| *other != number && receives_heartbeats(number, *other));
        known_peers.map(peer_of).collect()
    };
    let mut fleet: Vec<Instance> = (0..instances)
        .map(|number| {
            let roster = roster(&peer_of(number).name, "north-a", &backend_servers, start);
            Instance { peer: peer_of(number), roster, learned_ms: None }
        })
        .collect();
    let mut random = StdRng::seed_from_u64(7);
    let service = name(placement_common::SERVICE);
    let mut arrivals = Arrivals::default();
    let mut answers: Vec<(u64, usize, Arc<str>)> = Vec::new();
    for at_ms in (0..END_MS).step_by(REQUEST_INTERVAL_MS as usize) {
        let now = start + Duration::from_millis(at_ms);
        if at_ms.is_multiple_of(HEARTBEAT_MS) {
            for (number, instance) in fleet.iter_mut().enumerate() {
                step(&mut instance.roster, &instance.peer, &others(number), now);
            }
        }
        let (due, in_flight): (Vec<_>, Vec<_>) =
            answers.into_iter().partition(|(due_ms, ..)| *due_ms <= at_ms);
        answers = in_flight;
        for (_, number, server) in due {
            let Instance { roster, learned_ms, .. } = &mut fleet[number];
            let running = answers.iter().filter(|(.., other)| *other == server).count() + 1;
            let running = u32::try_from(running).expect("a few requests");
            let report = LoadReport { running, waiting: 0, slots: 9 };
            let after = Duration::from_millis(ANSWER_MS);
            let ending = Ending::Answered { after, was_object_warm: false };
            roster.record_ending(&server, ending, Some(report), now);
            if *server == *LIMITED {
                roster.record_condition(&server, limited(Some(limit_per_s)), now);
                learned_ms.get_or_insert(at_ms);
            }
        }
        let number = random.random_range(0..instances);
        let instance = &mut fleet[number];
        let Ok(choice) =
            instance.roster.choose(&placement_request(&service, random.random(), &[]), now)
        else {
            arrivals.refused += 1;
            continue;
        };
        if *choice.id == *LIMITED
            && instance
                .learned_ms
                .is_some_and(|learned_at_ms| learned_at_ms + LEARNED_DELAY_MS <= at_ms)
        {
            arrivals.informed_ms.push(at_ms);
        }
        answers.push((at_ms + ANSWER_MS, number, choice.id));
    }
    arrivals
}

/// Limits from zero to more than the server would get without one.
const LIMITS_PER_S: [f64; 6] = [0.0, 0.3, 2.3, 5.4, 12.0, 60.0];

#[test]
fn an_announced_limit_holds_for_all_instances_of_a_region_together() {
    for instances in [1, 4, 25, 100] {
        for limit_per_s in LIMITS_PER_S {
            let arrivals = simulate(instances, limit_per_s, |_, _| true);
            let max_in_window = arrivals.max_in_window();
            let allowed = allowed(limit_per_s);
            assert!(
                max_in_window <= allowed,
                "{max_in_window} of {allowed}: {instances} instances, {limit_per_s} a second"
            );
            assert_eq!(arrivals.refused, 0, "five others have free slots");
        }
    }
}

#[test]
fn an_announced_limit_holds_while_membership_views_differ() {
    for limit_per_s in LIMITS_PER_S {
        // Two halves that don't know each other.
        let max_in_window =
            simulate(12, limit_per_s, |one, other| one % 2 == other % 2).max_in_window();
        let allowed = allowed(limit_per_s);
        assert!(max_in_window <= allowed, "{max_in_window} of {allowed}: {limit_per_s} a second");
    }
}

#[test]
fn a_limited_server_gets_more_than_half_of_its_limit() {
    for limit_per_s in [2.3, 5.4, 12.0] {
        let arrivals = simulate(4, limit_per_s, |_, _| true);
        let settled = arrivals.informed_ms.iter().filter(|at| **at >= APPLY_WITHIN_MS).count();
        let time_s = (END_MS - APPLY_WITHIN_MS) as f64 / 1_000.0;
        let fraction = settled as f64 / time_s / limit_per_s;
        assert!(fraction > 0.5, "{fraction} of {limit_per_s} a second");
    }
}

/// The conditions of a response with a limit in requests per second, or with none.
fn limited(per_s: Option<f64>) -> Condition {
    Condition { limit: per_s.map_or(Limit::Unlimited, Limit::PerSecond), ..Condition::default() }
}

/// Rosters of instances that each know the limited server.
fn rosters(count: usize, now: Instant) -> Vec<Roster> {
    let backend_servers = servers(&[("north-a", 1)], 9);
    (0..count)
        .map(|number| roster(&format!("instance-{number}"), "north-a", &backend_servers, now))
        .collect()
}

/// Returns whether a roster passes on a limit.
fn shares_limit(roster: &mut Roster, now: Instant) -> bool {
    let mut random = StdRng::seed_from_u64(1);
    roster.has_recent_conditions(now).is_some() && {
        let message =
            roster.encode_conditions(&mut random, now).expect("there are conditions to share");
        let mut reader = rosters(1, now).remove(0);
        let changes = reader.merge_conditions(&message, now).expect("the message is valid");
        changes.iter().any(|(_, change)| matches!(change, ConditionChange::Limited(..)))
    }
}

#[test]
fn the_latest_claim_of_any_instance_decides_whether_there_is_a_limit() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut random = StdRng::seed_from_u64(1);
    let mut rosters = rosters(3, start);
    let [one, two, three] = rosters.as_mut_slice() else { panic!("expected three rosters") };
    one.record_condition(LIMITED, limited(Some(5.4)), at(0));
    let message = one.encode_conditions(&mut random, at(100)).expect("the change is shared");
    assert_eq!(one.has_recent_conditions(at(100)), Some(true));
    two.merge_conditions(&message, at(150)).expect("the message is valid");
    assert!(shares_limit(two, at(150)));
    two.record_condition(LIMITED, limited(None), at(1_000));
    assert!(shares_limit(two, at(1_000)), "one response may lack the limit");
    two.record_condition(LIMITED, limited(None), at(2_000));
    let end_message = two.encode_conditions(&mut random, at(2_100)).expect("the change is shared");
    three.merge_conditions(&end_message, at(2_150)).expect("the message is valid");
    three.merge_conditions(&message, at(2_200)).expect("the message is valid");
    one.merge_conditions(&end_message, at(2_150)).expect("the message is valid");
    for roster in [one, two] {
        assert!(!shares_limit(roster, at(2_200)));
    }
    assert!(!shares_limit(three, at(2_200)), "the message merged last has an older claim");
}

#[test]
fn a_limit_stays_while_some_answers_announce_it() {
    let start = Instant::now();
    let mut roster = rosters(1, start).remove(0);
    for number in 0..20 {
        let now = start + Duration::from_millis(300 * number);
        let announced = limited((number % 3 == 0).then_some(5.4));
        roster.record_condition(LIMITED, announced, now);
        assert!(shares_limit(&mut roster, now));
    }
}

#[test]
fn a_confirmation_by_another_instance_keeps_a_limit() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut random = StdRng::seed_from_u64(1);
    let mut rosters = rosters(2, start);
    let [one, two] = rosters.as_mut_slice() else { panic!("expected two rosters") };
    one.record_condition(LIMITED, limited(Some(5.4)), at(0));
    one.record_condition(LIMITED, limited(None), at(100));
    let message = one.encode_conditions(&mut random, at(200)).expect("the limit is shared");
    two.merge_conditions(&message, at(200)).expect("the message is valid");
    two.record_condition(LIMITED, limited(Some(5.4)), at(30_000));
    let confirmation = two.encode_conditions(&mut random, at(30_000)).expect("the limit is shared");
    one.merge_conditions(&confirmation, at(30_000)).expect("the message is valid");
    one.record_condition(LIMITED, limited(None), at(31_000));
    assert!(
        shares_limit(one, at(31_000)),
        "a single response long after the first may lack the limit too"
    );
}

#[test]
fn an_answer_that_says_nothing_about_limits_changes_nothing() {
    let now = Instant::now();
    let mut roster = rosters(1, now).remove(0);
    roster.record_condition(LIMITED, limited(Some(5.4)), now);
    assert_eq!(roster.record_condition(LIMITED, Condition::default(), now), []);
    assert!(shares_limit(&mut roster, now));
}

#[test]
fn a_limit_without_confirmations_is_probed_again() {
    let start = Instant::now();
    let mut rosters = rosters(1, start);
    let roster = &mut rosters[0];
    // Far more instances than senders; this one is not a sender.
    let own = peer("instance-0", "north-a");
    let others: Vec<Peer> =
        (1..200).map(|number| peer(&format!("instance-{number}"), "north-a")).collect();
    roster.record_condition(LIMITED, limited(Some(5.4)), start);
    let service = name(placement_common::SERVICE);
    let mut choose = |after_s: u64| {
        let now = start + Duration::from_secs(after_s);
        step(roster, &own, &others, now);
        roster.choose(&placement_request(&service, 1, &[]), now).is_ok()
    };
    assert!(!choose(30), "the senders would share the limit");
    assert!((31..60).all(|after_s| !choose(after_s)), "the senders may still send");
    // The instances take turns of 5 s.
    let turns_end_s = 60 + 5 * 200;
    assert!((60..turns_end_s).any(choose), "no instance has confirmed the limit for a minute");
}

proptest::proptest! {
    #[test]
    fn any_bytes_are_merged_without_a_panic(bytes in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..200)) {
        let now = Instant::now();
        let mut roster = rosters(1, now).remove(0);
        roster.merge_conditions(&bytes, now);
    }
}
