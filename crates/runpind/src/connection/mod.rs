//! What belongs to one connection.

pub mod dialer;
pub mod listener;
pub mod pool;
