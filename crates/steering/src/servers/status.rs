//! State of backend servers, for operators.

use super::phase::LeavingSignal;
use serde::Serialize;
use std::net::SocketAddr;

/// A backend server from the view of this instance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ServerStatus {
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Whether it gets requests.
    pub state: ServerState,
    /// Why it gets less than its full share; empty when live.
    pub why: &'static str,
    /// Requests of this instance in flight there.
    pub in_flight: u32,
    /// Limit on requests of this instance in flight while warming.
    pub limit: Option<u32>,
    /// Mean time to the response head, in microseconds, once measured.
    pub latency_us: Option<u64>,
    /// Failures since its last successful response.
    pub failures_in_a_row: u32,
}

/// Whether a backend server gets requests.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// It gets requests.
    Live,
    /// It gets requests up to a growing limit.
    Warming,
    /// It failed and gets only probes.
    Ejected,
    /// It is leaving and gets none.
    Leaving,
}

impl ServerState {
    /// Every state, in the order of metrics.
    pub const ALL: [ServerState; 4] = [Self::Live, Self::Warming, Self::Ejected, Self::Leaving];

    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Warming => "warming",
            Self::Ejected => "ejected",
            Self::Leaving => "leaving",
        }
    }
}

impl LeavingSignal {
    /// Returns a description of the signal.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Listed => "the platform listed it as leaving until now",
            Self::Refused => "it refused a connection",
            Self::ConnectionClose => "it answered with `Connection: close`",
        }
    }
}
