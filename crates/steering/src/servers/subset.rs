//! Deterministic subsetting, which keeps many instances within a backend server's connection limit.
//!
//! After the method in "Site Reliability Engineering" (O'Reilly, 2016), chapter 20: instances are
//! numbered and divided into rounds with as many instances as there are subsets. Each round
//! shuffles the backend servers and divides them among its instances, so that every backend server
//! gets about the same number of instances.

use configuration::BackendServer;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

/// The position of an instance among all that send to the same backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InstancePosition {
    /// Index of this instance, from 0.
    pub number: usize,
    /// Number of instances, at least 1.
    pub instances: usize,
}

/// The backend servers that an instance uses, and how many connections it may open to each.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Subset {
    /// The backend servers, in the given order.
    pub servers: Vec<BackendServer>,
    /// Connections that this instance may open to each of them, at least 1.
    pub connections: u32,
}

/// Returns this instance's subset of a site whose backend servers accept `limit` connections each.
///
/// All instances use all backend servers as long as each instance can open `wanted_connections`
/// connections to each of them.
pub fn for_site(
    servers: &[BackendServer],
    instance: InstancePosition,
    limit: u32,
    wanted_connections: u32,
) -> Subset {
    let instances = instance.instances.max(1);
    let instances_per_server =
        (limit as usize / wanted_connections.max(1) as usize).clamp(1, instances);
    let size = (servers.len() * instances_per_server / instances).clamp(1, servers.len().max(1));
    if size >= servers.len() {
        let connections = connections_per_instance(limit, instances);
        return Subset { servers: servers.to_vec(), connections };
    }
    let subsets = servers.len() / size;
    let mut order: Vec<usize> = (0..servers.len()).collect();
    order.shuffle(&mut SmallRng::seed_from_u64((instance.number / subsets) as u64));
    let start = instance.number % subsets * size;
    let mut chosen: Vec<usize> = order[start..start + size].to_vec();
    chosen.sort_unstable();
    Subset {
        servers: chosen.into_iter().map(|position| servers[position].clone()).collect(),
        // In each round a backend server is in at most one subset.
        connections: connections_per_instance(limit, instances.div_ceil(subsets)),
    }
}

fn connections_per_instance(limit: u32, instances_per_server: usize) -> u32 {
    u32::try_from(limit as usize / instances_per_server.max(1)).unwrap_or(limit).max(1)
}
