//! Methods of choosing among the backend servers that have room.

mod latency_weighted;
mod least_in_flight;
mod power_of_two;

pub use latency_weighted::LatencyWeighted;
pub use least_in_flight::LeastInFlight;
pub use power_of_two::PowerOfTwo;

use std::net::SocketAddr;
use std::time::Duration;

/// A backend server that has room, as this instance measured it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Our requests in flight there; below `limit`.
    pub in_flight: u32,
    /// Our requests that may be in flight there.
    pub limit: u32,
    /// Mean answer time, once measured.
    pub latency: Option<Duration>,
}

/// Chooses among backend servers that have room.
pub trait Picker: Send {
    /// Returns the position of the one that gets the request; `None` when there are none.
    fn pick(&mut self, candidates: &[Candidate]) -> Option<usize>;
}
