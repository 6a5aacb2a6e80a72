//! The terms of a deployment: what its operator promised to callers and backend servers, and what
//! the platform and the machines provide.
//!
//! Terms differ between deployments.  A term that the settings do not contain is not agreed:
//! nothing is derived from it.

mod conflict;
mod description;
mod error;
mod raw;
pub mod timings;

pub use conflict::Conflict;
pub use description::{DerivedValue, TermDescription, TermsDescription};
pub use error::TermsError;
pub use raw::{RawMachineTerms, RawStoreTerms, RawTerms, RawToleranceTerms};
pub use timings::Timings;

use std::time::Duration;

/// Checked terms of a deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Terms {
    /// Time after the end of a disruption within which instances work as if there had been none.
    pub reconnection: Option<Duration>,
    /// Time within which a change is in force after its acknowledgement, by kind.
    pub propagation: Propagation,
    /// Time by which the bounds of [`Propagation`] grow while the store is unstable.
    pub outage_extension: Option<Duration>,
    /// Time after a backend server has seen a configuration after which no request may be handled
    /// by an older one.
    pub regression: Option<Duration>,
    /// Time within which requests are served again after a loss of all instances.
    pub recovery: Option<Duration>,
    /// Time after which the address of a backend server may belong to another service.
    pub address_reuse: Option<Duration>,
    /// Requests to cold backend servers.
    pub cold_start: ColdStartTerms,
    /// Largest fraction of a region's requests that may change their region within two seconds.
    pub max_region_shift: Option<f64>,
    /// Requests to versions that are rolled out.
    pub rollout: RolloutTerms,
    /// Faults that have to be tolerated at the same time.
    pub tolerance: Option<FaultTolerance>,
    /// The machine of the instance.
    pub machine: MachineTerms,
    /// The platform's store.
    pub store: StoreTerms,
}

/// Times within which changes are in force at all instances after the store has acknowledged them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Propagation {
    /// A configuration.
    pub configuration: Option<Duration>,
    /// A backend server that drains or is gone.
    pub server_drain: Option<Duration>,
    /// The evacuation of an availability zone.
    pub evacuation: Option<Duration>,
    /// The revocation of a customer's key.
    pub key_revocation: Option<Duration>,
}

/// Bound on the requests to a cold backend server within one second: its rate x `overage` +
/// `slack`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdStartTerms {
    /// Factor by which the rate may be exceeded.
    pub overage: Option<f64>,
    /// Requests in addition.
    pub slack: Option<f64>,
}

/// Bounds on the requests to a bad version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RolloutTerms {
    /// Fraction of the service's requests; absent where there are no rollouts.
    pub exposure_share: Option<f64>,
    /// Requests in addition to that fraction.
    pub exposure_slack: Option<f64>,
    /// Time within which no request is sent to a version after its bad responses have shown.
    pub rollback: Option<Duration>,
}

/// Numbers of instances, availability zones and regions that may be lost at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FaultTolerance {
    /// Instances.
    pub instances: u32,
    /// Availability zones.
    pub zones: u32,
    /// Regions.
    pub regions: u32,
}

/// Limits of the machine of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineTerms {
    /// Processor cores.
    pub cores: Option<f64>,
    /// Memory, in MB.
    pub memory_mb: Option<f64>,
    /// Open file descriptors.
    pub descriptors: Option<u32>,
    /// Bandwidth of the network link, in Mbit/s.
    pub link_mbps: Option<f64>,
}

/// Limits of the platform's store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoreTerms {
    /// Writes per second, of all instances together.
    pub writes_per_s: Option<f64>,
    /// Reads per second, of all instances together.
    pub reads_per_s: Option<f64>,
    /// Age up to which changes can be read.
    pub history: Option<Duration>,
    /// Largest value.
    pub max_value_bytes: Option<usize>,
    /// Interval at which an instance renews its registration.
    pub registration_interval: Option<Duration>,
}
