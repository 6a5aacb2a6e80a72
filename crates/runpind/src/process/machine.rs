//! The limits of the machine that the daemon runs on.

use crate::settings::Settings;
use rustix::process::{Resource, getrlimit};
use steering::machine::MachineLimits;
use steering::terms::MachineTerms;

/// Connections from other instances, which authenticate themselves, and from others until they fail to.
const MAX_PEER_CONNECTIONS: usize = 512;

/// What callers get of the machine's memory, and of the descriptors that this process may open.
pub(super) fn limits(settings: &Settings) -> MachineLimits {
    MachineLimits::from(&MachineTerms {
        memory_mb: Some(f64::from(settings.memory_mb)),
        descriptors: descriptors(),
        ..MachineTerms::default()
    })
}

/// Most connections from other instances: a part of the descriptors, if these are few.
pub(super) fn max_peer_connections() -> usize {
    let descriptors = descriptors().map_or(usize::MAX, |count| count as usize);
    MAX_PEER_CONNECTIONS.min(descriptors / 4)
}

/// Descriptors that this process may open; `None` if there is no limit.
fn descriptors() -> Option<u32> {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map(|count| u32::try_from(count).unwrap_or(u32::MAX))
}
