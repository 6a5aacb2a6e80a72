//! Selection policies for backend servers with free slots.

mod latency_weighted;
mod least_in_flight;
mod power_of_two;

pub use latency_weighted::LatencyWeighted;
pub use least_in_flight::LeastInFlight;
pub use power_of_two::PowerOfTwo;

use std::net::SocketAddr;
use std::time::Duration;

/// A backend server with a free slot, and this instance's measurements of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Requests of this instance in flight there; below `limit`.
    pub in_flight: u32,
    /// Limit on requests of this instance in flight there.
    pub limit: u32,
    /// Mean latency, once measured.
    pub latency: Option<Duration>,
}

/// Chooses among backend servers with free slots.
pub trait Picker: Send {
    /// Returns the index of the chosen candidate; `None` when there are none.
    fn pick(&mut self, candidates: &[Candidate]) -> Option<usize>;
}
