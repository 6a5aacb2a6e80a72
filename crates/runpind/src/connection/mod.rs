//! State that lives as long as one connection.

pub mod dialer;
pub mod listener;
mod open_connections;
pub mod pool;
