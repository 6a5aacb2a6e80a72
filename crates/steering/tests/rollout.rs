//! Bringing versions in over a whole fleet: a bad one gets little, a sound one is brought in in time.

mod rollout_fleet;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rollout_fleet::{Mutant, Outcome, Setup, Trouble, Version, calm, play};
use std::time::Duration;
use steering::Time;
use steering::deployment::{Rollout, RolloutOrder, RolloutOutcome, Rollouts};
use steering::placement::Ending;
use steering::quota::MemberId;
use steering::rollout::{ExposureLimit, Observation, RolloutTable, VersionCapacity};

/// Random schedules that are played.
const SCHEDULES: u64 = 2_000;

/// Versions that are bad in each of the ways that operators know.
const BAD: [Version; 4] = [
    Version::Fails(0.4),
    Version::FailsAfter(0.02, 0.4),
    Version::FailsOnOneRoute(0.5),
    Version::Slow(4.0),
];

fn turned_back(outcome: &Outcome) -> bool {
    outcome.ended.is_some_and(|(ended, _)| ended == RolloutOutcome::RolledBack)
}

#[test]
fn sound_versions_are_brought_in_with_time_to_spare() {
    for (instances, seed) in [(3, 1), (12, 2), (26, 3), (88, 4)] {
        let setup = calm(instances, Version::Sound, seed);
        let duration = setup.duration;
        let outcome = play(setup);
        let (ended, at) = outcome.ended.expect("it ended");
        assert_eq!(ended, RolloutOutcome::Succeeded, "{instances} instances");
        assert!(at < duration.mul_f64(0.9), "{instances} instances: after {at:?}");
        assert_eq!(outcome.cut, 0, "{instances} instances: requests cut");
    }
}

#[test]
fn bad_versions_are_turned_back_whatever_is_wrong_with_them() {
    for version in BAD {
        for instances in [12, 26, 88] {
            let outcome = play(calm(instances, version, 7));
            assert!(turned_back(&outcome), "{version:?}, {instances} instances: {outcome:?}");
            assert_eq!(outcome.breaks(), None, "{version:?}, {instances} instances");
        }
    }
}

#[test]
fn a_version_that_turns_bad_while_its_share_grows_is_turned_back_in_time() {
    for seed in 0..10 {
        let outcome = play(calm(26, Version::FailsAfter(0.05, 0.5), seed));
        assert!(turned_back(&outcome), "seed {seed}: {outcome:?}");
        assert_eq!(outcome.breaks(), None, "seed {seed}");
    }
}

#[test]
fn sound_versions_are_brought_in_while_other_backend_servers_fail() {
    for others_fail in [0.05, 0.15, 0.4] {
        for seed in 0..5 {
            let outcome = play(Setup { others_fail, ..calm(26, Version::Sound, seed) });
            let ended = outcome.ended.map(|(ended, _)| ended);
            assert_eq!(ended, Some(RolloutOutcome::Succeeded), "{others_fail}, seed {seed}");
        }
    }
}

#[test]
fn with_few_requests_a_sound_version_is_brought_in_all_the_same() {
    for per_s in [0.0, 2.0, 20.0] {
        let outcome = play(Setup { per_s, ..calm(12, Version::Sound, 3) });
        let ended = outcome.ended.map(|(ended, _)| ended);
        assert_eq!(ended, Some(RolloutOutcome::Succeeded), "{per_s} a second");
    }
}

#[test]
fn a_version_without_the_backend_servers_for_all_requests_is_not_given_them() {
    for capacity in
        [VersionCapacity { target: 0, others: 100 }, VersionCapacity { target: 30, others: 100 }]
    {
        let outcome = play(Setup { capacity, ..calm(12, Version::Sound, 3) });
        assert!(turned_back(&outcome), "{capacity:?}: {outcome:?}");
        assert_eq!(outcome.breaks(), None, "{capacity:?}");
    }
}

#[test]
fn whoever_decides_may_go_and_others_go_on() {
    // Whoever judges and writes, all but some are down for the second half.
    for from in 0..12 {
        let trouble = Trouble::Restart { from, count: 5, down: Duration::from_secs(30) };
        let troubles = vec![(Duration::from_secs(6), trouble)];
        let outcome = play(Setup { troubles, ..calm(12, Version::Sound, 1) });
        let (ended, at) = outcome.ended.expect("it ended");
        assert_eq!(ended, RolloutOutcome::Succeeded, "from {from}");
        assert!(at < Duration::from_secs(14), "from {from}: after {at:?}");
    }
}

#[test]
fn stores_that_turn_some_instances_away_keep_nobody_waiting() {
    for from in [0, 4, 8] {
        let trouble = Trouble::NoStore { from, count: 4, time: Duration::from_secs(30) };
        let troubles = vec![(Duration::ZERO, trouble)];
        let outcome = play(Setup { troubles, ..calm(12, Version::Sound, 1) });
        let (ended, at) = outcome.ended.expect("it ended");
        assert_eq!(ended, RolloutOutcome::Succeeded, "from {from}");
        assert!(at < Duration::from_secs(14), "from {from}: after {at:?}");
    }
}

#[test]
fn that_a_version_was_turned_back_is_known_after_all_instances_lost_power() {
    let played = |mutant| {
        let down = Duration::from_millis(900);
        let troubles =
            vec![(Duration::from_secs(8), Trouble::Restart { from: 0, count: 12, down })];
        play(Setup { troubles, mutant, ..calm(12, Version::Fails(0.4), 5) })
    };
    let outcome = played(Mutant::None);
    assert!(turned_back(&outcome), "{outcome:?}");
    assert_eq!(outcome.breaks(), None);
    assert!(played(Mutant::ForgetsEnd).bad > 2 * outcome.bad, "it gets requests anew");
}

#[test]
fn a_version_that_turns_bad_before_the_store_knows_that_it_was_brought_in_is_turned_back() {
    let away = Trouble::NoStore { from: 0, count: 12, time: Duration::from_secs(30) };
    let troubles = vec![(Duration::from_secs(8), away)];
    let outcome = play(Setup { troubles, ..calm(12, Version::FailsAfter(0.4, 0.4), 4) });
    assert_eq!(outcome.ended, None, "the store is told nothing");
    assert!(outcome.bad > 50, "it turned bad: {outcome:?}");
    assert!(outcome.late < Duration::from_secs(2), "{outcome:?}");
}

/// A schedule at random: a version that is bad in some way, and up to four troubles.
fn schedule(seed: u64, mutant: Mutant) -> Setup {
    let mut random = SmallRng::seed_from_u64(seed);
    let instances = random.random_range(3..16);
    let troubles = (0..random.random_range(0..5)).map(|_| {
        let from = random.random_range(0..instances);
        let count = random.random_range(1..=instances);
        let time = Duration::from_millis(random.random_range(200..6_000));
        let trouble = match random.random_range(0..5) {
            0 => Trouble::Restart { from, count, down: time / 4 },
            1 => Trouble::Cut { from, count: count.min(instances / 2), time },
            2 => Trouble::OneWay { from, count: count.min(instances / 2), time },
            3 => Trouble::NoStore { from, count, time },
            _ => Trouble::Suspended { from, count: count.min(3), time: time / 2 },
        };
        (Duration::from_millis(random.random_range(0..14_000)), trouble)
    });
    let troubles = troubles.collect();
    Setup {
        instances,
        per_s: random.random_range(60.0..400.0),
        version: BAD[random.random_range(0..BAD.len())],
        loss: random.random_range(0.0..0.1),
        troubles,
        mutant,
        ..calm(instances, Version::Sound, seed)
    }
}

/// Schedules of these on which the bounds are broken.
fn broken(seeds: impl Iterator<Item = u64>, mutant: Mutant) -> Vec<(u64, String)> {
    let breaks = |seed| play(schedule(seed, mutant)).breaks().map(|why| (seed, why));
    seeds.filter_map(breaks).collect()
}

#[test]
fn bad_versions_get_no_more_than_is_allowed_whatever_happens() {
    let broken = broken(0..SCHEDULES, Mutant::None);
    assert!(broken.is_empty(), "{} schedules, {:?}", broken.len(), &broken[..broken.len().min(5)]);
}

#[test]
fn the_bounds_notice_what_would_break_them() {
    for mutant in [
        Mutant::JudgesAlone,
        Mutant::KeepsToItself,
        Mutant::TrustsAfterRestart,
        Mutant::SpreadsAtOnce,
        Mutant::IgnoresTime,
    ] {
        let broken = broken(0..200, mutant);
        assert!(!broken.is_empty(), "{mutant:?}");
    }
}

#[test]
fn requests_of_before_an_order_was_gone_for_a_moment_are_not_counted_twice() {
    let order = RolloutOrder::new("dossier", "dossier", "v2", 14.0, 1).expect("it is valid");
    let orders = Rollouts::from([("dossier".into(), Rollout { order, outcome: None })]);
    let now = Time::from_ms(1_000);
    let mut table = RolloutTable::new(MemberId::from_name("one"), 1, ExposureLimit { share: 0.1 });
    table.set_orders(&orders, now);
    let counted = table.record_request("dossier", false).expect("there is an order");
    table.set_orders(&Rollouts::new(), now);
    table.set_orders(&orders, now);
    let (ending, elapsed) = (Ending::Erred, Duration::from_millis(5));
    let seen = Observation { ending, elapsed, known_warm: false, was_cold: false, warm_ms: None };
    table.record_ending(counted, false, "lookup", &seen);
    assert_eq!(table.statuses(now)[0].others_in_flight, 0);
}
