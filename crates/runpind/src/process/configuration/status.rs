//! Configuration status for operators, and the handle through which the process reaches the actor.

use super::{ConfigurationActor, VersionReport};
use kameo::actor::ActorRef;
use parking_lot::Mutex;
use platform::ObjectStore;
use std::fmt;
use std::sync::{Arc, OnceLock};
use steering::Time;
use steering::adoption::{NotServing, Source};
use tokio::time::Instant;

/// Shared state of the configuration's distribution.
#[derive(Default)]
pub struct ConfigurationState {
    actor: OnceLock<ActorRef<ConfigurationActor>>,
    status: Mutex<Status>,
    last_report_at: Mutex<Option<Instant>>,
    proposals: OnceLock<Arc<dyn ObjectStore>>,
}

/// Configuration status for operators.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Reason why no version is active; `None` if one is.
    pub not_serving: Option<NotServing>,
    /// Highest version number reported by any source.
    pub highest_reported: u64,
    /// Source of the last version loaded, which is active or about to become so.
    pub source: Option<Source>,
    /// The last failure of a version or source.
    pub last_failure: Option<Failure>,
}

/// A failure to adopt a version.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Kind of the failure, as in the metrics.
    pub kind: &'static str,
    /// Number of the rejected version, if the failure is specific to a version.
    pub number: Option<u64>,
    /// Error message.
    pub message: Arc<str>,
    /// Time of the failure on this machine's clock.
    pub at: Time,
}

impl ConfigurationState {
    /// Records that an instance reports `number` as its active version.
    pub fn record_peer_version(&self, instance: &Arc<str>, number: u64) {
        self.record_report_time();
        let report = VersionReport { source: Source::Peer(instance.clone()), number };
        // If the mailbox is full, the report is dropped; reports are repeated periodically.
        if let Some(actor) = self.actor.get() {
            let _ = actor.tell(report).try_send();
        }
    }

    /// Sets the object store for proposals, which has its own call budget.
    pub fn set_store_for_proposals(&self, store: Arc<dyn ObjectStore>) {
        // Set only once, at the start of the daemon.
        let _ = self.proposals.set(store);
    }

    /// Returns the object store for proposals; `None` if they have no separate call budget.
    pub fn store_for_proposals(&self) -> Option<Arc<dyn ObjectStore>> {
        self.proposals.get().cloned()
    }

    /// Returns the status for operators.
    pub fn status(&self) -> Status {
        self.status.lock().clone()
    }

    /// Returns the time of the last report of a version from any source; the time of the first call
    /// if there is none.
    pub(super) fn last_report_at(&self) -> Instant {
        *self.last_report_at.lock().get_or_insert_with(Instant::now)
    }

    pub(super) fn record_report_time(&self) {
        *self.last_report_at.lock() = Some(Instant::now());
    }

    pub(super) fn set_actor(&self, actor: ActorRef<ConfigurationActor>) {
        // A process has only one actor.
        let _ = self.actor.set(actor);
    }

    pub(super) fn update(&self, change: impl FnOnce(&mut Status)) {
        change(&mut self.status.lock());
    }
}

impl Status {
    /// Returns a message that explains why the instance does not serve.
    pub fn explain(&self) -> String {
        let reason = match self.not_serving {
            None | Some(NotServing::Waiting) => {
                "no configuration known yet: asking the platform and other instances"
            }
            Some(NotServing::NothingAccepted) => {
                "no configuration known yet: none was accepted in the platform"
            }
            Some(NotServing::NoSourceReachable) => {
                "no configuration known yet: neither the platform nor any instance is in reach"
            }
            Some(NotServing::LoadFailed) => "the configuration does not load",
        };
        match &self.last_failure {
            Some(failure) => format!("{reason} (last failure: {failure})"),
            None => reason.to_owned(),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.kind, self.message)
    }
}
