//! A laboratory for runpin: stand-ins for the platform and for backend servers, callers, and
//! experiments that run a few real daemons with them on loopback.

mod backend;
mod callers;
mod dialer;
mod error;
mod experiment;
mod platform;
mod report;
mod run;

pub use backend::{BackendOptions, BackendStandIn, Run, RunRecord};
pub use dialer::{Network, ZoneDialer};
pub use error::LabError;
pub use experiment::Experiment;
pub use platform::{PlatformStandIn, PlatformSwitches, serve as serve_platform};
pub use report::Report;
pub use run::{RunOptions, run};
