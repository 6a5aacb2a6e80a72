//! Shares of what is capped: requests a second on links, and slots at sites.
//!
//! A share is spent before a request is dispatched, so that a figure that lags can cost throughput
//! but never break a cap.  Shares, of which each is at any time in one hand only, add up to the cap.

mod window;

pub use window::{SlidingWindow, WINDOW};
