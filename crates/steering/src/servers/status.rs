//! What operators are shown of a backend server.

use super::phase::LeavingSignal;
use serde::Serialize;
use std::net::SocketAddr;

/// A backend server as this instance sees it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ServerStatus {
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Whether it gets work.
    pub state: ServerState,
    /// Why it gets less than it could; empty when live.
    pub why: &'static str,
    /// Our requests in flight there.
    pub in_flight: u32,
    /// Our requests that it may have in flight while warming.
    pub limit: Option<u32>,
    /// Mean time to the head of an answer, in microseconds, once measured.
    pub latency_us: Option<u64>,
    /// Failures since its last whole answer.
    pub failures_in_a_row: u32,
}

/// Whether a backend server gets work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// It gets work.
    Live,
    /// It gets work up to a growing limit.
    Warming,
    /// It failed and gets none, but for probes.
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
    /// Returns the sign in words.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Listed => "the platform listed it as leaving until now",
            Self::Refused => "it refused a connection",
            Self::ConnectionClose => "it answered with `Connection: close`",
        }
    }
}
