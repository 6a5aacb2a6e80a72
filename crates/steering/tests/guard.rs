//! Checks that the guard's limits hold whatever weights a policy proposes.

mod common;

use common::cases;
use proptest::prelude::*;
use std::time::Duration;
use steering::Time;
use steering::figures::{SiteFigures, SiteName};
use steering::guard::{
    Damping, FlowProposal, Guard, GuardInput, GuardedFlow, GuardedSite, Limits, RampInput,
    allowed_weights, growth_limit,
};

const ROUNDING: f64 = 1e-6;

/// Flows with arbitrary proposals over a few shared sites and links.
fn step() -> impl Strategy<Value = (Vec<FlowProposal>, Limits)> {
    (1_usize..6, 1_usize..4, 1_usize..5).prop_flat_map(|(sites, links, flows)| {
        let limit =
            prop_oneof![1 => Just(None), 5 => (0.0..50.0_f64).prop_map(Some), 1 => Just(Some(0.0))];
        let limits = (
            prop::collection::vec(limit, sites),
            prop::collection::vec(0..links, sites),
            prop::collection::vec(0.0..50.0_f64, links),
        )
            .prop_map(|(sites_per_s, site_links, links_per_s)| Limits {
                sites_per_s,
                site_links,
                links_per_s,
            });
        let weights = prop::collection::vec(prop_oneof![Just(0.0), 0.0..1.0_f64], sites);
        let flow = (
            0.0..200.0_f64,
            prop::option::of(weights.clone()),
            weights,
            0.0..=1.0_f64,
            0.01..=1.0_f64,
        )
            .prop_map(move |(rate_per_s, current, proposed, total, gain)| FlowProposal {
                rate_per_s,
                sites: (0..sites).collect(),
                current: current.map(|current| scaled(current, total)),
                proposed: scaled(proposed, 1.0),
                gain,
            });
        (prop::collection::vec(flow, flows), limits)
    })
}

fn scaled(weights: Vec<f64>, total: f64) -> Vec<f64> {
    let sum: f64 = weights.iter().sum();
    let count = weights.len() as f64;
    let scale = |weight: f64| if sum > 0.0 { weight / sum * total } else { total / count };
    weights.into_iter().map(scale).collect()
}

/// Returns the growth of one flow's traffic to a site, in requests per second.
fn growth(flow: &FlowProposal, allowed: &[f64], site: usize) -> f64 {
    let current = flow.current.as_ref().map_or(allowed[site], |current| current[site]);
    (allowed[site] - current).max(0.0) * flow.rate_per_s
}

proptest! {
    #![proptest_config(cases(20_000))]

    #[test]
    fn no_proposal_exceeds_a_limit((flows, limits) in step()) {
        let allowed = allowed_weights(&flows, &limits);

        for (site, limit) in limits.sites_per_s.iter().enumerate() {
            let grown: f64 = flows.iter().zip(&allowed).map(|(f, a)| growth(f, a, site)).sum();
            prop_assert!(grown <= limit.unwrap_or(0.0) + ROUNDING, "site {site}: {grown}");
            let closed = limit.is_none();
            prop_assert!(!closed || allowed.iter().all(|weights| weights[site] == 0.0));
        }
        for (link, limit) in limits.links_per_s.iter().enumerate() {
            let sites = (0..limits.site_links.len()).filter(|site| limits.site_links[*site] == link);
            let grown: f64 = sites
                .map(|site| flows.iter().zip(&allowed).map(|(f, a)| growth(f, a, site)).sum::<f64>())
                .sum();
            prop_assert!(grown <= limit + ROUNDING, "link {link}: {grown}");
        }
    }

    /// Weights stay between 0 and 1 with a sum of at most 1, and no traffic of open sites is
    /// dropped.
    #[test]
    fn traffic_on_open_sites_stays_placed((flows, limits) in step()) {
        let allowed = allowed_weights(&flows, &limits);

        for (flow, weights) in flows.iter().zip(&allowed) {
            let sum: f64 = weights.iter().sum();
            prop_assert!(weights.iter().all(|weight| (0.0..=1.0).contains(weight)), "{weights:?}");
            prop_assert!(sum <= 1.0 + ROUNDING, "{sum}");
            let open = |site: &usize| limits.sites_per_s[*site].is_some();
            let placed_before: f64 = flow.current.iter().flat_map(|current| {
                current.iter().enumerate().filter(|(site, _)| open(site)).map(|(_, weight)| weight)
            }).sum();
            prop_assert!(sum >= placed_before - ROUNDING, "{sum} of {placed_before}");
        }
    }

    /// An undamped step without limits reaches the proposed weights.
    #[test]
    fn unlimited_steps_reach_the_proposal((mut flows, mut limits) in step()) {
        limits.sites_per_s.iter_mut().for_each(|limit| *limit = Some(f64::MAX));
        limits.links_per_s.iter_mut().for_each(|limit| *limit = f64::MAX);
        flows.iter_mut().for_each(|flow| flow.gain = 1.0);

        let allowed = allowed_weights(&flows, &limits);

        for (flow, weights) in flows.iter().zip(&allowed) {
            for (weight, proposed) in weights.iter().zip(&flow.proposed) {
                prop_assert!((weight - proposed).abs() < ROUNDING, "{weight} {proposed}");
            }
        }
    }
}

fn figures(headroom_slots: f64, response_time_ms: Option<f64>) -> SiteFigures {
    SiteFigures {
        headroom_slots,
        in_flight: 0,
        latency_ms: response_time_ms.unwrap_or(20.0),
        response_time_ms,
        is_measured: response_time_ms.is_some(),
        failed_share: 0.0,
        age: Duration::ZERO,
    }
}

fn guarded_site(zone: &str, link: usize, figures: SiteFigures) -> GuardedSite {
    let name = SiteName { service: "dossier".into(), availability_zone: zone.into() };
    GuardedSite { name, figures, is_usable: true, link }
}

/// One flow of 100 requests per second over two sites, each with its own link.
fn two_sites(proposed: [f64; 2], near: SiteFigures, far: SiteFigures) -> GuardInput {
    GuardInput {
        flows: vec![GuardedFlow {
            arm: "a".into(),
            service: "dossier".into(),
            share_percent: 100,
            rate_per_s: 100.0,
            proposed: proposed.to_vec(),
            sites: vec![0, 1],
        }],
        sites: vec![guarded_site("near", 0, near), guarded_site("far", 1, far)],
        links_per_s: vec![1_000.0, 15.0],
    }
}

/// Returns a guard with all traffic at the near site.
fn guard_at_near_site(near: SiteFigures, far: SiteFigures) -> Guard {
    let mut guard = Guard::new(Damping::On);
    guard.apply(&two_sites([1.0, 0.0], near, far), Time::from_ms(0));
    guard
}

#[test]
fn a_large_move_is_spread_over_time_by_the_shift_limit() {
    let baseline = figures(1_000.0, Some(20.0));
    let mut guard = guard_at_near_site(baseline, baseline);
    let mut before = 0.0;

    for second in 1..20_u64 {
        let input = two_sites([0.0, 1.0], baseline, baseline);
        let (weights, _) = guard.apply(&input, Time::from_ms(second * 1_000));

        let grown_per_s = (weights[0][1] - before) * 100.0;
        assert!(grown_per_s <= 15.0 + ROUNDING, "second {second}: {grown_per_s}");
        before = weights[0][1];
    }
    assert!(before > 0.9, "{before}");
}

#[test]
fn a_long_pause_accumulates_no_allowance() {
    let baseline = figures(1_000.0, Some(20.0));
    let mut guard = guard_at_near_site(baseline, baseline);

    let input = two_sites([0.0, 1.0], baseline, baseline);
    let (weights, _) = guard.apply(&input, Time::from_ms(3_600_000));

    assert!(weights[0][1] * 100.0 <= 30.0 + ROUNDING, "{weights:?}");
}

#[test]
fn a_cold_site_grows_by_measured_responses_not_by_time() {
    let baseline = figures(1_000.0, Some(20.0));
    let weight_after_10_s = |far: SiteFigures| {
        let mut guard = guard_at_near_site(baseline, far);
        let steps = 1..=10_u64;
        steps
            .map(|second| {
                let input = two_sites([0.0, 1.0], baseline, far);
                guard.apply(&input, Time::from_ms(second * 1_000)).0[0][1]
            })
            .last()
            .unwrap_or_default()
    };

    let unmeasured = weight_after_10_s(figures(1_000.0, None));
    let slow = weight_after_10_s(figures(1_000.0, Some(60.0)));
    let warm = weight_after_10_s(baseline);

    assert!(unmeasured <= 0.02 + ROUNDING, "{unmeasured}");
    assert!(slow <= 0.02 + ROUNDING, "{slow}");
    assert!(warm > 0.5, "{warm}");
}

#[test]
fn traffic_leaves_a_closed_site_at_once_and_moves_within_the_shift_limit() {
    let baseline = figures(1_000.0, Some(20.0));
    let mut guard = guard_at_near_site(baseline, baseline);
    let failing = SiteFigures { failed_share: 0.8, ..baseline };

    let input = two_sites([1.0, 0.0], failing, baseline);
    let (weights, limits) = guard.apply(&input, Time::from_ms(1_000));

    assert_eq!(weights[0][0], 0.0);
    assert!(limits[0].is_none());
    assert!(weights[0][1] > 0.0 && weights[0][1] * 100.0 <= 15.0 + ROUNDING, "{weights:?}");
}

#[test]
fn failing_figures_never_close_all_sites_of_a_service() {
    let failing = SiteFigures { failed_share: 1.0, ..figures(10.0, Some(20.0)) };
    let mut guard = guard_at_near_site(failing, failing);

    let input = two_sites([1.0, 0.0], failing, failing);
    let (weights, _) = guard.apply(&input, Time::from_ms(1_000));

    assert_eq!(weights[0], [1.0, 0.0]);
}

#[test]
fn new_arms_start_from_the_current_weights() {
    let baseline = figures(1_000.0, Some(20.0));
    let mut guard = guard_at_near_site(baseline, baseline);
    let mut input = two_sites([0.0, 1.0], baseline, baseline);
    let half = GuardedFlow { share_percent: 50, rate_per_s: 50.0, ..input.flows[0].clone() };
    input.flows = vec![half.clone(), GuardedFlow { arm: "b".into(), ..half }];

    let (weights, _) = guard.apply(&input, Time::from_ms(1_000));

    let grown_per_s: f64 = weights.iter().map(|weights| weights[1] * 50.0).sum();
    assert!(grown_per_s <= 15.0 + ROUNDING, "{grown_per_s}");
}

#[test]
fn growth_not_yet_in_the_figures_counts_against_headroom() {
    let aged_figures = SiteFigures { age: Duration::from_secs(5), ..figures(1.0, Some(20.0)) };
    let mut guard = guard_at_near_site(aged_figures, aged_figures);

    for second in 1..=5_u64 {
        guard.apply(
            &two_sites([0.0, 1.0], aged_figures, aged_figures),
            Time::from_ms(second * 1_000),
        );
    }
    let input = two_sites([0.0, 1.0], aged_figures, aged_figures);
    let (weights, _) = guard.apply(&input, Time::from_ms(6_000));

    // One slot serves 50 requests of 20 ms per second; the moves of all steps together stay below
    // that.
    assert!(weights[0][1] * 100.0 <= 50.0 + ROUNDING, "{weights:?}");
}

proptest! {
    #![proptest_config(cases(10_000))]

    #[test]
    fn growth_limits_are_never_negative_and_fall_with_slowness(
        rate_per_s in 0.0..1_000.0_f64,
        headroom_slots in -50.0..500.0_f64,
        baseline_ms in 0.1..100.0_f64,
        slowness in 0.1..10.0_f64,
        elapsed_s in 0.0..2.0_f64,
    ) {
        let limit = |slowness: f64| growth_limit(RampInput {
            rate_per_s,
            headroom_slots,
            latency_ms: baseline_ms,
            response_time_ms: Some(baseline_ms * slowness),
            baseline_response_time_ms: Some(baseline_ms),
            elapsed_s,
        });

        prop_assert!(limit(slowness).per_s() >= 0.0);
        prop_assert!(limit(slowness * 1.5).ramp_per_s <= limit(slowness).ramp_per_s);
        prop_assert!(headroom_slots > 0.0 || limit(slowness).per_s() == 0.0);
    }
}
