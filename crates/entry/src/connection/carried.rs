//! What a connection has carried: a response is matched to its attempt by the connection and the identity
//! of the request together.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Request identities that a connection remembers. A response that is late by more exchanges has
/// been noticed before, as each of them would have got it in place of its own.
const MAX_REMEMBERED: usize = 64;

/// What a connection has carried so far.
///
/// A backend server may send a surplus response under the identity of the request that it belongs
/// to. A connection that has carried a request therefore never carries an attempt for the same one: the
/// surplus response would be taken for that of the later attempt.
#[derive(Debug)]
pub struct Carried {
    label: ConnectionLabel,
    /// Hashes of the identities of the last requests.
    requests: VecDeque<u64>,
    /// Whether it has carried a request without an identity.
    has_unidentified: bool,
}

/// Identifies a connection and one of its exchanges in log lines.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionLabel {
    /// Port of this side of the connection.
    pub local_port: u16,
    /// Number of the exchange, from 1 on.
    pub exchange: u64,
}

impl Carried {
    /// A new connection from a local port.
    pub(super) fn nothing(local_port: u16) -> Self {
        Self {
            label: ConnectionLabel { local_port, exchange: 0 },
            requests: VecDeque::new(),
            has_unidentified: false,
        }
    }

    /// Returns whether no response to what it has carried can be taken for one to this request.
    pub(super) fn permits(&self, request_id: Option<&str>) -> bool {
        match request_id {
            Some(id) => !self.requests.contains(&hash(id)),
            None => self.label.exchange == 0,
        }
    }

    /// Returns whether it may carry any other request: not after one without an identity, as
    /// nothing tells its responses apart.
    pub(super) fn permits_others(&self) -> bool {
        !self.has_unidentified
    }

    /// Records one more exchange.
    pub(super) fn begin_exchange(&mut self, request_id: Option<&str>) {
        self.label.exchange += 1;
        let Some(id) = request_id else {
            self.has_unidentified = true;
            return;
        };
        if self.requests.len() == MAX_REMEMBERED {
            self.requests.pop_front();
        }
        self.requests.push_back(hash(id));
    }

    /// Identifies the latest exchange.
    pub(crate) fn label(&self) -> ConnectionLabel {
        self.label
    }
}

fn hash(request_id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    hasher.finish()
}
