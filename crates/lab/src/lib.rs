//! A laboratory for runpin: stand-ins for the platform and for backend servers, callers, and
//! experiments that run a few real daemons with them on loopback.

mod backend;
mod callers;
mod dialer;
mod error;
mod experiment;
mod faults;
mod judge;
mod laboratory;
mod operator;
mod platform;
mod record;
mod report;
mod run;
mod tally;
mod zone_platform;

pub use backend::{BackendOptions, BackendSwitches, MockBackendServer};
pub use dialer::{Cut, Network, ZoneDialer};
pub use error::LabError;
pub use experiment::Experiment;
pub use platform::{MockPlatform, PlatformFaults};
pub use record::{Origins, RunRecord, Visit};
pub use report::Report;
pub use run::{RunOptions, run};
pub use users_platform::stand_in::serve as serve_platform;
