//! Measures the choice of instances for a lookup by number of instances.

use super::{Series, median_time};
use crate::deployment;
use configuration::ZoneIndex;
use std::net::SocketAddr;
use steering::lookup::{Candidate, LookupTable};

const ZONES: usize = 30;
const INSTANCE_COUNTS: [usize; 4] = [60, 600, 1_800, 3_900];
const LOOKUPS: u64 = 2_000;

pub(super) struct Lookups {
    pub(super) choice_us: Series,
    pub(super) build_ms: Series,
}

pub(super) fn measure() -> Lookups {
    let size = "instances";
    let mut choice_us = Series { quantity: "choosing instances, µs", size, points: Vec::new() };
    let mut build_ms =
        Series { quantity: "building the look-up table, ms", size, points: Vec::new() };
    let configuration = deployment::configuration(ZONES, 30);
    for instances in INSTANCE_COUNTS {
        let candidates: Vec<Candidate> = (0..instances).map(candidate).collect();
        let build = median_time(|| LookupTable::new(&configuration, candidates.iter().copied()));
        let table = LookupTable::new(&configuration, candidates.iter().copied());
        let choose = median_time(|| {
            (0..LOOKUPS)
                .map(|caller| {
                    let caller_zone = ZoneIndex::from(caller as usize % ZONES);
                    table.choose(caller_zone, caller.wrapping_mul(0x9e37_79b9_7f4a_7c15)).len()
                })
                .sum::<usize>()
        });
        let choice = choose.as_secs_f64() * 1e6 / LOOKUPS as f64;
        choice_us.points.push((instances as f64, choice));
        build_ms.points.push((instances as f64, build.as_secs_f64() * 1e3));
    }
    Lookups { choice_us, build_ms }
}

fn candidate(number: usize) -> Candidate {
    let address = SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7000));
    Candidate { address, zone: ZoneIndex::from(number % ZONES), incarnation: None }
}
