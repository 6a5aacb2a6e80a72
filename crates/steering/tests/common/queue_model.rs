//! A simple model of two sites under constant demand, steered by several instances whose reports
//! are some seconds old.

use std::time::Duration;
use steering::Time;
use steering::figures::{SiteFigures, SiteName};
use steering::guard::{Damping, Guard, GuardInput, GuardedFlow, GuardedSite};
use steering::policy::{Program, SiteView, View};

const SITES: usize = 2;
const INSTANCES: usize = 10;
const SECONDS: usize = 120;
/// Warm-up in seconds, which is excluded from the results.
const WARM_UP: usize = 60;
const CAPACITY_SLOTS: f64 = 20.0;
const SERVICE_TIME_S: f64 = 0.030;
/// Three quarters of the capacity of both sites.
const RATE_PER_S: f64 = 0.75 * SITES as f64 * CAPACITY_SLOTS / SERVICE_TIME_S;
const LINK_GROWTH_PER_S: f64 = 0.3 * RATE_PER_S;

/// Fluctuation of the traffic between the sites.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Fluctuation {
    /// Mean change of a site's share of the traffic from one second to the next.
    pub(crate) mean_change: f64,
    /// Fraction of the requests that found no free slot at their site.
    pub(crate) overflow_share: f64,
}

/// Runs a policy whose reports lag by `lag_s` seconds.
pub(crate) fn run(program: &Program, lag_s: usize, damping: Damping) -> Fluctuation {
    let mut guards: Vec<Guard> = (0..INSTANCES).map(|_| Guard::new(damping)).collect();
    let mut history: Vec<[f64; SITES]> = vec![[0.9 * RATE_PER_S, 0.1 * RATE_PER_S]];
    for second in 0..SECONDS {
        let reported_rates = history[history.len().saturating_sub(lag_s.max(1))];
        let mut rates = [0.0; SITES];
        for guard in &mut guards {
            let weights = step(guard, program, reported_rates, lag_s, second);
            for (rate, weight) in rates.iter_mut().zip(weights) {
                *rate += weight * RATE_PER_S / INSTANCES as f64;
            }
        }
        history.push(rates);
    }
    measure(&history[WARM_UP..])
}

fn step(
    guard: &mut Guard,
    program: &Program,
    reported_rates: [f64; SITES],
    lag_s: usize,
    second: usize,
) -> Vec<f64> {
    let headroom = reported_rates.map(|rate| (CAPACITY_SLOTS - rate * SERVICE_TIME_S).max(0.0));
    let proposed = program.weights(&view(headroom)).expect("weights");
    let names = ["a", "b"];
    let sites = names.iter().zip(headroom).enumerate().map(|(link, (zone, headroom_slots))| {
        let name = SiteName { service: "s".into(), availability_zone: (*zone).into() };
        GuardedSite { name, figures: figures(headroom_slots, lag_s), is_usable: true, link }
    });
    let flow = GuardedFlow {
        arm: "a".into(),
        service: "s".into(),
        share_percent: 100,
        rate_per_s: RATE_PER_S / INSTANCES as f64,
        proposed,
        sites: vec![0, 1],
    };
    let input = GuardInput {
        flows: vec![flow],
        sites: sites.collect(),
        links_per_s: vec![LINK_GROWTH_PER_S / INSTANCES as f64; SITES],
    };
    let (mut weights, _) = guard.apply(&input, Time::from_ms(second as u64 * 1_000));
    weights.remove(0)
}

fn figures(headroom_slots: f64, lag_s: usize) -> SiteFigures {
    SiteFigures {
        headroom_slots,
        in_flight: 0,
        latency_ms: SERVICE_TIME_S * 1_000.0,
        response_time_ms: Some(SERVICE_TIME_S * 1_000.0),
        is_measured: true,
        failed_share: 0.0,
        age: Duration::from_secs(lag_s as u64),
    }
}

fn view(headroom: [f64; SITES]) -> View {
    let sites = ["a", "b"].iter().zip(headroom).map(|(zone, headroom_slots)| SiteView {
        availability_zone: (*zone).into(),
        region: "r".into(),
        delay_ms: 1.0,
        capacity_slots: CAPACITY_SLOTS,
        headroom_slots,
        latency_ms: SERVICE_TIME_S * 1_000.0,
        failed_share: 0.0,
        age_ms: 0.0,
    });
    View {
        service: "s".into(),
        availability_zone: "a".into(),
        region: "r".into(),
        sites: sites.collect(),
    }
}

fn measure(history: &[[f64; SITES]]) -> Fluctuation {
    let changes = history.windows(2).map(|pair| (pair[1][0] - pair[0][0]).abs() / RATE_PER_S);
    let overflow = history.iter().flatten();
    let overflow = overflow.map(|rate| (rate - CAPACITY_SLOTS / SERVICE_TIME_S).max(0.0));
    let seconds = history.len() as f64;
    Fluctuation {
        mean_change: changes.sum::<f64>() / (seconds - 1.0),
        overflow_share: overflow.sum::<f64>() / (RATE_PER_S * seconds),
    }
}
