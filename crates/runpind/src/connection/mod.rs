//! State that lives as long as one connection.

mod counted_body;
pub mod dialer;
pub mod listener;
mod open_connections;
pub mod pool;
