//! Routing of each service's requests to sites: arms, tables of weights, and the choice for a
//! request.

mod arms;
mod builder;
mod choice;
mod counters;
mod explain;
mod input;
mod proposals;
mod rates;
mod table;
mod views;

pub use arms::{ArmEntry, Arms, BUILT_IN_ARM};
pub use builder::{BuildOutput, Builder};
pub use choice::{RequestRng, Weights};
pub use counters::{Counters, FlowCounters, FlowCounts};
pub use explain::{ArmExplanation, Explanation, Origin, SiteExplanation, Status};
pub use input::Input;
pub use proposals::Programs;
pub use table::{Flow, Table};
