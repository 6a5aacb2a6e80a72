//! Start of an instance, which asks several sources before it serves.

use super::{NotServing, Source};
use crate::Time;
use std::collections::BTreeSet;
use std::time::Duration;

/// Longest wait for peers after the start, if the platform or another peer has answered.
const MAX_PEER_WAIT: Duration = Duration::from_secs(2);

/// Response of the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Platform {
    Pending,
    Answered,
    Unreachable,
}

/// Responses that a new instance has received.
#[derive(Clone, Debug)]
pub(super) struct Joining {
    started_at: Time,
    platform: Platform,
    pending_peers: BTreeSet<Source>,
    peer_answered: bool,
}

impl Joining {
    pub(super) fn new(now: Time, peers: Vec<Source>) -> Self {
        Self {
            started_at: now,
            platform: Platform::Pending,
            pending_peers: peers.into_iter().collect(),
            peer_answered: false,
        }
    }

    pub(super) fn record_end(&mut self, source: &Source, answered: bool) {
        match source {
            Source::Platform if answered => self.platform = Platform::Answered,
            Source::Platform if self.platform == Platform::Pending => {
                self.platform = Platform::Unreachable;
            }
            Source::Platform => {}
            Source::Peer(_) => {
                self.pending_peers.remove(source);
                self.peer_answered |= answered;
            }
        }
    }

    /// Returns whether enough sources have answered: the platform or, if it is unreachable, a peer,
    /// and all peers unless their wait is over.
    pub(super) fn is_complete(&self, now: Time) -> bool {
        let peers_done =
            self.pending_peers.is_empty() || now.since(self.started_at) >= MAX_PEER_WAIT;
        let has_answer = match self.platform {
            Platform::Pending => false,
            Platform::Answered => true,
            Platform::Unreachable => self.peer_answered,
        };
        has_answer && peers_done
    }

    pub(super) fn not_serving_reason(&self, loaded: u64) -> NotServing {
        match self.platform {
            Platform::Answered if loaded == 0 => NotServing::NothingAccepted,
            Platform::Unreachable if self.pending_peers.is_empty() && loaded == 0 => {
                NotServing::NoSourceReachable
            }
            _ => NotServing::Waiting,
        }
    }
}
