//! State that lives as long as one connection.

pub mod dialer;
pub mod listener;
pub mod pool;
