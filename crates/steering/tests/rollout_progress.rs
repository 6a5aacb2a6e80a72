//! Rollouts of a fleet that loses power as a whole, and resumes from the progress in the store.

mod rollout_fleet;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rollout_fleet::{Defect, EXPOSURE, Fault, Outcome, Setup, Version, fault_free, simulate};
use std::time::Duration;
use steering::Time;
use steering::deployment::{Rollout, RolloutOrder, RolloutOutcome, Rollouts};
use steering::quota::MemberId;
use steering::rollout::{ExposureLimit, Members, RolloutProgress, RolloutTable, VersionCapacity};

/// Number of random schedules that are simulated.
const SCHEDULES: u64 = 2_000;

/// Schedules in which each injected defect has to show.
const DEFECT_SCHEDULES: u64 = 300;

/// Fraction of a rollout's duration after which a loss of all power may make a sound version late, so
/// that no loss in a sound schedule is later: the rest of the time is too short to observe the version
/// again from the trial's share, and the bound on a bad version goes before the time of a sound one.
const LAST_LOSS: f64 = 0.6;

const BAD: [Version; 4] = [
    Version::Fails(0.4),
    Version::FailsAfter(0.02, 0.4),
    Version::FailsOnOneRoute(0.5),
    Version::Slow(4.0),
];

/// Up to three losses of power of all instances, and a store that is slow and loses responses.
fn schedule(seed: u64, defect: Defect) -> Setup {
    let mut random = SmallRng::seed_from_u64(seed);
    let instances = random.random_range(3..14);
    let is_sound = random.random_bool(0.5);
    let mut setup = fault_free(instances, Version::Sound, seed);
    let last_loss = if is_sound { setup.duration.mul_f64(LAST_LOSS) } else { setup.duration };
    setup.faults = (0..random.random_range(1..4))
        .map(|_| {
            let down = Duration::from_millis(random.random_range(100..900));
            (last_loss.mul_f64(random.random()), Fault::Restart { from: 0, count: instances, down })
        })
        .collect();
    if !is_sound {
        setup.version = BAD[random.random_range(0..BAD.len())];
        setup.no_outcomes_until = setup.duration.mul_f64(random.random());
    }
    let per_s = random.random_range(150.0..500.0);
    let write_delay = Duration::from_millis(random.random_range(0..2_000));
    let lost_responses = random.random_range(0.0..0.4);
    Setup { per_s, write_delay, lost_responses, defect, ..setup }
}

/// How a schedule breaks a bound, if it does.
fn violation(setup: Setup) -> Option<String> {
    let (version, duration) = (setup.version, setup.duration);
    let outcome = simulate(setup);
    if version == Version::Sound {
        let is_in_time = matches!(
            outcome.ended, Some((RolloutOutcome::Succeeded, at)) if at <= duration + outcome.seen_after
        );
        let Outcome { ended, seen_after, .. } = outcome;
        return (!is_in_time).then(|| format!("sound: {ended:?}, seen after {seen_after:?}"));
    }
    let most = EXPOSURE.0 * outcome.requests as f64 + EXPOSURE.1;
    if outcome.exposed_by_all as f64 > most {
        return Some(format!("{version:?}: {} requests of {most:.0}", outcome.exposed_by_all));
    }
    outcome.violation().map(|why| format!("{version:?}: {why}"))
}

fn violations(count: u64, defect: Defect) -> Vec<(u64, String)> {
    let violation = |seed| Some((seed, violation(schedule(seed, defect))?));
    (0..count).filter_map(violation).collect()
}

#[test]
fn bounds_hold_whenever_the_whole_fleet_loses_power() {
    let violations = violations(SCHEDULES, Defect::None);
    assert!(violations.is_empty(), "{} of {SCHEDULES}: {violations:?}", violations.len());
}

#[test]
fn the_bounds_detect_injected_defects_of_the_progress() {
    for defect in [
        Defect::NeverSyncs,
        Defect::ForgetsProgress,
        Defect::BeginsAnew,
        Defect::ForgetsOutcome,
        Defect::WritesBlindly,
        Defect::IgnoresHold,
    ] {
        let violations = violations(DEFECT_SCHEDULES, defect);
        assert!(!violations.is_empty(), "{defect:?}");
    }
}

/// Outcomes of a bad version with few requests, in fleets that lose power every few seconds.
fn short_lives(defect: Defect) -> Vec<Outcome> {
    let loss = |number: u64| {
        let down = Duration::from_millis(500);
        (Duration::from_secs(4 * number), Fault::Restart { from: 0, count: 8, down })
    };
    let faults: Vec<_> = (1..75).map(loss).collect();
    let setup = |seed| Setup {
        duration: Duration::from_secs(300),
        per_s: 30.0,
        faults: faults.clone(),
        defect,
        ..fault_free(8, Version::Fails(0.4), seed)
    };
    (0..5).map(setup).map(simulate).collect()
}

#[test]
fn responses_counted_before_a_power_loss_still_count() {
    let bad = |outcomes: Vec<Outcome>| outcomes.iter().map(|outcome| outcome.bad).sum::<u64>();
    let kept = bad(short_lives(Defect::None));
    let forgotten = bad(short_lives(Defect::ForgetsResponses));
    assert!(
        2 * forgotten > 3 * kept,
        "{kept} bad responses, {forgotten} if the first are forgotten"
    );
}

#[test]
fn without_the_store_a_restarted_fleet_sends_no_requests_to_the_version() {
    let down = Duration::from_millis(500);
    let lost = Fault::Restart { from: 0, count: 8, down };
    let no_store = Fault::NoStore { from: 0, count: 8, time: Duration::from_secs(60) };
    let at = Duration::from_secs(2);
    let faults = vec![(at, no_store), (at, lost)];
    let outcome = simulate(Setup { faults, ..fault_free(8, Version::Sound, 3) });
    let before = outcome.requests as f64 * EXPOSURE.0 * 2.5 / 14.0;
    assert!(outcome.exposed_by_all as f64 <= before, "{outcome:?}");
    assert_eq!(outcome.uninformed, 0);
}

/// A time long after the start of the machine.
const NOW: Time = Time::from_ms(10_000_000);

/// An order of 14 s.
fn order() -> RolloutOrder {
    RolloutOrder::new("dossier", "dossier", "v2", 14.0, 1).expect("it is valid")
}

/// The only instance of a fleet, which finds the order at `now`, the given time after it last knew no
/// orders.
fn table(after_unknown: Duration, now: Time) -> RolloutTable {
    let orders = Rollouts::from([("dossier".into(), Rollout { order: order(), outcome: None })]);
    let exposure = ExposureLimit { share: EXPOSURE.0, rollback: None };
    let id = MemberId::from_name("one");
    let mut table = RolloutTable::new(id, 1, exposure, Time::default());
    table.set_members(Members::new(vec![(id, true)]));
    table.set_orders_unknown(now - after_unknown);
    table.set_orders(&orders, now);
    table
}

#[test]
fn an_order_in_a_first_list_that_arrives_late_gets_no_requests_until_its_progress_is_known() {
    let share = |after_unknown| table(after_unknown, NOW).rules(NOW)["dossier"].share();
    assert_eq!(share(Duration::from_secs(1)), 0.0);
    assert!(share(Duration::from_secs(60)) > 0.0);
}

#[test]
fn an_instance_that_saw_the_order_arrive_takes_no_age_from_a_wrong_clock() {
    let mut table = table(Duration::from_secs(60), NOW);
    let later = NOW + Duration::from_secs(1);
    let sync = table.step(later).syncs.remove(0);
    let stored = RolloutProgress {
        order: order(),
        first_seen_ms: 0,
        spreads: false,
        outcome: None,
        routes: [].into(),
    };

    table.resume(&sync, Some(&stored), 3_600_000, later);

    assert_eq!(table.statuses(later)[0].age, Duration::from_secs(1));
}

#[test]
fn a_judge_observes_a_version_again_if_another_instance_says_that_its_order_is_older() {
    let early = table(Duration::from_secs(60), NOW - Duration::from_secs(3_600));
    let mut judge = table(Duration::from_secs(60), NOW);
    judge.set_version_capacity("dossier", VersionCapacity { target: 10, others: 10 });
    let message = early.encode_announcements(NOW).expect("there is a rollout");

    judge.merge_announcements(&message, NOW).expect("it can be decoded");
    judge.step(NOW);

    let status = judge.statuses(NOW).remove(0);
    assert_eq!(status.age, Duration::from_secs(14));
    assert_eq!(status.spreading_for, None, "the version keeps the share of its trial");
}
