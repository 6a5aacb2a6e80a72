//! A new instance that asks around before it serves.

use super::{NotServing, Source};
use crate::Time;
use std::collections::BTreeSet;
use std::time::Duration;

/// Longest wait for peers once somebody answered.
const PEERS_WAIT: Duration = Duration::from_secs(2);

/// What the platform said.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Platform {
    Asked,
    Answered,
    OutOfReach,
}

/// Who has answered a new instance.
#[derive(Clone, Debug)]
pub(super) struct Joining {
    started: Time,
    platform: Platform,
    peers_asked: BTreeSet<Source>,
    peer_answered: bool,
}

impl Joining {
    pub(super) fn new(now: Time, peers: Vec<Source>) -> Self {
        Self {
            started: now,
            platform: Platform::Asked,
            peers_asked: peers.into_iter().collect(),
            peer_answered: false,
        }
    }

    pub(super) fn ended(&mut self, source: &Source, answered: bool) {
        match source {
            Source::Platform if answered => self.platform = Platform::Answered,
            Source::Platform if self.platform == Platform::Asked => {
                self.platform = Platform::OutOfReach;
            }
            Source::Platform => {}
            Source::Peer(_) => {
                self.peers_asked.remove(source);
                self.peer_answered |= answered;
            }
        }
    }

    /// Tells whether everybody who can be waited for has answered.
    pub(super) fn is_complete(&self, now: Time) -> bool {
        let peers_settled = self.peers_asked.is_empty() || now.since(self.started) >= PEERS_WAIT;
        let somebody = match self.platform {
            Platform::Asked => false,
            Platform::Answered => true,
            Platform::OutOfReach => self.peer_answered,
        };
        somebody && peers_settled
    }

    pub(super) fn not_serving(&self, loaded: u64) -> NotServing {
        match self.platform {
            Platform::Answered if loaded == 0 => NotServing::NothingAccepted,
            Platform::OutOfReach if self.peers_asked.is_empty() && loaded == 0 => {
                NotServing::NobodyInReach
            }
            _ => NotServing::Waiting,
        }
    }
}
