//! What lives as long as the process.

pub mod daemon;
mod gossip;
pub mod instance;
pub mod logging;
pub mod metrics;
mod stop;
mod watching;

pub use daemon::run;
pub use instance::Instance;
