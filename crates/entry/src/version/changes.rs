//! Incremental updates from one instance to another.

use super::versioned::Versioned;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;
use steering::deployment::{
    BackendServer, BackendServers, Deployment, Evacuations, Policies, Rollouts,
};

/// Changes of backend servers that are kept: those of a minute in which a third of 3,000 are replaced.
const MAX_SERVER_CHANGES: usize = 2_048;

/// A change of one backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServerChange {
    /// Revision at or before which it happened.
    pub revision: u64,
    /// Identity of the backend server.
    pub id: Arc<str>,
    /// Its new record; none if it was removed.
    pub record: Option<BackendServer>,
}

/// The latest changes of backend servers, oldest first.
#[derive(Clone, Debug, Default)]
pub struct ServerChanges {
    /// Revision after which all changes are kept.
    after: u64,
    changes: VecDeque<ServerChange>,
}

impl ServerChanges {
    /// Records the differences between two lists, the second of which holds up to revision `revision`.
    pub fn add(&mut self, old: &BackendServers, new: &BackendServers, revision: u64) {
        if old.is_empty() {
            self.after = revision;
            return;
        }
        let removed = old.keys().filter(|id| !new.contains_key(*id));
        let removed = removed.map(|id| ServerChange { revision, id: id.clone(), record: None });
        let changed = new.iter().filter(|(id, record)| old.get(*id) != Some(record));
        let changed = changed.map(|(id, record)| ServerChange {
            revision,
            id: id.clone(),
            record: Some(record.clone()),
        });
        self.changes.extend(removed.chain(changed));
        while self.changes.len() > MAX_SERVER_CHANGES {
            self.after = self.changes.pop_front().map_or(self.after, |change| change.revision);
        }
    }

    /// The changes after a revision; none if some of them are no longer kept.
    pub(super) fn since(&self, revision: u64) -> Option<Vec<ServerChange>> {
        let is_complete = revision >= self.after && revision > 0;
        let since = || self.changes.iter().filter(|change| change.revision > revision).cloned();
        is_complete.then(|| since().collect())
    }
}

/// An update of the backend servers, full or incremental.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ServersUpdate {
    /// All backend servers.
    Full(Versioned<BackendServers>),
    /// The changes since the requested revision.
    Changes {
        /// Revision up to which the changes hold.
        as_of: u64,
        /// Revision of the last of them.
        changed_at: u64,
        /// The changes, oldest first.
        changes: Vec<ServerChange>,
    },
}

/// The state that changed since the revisions another instance has.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Update {
    /// The configuration, if it changed.
    pub configuration: Option<Versioned<Deployment>>,
    /// The backend servers, if any changed.
    pub servers: Option<ServersUpdate>,
    /// The evacuations, if they changed.
    pub evacuations: Option<Versioned<Evacuations>>,
    /// The policies, if they changed.
    pub policies: Option<Versioned<Policies>>,
    /// The roll-outs, if any changed.
    pub rollouts: Option<Versioned<Rollouts>>,
}
