//! State and tasks that live as long as the process.

mod applying;
pub mod arms;
pub mod clock;
pub(crate) mod conditions;
pub mod daemon;
mod datagram;
pub(crate) mod ended;
mod fleet;
mod gossip;
pub mod instance;
pub mod listeners;
pub mod logging;
pub mod looks;
pub mod metrics;
pub mod questions;
pub mod quotas;
pub mod recent;
pub(crate) mod relays;
pub mod reload;
pub(crate) mod rollouts;
mod spreading;
pub mod stop;
pub(crate) mod suspicions;
mod waking;
mod watching;

pub use daemon::run;
