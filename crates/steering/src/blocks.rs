//! Longest-prefix match of caller addresses.
//!
//! Nested blocks are flattened once into disjoint ranges, so that a look-up is one binary search
//! over an array: 6 bytes per range for IPv4, 18 for IPv6, at most two ranges per block.

use configuration::{ClientBlock, ZoneIndex};
use std::net::IpAddr;

/// Marks a range that no block covers.
const UNCOVERED: u16 = u16::MAX;

/// The availability zone of every caller address, built once for each configuration version.
#[derive(Clone, Debug, Default)]
pub struct BlockTable {
    v4: Ranges<u32>,
    v6: Ranges<u128>,
}

/// Disjoint ranges that cover all addresses: range `i` goes from `starts[i]` to `starts[i + 1]`.
#[derive(Clone, Debug, Default)]
struct Ranges<A> {
    starts: Vec<A>,
    zones: Vec<u16>,
}

/// A block as its first and last address.
#[derive(Clone, Copy, Debug)]
struct Span<A> {
    first: A,
    last: A,
    zone: u16,
}

trait Address: Copy + Ord {
    fn successor(self) -> Option<Self>;
}

impl Address for u32 {
    fn successor(self) -> Option<Self> {
        self.checked_add(1)
    }
}

impl Address for u128 {
    fn successor(self) -> Option<Self> {
        self.checked_add(1)
    }
}

impl BlockTable {
    /// Builds the table; of two equal blocks the later one applies.
    pub fn new(blocks: &[ClientBlock]) -> Self {
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for client_block in blocks {
            let zone = client_block.availability_zone.0;
            match client_block.block {
                ipnet::IpNet::V4(block) => v4.push(Span {
                    first: u32::from(block.network()),
                    last: u32::from(block.broadcast()),
                    zone,
                }),
                ipnet::IpNet::V6(block) => v6.push(Span {
                    first: u128::from(block.network()),
                    last: u128::from(block.broadcast()),
                    zone,
                }),
            }
        }
        Self { v4: Ranges::new(v4), v6: Ranges::new(v6) }
    }

    /// Returns the availability zone of the longest block that contains `address`.
    pub fn zone_of(&self, address: IpAddr) -> Option<ZoneIndex> {
        let zone = match address.to_canonical() {
            IpAddr::V4(address) => self.v4.zone_of(u32::from(address)),
            IpAddr::V6(address) => self.v6.zone_of(u128::from(address)),
        };
        zone.map(ZoneIndex)
    }

    /// Returns the memory of the table's arrays, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.v4.memory_bytes() + self.v6.memory_bytes()
    }
}

impl<A: Address> Ranges<A> {
    fn new(mut spans: Vec<Span<A>>) -> Self {
        // Outer blocks come before the blocks nested in them; the sort is stable.
        spans.sort_by(|a, b| a.first.cmp(&b.first).then(b.last.cmp(&a.last)));
        let mut ranges = Self { starts: Vec::new(), zones: Vec::new() };
        let mut open: Vec<Span<A>> = Vec::new();
        for span in spans {
            ranges.close_before(&mut open, Some(span.first));
            ranges.start(span.first, span.zone);
            open.push(span);
        }
        ranges.close_before(&mut open, None);
        ranges.starts.shrink_to_fit();
        ranges.zones.shrink_to_fit();
        ranges
    }

    /// Closes the open blocks that end before `next`, or all of them if it is `None`.
    fn close_before(&mut self, open: &mut Vec<Span<A>>, next: Option<A>) {
        while let Some(span) = open.pop_if(|span| next.is_none_or(|next| span.last < next)) {
            let Some(after) = span.last.successor() else { continue };
            let outer = open.last().map_or(UNCOVERED, |outer| outer.zone);
            // Nothing of an outer block follows a nested block that ends with it.
            if open.last().is_none_or(|outer| outer.last >= after) {
                self.start(after, outer);
            }
        }
    }

    fn start(&mut self, first: A, zone: u16) {
        if self.starts.last() == Some(&first) {
            self.starts.pop();
            self.zones.pop();
        }
        if self.zones.last() != Some(&zone) {
            self.starts.push(first);
            self.zones.push(zone);
        }
    }

    fn zone_of(&self, address: A) -> Option<u16> {
        let position = self.starts.partition_point(|start| *start <= address);
        let zone = *self.zones.get(position.checked_sub(1)?)?;
        (zone != UNCOVERED).then_some(zone)
    }

    fn memory_bytes(&self) -> usize {
        self.starts.capacity() * size_of::<A>() + self.zones.capacity() * size_of::<u16>()
    }
}
