//! What an instance grants callers of its machine: connections, memory for what they send and read, and which
//! connection to end when that is used up.

mod limits;
mod memory;
mod waiting;

pub use limits::{ListenerLimits, MachineLimits};
pub use memory::{MemoryPool, Reservation};
pub use waiting::{Waiting, longest_waiting};
