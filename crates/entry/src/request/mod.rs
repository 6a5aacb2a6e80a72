//! The way of a request, stage by stage:
//!
//! 1. `answer`: which route it has, what its head tells, and what it may take;
//! 2. `caller_body`: a small body is read whole, so that it can be sent again;
//! 3. `run`: one backend server after another, until one answers;
//! 4. `attempt`: sending it to one backend server and judging the answer;
//! 5. `pass_on`: the answer's way back, whole or visibly cut.

pub mod answer;
mod attempt;
pub mod body;
pub mod caller_body;
mod exchange;
mod headers;
pub(crate) mod health;
pub(crate) mod knowledge;
pub(crate) mod look_up;
pub(crate) mod operators;
mod pass_on;
mod problem;
pub(crate) mod readiness;
mod run;

pub use answer::answer;
