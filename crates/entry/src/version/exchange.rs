//! What one instance asks another for, and the answer: only what it lacks.

use super::{Knowledge, Known};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;
use steering::deployment::{BackendServer, BackendServers, Deployment, Evacuations};

/// Changes of backend servers that are remembered: those of a minute when a third of 3,000 are
/// replaced.
const REMEMBERED: usize = 2_048;

/// A change of one backend server; none if it is gone.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServerChange {
    /// Revision by which it had happened.
    pub by: u64,
    /// Identity of the backend server.
    pub id: Arc<str>,
    /// What it tells of itself now.
    pub record: Option<BackendServer>,
}

/// The last changes of backend servers, oldest first.
#[derive(Clone, Debug, Default)]
pub struct ServerChanges {
    /// Revision after which all changes are remembered.
    after: u64,
    changes: VecDeque<ServerChange>,
}

impl ServerChanges {
    /// Remembers what differs between two lists, the second known up to `by`.
    pub fn add(&mut self, old: &BackendServers, new: &BackendServers, by: u64) {
        if old.is_empty() {
            self.after = by;
            return;
        }
        let gone = old.keys().filter(|id| !new.contains_key(*id));
        let gone = gone.map(|id| ServerChange { by, id: id.clone(), record: None });
        let changed = new.iter().filter(|(id, record)| old.get(*id) != Some(record));
        let changed = changed.map(|(id, record)| ServerChange {
            by,
            id: id.clone(),
            record: Some(record.clone()),
        });
        self.changes.extend(gone.chain(changed));
        while self.changes.len() > REMEMBERED {
            self.after = self.changes.pop_front().map_or(self.after, |change| change.by);
        }
    }

    /// The changes after a revision; none if they are not all remembered.
    fn since(&self, revision: u64) -> Option<Vec<ServerChange>> {
        let remembered = revision >= self.after && revision > 0;
        let since = || self.changes.iter().filter(|change| change.by > revision).cloned();
        remembered.then(|| since().collect())
    }
}

/// The backend servers, whole or what changed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ServersUpdate {
    /// All of them.
    Whole(Known<BackendServers>),
    /// What changed since the revision that was asked for.
    Changes {
        /// Revision up to which the changes hold.
        as_of: u64,
        /// Revision of the last of them.
        changed_at: u64,
        /// The changes, oldest first.
        changes: Vec<ServerChange>,
    },
}

/// What another instance lacks.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Update {
    /// The configuration, if it changed.
    pub configuration: Option<Known<Deployment>>,
    /// The backend servers, if any changed.
    pub servers: Option<ServersUpdate>,
    /// The evacuations, if they changed.
    pub evacuations: Option<Known<Evacuations>>,
}

/// Revisions up to which an instance knows the three subjects, as a query.
pub fn query(as_of: [u64; 3]) -> String {
    format!("{},{},{}", as_of[0], as_of[1], as_of[2])
}

/// Reads [`query`]; anything else asks for everything.
pub fn read_query(text: Option<&str>) -> [u64; 3] {
    let mut numbers = text.unwrap_or_default().split(',').map(|number| number.parse().ok());
    std::array::from_fn(|_| numbers.next().flatten().unwrap_or(0))
}

impl Knowledge {
    /// What an instance lacks that knows the subjects up to these revisions.
    pub fn update_since(&self, as_of: [u64; 3]) -> Update {
        let servers = (self.servers.changed_at > as_of[1]).then(|| {
            match self.server_changes.since(as_of[1]) {
                Some(changes) => ServersUpdate::Changes {
                    as_of: self.servers.as_of,
                    changed_at: self.servers.changed_at,
                    changes,
                },
                None => ServersUpdate::Whole(self.servers.clone()),
            }
        });
        let configuration = &self.configuration;
        let evacuations = &self.evacuations;
        Update {
            configuration: (configuration.changed_at > as_of[0]).then(|| configuration.clone()),
            servers,
            evacuations: (evacuations.changed_at > as_of[2]).then(|| evacuations.clone()),
        }
    }
}
