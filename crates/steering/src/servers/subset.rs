//! Deterministic subsets, so that many instances stay within a backend server's connections.
//!
//! After the method in "Site Reliability Engineering" (O'Reilly, 2016), chapter 20: instances are
//! numbered, and each round of as many instances as there are subsets shuffles the backend servers
//! anew and deals them out, so that every backend server gets about the same number of instances.

use configuration::BackendServer;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

/// The place of an instance among all that send to the same backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InstancePosition {
    /// Number of this instance, from 0.
    pub number: usize,
    /// Number of instances, at least 1.
    pub instances: usize,
}

/// The backend servers that an instance uses, and how many connections it may open to each.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Subset {
    /// The backend servers, in the order given.
    pub servers: Vec<BackendServer>,
    /// Connections that this instance may open to each of them, at least 1.
    pub connections: u32,
}

/// Returns our part of a site whose backend servers take `limit` connections each.
///
/// All instances use all backend servers as long as each gets `wanted` connections to each.
pub fn for_site(
    servers: &[BackendServer],
    place: InstancePosition,
    limit: u32,
    wanted: u32,
) -> Subset {
    let instances = place.instances.max(1);
    let users = (limit as usize / wanted.max(1) as usize).clamp(1, instances);
    let size = (servers.len() * users / instances).clamp(1, servers.len().max(1));
    if size >= servers.len() {
        let connections = part(limit, instances);
        return Subset { servers: servers.to_vec(), connections };
    }
    let subsets = servers.len() / size;
    let mut order: Vec<usize> = (0..servers.len()).collect();
    order.shuffle(&mut SmallRng::seed_from_u64((place.number / subsets) as u64));
    let start = place.number % subsets * size;
    let mut chosen: Vec<usize> = order[start..start + size].to_vec();
    chosen.sort_unstable();
    Subset {
        servers: chosen.into_iter().map(|position| servers[position].clone()).collect(),
        // In each round a backend server is in at most one subset.
        connections: part(limit, instances.div_ceil(subsets)),
    }
}

fn part(limit: u32, users: usize) -> u32 {
    u32::try_from(limit as usize / users.max(1)).unwrap_or(limit).max(1)
}
