//! Crowds of callers that don't behave, at real processes with lowered limits: the process lives, its memory and
//! open descriptors stay within its limits, and ordinary requests are answered while the crowd stays.
//!
//! Nothing here depends on how fast the machine is.

#![allow(clippy::print_stdout, reason = "prints what a process held, beside its bound")]

mod by_flags;
mod crowd;
mod entry;
mod measure;
mod streams;

#[path = "../soak/process.rs"]
#[allow(dead_code, reason = "shared with the soak test")]
mod process;

#[path = "../../../../platform/tests/common"]
#[allow(dead_code, reason = "shared with the tests of the platform")]
mod common {
    pub(crate) mod caller;
    pub(crate) mod objects;
    pub(crate) mod server;
    pub(crate) mod store;
}

#[path = "../common/mod.rs"]
mod daemon;

use std::future::Future;
use std::sync::{Mutex, PoisonError};
use tokio::task::LocalSet;

/// Crowds are large, so only one of them is played at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Runs a test apart from the others.
fn run<T>(test: impl Future<Output = T>) -> T {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    measure::raise_descriptor_limit();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime can be built"), test)
}
