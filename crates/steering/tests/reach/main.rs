//! Whether instances notice that they are cut off from all backend servers, and how they serve then.

#[path = "../placement_common/mod.rs"]
mod placement_common;

mod checks;
mod model;
mod scenario;
mod scopes;

use model::{run, zone_of};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use scenario::{Cut, Defect, Outcome, Scenario};

const CUTS: [Cut; 4] = [Cut::Hang, Cut::Reset, Cut::NewRefused, Cut::NewBroken];

/// Fleets, from the smallest in which another instance can pass requests on.
const SIZES: [usize; 4] = [2, 3, 12, 60];

/// Begin and end of a cut, in milliseconds.
const CUT_MS: (u64, u64) = (3_000, 10_000);

fn scenario(instances: usize, cut: Cut, cut_off: Vec<usize>, seed: u64) -> Scenario {
    Scenario {
        instances,
        cut,
        cut_off,
        spans_ms: vec![CUT_MS],
        failed_servers: 0,
        servers: 8,
        defect: Defect::None,
        seed,
    }
}

/// Sets of instances to cut off: one, a third, most of a zone, a zone, a region.
fn sets(instances: usize) -> Vec<Vec<usize>> {
    let of_zones = |zones: &[&str]| -> Vec<usize> {
        let is_in = |number: &usize| zones.contains(&zone_of(*number, instances));
        (0..instances).filter(is_in).collect()
    };
    let zone = of_zones(&["north-a"]);
    let most = zone[..zone.len().div_ceil(2).max(zone.len() * 3 / 4)].to_vec();
    let mut sets = vec![vec![0], (0..instances.div_ceil(3)).collect(), most, zone];
    if instances >= 12 {
        sets.push(of_zones(&["north-a", "north-b"]));
    }
    sets.retain(|set| set.len() < instances);
    sets
}

/// Returns whether callers of the instances that are cut off are served as often as agreed, from the agreed
/// time in the cut to its end, and afterwards.
fn keeps_rule(outcome: &Outcome) -> bool {
    [outcome.during, outcome.after].iter().all(|[at_them, at_others]| {
        let failed = f64::from(at_them.sent - at_them.succeeded);
        at_them.ratio() >= at_others.ratio() * 2.0 / 3.0
            || failed <= 10.0 + f64::from(at_them.sent) / 50.0
    })
}

// Guards against callers of cut-off instances that are served far worse than others.
#[test]
fn instances_that_reach_no_backend_server_serve_through_others() {
    for (instances, seed) in SIZES.iter().copied().zip(0..) {
        for cut in CUTS {
            for cut_off in sets(instances) {
                let label = format!("{instances} instances, {cut:?}, {} cut off", cut_off.len());
                let outcome = run(scenario(instances, cut, cut_off, seed));
                assert!(keeps_rule(&outcome), "{label}: {outcome:?}");
                assert_eq!(outcome.losses_of_others, 0, "{label}: only these are cut off");
                assert_eq!(outcome.passed_on_by_others, 0, "{label}");
                assert!(outcome.direct_after > 0, "{label}: they return: {outcome:?}");
            }
        }
    }
}

#[test]
fn a_zone_of_a_large_fleet_serves_through_others() {
    let zone = sets(300)[3].clone();
    let outcome = run(scenario(300, Cut::Hang, zone, 1));
    assert!(keeps_rule(&outcome), "{outcome:?}");
    assert_eq!(outcome.losses_of_others, 0, "{outcome:?}");
}

#[test]
fn drawn_cuts_keep_the_rule_and_end() {
    let mut random = StdRng::seed_from_u64(1);
    for seed in 0..30 {
        let instances = random.random_range(2..60);
        let cut = *CUTS.choose(&mut random).expect("there are cuts");
        let sets = sets(instances);
        let cut_off = sets.choose(&mut random).expect("there are sets").clone();
        let first_end = random.random_range(4_000..9_000);
        let second = first_end + random.random_range(200..3_000);
        let spans_ms = vec![(3_000, first_end), (second, second + 6_000)];
        let scenario = Scenario { spans_ms, ..scenario(instances, cut, cut_off, seed) };
        let outcome = run(scenario.clone());
        assert!(keeps_rule(&outcome), "{scenario:?}: {outcome:?}");
        assert!(outcome.direct_after > 0, "{scenario:?}: {outcome:?}");
    }
}

// Guards against an instance that goes to and fro while a cut comes and goes.
#[test]
fn a_cut_that_comes_and_goes_causes_few_returns() {
    let spans_ms = (0..20).map(|number| (3_000 + 600 * number, 3_300 + 600 * number)).collect();
    let scenario = Scenario { spans_ms, ..scenario(12, Cut::Reset, vec![0], 1) };
    let outcome = run(scenario);
    // One loss of exchanges and one of connections at each of a few returns.
    assert!(outcome.most_losses <= 10, "{outcome:?}");
}

// Guards against instances that take a loss of servers for a cut of their own, all at once.
#[test]
fn servers_that_fail_together_cut_nobody_off() {
    for seed in 0..5 {
        let scenario = Scenario { failed_servers: 4, ..scenario(12, Cut::Reset, vec![], seed) };
        let outcome = run(scenario);
        let [_, others] = outcome.after;
        assert!(others.ratio() > 0.95, "{outcome:?}");
        let [_, others] = outcome.during;
        assert!(others.ratio() > 0.9, "{outcome:?}");
    }
}

#[test]
fn a_region_of_one_server_notices_a_cut() {
    let scenario = Scenario { servers: 1, ..scenario(3, Cut::Hang, vec![0], 1) };
    let outcome = run(scenario);
    assert!(keeps_rule(&outcome), "{outcome:?}");
}

// Guards against callers that wait where nobody can serve them.
#[test]
fn with_all_instances_cut_off_requests_are_refused_at_once() {
    for cut in CUTS {
        let outcome = run(scenario(12, cut, (0..12).collect(), 1));
        if !cut.is_of_new_connections() {
            assert_eq!(outcome.direct_during, 0, "none is sent to wait: {outcome:?}");
        }
        assert!(outcome.direct_after > 0, "{outcome:?}");
    }
}

#[test]
fn the_model_notices_what_is_left_out() {
    for cut in CUTS {
        let without = |defect| {
            let cut_off = sets(12)[3].clone();
            run(Scenario { defect, ..scenario(12, cut, cut_off, 1) })
        };
        let outcome = without(Defect::NoStandIns);
        let is_noticed = !keeps_rule(&outcome) || cut.is_of_new_connections();
        assert!(is_noticed, "{cut:?}, no stand-ins: {outcome:?}");
    }
    let outcome =
        run(Scenario { defect: Defect::NoChecks, ..scenario(12, Cut::Reset, vec![0], 1) });
    assert!(!keeps_rule(&outcome), "no checks: {outcome:?}");
}
