//! Test bed for runpin: mock platform, mock backend servers, simulated callers, and experiments that
//! run a few real daemons with them on loopback.

mod callers;
mod checker;
mod dialer;
mod error;
mod experiment;
mod faults;
mod mock_backend_server;
mod mock_platform;
mod operator;
mod record;
mod report;
mod run;
mod tally;
mod testbed;
mod zone_platform;

pub use dialer::{Network, Partition, ZoneDialer};
pub use error::LabError;
pub use experiment::Experiment;
pub use mock_backend_server::{BackendBehavior, BackendOptions, MockBackendServer};
pub use mock_platform::{MockPlatform, PlatformFaults};
pub use record::{ReceivedRequest, RunRecord, SourceZones};
pub use report::Report;
pub use run::{RunOptions, run};
pub use users_platform::mock_server::serve as serve_platform;
