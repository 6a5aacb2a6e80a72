//! Detection and quarantine of requests that crash backend servers, and the gossip about them.
//!
//! A request may crash every backend server that runs it.  Its target and body are the same each
//! time and at each instance, so it is identified by a [`Fingerprint`] of these, and by a second
//! one that includes its caller.  Each instance records the servers that crashed while they ran a
//! request, reports them to the other instances, and quarantines a request after
//! [`QUARANTINE_THRESHOLD`] crashes: no server gets it any more.  A harmless request may run by
//! chance where servers crash; it is recognized in three ways:
//!
//! - a server answers it now and then, which removes the crashes recorded before;
//! - another request has all of its crashes and more, which explains them;
//! - servers that fail for another reason fail together with some that did not run it.

mod correlation;
mod crash;
mod fingerprint;
mod gossip;
mod successes;
mod table;

pub use crash::{Crash, ServerHash};
pub use fingerprint::{Fingerprint, Fingerprints};
pub use table::{
    Changes, MAX_CRASHES, MAX_SUSPECTS, QUARANTINE_THRESHOLD, QuarantinedRequest, RETRY_AFTER,
    Suspects,
};
