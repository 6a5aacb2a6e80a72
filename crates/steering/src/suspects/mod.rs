//! Requests under which backend servers end, and what instances tell each other of them.
//!
//! A request may end every backend server that begins to run it.  Its target and body are the same
//! each time it comes, at whichever instance, so a [`Fingerprint`] of these stands for it, and another
//! one of these and its caller.
//! Each instance records the servers that ended under a request, tells others, and sends a request
//! to no server any more under which [`HELD_FROM`] ended.  A sound request is there by chance when
//! servers end; three things tell it apart:
//!
//! - it is answered, now and then, by some server, which wipes out what was recorded before;
//! - what ended servers beside it ended others too, which explains each end that was recorded;
//! - servers that die for a reason of their own die together with some that did not have it.

mod correlation;
mod crash;
mod fingerprint;
mod gossip;
mod successes;
mod table;

pub use crash::{End, ServerHash};
pub use fingerprint::{Fingerprint, Fingerprints};
pub use table::{Changes, HELD_FROM, Held, MOST_ENDS, MOST_SUSPECTS, RETRY_AFTER, Suspects};
