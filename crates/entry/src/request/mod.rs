//! The way of a request, stage by stage:
//!
//! 1. `answer`: which route it has, what its head tells, and what it may take;
//! 2. `caller_body`: a small body is read whole, so that it can be sent again;
//! 3. `run`: one backend server after another, until one answers;
//! 4. `choose`: which one is next;
//! 5. `race`: the offer, and a second one when its answer is overdue;
//! 6. `way`: the connection for it, in another region through an instance there, which is at `relay`;
//! 7. `attempt`: sending it to one backend server and judging the answer;
//! 8. `pass_on`: the answer's way back, whole or visibly cut.

pub mod answer;
mod attempt;
pub mod body;
mod caller;
pub mod caller_body;
mod choose;
mod exchange;
pub(crate) mod for_peers;
mod headers;
pub(crate) mod health;
mod kept_body;
mod knowledge;
pub(crate) mod look_up;
pub(crate) mod operators;
mod pass_on;
mod problem;
mod progress;
mod race;
pub(crate) mod readiness;
mod relay;
mod rollouts;
mod run;
mod way;
mod within;

pub use answer::answer;
pub(crate) use caller::Caller;
