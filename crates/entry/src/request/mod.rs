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

mod attempt;
pub mod body;
mod caller;
pub mod caller_body;
mod choose;
mod deadline;
mod exchange;
mod forward_response;
pub mod handle;
mod headers;
pub(crate) mod health_check;
mod hedge;
mod knowledge;
pub(crate) mod lookup;
pub(crate) mod operators;
pub(crate) mod peer_requests;
mod pooled_body;
mod problem;
mod progress;
pub(crate) mod readiness;
mod relay;
mod rollouts;
mod run;
mod server_connection;

pub(crate) use caller::Caller;
pub use handle::answer;
