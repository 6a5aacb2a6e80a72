//! Which entry instances a caller is told to use.
//!
//! [`LookupTable`] is built once for each change of the configuration or of the instances; an answer
//! then ranks only the instances of the availability zones that it names.

use crate::hash::{address_hash, mix};
use crate::key::Incarnation;
use configuration::{Configuration, ZoneIndex};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// An entry instance that may be named in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Address for callers.
    pub address: SocketAddr,
    /// Availability zone of the instance.
    pub zone: ZoneIndex,
    /// Its incarnation, if known.
    pub incarnation: Option<Incarnation>,
}

/// One entry of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Address for callers.
    pub address: SocketAddr,
    /// Relative part of the caller's requests.
    pub weight: u32,
    /// Its incarnation, if known.
    pub incarnation: Option<Incarnation>,
}

/// Weight of an instance in the nearest availability zone that has one.
const NEAR_WEIGHT: u32 = 100;

/// Weight of an instance that is there in case the nearest ones fail.
const STANDBY_WEIGHT: u32 = 0;

/// The entry instances by availability zone, and the order in which each caller's zone uses them.
#[derive(Clone, Debug)]
pub struct LookupTable {
    /// Candidates of each availability zone.
    candidates: Vec<Vec<Ranked>>,
    /// For each availability zone, those that have candidates, nearest first.
    nearest: Vec<Vec<ZoneIndex>>,
    /// Number of instances in an answer.
    instances: usize,
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
            .map(|near| {
                let near = ZoneIndex::from(near);
                let mut order: Vec<ZoneIndex> = (0..zones)
                    .filter(|zone| !by_zone[*zone].is_empty())
                    .map(ZoneIndex::from)
                    .collect();
                order.sort_by(|a, b| {
                    configuration.delay_ms(near, *a).total_cmp(&configuration.delay_ms(near, *b))
                });
                order
            })
            .collect();
        Self { candidates: by_zone, nearest, instances: configuration.lookup.instances }
    }

    /// Chooses up to the configured number of instances for a caller, nearest first.
    ///
    /// The nearest availability zone that has instances gives all but the last one, which comes
    /// from the next, so that a caller who holds the answer while a zone is lost can go on.
    /// Within a zone callers spread by `caller_hash`, each keeping its instances as others come
    /// and go (rendezvous hashing).
    pub fn choose(&self, near: ZoneIndex, caller_hash: u64) -> Vec<Choice> {
        let Some(order) = self.nearest.get(near.get()) else { return Vec::new() };
        let mut choices: Vec<Choice> = Vec::with_capacity(self.instances);
        for (position, zone) in order.iter().enumerate() {
            let left = self.instances - choices.len();
            let keep_one = usize::from(position == 0 && order.len() > 1 && self.instances > 1);
            let weight = if position == 0 { NEAR_WEIGHT } else { STANDBY_WEIGHT };
            choices.extend(self.best(*zone, caller_hash, left - keep_one).map(|candidate| {
                Choice { address: candidate.address, weight, incarnation: candidate.incarnation }
            }));
            if choices.len() == self.instances {
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
