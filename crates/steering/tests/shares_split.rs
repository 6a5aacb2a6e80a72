//! A site's slots among zones that all want more than there is.

use std::collections::BTreeSet;
use std::sync::Arc;
use steering::shares::{SiteShare, SiteSplit, SiteView, WriteId};

/// Writes each zone's part again and again until no zone has anything to write.
fn settle(zones: &[Arc<str>], wanted: &[u64], rest: u64) -> SiteSplit {
    let lapsed = BTreeSet::new();
    let mut shares: Vec<SiteShare> =
        zones.iter().map(|zone| SiteShare::new(zone.clone())).collect();
    let mut object: Option<(u64, SiteSplit)> = None;
    for round in 0..20 {
        for (share, wanted) in shares.iter_mut().zip(wanted) {
            share.on_read(object.clone());
            let view = SiteView {
                lease_generation: 1,
                remainder: rest,
                baseline: 0,
                demand: *wanted,
                max_in_use: Some(0),
                expired_zones: &lapsed,
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
fn no_slot_of_a_small_rest_is_lost_when_all_zones_want_it() {
    let zones: Vec<Arc<str>> = ["a", "b", "c", "d", "e", "f"].map(Arc::from).to_vec();

    for (rest, wanted) in [(6, [20; 6]), (6, [1, 9, 30, 4, 4, 12]), (1, [3; 6]), (11, [2; 6])] {
        let split = settle(&zones, &wanted, rest);

        let given: u64 = split.parts.values().map(|part| part.slots).sum();
        assert_eq!(given, rest, "{wanted:?}: {:?}", split.parts);
    }
}
