//! Which entry instances a look-up returns to a caller.
//!
//! [`LookupTable`] is built once for each change of the configuration or of the instances; a
//! look-up then ranks only the instances of the availability zones in its response.

use crate::hash::{address_hash, mix};
use crate::key::Incarnation;
use configuration::{Configuration, ZoneIndex};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// An entry instance that a look-up may return.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Address for callers.
    pub address: SocketAddr,
    /// Availability zone of the instance.
    pub zone: ZoneIndex,
    /// Its incarnation, if known.
    pub incarnation: Option<Incarnation>,
}

/// One instance in the response to a look-up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Address for callers.
    pub address: SocketAddr,
    /// Relative share of the caller's requests.
    pub weight: u32,
    /// Its incarnation, if known.
    pub incarnation: Option<Incarnation>,
}

/// Weight of an instance in the nearest availability zone that has one.
const NEAR_WEIGHT: u32 = 100;

/// Weight of a standby instance, for use when the nearest ones fail.
const STANDBY_WEIGHT: u32 = 0;

/// The entry instances by availability zone, and the order of the zones for each caller's zone.
#[derive(Clone, Debug)]
pub struct LookupTable {
    /// Candidates by availability zone.
    candidates: Vec<Vec<Ranked>>,
    /// By the caller's availability zone: the zones that have candidates, nearest first.
    nearest: Vec<Vec<ZoneIndex>>,
    /// Number of instances in a response.
    instance_count: usize,
}

#[derive(Clone, Copy, Debug)]
struct Ranked {
    candidate: Candidate,
    address_hash: u64,
}

impl LookupTable {
    /// Builds the table.
    pub fn new(
        configuration: &Configuration,
        candidates: impl IntoIterator<Item = Candidate>,
    ) -> Self {
        let zones = configuration.availability_zones.len();
        let mut by_zone: Vec<Vec<Ranked>> = vec![Vec::new(); zones];
        for candidate in candidates {
            let address_hash = hash_of_address(candidate.address);
            by_zone[candidate.zone.get()].push(Ranked { candidate, address_hash });
        }
        let nearest = (0..zones)
            .map(|caller_zone| {
                let caller_zone = ZoneIndex::from(caller_zone);
                let mut order: Vec<ZoneIndex> = (0..zones)
                    .filter(|zone| !by_zone[*zone].is_empty())
                    .map(ZoneIndex::from)
                    .collect();
                order.sort_by(|a, b| {
                    configuration
                        .delay_ms(caller_zone, *a)
                        .total_cmp(&configuration.delay_ms(caller_zone, *b))
                });
                order
            })
            .collect();
        Self { candidates: by_zone, nearest, instance_count: configuration.lookup.instances }
    }

    /// Chooses up to the configured number of instances for a caller, nearest first.
    ///
    /// All but the last one are from the nearest availability zone that has instances, and the last
    /// one is from the next zone, so that a caller can go on with its response if a zone is lost.
    /// Within a zone `caller_hash` spreads the callers over the instances, by rendezvous hashing: a
    /// caller keeps its instances when others are added or removed.
    pub fn choose(&self, caller_zone: ZoneIndex, caller_hash: u64) -> Vec<Choice> {
        let Some(order) = self.nearest.get(caller_zone.get()) else { return Vec::new() };
        let mut choices: Vec<Choice> = Vec::with_capacity(self.instance_count);
        for (position, zone) in order.iter().enumerate() {
            let remaining = self.instance_count - choices.len();
            let reserved = usize::from(position == 0 && order.len() > 1 && self.instance_count > 1);
            let weight = if position == 0 { NEAR_WEIGHT } else { STANDBY_WEIGHT };
            choices.extend(self.best(*zone, caller_hash, remaining - reserved).map(|candidate| {
                Choice { address: candidate.address, weight, incarnation: candidate.incarnation }
            }));
            if choices.len() == self.instance_count {
                break;
            }
        }
        choices
    }

    /// Returns the `count` instances of a zone that rank highest for a caller, highest first.
    fn best(
        &self,
        zone: ZoneIndex,
        caller_hash: u64,
        count: usize,
    ) -> impl Iterator<Item = Candidate> {
        let mut ranked: Vec<(Reverse<u64>, Candidate)> = self.candidates[zone.get()]
            .iter()
            .map(|entry| (Reverse(mix(entry.address_hash ^ caller_hash)), entry.candidate))
            .collect();
        if count > 0 && count < ranked.len() {
            ranked.select_nth_unstable_by_key(count - 1, |(rank, _)| *rank);
        }
        ranked.truncate(count);
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, candidate)| candidate)
    }
}

fn hash_of_address(address: SocketAddr) -> u64 {
    mix(address_hash(address.ip()) ^ u64::from(address.port()))
}
