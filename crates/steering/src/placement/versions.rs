//! Dividing the requests of a service between versions while one of them is brought in.

use super::rank::rank;
use super::roster::{Roster, may_work};
use super::server::Server;
use super::service::ServiceState;
use crate::rollout::{Reach, VersionCapacity, VersionRule};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Salt of the order in which backend servers of a version take part in its trial.
const TRIAL_SALT: u64 = 0x0074_7269_616c;

/// Slots of the version that take part in its trial, for each slot of other versions whose requests it
/// gets: its objects are cold at first, and each of its backend servers should still be as busy as
/// those of other versions.
const TRIAL_ROOM: f64 = 1.5;

/// Which backend servers a request may go to, by their version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Versions {
    /// Any.
    All,
    /// Those of other versions than the one that is brought in.
    Others,
    /// Those of the version that is brought in, where the request belongs.
    Target,
    /// Those of it anywhere.
    TargetAnywhere,
    /// Those of other versions, if no other backend server may be used at all.
    OthersAtLast,
    /// Those of them that take part in its trial.
    InTrial,
}

impl Versions {
    /// Tells whether a backend server may get the request.
    pub(super) fn admit(self, server: &Server) -> bool {
        match self {
            Self::All => true,
            Self::Others | Self::OthersAtLast => !server.is_target,
            Self::Target | Self::TargetAnywhere => server.is_target,
            Self::InTrial => server.is_target && server.is_in_trial,
        }
    }

    /// Tells whether the request rather goes to other versions than to another region.
    pub(super) fn stay_at_home(self) -> bool {
        matches!(self, Self::Target | Self::InTrial)
    }
}

impl Roster {
    /// Takes over how requests are divided between versions, by service.
    pub fn set_version_rules(&mut self, mut rules: BTreeMap<Arc<str>, VersionRule>) {
        for (name, state) in &mut self.services {
            let rule = rules.remove(name);
            // Marking walks all backend servers, and a rule that stands is set again with each step.
            if state.version_rule != rule {
                state.version_rule = rule;
                state.mark_versions();
            }
        }
    }

    /// The room of the version that is brought in, and of the others.
    pub fn version_room(&self, service: &str) -> VersionCapacity {
        let servers = self.services.get(service).into_iter().flat_map(|state| &state.servers);
        let mut room = VersionCapacity::default();
        for server in servers.filter(|server| may_work(server, &self.evacuated)) {
            let slots = if server.is_target { &mut room.target } else { &mut room.others };
            *slots += u64::from(server.record.slots);
        }
        room
    }

    /// Time to a warm answer of a service in milliseconds, once enough came to tell.
    pub fn warm_answer_ms(&self, service: &str) -> Option<f64> {
        self.services.get(service)?.warmth.answer_ms()
    }
}

impl ServiceState {
    /// Marks the backend servers of the version that is brought in, and those in its trial.
    pub(super) fn mark_versions(&mut self) {
        let Some(rule) = &self.version_rule else {
            self.servers.iter_mut().for_each(|server| server.is_target = false);
            return;
        };
        let mut room: BTreeMap<Arc<str>, f64> = BTreeMap::new();
        for server in &mut self.servers {
            server.is_target = server.record.version == rule.target;
            server.is_in_trial = false;
            let room = room.entry(server.region.clone()).or_default();
            if !server.is_target && !server.record.draining {
                *room += f64::from(server.record.slots) * rule.share() * TRIAL_ROOM;
            }
        }
        let mut by_rank: Vec<&mut Server> =
            self.servers.iter_mut().filter(|server| server.is_target).collect();
        by_rank.sort_by_key(|server| rank(TRIAL_SALT, server.hash));
        for server in by_rank {
            let Some(left) = room.get_mut(&server.region).filter(|left| **left > 0.0) else {
                continue;
            };
            *left -= f64::from(server.record.slots);
            server.is_in_trial = true;
        }
    }

    /// The versions that may run the requests of an object, first choice first.
    pub(super) fn versions_for(&self, key_hash: u64) -> [Option<Versions>; 2] {
        let Some(rule) = &self.version_rule else { return [Some(Versions::All), None] };
        let target = match rule.reach {
            Reach::All => return [Some(Versions::TargetAnywhere), Some(Versions::OthersAtLast)],
            Reach::Trial(_) => Versions::InTrial,
            Reach::Spreading(_) | Reach::Nothing => Versions::Target,
        };
        let versions = |is_target: &bool| if *is_target { target } else { Versions::Others };
        let mut order = rule.order(key_hash).iter().map(versions);
        [order.next(), order.next()]
    }

    /// The part of a backend server's room that counts as room of the service.
    pub(super) fn version_part(&self, server: &Server) -> f64 {
        match &self.version_rule {
            None => 1.0,
            Some(rule) if rule.reach == Reach::Nothing => f64::from(u8::from(!server.is_target)),
            Some(rule) if server.is_target => rule.share(),
            Some(rule) => 1.0 - rule.share(),
        }
    }

    /// Tells whether a backend server's answers say nothing of the service yet: its version may be
    /// several times slower.
    pub(super) fn is_on_trial(&self, server: &Server) -> bool {
        let reach = self.version_rule.as_ref().map(|rule| rule.reach);
        server.is_target && matches!(reach, Some(Reach::Trial(_)))
    }
}
