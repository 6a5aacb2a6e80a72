//! The block table, compared with a naive longest-prefix match over the list of blocks.

use configuration::{ClientBlock, ZoneIndex};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use proptest::prelude::*;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use steering::BlockTable;

/// Returns the zone of the last of the longest blocks that contain the address.
fn naive_zone_of(blocks: &[ClientBlock], address: IpAddr) -> Option<ZoneIndex> {
    blocks
        .iter()
        .filter(|block| block.block.contains(&address))
        .max_by_key(|block| block.block.prefix_len())
        .map(|block| block.availability_zone)
}

/// Addresses close together, so that blocks nest and touch, and at the ends of the address ranges.
fn address() -> impl Strategy<Value = IpAddr> {
    prop_oneof![
        (0_u32..64).prop_map(|low| IpAddr::V4(Ipv4Addr::from(0x0a00_0000 | low))),
        (0_u32..64).prop_map(|low| IpAddr::V4(Ipv4Addr::from(u32::MAX - low))),
        (0_u128..64).prop_map(|low| IpAddr::V6(Ipv6Addr::from((0xfd << 120) | low))),
        (0_u128..64).prop_map(|low| IpAddr::V6(Ipv6Addr::from(u128::MAX - low))),
    ]
}

fn client_block() -> impl Strategy<Value = ClientBlock> {
    (address(), 0_u8..9, 0_u16..4).prop_map(|(address, host_bits, zone)| {
        let block = match address {
            IpAddr::V4(v4) => IpNet::V4(Ipv4Net::new_assert(v4, 32 - host_bits)),
            IpAddr::V6(v6) => IpNet::V6(Ipv6Net::new_assert(v6, 128 - host_bits)),
        };
        ClientBlock { block: block.trunc(), availability_zone: ZoneIndex(zone) }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 10_000, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn agrees_with_naive_longest_prefix_match(
        blocks in prop::collection::vec(client_block(), 0..12),
        addresses in prop::collection::vec(address(), 1..12),
    ) {
        let table = BlockTable::new(&blocks);

        for address in addresses {
            prop_assert_eq!(table.zone_of(address), naive_zone_of(&blocks, address));
        }
    }
}
