//! Steering policies: small programs from the view of an availability zone to weights of sites.

mod built_in;
mod check;
mod engine;
mod error;
mod program;
mod view;

pub use built_in::nearest;
pub use check::{CheckedView, check_policy};
pub use error::PolicyError;
pub use program::Program;
pub use view::{SiteView, View};
