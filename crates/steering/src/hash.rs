//! Hashes that are the same on every instance and in every release.

use std::net::IpAddr;

/// Increment of the SplitMix64 generator.
pub const SPLITMIX_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Mixes a number so that each input bit affects each output bit (SplitMix64).
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(SPLITMIX_INCREMENT);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the hash of a caller's address; an IPv4 address mapped to IPv6 counts as IPv4.
pub fn address_hash(address: IpAddr) -> u64 {
    match address.to_canonical() {
        IpAddr::V4(address) => mix(u64::from(u32::from(address))),
        IpAddr::V6(address) => {
            let bits = u128::from(address);
            mix(mix((bits >> 64) as u64) ^ bits as u64)
        }
    }
}

/// Maps a hash uniformly to the interval from 0 up to, but not including, 1.
pub fn unit_interval(hash: u64) -> f64 {
    /// Bits of the mantissa of a double.
    const BITS: u32 = 53;
    (hash >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
}
