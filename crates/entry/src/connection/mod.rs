//! Connections: opening, accepting and pooling them.

pub mod carried;
pub mod dial;
pub(crate) mod encoding;
pub mod handshake;
mod head_timer;
pub(crate) mod http_client;
pub(crate) mod listener;
pub(crate) mod open_connections;
pub mod pool;
pub mod read_ahead;
pub mod read_budget;
pub(crate) mod relay_protocol;
pub mod remainder;
pub mod response;
pub(crate) mod unframed;
