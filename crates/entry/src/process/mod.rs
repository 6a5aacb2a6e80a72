//! State and tasks that live as long as the process.

mod activation;
pub mod arm_counts;
pub mod clock;
pub(crate) mod conditions;
pub(crate) mod crash_detection;
pub mod daemon;
mod datagram;
mod fleet;
mod gossip;
mod gossip_topics;
pub(crate) mod held_failures;
pub mod instance;
pub mod listeners;
pub mod logging;
pub mod metrics;
pub mod probes;
pub mod quotas;
pub(crate) mod reach;
pub(crate) mod reach_checks;
mod readiness_log;
pub mod recent_decisions;
pub mod registrations;
pub(crate) mod relays;
pub mod reload;
mod resync;
pub mod retry_budgets;
pub(crate) mod rollouts;
pub mod service_selectors;
pub mod standstills;
pub mod stop;
mod store_sync;
pub(crate) mod suspects;
mod terms;
pub mod update_requests;
mod watch_handover;

pub use daemon::run;
