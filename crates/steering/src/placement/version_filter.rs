//! Divides the requests of a service between versions during a rollout.

use super::rank::rank;
use super::roster::{Roster, accepts_new_requests};
use super::server::Server;
use super::service::ServiceState;
use crate::rollout::{Reach, VersionCapacity, VersionRule};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Salt of the order in which backend servers of a version join its trial.
const TRIAL_SALT: u64 = 0x0074_7269_616c;

/// Slots of the target version that join its trial, for each slot of other versions whose requests
/// it gets.  Its objects are cold at first, and each of its backend servers should still be as busy
/// as those of other versions.
const TRIAL_SLOT_RATIO: f64 = 1.5;

/// Selects the backend servers that a request may go to, by their version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum VersionFilter {
    /// Any version.
    All,
    /// Other versions than the target version.
    NonTarget,
    /// The target version, in the region where the request belongs.
    Target,
    /// The target version, in any region.
    TargetAnywhere,
    /// Other versions, if no other backend server may be used at all.
    NonTargetFallback,
    /// Backend servers of the target version that are part of its trial.
    InTrial,
}

impl VersionFilter {
    /// Returns whether a backend server may get the request.
    pub(super) fn admits(self, server: &Server) -> bool {
        match self {
            Self::All => true,
            Self::NonTarget | Self::NonTargetFallback => !server.is_target,
            Self::Target | Self::TargetAnywhere => server.is_target,
            Self::InTrial => server.is_target && server.is_in_trial,
        }
    }

    /// Returns whether the request goes to other versions before it leaves the region where it
    /// belongs.
    pub(super) fn prefers_home_region(self) -> bool {
        matches!(self, Self::Target | Self::InTrial)
    }
}

impl Roster {
    /// Sets the rollout rules by service; a service without one has no rollout.
    pub fn set_version_rules(&mut self, mut rules: BTreeMap<Arc<str>, VersionRule>) {
        for (name, state) in &mut self.services {
            let rule = rules.remove(name);
            // Marking visits all backend servers, and an unchanged rule is set again with each
            // step.
            if state.version_rule != rule {
                state.version_rule = rule;
                state.mark_versions();
            }
        }
    }

    /// Slots of the target version, and of all other versions.
    pub fn version_capacity(&self, service: &str) -> VersionCapacity {
        let servers = self.services.get(service).into_iter().flat_map(|state| &state.servers);
        let mut capacity = VersionCapacity::default();
        for server in servers.filter(|server| accepts_new_requests(server, &self.evacuated)) {
            let slots = if server.is_target { &mut capacity.target } else { &mut capacity.others };
            *slots += u64::from(server.record.slots);
        }
        capacity
    }

    /// Time to a warm response of a service in milliseconds, or `None` until there are enough
    /// responses.
    pub fn warm_response_ms(&self, service: &str) -> Option<f64> {
        self.services.get(service)?.warmth.response_ms()
    }
}

impl ServiceState {
    /// Marks the backend servers of the target version, and those that are part of its trial.
    pub(super) fn mark_versions(&mut self) {
        let Some(rule) = &self.version_rule else {
            self.servers.iter_mut().for_each(|server| server.is_target = false);
            return;
        };
        let mut capacity: BTreeMap<Arc<str>, f64> = BTreeMap::new();
        for server in &mut self.servers {
            server.is_target = server.record.version == rule.target;
            server.is_in_trial = false;
            let capacity = capacity.entry(server.region.clone()).or_default();
            if !server.is_target && !server.record.draining {
                *capacity += f64::from(server.record.slots) * rule.share() * TRIAL_SLOT_RATIO;
            }
        }
        let mut by_rank: Vec<&mut Server> =
            self.servers.iter_mut().filter(|server| server.is_target).collect();
        by_rank.sort_by_key(|server| rank(TRIAL_SALT, server.hash));
        for server in by_rank {
            let Some(slots_left) =
                capacity.get_mut(&server.region).filter(|slots_left| **slots_left > 0.0)
            else {
                continue;
            };
            *slots_left -= f64::from(server.record.slots);
            server.is_in_trial = true;
        }
    }

    /// The versions that may run the requests of an object, in order of preference.
    pub(super) fn version_filters(&self, key_hash: u64) -> [Option<VersionFilter>; 2] {
        let Some(rule) = &self.version_rule else { return [Some(VersionFilter::All), None] };
        let target = match rule.reach {
            Reach::All => {
                return [
                    Some(VersionFilter::TargetAnywhere),
                    Some(VersionFilter::NonTargetFallback),
                ];
            }
            Reach::Trial(_) => VersionFilter::InTrial,
            Reach::Spreading(_) | Reach::Nothing => VersionFilter::Target,
        };
        let filter = |is_target: &bool| if *is_target { target } else { VersionFilter::NonTarget };
        let mut order = rule.order(key_hash).iter().map(filter);
        [order.next(), order.next()]
    }

    /// Fraction of a backend server's slots that counts as capacity of the service.
    pub(super) fn version_share(&self, server: &Server) -> f64 {
        match &self.version_rule {
            None => 1.0,
            Some(rule) if rule.reach == Reach::Nothing => f64::from(u8::from(!server.is_target)),
            Some(rule) if server.is_target => rule.share(),
            Some(rule) => 1.0 - rule.share(),
        }
    }

    /// Returns whether a backend server's responses must not count for the service yet, because its
    /// version may be several times slower.
    pub(super) fn is_on_trial(&self, server: &Server) -> bool {
        let reach = self.version_rule.as_ref().map(|rule| rule.reach);
        server.is_target && matches!(reach, Some(Reach::Trial(_)))
    }
}
