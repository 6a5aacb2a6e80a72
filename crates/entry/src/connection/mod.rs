//! What lives as long as a connection.

pub(crate) mod ask;
pub mod dial;
pub(crate) mod encoding;
mod head_timer;
pub(crate) mod listener;
pub mod pool;
pub(crate) mod relaying;
