//! An instance's replica of the objects in the store.

use super::changes::{ServerChanges, ServersUpdate, Update};
use super::versioned::Versioned;
use crate::platform_api::{ObjectState, SUBJECTS, StoreResponse, Subject};
use std::sync::Arc;
use steering::deployment::{
    BackendServer, BackendServers, Deployment, Evacuations, Policies, Rollouts,
};

/// An instance's replica of the objects in the store: the state of the deployment.
#[derive(Clone, Debug, Default)]
pub struct StoreReplica {
    /// The configuration in force.
    pub configuration: Versioned<Deployment>,
    /// The backend servers.
    pub servers: Versioned<BackendServers>,
    /// The evacuated availability zones.
    pub evacuations: Versioned<Evacuations>,
    /// The steering policies.
    pub policies: Versioned<Policies>,
    /// The roll-outs of service versions.
    pub rollouts: Versioned<Rollouts>,
    /// The latest changes of backend servers, for incremental updates of other instances.
    server_changes: ServerChanges,
}

impl StoreReplica {
    /// Revision of the store up to which the state of a subject holds.
    pub fn as_of(&self, subject: Subject) -> u64 {
        match subject {
            Subject::Configuration => self.configuration.as_of,
            Subject::BackendServers => self.servers.as_of,
            Subject::Evacuations => self.evacuations.as_of,
            Subject::Policies => self.policies.as_of,
            Subject::Rollouts => self.rollouts.as_of,
        }
    }

    /// Revisions at which the subjects last changed.
    pub fn revisions(&self) -> [u64; SUBJECTS] {
        [
            self.configuration.changed_at,
            self.servers.changed_at,
            self.evacuations.changed_at,
            self.policies.changed_at,
            self.rollouts.changed_at,
        ]
    }

    /// Returns whether the replica suffices to serve callers.
    pub fn is_complete(&self) -> bool {
        self.configuration.content.version > 0 && self.servers.as_of > 0
    }

    /// Replaces a subject by a full list of it; returns whether its content changed.
    pub fn apply_list(&mut self, subject: Subject, listed: StoreResponse) -> bool {
        if listed.as_of < self.as_of(subject) {
            return false;
        }
        let empty = match subject {
            Subject::Configuration => Content::Configuration(None),
            Subject::BackendServers => Content::Servers(BackendServers::new()),
            Subject::Evacuations => Content::Evacuations(Evacuations::new()),
            Subject::Policies => Content::Policies(None),
            Subject::Rollouts => Content::Rollouts(Rollouts::new()),
        };
        let changed_at = listed.changed_at;
        self.set_content(apply_states(empty, listed.states), listed.as_of, changed_at)
    }

    /// Applies changes of a subject after [`StoreReplica::as_of`]; returns whether its content changed.
    pub fn apply_changes(&mut self, subject: Subject, changes: StoreResponse) -> bool {
        if changes.as_of < self.as_of(subject) {
            return false;
        }
        let content = match subject {
            Subject::Configuration => Content::Configuration(None),
            Subject::BackendServers => Content::Servers((*self.servers.content).clone()),
            Subject::Evacuations => Content::Evacuations((*self.evacuations.content).clone()),
            Subject::Policies => Content::Policies(None),
            Subject::Rollouts => Content::Rollouts((*self.rollouts.content).clone()),
        };
        let as_of = changes.as_of;
        self.set_content(apply_states(content, changes.states), as_of, as_of)
    }

    /// Revisions of the store up to which the state of the subjects holds.
    pub fn all_as_of(&self) -> [u64; SUBJECTS] {
        Subject::ALL.map(|subject| self.as_of(subject))
    }

    /// Applies the newer parts of an update from another instance; returns which subjects changed.
    pub fn apply_update(&mut self, update: Update) -> [bool; SUBJECTS] {
        let mut changed = [false; SUBJECTS];
        if let Some(Versioned { as_of, changed_at, content }) = update.configuration
            && as_of > self.configuration.as_of
        {
            let content = Content::Configuration(Some((*content).clone()));
            changed[0] = self.set_content(content, as_of, changed_at);
        }
        let servers = match update.servers {
            Some(ServersUpdate::Full(Versioned { as_of, changed_at, content })) => {
                Some(((*content).clone(), as_of, changed_at))
            }
            Some(ServersUpdate::Changes { as_of, changed_at, changes }) => {
                let mut servers = (*self.servers.content).clone();
                for change in changes {
                    match change.record {
                        Some(record) => upsert_server(&mut servers, change.id, record),
                        None => remove_server(&mut servers, &change.id, change.revision),
                    };
                }
                Some((servers, as_of, changed_at))
            }
            None => None,
        };
        if let Some((servers, as_of, changed_at)) = servers
            && as_of > self.servers.as_of
        {
            changed[1] = self.set_content(Content::Servers(servers), as_of, changed_at);
        }
        if let Some(Versioned { as_of, changed_at, content }) = update.evacuations
            && as_of > self.evacuations.as_of
        {
            let content = Content::Evacuations((*content).clone());
            changed[2] = self.set_content(content, as_of, changed_at);
        }
        if let Some(Versioned { as_of, changed_at, content }) = update.policies
            && as_of > self.policies.as_of
        {
            let content = Content::Policies(Some((*content).clone()));
            changed[3] = self.set_content(content, as_of, changed_at);
        }
        if let Some(Versioned { as_of, changed_at, content }) = update.rollouts
            && as_of > self.rollouts.as_of
        {
            let content = Content::Rollouts((*content).clone());
            changed[4] = self.set_content(content, as_of, changed_at);
        }
        changed
    }

    /// The update for an instance that has the subjects up to these revisions.
    pub fn update_since(&self, as_of: [u64; SUBJECTS]) -> Update {
        let servers = (self.servers.changed_at > as_of[1]).then(|| {
            match self.server_changes.since(as_of[1]) {
                Some(changes) => ServersUpdate::Changes {
                    as_of: self.servers.as_of,
                    changed_at: self.servers.changed_at,
                    changes,
                },
                None => ServersUpdate::Full(self.servers.clone()),
            }
        });
        Update {
            configuration: self.configuration.newer_than(as_of[0]),
            servers,
            evacuations: self.evacuations.newer_than(as_of[2]),
            policies: self.policies.newer_than(as_of[3]),
            rollouts: self.rollouts.newer_than(as_of[4]),
        }
    }

    fn set_content(&mut self, content: Content, as_of: u64, changed_at: u64) -> bool {
        match content {
            Content::Configuration(Some(deployment))
                if deployment.version > self.configuration.content.version =>
            {
                self.configuration.replace(deployment, as_of, changed_at);
                true
            }
            Content::Configuration(_) => {
                self.configuration.as_of = as_of;
                false
            }
            Content::Servers(servers) => {
                let changed = servers != *self.servers.content;
                if changed {
                    // Later pages of a list may contain changes after its revision, which are not
                    // recorded again when a watch reports them.
                    let revision = as_of.max(changed_at);
                    self.server_changes.add(&self.servers.content, &servers, revision);
                    self.servers.replace(servers, as_of, changed_at);
                }
                self.servers.as_of = as_of;
                changed
            }
            Content::Evacuations(evacuations) => {
                let changed = evacuations != *self.evacuations.content;
                if changed {
                    self.evacuations.replace(evacuations, as_of, changed_at);
                }
                self.evacuations.as_of = as_of;
                changed
            }
            Content::Policies(Some(policies)) if policies != *self.policies.content => {
                self.policies.replace(policies, as_of, changed_at);
                true
            }
            Content::Policies(_) => {
                self.policies.as_of = as_of;
                false
            }
            Content::Rollouts(rollouts) => {
                let changed = rollouts != *self.rollouts.content;
                if changed {
                    self.rollouts.replace(rollouts, as_of, changed_at);
                }
                self.rollouts.as_of = as_of;
                changed
            }
        }
    }
}

enum Content {
    Configuration(Option<Deployment>),
    Servers(BackendServers),
    Evacuations(Evacuations),
    /// None if there was no readable event about them.
    Policies(Option<Policies>),
    Rollouts(Rollouts),
}

/// Inserts or replaces a backend server's record unless the present one has a later revision.
///
/// A watch after a list reports changes again that later pages of the list already contained: without
/// the check an earlier incarnation would be used again until the remaining changes arrive.
fn upsert_server(servers: &mut BackendServers, id: Arc<str>, server: BackendServer) {
    if servers.get(&id).is_none_or(|present| present.revision <= server.revision) {
        servers.insert(id, server);
    }
}

/// Removes a backend server unless its present record has a later revision.
fn remove_server(servers: &mut BackendServers, id: &str, revision: u64) {
    if servers.get(id).is_some_and(|present| present.revision <= revision) {
        servers.remove(id);
    }
}

fn apply_states(content: Content, states: Vec<ObjectState>) -> Content {
    states.into_iter().fold(content, |mut content, object_state| {
        match (&mut content, object_state) {
            (Content::Configuration(newest), ObjectState::Configuration(deployment))
                if newest.as_ref().is_none_or(|newest| newest.version < deployment.version) =>
            {
                *newest = Some(deployment);
            }
            (Content::Servers(servers), ObjectState::BackendServer(id, server)) => {
                upsert_server(servers, id, server);
            }
            (Content::Servers(servers), ObjectState::BackendServerRemoved { id, revision }) => {
                remove_server(servers, &id, revision);
            }
            (Content::Evacuations(zones), ObjectState::Evacuated(zone)) => {
                zones.insert(zone);
            }
            (Content::Evacuations(zones), ObjectState::EvacuationEnded(zone)) => {
                zones.remove(&zone);
            }
            (Content::Rollouts(rollouts), ObjectState::Rollout(rollout)) => {
                rollouts.insert(rollout.order.service.clone(), rollout);
            }
            (Content::Rollouts(rollouts), ObjectState::RolloutRemoved(service)) => {
                rollouts.remove(&service);
            }
            (Content::Policies(newest), ObjectState::Policies(policies)) => {
                *newest = Some(policies)
            }
            (Content::Policies(newest), ObjectState::PoliciesRemoved) => {
                *newest = Some(Policies::default())
            }
            _ => {}
        }
        content
    })
}
