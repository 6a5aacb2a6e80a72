//! Measures the client block table by number of blocks.

use super::{Series, median_time};
use crate::deployment::client_blocks;
use std::net::{IpAddr, Ipv4Addr};
use steering::BlockTable;

const BLOCK_COUNTS: [usize; 4] = [1_000, 10_000, 100_000, 660_000];
const ZONES: usize = 30;
const LOOKUPS: u32 = 200_000;

/// An odd number, so that the looked up addresses cover the whole table in a scattered order.
const STRIDE: u32 = 0x9e37_79b1;

pub(super) struct Blocks {
    pub(super) bytes: Series,
    pub(super) build_ms: Series,
    pub(super) lookup_ns: Series,
}

pub(super) fn measure() -> Blocks {
    let size = "client blocks";
    let series = |quantity| Series { quantity, size, points: Vec::new() };
    let mut measured = Blocks {
        bytes: series("block table, bytes"),
        build_ms: series("building the block table, ms"),
        lookup_ns: series("finding a caller's zone, ns"),
    };
    for count in BLOCK_COUNTS {
        let blocks = client_blocks(count, ZONES);
        let build = median_time(|| BlockTable::new(&blocks));
        let table = BlockTable::new(&blocks);
        let addresses = (count as u32) << 8;
        let find = median_time(|| {
            (0..LOOKUPS)
                .filter_map(|number| {
                    let address = number.wrapping_mul(STRIDE) % addresses;
                    table.zone_of(IpAddr::V4(Ipv4Addr::from(address)))
                })
                .count()
        });
        let count = count as f64;
        measured.bytes.points.push((count, table.memory_bytes() as f64));
        measured.build_ms.points.push((count, build.as_secs_f64() * 1e3));
        let lookup_ns = find.as_secs_f64() * 1e9 / f64::from(LOOKUPS);
        measured.lookup_ns.points.push((count, lookup_ns));
    }
    measured
}
