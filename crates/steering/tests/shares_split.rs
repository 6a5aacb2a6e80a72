//! Split of a site's slots between zones whose total demand exceeds the capacity.

use std::collections::BTreeSet;
use std::sync::Arc;
use steering::shares::{SiteShare, SiteSplit, SiteView, WriteId};

/// Writes each zone's part in rounds until no zone has anything to write, and returns the split.
fn converge(zones: &[Arc<str>], demand: &[u64], remainder: u64) -> SiteSplit {
    let expired_zones = BTreeSet::new();
    let mut shares: Vec<SiteShare> =
        zones.iter().map(|zone| SiteShare::new(zone.clone())).collect();
    let mut object: Option<(u64, SiteSplit)> = None;
    for round in 0..20 {
        for (share, demand) in shares.iter_mut().zip(demand) {
            share.on_read(object.clone());
            let view = SiteView {
                lease_generation: 1,
                remainder,
                baseline: 0,
                demand: *demand,
                max_in_use: Some(0),
                expired_zones: &expired_zones,
            };
            let Some(write) = share.next_write(&view, WriteId::default()) else { continue };
            let version = object.as_ref().map_or(0, |(version, _)| *version) + 1;
            object = Some((version, write.split.clone()));
            share.on_written(write, version);
        }
        assert!(round < 19 || object.is_some());
    }
    object.expect("a split").1
}

#[test]
fn a_small_remainder_is_split_completely_when_all_zones_need_slots() {
    let zones: Vec<Arc<str>> = ["a", "b", "c", "d", "e", "f"].map(Arc::from).to_vec();

    for (remainder, demand) in [(6, [20; 6]), (6, [1, 9, 30, 4, 4, 12]), (1, [3; 6]), (11, [2; 6])]
    {
        let split = converge(&zones, &demand, remainder);

        let assigned: u64 = split.parts.values().map(|part| part.slots).sum();
        assert_eq!(assigned, remainder, "{demand:?}: {:?}", split.parts);
    }
}
