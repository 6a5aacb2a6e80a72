//! What operators are shown of the configuration, and the way into the actor for others.

use super::{ConfigurationActor, Heard};
use kameo::actor::ActorRef;
use parking_lot::Mutex;
use platform::ObjectStore;
use std::fmt;
use std::sync::{Arc, OnceLock};
use steering::Time;
use steering::adoption::{NotServing, Source};
use tokio::time::Instant;

/// The configuration's state as others in the process see it.
#[derive(Default)]
pub struct Distribution {
    actor: OnceLock<ActorRef<ConfigurationActor>>,
    status: Mutex<Status>,
    heard_at: Mutex<Option<Instant>>,
    proposals: OnceLock<Arc<dyn ObjectStore>>,
}

/// What operators are shown.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Why nothing is in force, if so.
    pub not_serving: Option<NotServing>,
    /// Highest number heard of, in force or not.
    pub highest_heard: u64,
    /// Where the version in force came from.
    pub source: Option<Source>,
    /// The last version or source that failed.
    pub last_failure: Option<Failure>,
}

/// A failure to adopt a version.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Kind of the failure, as in metrics.
    pub kind: &'static str,
    /// Number of the version at fault, if one is.
    pub number: Option<u64>,
    /// What happened, for people.
    pub message: Arc<str>,
    /// When it happened, on this machine's clock.
    pub at: Time,
}

impl Distribution {
    /// Takes note that an instance says it has the version with `number` in force.
    pub fn heard(&self, instance: &Arc<str>, number: u64) {
        self.set_heard_now();
        let heard = Heard { source: Source::Peer(instance.clone()), number };
        // A full mailbox means that much was heard already; it will be heard again.
        if let Some(actor) = self.actor.get() {
            let _ = actor.tell(heard).try_send();
        }
    }

    /// Sets the platform as proposals reach it, with a budget of their own.
    pub fn set_store_for_proposals(&self, store: Arc<dyn ObjectStore>) {
        // It is set once, when the daemon starts.
        let _ = self.proposals.set(store);
    }

    /// Returns the platform as proposals reach it; `None` where they have no budget of their own.
    pub fn store_for_proposals(&self) -> Option<Arc<dyn ObjectStore>> {
        self.proposals.get().cloned()
    }

    /// Returns what operators are shown.
    pub fn status(&self) -> Status {
        self.status.lock().clone()
    }

    /// Returns when somebody last showed which version it has; the process's start if nobody did.
    pub(super) fn heard_at(&self) -> Instant {
        *self.heard_at.lock().get_or_insert_with(Instant::now)
    }

    pub(super) fn set_heard_now(&self) {
        *self.heard_at.lock() = Some(Instant::now());
    }

    pub(super) fn set_actor(&self, actor: ActorRef<ConfigurationActor>) {
        // There is one actor in a process.
        let _ = self.actor.set(actor);
    }

    pub(super) fn update(&self, change: impl FnOnce(&mut Status)) {
        change(&mut self.status.lock());
    }
}

impl Status {
    /// Explains why the instance does not serve.
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
