//! Request handling, stage by stage:
//!
//! 1. `handle`: reads the head, finds the route and the customer, and sets the deadline;
//! 2. `caller_body`: buffers a small body, so that it can be sent again;
//! 3. `run`: sends the request to one backend server after another until one answers;
//! 4. `choose`: chooses the next backend server;
//! 5. `hedge`: sends the request, and a hedged request when the response is overdue;
//! 6. `server_connection`: takes a connection, for another region through an instance there, which
//!    handles the request in `relay`;
//! 7. `attempt`: sends the request to one backend server and classifies the response, or what the
//!    relay says, in `not_forwarded`;
//! 8. `forward_response`: forwards the response to the caller, whole or visibly truncated.

mod attempt;
mod attempt_failure;
mod attempt_guard;
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
mod held_response;
pub(crate) mod lookup;
mod not_forwarded;
pub(crate) mod operators;
mod outcome;
pub(crate) mod peer_requests;
mod pooled_body;
mod problem;
mod progress;
pub(crate) mod readiness;
mod relay;
mod rollouts;
mod run;
mod sent_flag;
mod server_connection;
pub mod server_stream;
mod unfinished;
mod unread;
mod update;
mod upload;

pub(crate) use caller::Caller;
pub use handle::handle;
