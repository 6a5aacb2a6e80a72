//! The look-up table, compared with a naive choice that sorts all zones.

use configuration::{Configuration, ZoneIndex};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use steering::lookup::{Candidate, LookupTable};

const ZONES: usize = 6;

/// The configuration of the repair example: six availability zones in three regions.
fn configuration() -> Configuration {
    include_str!("../../../examples/repair.toml").parse().expect("the example is valid")
}

fn candidate(number: u16, zone: u16) -> Candidate {
    let address = SocketAddr::from(([10, 0, 0, 1], number));
    Candidate { address, zone: ZoneIndex(zone), incarnation: None }
}

/// Returns the delays from `caller_zone` to the zones with candidates, sorted.
fn naive_delays_ms(
    configuration: &Configuration,
    candidates: &[Candidate],
    caller_zone: ZoneIndex,
) -> Vec<f64> {
    let zones: HashSet<ZoneIndex> = candidates.iter().map(|candidate| candidate.zone).collect();
    let mut zones: Vec<f64> =
        zones.into_iter().map(|zone| configuration.delay_ms(caller_zone, zone)).collect();
    zones.sort_by(f64::total_cmp);
    zones
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 10_000, failure_persistence: None,
        rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn chooses_the_nearest_instances_and_one_of_another_zone(
        zones in prop::collection::vec(0..ZONES as u16, 0..20),
        caller_zone in 0..ZONES as u16,
        caller_hash in any::<u64>(),
    ) {
        let configuration = configuration();
        let candidates: Vec<Candidate> =
            zones.iter().enumerate().map(|(number, zone)| candidate(number as u16, *zone)).collect();
        let caller_zone = ZoneIndex(caller_zone);

        let choices =
            LookupTable::new(&configuration, candidates.clone()).choose(caller_zone, caller_hash);

        let zone_of: HashMap<SocketAddr, ZoneIndex> =
            candidates.iter().map(|candidate| (candidate.address, candidate.zone)).collect();
        let delays: Vec<f64> = choices
            .iter()
            .map(|choice| configuration.delay_ms(caller_zone, zone_of[&choice.address]))
            .collect();
        let expected_zones = naive_delays_ms(&configuration, &candidates, caller_zone);
        let distinct: HashSet<SocketAddr> = choices.iter().map(|choice| choice.address).collect();
        let distinct_zones: HashSet<ZoneIndex> =
            distinct.iter().map(|address| zone_of[address]).collect();
        let expected_count = configuration.lookup.instances.min(candidates.len());
        prop_assert_eq!(distinct.len(), choices.len());
        prop_assert!(choices.len() <= expected_count);
        prop_assert!(choices.len() == expected_count || expected_zones.len() > 1);
        prop_assert!(delays.is_sorted());
        prop_assert_eq!(delays.first(), expected_zones.first());
        prop_assert!(expected_zones.len() < 2 || distinct_zones.len() > 1);
    }
}

#[test]
fn the_removal_of_an_instance_moves_only_its_own_callers() {
    let configuration = configuration();
    let candidates: Vec<Candidate> = (0..12).map(|number| candidate(number, 0)).collect();
    let removed = candidates[5].address;
    let before = LookupTable::new(&configuration, candidates.clone());
    let after = LookupTable::new(
        &configuration,
        candidates.into_iter().filter(|candidate| candidate.address != removed),
    );

    let moved = (0..1_000_u64)
        .map(|caller| caller.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .filter(|caller| {
            let first = |table: &LookupTable| table.choose(ZoneIndex(0), *caller)[0].address;
            first(&before) != removed && first(&before) != first(&after)
        })
        .count();

    assert_eq!(moved, 0);
}
