//! How the memory and the descriptors of a machine are divided.

use crate::terms::MachineTerms;

/// Memory of a machine that states none, in MB: that of the smallest ones.
const DEFAULT_MEMORY_MB: f64 = 160.0;

/// Descriptors of a machine that states none: those of the smallest ones.
const DEFAULT_DESCRIPTORS: u32 = 4_100;

/// Descriptors reserved for files.
const FILE_DESCRIPTORS: u32 = 200;

/// Bytes in a MB of the terms.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// Fraction of the memory for what callers send and read; as much again is left for the state of the instance, and
/// some for what the allocator can't use.
const BUFFERS_FRACTION: f64 = 0.25;

/// Fraction of the memory for open connections.
const CONNECTIONS_FRACTION: f64 = 0.375;

/// Memory of an open connection in bytes, with a request head of the usual limit.
const CONNECTION_BYTES: f64 = 40.0 * 1024.0;

/// Fractions of the connections that the listeners may hold; the others are those to backend servers, other instances
/// and the store.
const CALLERS_FRACTION: f64 = 0.375;
const INSTANCES_FRACTION: f64 = 0.125;
const LOOK_UPS_FRACTION: f64 = 0.0625;
const MONITORING_FRACTION: f64 = 0.016;

/// Connections that each listener may hold, however small the machine is.
const MIN_CONNECTIONS: usize = 8;

/// Most connections that each listener holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenerLimits {
    /// From callers.
    pub callers: usize,
    /// From other instances.
    pub instances: usize,
    /// For look-ups.
    pub look_ups: usize,
    /// For readiness checks.
    pub readiness: usize,
    /// From operators and monitoring systems.
    pub operators: usize,
}

/// The division of a machine's memory and descriptors.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MachineLimits {
    /// Most open connections by listener.
    pub connections: ListenerLimits,
    /// Bytes of bodies that are held in memory at a time.
    pub buffer_bytes: usize,
}

impl From<&MachineTerms> for MachineLimits {
    fn from(terms: &MachineTerms) -> Self {
        let memory_bytes = terms.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * BYTES_PER_MB;
        let descriptors = terms.descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let sockets = f64::from(descriptors.saturating_sub(FILE_DESCRIPTORS));
        let total = sockets.min(memory_bytes * CONNECTIONS_FRACTION / CONNECTION_BYTES);
        let part = |fraction: f64| ((total * fraction) as usize).max(MIN_CONNECTIONS);
        Self {
            connections: ListenerLimits {
                callers: part(CALLERS_FRACTION),
                instances: part(INSTANCES_FRACTION),
                look_ups: part(LOOK_UPS_FRACTION),
                readiness: part(MONITORING_FRACTION),
                operators: part(MONITORING_FRACTION),
            },
            buffer_bytes: (memory_bytes * BUFFERS_FRACTION) as usize,
        }
    }
}
