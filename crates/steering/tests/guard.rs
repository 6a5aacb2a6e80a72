//! Nothing that a policy wishes gets past the guard.

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

/// Flows over few sites and links, so that they meet; wishes of any kind.
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
            .prop_map(move |(rate_per_s, current, proposed, placed, gain)| FlowProposal {
                rate_per_s,
                sites: (0..sites).collect(),
                current: current.map(|current| scaled(current, placed)),
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

/// Growth of one flow's traffic to a site, in requests per second.
fn growth(flow: &FlowProposal, allowed: &[f64], site: usize) -> f64 {
    let current = flow.current.as_ref().map_or(allowed[site], |current| current[site]);
    (allowed[site] - current).max(0.0) * flow.rate_per_s
}

proptest! {
    #![proptest_config(cases(20_000))]

    #[test]
    fn no_wish_passes_a_limit((flows, limits) in step()) {
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

    /// Weights stay weights; what was placed on open sites stays placed.
    #[test]
    fn nothing_is_lost_or_made((flows, limits) in step()) {
        let allowed = allowed_weights(&flows, &limits);

        for (flow, weights) in flows.iter().zip(&allowed) {
            let sum: f64 = weights.iter().sum();
            prop_assert!(weights.iter().all(|weight| (0.0..=1.0).contains(weight)), "{weights:?}");
            prop_assert!(sum <= 1.0 + ROUNDING, "{sum}");
            let open = |site: &usize| limits.sites_per_s[*site].is_some();
            let kept: f64 = flow.current.iter().flat_map(|current| {
                current.iter().enumerate().filter(|(site, _)| open(site)).map(|(_, weight)| weight)
            }).sum();
            prop_assert!(sum >= kept - ROUNDING, "{sum} of {kept}");
        }
    }

    /// Without limits in the way, a whole step reaches the wish.
    #[test]
    fn free_moves_reach_the_wish((mut flows, mut limits) in step()) {
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

/// One flow of 100 requests per second over two sites, each behind a link of its own.
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

/// A guard with all traffic on the near site.
fn settled(near: SiteFigures, far: SiteFigures) -> Guard {
    let mut guard = Guard::new(Damping::On);
    guard.apply(&two_sites([1.0, 0.0], near, far), Time::from_ms(0));
    guard
}

#[test]
fn a_large_move_is_spread_by_the_shift_limit() {
    let usual = figures(1_000.0, Some(20.0));
    let mut guard = settled(usual, usual);
    let mut before = 0.0;

    for second in 1..20_u64 {
        let input = two_sites([0.0, 1.0], usual, usual);
        let (weights, _) = guard.apply(&input, Time::from_ms(second * 1_000));

        let grown_per_s = (weights[0][1] - before) * 100.0;
        assert!(grown_per_s <= 15.0 + ROUNDING, "second {second}: {grown_per_s}");
        before = weights[0][1];
    }
    assert!(before > 0.9, "{before}");
}

#[test]
fn a_long_pause_saves_up_no_allowance() {
    let usual = figures(1_000.0, Some(20.0));
    let mut guard = settled(usual, usual);

    let input = two_sites([0.0, 1.0], usual, usual);
    let (weights, _) = guard.apply(&input, Time::from_ms(3_600_000));

    assert!(weights[0][1] * 100.0 <= 30.0 + ROUNDING, "{weights:?}");
}

#[test]
fn a_cold_site_grows_by_measured_answers_not_by_time() {
    let usual = figures(1_000.0, Some(20.0));
    let weight_after_10_s = |far: SiteFigures| {
        let mut guard = settled(usual, far);
        let steps = 1..=10_u64;
        steps
            .map(|second| {
                let input = two_sites([0.0, 1.0], usual, far);
                guard.apply(&input, Time::from_ms(second * 1_000)).0[0][1]
            })
            .last()
            .unwrap_or_default()
    };

    let unmeasured = weight_after_10_s(figures(1_000.0, None));
    let slow = weight_after_10_s(figures(1_000.0, Some(60.0)));
    let warm = weight_after_10_s(usual);

    assert!(unmeasured <= 0.02 + ROUNDING, "{unmeasured}");
    assert!(slow <= 0.02 + ROUNDING, "{slow}");
    assert!(warm > 0.5, "{warm}");
}

#[test]
fn a_closed_site_is_left_at_once_and_the_rest_follows_the_shift_limit() {
    let usual = figures(1_000.0, Some(20.0));
    let mut guard = settled(usual, usual);
    let failing = SiteFigures { failed_share: 0.8, ..usual };

    let input = two_sites([1.0, 0.0], failing, usual);
    let (weights, limits) = guard.apply(&input, Time::from_ms(1_000));

    assert_eq!(weights[0][0], 0.0);
    assert!(limits[0].is_none());
    assert!(weights[0][1] > 0.0 && weights[0][1] * 100.0 <= 15.0 + ROUNDING, "{weights:?}");
}

#[test]
fn failing_figures_never_empty_a_service() {
    let failing = SiteFigures { failed_share: 1.0, ..figures(10.0, Some(20.0)) };
    let mut guard = settled(failing, failing);

    let input = two_sites([1.0, 0.0], failing, failing);
    let (weights, _) = guard.apply(&input, Time::from_ms(1_000));

    assert_eq!(weights[0], [1.0, 0.0]);
}

#[test]
fn new_arms_start_from_the_weights_in_force() {
    let usual = figures(1_000.0, Some(20.0));
    let mut guard = settled(usual, usual);
    let mut input = two_sites([0.0, 1.0], usual, usual);
    let half = GuardedFlow { share_percent: 50, rate_per_s: 50.0, ..input.flows[0].clone() };
    input.flows = vec![half.clone(), GuardedFlow { arm: "b".into(), ..half }];

    let (weights, _) = guard.apply(&input, Time::from_ms(1_000));

    let grown_per_s: f64 = weights.iter().map(|weights| weights[1] * 50.0).sum();
    assert!(grown_per_s <= 15.0 + ROUNDING, "{grown_per_s}");
}

#[test]
fn growth_not_yet_seen_counts_against_headroom() {
    let old = SiteFigures { age: Duration::from_secs(5), ..figures(1.0, Some(20.0)) };
    let mut guard = settled(old, old);

    for second in 1..=5_u64 {
        guard.apply(&two_sites([0.0, 1.0], old, old), Time::from_ms(second * 1_000));
    }
    let input = two_sites([0.0, 1.0], old, old);
    let (weights, _) = guard.apply(&input, Time::from_ms(6_000));

    // One slot carries 50 requests of 20 ms a second: the moves of five steps stay below it.
    assert!(weights[0][1] * 100.0 <= 50.0 + ROUNDING, "{weights:?}");
}

proptest! {
    #![proptest_config(cases(10_000))]

    #[test]
    fn growth_limits_are_never_negative_and_fall_with_slowness(
        rate_per_s in 0.0..1_000.0_f64,
        headroom_slots in -50.0..500.0_f64,
        usual_ms in 0.1..100.0_f64,
        slowness in 0.1..10.0_f64,
        elapsed_s in 0.0..2.0_f64,
    ) {
        let limit = |slowness: f64| growth_limit(RampInput {
            rate_per_s,
            headroom_slots,
            latency_ms: usual_ms,
            response_time_ms: Some(usual_ms * slowness),
            baseline_response_time_ms: Some(usual_ms),
            elapsed_s,
        });

        prop_assert!(limit(slowness).per_s() >= 0.0);
        prop_assert!(limit(slowness * 1.5).ramp_per_s <= limit(slowness).ramp_per_s);
        prop_assert!(headroom_slots > 0.0 || limit(slowness).per_s() == 0.0);
    }
}
