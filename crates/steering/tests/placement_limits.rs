//! What a backend server gets from all instances together that names a limit in its answers.
//!
//! **What was seen.** Two servers named limits of 6 and 2.3 requests a second and got 64 and 43 in 4 s,
//! as many as before.
//!
//! **How it came about.** Each instance of the region went on placing the server's objects there.  Were each
//! to heed the limit by itself, four instances would send four times as much, and a hundred a hundred times.
//!
//! **Cause.** Nothing read the limit, and nothing divided it.  With all instances as senders the tests of the
//! sum fail too: 24 requests in 4 s of 25 instances where 5 are allowed.

mod placement_common;

use placement_common::{name, peer, placement_request, roster, servers, step};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::placement::load::LoadReport;
use steering::placement::{Condition, ConditionChange, Ending, Limit, Peer, Roster};

/// Time in which instances in touch heed a limit that a server began to name, in milliseconds.
const CONTACT_MS: u64 = 4_000;

/// Time from which on an instance that was told is counted, in milliseconds.
const TOLD_MS: u64 = 500;

/// Length of a window, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// How long the model runs, in milliseconds.
const END_MS: u64 = 16_000;

/// Pause between two requests of all callers together, and time to an answer, in milliseconds.
const PAUSE_MS: u64 = 5;
const ANSWER_MS: u64 = 100;

/// Time between two heartbeats, in milliseconds.
const BEAT_MS: u64 = 800;

/// The server that names a limit; five others of its region don't.
const LIMITED: &str = "north-a-0";

/// Requests that a window may hold.
fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW_MS as f64 / 1_000.0) as usize + 5
}

/// An instance, and when an answer told it of the limit first.
struct Instance {
    peer: Peer,
    roster: Roster,
    told_ms: Option<u64>,
}

/// Requests that arrived at the limited server.
#[derive(Debug, Default)]
struct Arrivals {
    /// Times of those that came from instances that had been told before.
    after_told_ms: Vec<u64>,
    refused: usize,
}

impl Arrivals {
    /// Most requests in a window after the time in which instances heed a limit.
    fn most(&self) -> usize {
        let late = || self.after_told_ms.iter().filter(|at| **at >= CONTACT_MS);
        let within =
            |from: &u64| late().filter(|at| (*from..*from + WINDOW_MS).contains(at)).count();
        late().map(within).max().unwrap_or(0)
    }
}

/// Plays callers of one region whose first server names a limit from the start on; `hears` tells which
/// instances hear each other.
fn play(instances: usize, limit_per_s: f64, hears: impl Fn(usize, usize) -> bool) -> Arrivals {
    let start = Instant::now();
    let known = servers(&[("north-a", 3), ("north-b", 3)], 9);
    let of = |number: usize| peer(&format!("instance-{number}"), "north-a");
    let others = |number: usize| -> Vec<Peer> {
        let heard = (0..instances).filter(|other| *other != number && hears(number, *other));
        heard.map(of).collect()
    };
    let mut fleet: Vec<Instance> = (0..instances)
        .map(|number| {
            let roster = roster(&of(number).name, "north-a", &known, start);
            Instance { peer: of(number), roster, told_ms: None }
        })
        .collect();
    let mut random = StdRng::seed_from_u64(7);
    let service = name(placement_common::SERVICE);
    let mut arrivals = Arrivals::default();
    let mut answers: Vec<(u64, usize, Arc<str>)> = Vec::new();
    for at_ms in (0..END_MS).step_by(PAUSE_MS as usize) {
        let now = start + Duration::from_millis(at_ms);
        if at_ms.is_multiple_of(BEAT_MS) {
            for (number, instance) in fleet.iter_mut().enumerate() {
                step(&mut instance.roster, &instance.peer, &others(number), now);
            }
        }
        let (due, under_way): (Vec<_>, Vec<_>) =
            answers.into_iter().partition(|(due_ms, ..)| *due_ms <= at_ms);
        answers = under_way;
        for (_, number, server) in due {
            let Instance { roster, told_ms, .. } = &mut fleet[number];
            let running = answers.iter().filter(|(.., other)| *other == server).count() + 1;
            let running = u32::try_from(running).expect("a few requests");
            let report = LoadReport { running, waiting: 0, slots: 9 };
            let after = Duration::from_millis(ANSWER_MS);
            let ending = Ending::Answered { after, known_warm: false };
            roster.record_ending(&server, ending, Some(report), now);
            if *server == *LIMITED {
                roster.record_condition(&server, limited(Some(limit_per_s)), now);
                told_ms.get_or_insert(at_ms);
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
        if *choice.id == *LIMITED && instance.told_ms.is_some_and(|told| told + TOLD_MS <= at_ms) {
            arrivals.after_told_ms.push(at_ms);
        }
        answers.push((at_ms + ANSWER_MS, number, choice.id));
    }
    arrivals
}

/// Limits from none at all to more than the server would get.
const LIMITS_PER_S: [f64; 6] = [0.0, 0.3, 2.3, 5.4, 12.0, 60.0];

#[test]
fn a_named_limit_binds_the_sum_over_the_instances_of_a_region() {
    for instances in [1, 4, 25, 100] {
        for limit_per_s in LIMITS_PER_S {
            let arrivals = play(instances, limit_per_s, |_, _| true);
            let most = arrivals.most();
            let allowed = allowed(limit_per_s);
            assert!(
                most <= allowed,
                "{most} of {allowed}: {instances} instances, {limit_per_s} a second"
            );
            assert_eq!(arrivals.refused, 0, "five others have room");
        }
    }
}

#[test]
fn a_named_limit_binds_the_sum_while_views_differ() {
    for limit_per_s in LIMITS_PER_S {
        // Two halves that don't hear each other.
        let most = play(12, limit_per_s, |one, other| one % 2 == other % 2).most();
        let allowed = allowed(limit_per_s);
        assert!(most <= allowed, "{most} of {allowed}: {limit_per_s} a second");
    }
}

#[test]
fn a_server_that_names_a_limit_gets_a_good_part_of_it() {
    for limit_per_s in [2.3, 5.4, 12.0] {
        let arrivals = play(4, limit_per_s, |_, _| true);
        let late = arrivals.after_told_ms.iter().filter(|at| **at >= CONTACT_MS).count();
        let time_s = (END_MS - CONTACT_MS) as f64 / 1_000.0;
        let part = late as f64 / time_s / limit_per_s;
        assert!(part > 0.5, "{part} of {limit_per_s} a second");
    }
}

/// A limit of so many requests a second, or none.
fn limited(per_s: Option<f64>) -> Condition {
    Condition { limit: per_s.map_or(Limit::Unlimited, Limit::PerSecond), ..Condition::default() }
}

/// Rosters of instances that each know the limited server.
fn rosters(count: usize, now: Instant) -> Vec<Roster> {
    let known = servers(&[("north-a", 1)], 9);
    (0..count).map(|number| roster(&format!("instance-{number}"), "north-a", &known, now)).collect()
}

/// Limit that a roster goes by.
fn known_limit(roster: &mut Roster, now: Instant) -> bool {
    let mut random = StdRng::seed_from_u64(1);
    roster.has_fresh_conditions(now).is_some() && {
        let message =
            roster.encode_conditions(&mut random, now).expect("there is something to tell");
        let mut reader = rosters(1, now).remove(0);
        let changes = reader.merge_conditions(&message, now).expect("it can be read");
        changes.iter().any(|(_, change)| matches!(change, ConditionChange::Limited(..)))
    }
}

#[test]
fn the_latest_answer_of_any_instance_tells_whether_there_is_a_limit() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut random = StdRng::seed_from_u64(1);
    let mut rosters = rosters(3, start);
    let [one, two, three] = rosters.as_mut_slice() else { panic!("there are three") };
    one.record_condition(LIMITED, limited(Some(5.4)), at(0));
    let named = one.encode_conditions(&mut random, at(100)).expect("it is news");
    assert_eq!(one.has_fresh_conditions(at(100)), Some(true));
    two.merge_conditions(&named, at(150)).expect("it can be read");
    assert!(known_limit(two, at(150)));
    two.record_condition(LIMITED, limited(None), at(1_000));
    assert!(known_limit(two, at(1_000)), "one answer may lack it");
    two.record_condition(LIMITED, limited(None), at(2_000));
    let ended = two.encode_conditions(&mut random, at(2_100)).expect("it is news");
    three.merge_conditions(&ended, at(2_150)).expect("it can be read");
    three.merge_conditions(&named, at(2_200)).expect("it can be read");
    one.merge_conditions(&ended, at(2_150)).expect("it can be read");
    for roster in [one, two] {
        assert!(!known_limit(roster, at(2_200)));
    }
    assert!(!known_limit(three, at(2_200)), "what it heard last was claimed before");
}

#[test]
fn a_limit_is_not_over_while_some_answers_name_it() {
    let start = Instant::now();
    let mut roster = rosters(1, start).remove(0);
    for number in 0..20 {
        let now = start + Duration::from_millis(300 * number);
        let said = limited((number % 3 == 0).then_some(5.4));
        roster.record_condition(LIMITED, said, now);
        assert!(known_limit(&mut roster, now));
    }
}

#[test]
fn a_word_of_another_instance_keeps_a_limit() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut random = StdRng::seed_from_u64(1);
    let mut rosters = rosters(2, start);
    let [one, two] = rosters.as_mut_slice() else { panic!("there are two") };
    one.record_condition(LIMITED, limited(Some(5.4)), at(0));
    one.record_condition(LIMITED, limited(None), at(100));
    let named = one.encode_conditions(&mut random, at(200)).expect("it matters");
    two.merge_conditions(&named, at(200)).expect("it can be read");
    two.record_condition(LIMITED, limited(Some(5.4)), at(30_000));
    let still = two.encode_conditions(&mut random, at(30_000)).expect("it matters");
    one.merge_conditions(&still, at(30_000)).expect("it can be read");
    one.record_condition(LIMITED, limited(None), at(31_000));
    assert!(known_limit(one, at(31_000)), "one answer long after another may lack it too");
}

#[test]
fn an_answer_without_a_word_about_a_limit_changes_nothing() {
    let now = Instant::now();
    let mut roster = rosters(1, now).remove(0);
    roster.record_condition(LIMITED, limited(Some(5.4)), now);
    assert_eq!(roster.record_condition(LIMITED, Condition::default(), now), []);
    assert!(known_limit(&mut roster, now));
}

#[test]
fn a_limit_that_nobody_tells_of_any_more_is_asked_for_anew() {
    let start = Instant::now();
    let mut rosters = rosters(1, start);
    let roster = &mut rosters[0];
    // Far more instances than senders, of which this one is none.
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
    assert!(!choose(30), "others send, and would tell");
    assert!(choose(61), "nobody has told for a minute");
}

proptest::proptest! {
    #[test]
    fn any_bytes_are_heard_without_harm(bytes in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..200)) {
        let now = Instant::now();
        let mut roster = rosters(1, now).remove(0);
        roster.merge_conditions(&bytes, now);
    }
}
