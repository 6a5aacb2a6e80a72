//! Steering policies: small programs that compute weights of sites from an availability zone's
//! view.

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
