//! Gossip between instances about the conditions of backend servers.
//!
//! Few instances send to a backend server that announces a limit and so see it end; the others
//! learn that from them. An instance that gets a response contradicting the known state creates a
//! claim with the next number.

use super::condition::{Condition, ConditionChange, ConditionState, LimitClaim};
use super::incarnation::{Incarnation, ServerRef};
use super::request::RateLimitUsage;
use super::roster::Roster;
use super::server::{Server, incarnation_hash};
use crate::gossip::{self, Age};
use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Conditions of one backend server in a gossip message.
#[derive(Debug, Deserialize, Serialize)]
struct ConditionRecord {
    /// Hash of its incarnation.
    server: u64,
    limit: Option<LimitRecord>,
    is_leaving: bool,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct LimitRecord {
    claim: LimitClaim,
    /// Time since the latest response that is known to have confirmed the claim.
    age: Age,
}

impl ConditionRecord {
    /// Creates the record of a backend server; `None` if it has no conditions to share.
    fn new(server: &Server, now: Instant) -> Option<Self> {
        let claim = server.condition.claim(now);
        let limit =
            claim.map(|(claim, at)| LimitRecord { claim, age: now.duration_since(at).into() });
        let is_leaving = server.condition.is_leaving;
        let needs_gossip = is_leaving || limit.is_some();
        needs_gossip.then_some(Self { server: server.incarnation_hash, limit, is_leaving })
    }
}

impl LimitRecord {
    /// Merges the claim into `current`, unless its rate is invalid.
    fn apply(self, current: &mut ConditionState, now: Instant) -> Option<ConditionChange> {
        let is_valid = |per_s: f64| per_s.is_finite() && per_s >= 0.0;
        if !self.claim.per_s.is_none_or(is_valid) {
            return None;
        }
        // A response from before this machine's clock began is too old to count.
        let at = now.checked_sub(self.age.upper_bound())?;
        current.merge_claim(self.claim, at, now)
    }
}

impl Roster {
    /// Applies the conditions that a response of a backend server announces; returns the changes.
    pub fn record_condition<'a>(
        &mut self,
        server: impl Into<ServerRef<'a>>,
        announced: Condition,
        now: Instant,
    ) -> Vec<ConditionChange> {
        let server = server.into();
        let condition = match self.server_mut(server) {
            Some(server) => Some(&mut server.condition),
            None => self.unlisted_condition_mut(server),
        };
        condition.map_or_else(Vec::new, |condition| condition.record_response(announced, now))
    }

    /// Returns the conditions of an incarnation whose entry is gone for the moment.
    fn unlisted_condition_mut(&mut self, server: ServerRef<'_>) -> Option<&mut ConditionState> {
        let hash = incarnation_hash(server.id, server.started_ms?);
        self.services.values_mut().find_map(|state| state.unlisted_condition_mut(hash))
    }

    /// Returns the remaining backoff of a backend server; zero if it asked for none.
    pub fn backoff_left<'a>(&self, server: impl Into<ServerRef<'a>>, now: Instant) -> Duration {
        let server = self.server(server.into());
        server.map_or(Duration::ZERO, |server| server.condition.backoff_left(now))
    }

    /// Returns the backend servers of a service in the own availability zone that asked for a backoff, with
    /// what remains of it.
    pub fn backoffs_in_zone(
        &self,
        service: &str,
        now: Instant,
    ) -> impl Iterator<Item = (Incarnation, Duration)> {
        let servers = self.services.get(service).into_iter().flat_map(|state| &state.servers);
        let backing_off = servers.filter(move |server| {
            server.record.availability_zone == self.zone && server.condition.is_backing_off(now)
        });
        backing_off.map(move |server| (server.incarnation(), server.condition.backoff_left(now)))
    }

    /// Returns whether there are changes that other instances may not have yet; `None` if there are
    /// no conditions to share.
    pub fn has_recent_conditions(&self, now: Instant) -> Option<bool> {
        let mut relevant =
            self.all_servers().filter(|server| server.condition.needs_gossip(now)).peekable();
        relevant.peek()?;
        Some(relevant.any(|server| server.condition.is_recent(now)))
    }

    /// Encodes conditions for another instance; `None` if there are none to share.
    ///
    /// Recent changes come first. The others are in random order, so that each message has
    /// different ones.
    pub fn encode_conditions(&self, random: &mut impl Rng, now: Instant) -> Option<Vec<u8>> {
        let mut servers: Vec<&Server> =
            self.all_servers().filter(|server| server.condition.needs_gossip(now)).collect();
        servers.shuffle(random);
        servers.sort_by_key(|server| !server.condition.is_recent(now));
        gossip::encode_items(
            servers.into_iter().filter_map(|server| ConditionRecord::new(server, now)),
        )
    }

    /// Merges a gossip message about conditions; returns the changes, or `None` if the message
    /// can't be decoded.
    pub fn merge_conditions(
        &mut self,
        message: &[u8],
        now: Instant,
    ) -> Option<Vec<(Arc<str>, ConditionChange)>> {
        let received: Vec<ConditionRecord> = gossip::decode_items(message)?;
        let received: HashMap<u64, ConditionRecord> =
            received.into_iter().map(|record| (record.server, record)).collect();
        let mut changes = Vec::new();
        for server in self.services.values_mut().flat_map(|state| &mut state.servers) {
            let Some(received) = received.get(&server.incarnation_hash) else { continue };
            let current = &mut server.condition;
            let limit = received.limit.and_then(|limit| limit.apply(current, now));
            let leaving = if received.is_leaving { current.mark_leaving(now) } else { None };
            changes
                .extend(limit.into_iter().chain(leaving).map(|change| (server.id.clone(), change)));
        }
        Some(changes)
    }

    /// Returns the backend servers with conditions that restrict their traffic.
    pub fn conditions(&self, now: Instant) -> impl Iterator<Item = (&Arc<str>, &ConditionState)> {
        let restricted =
            self.all_servers().filter(move |server| server.condition.restricts_traffic(now));
        restricted.map(|server| (&server.id, &server.condition))
    }

    /// Removes the tokens that this instance saved for limited backend servers whose sender it is no
    /// longer.
    pub(super) fn drain_former_senders(&mut self, now: Instant) {
        let view = &self.region_view;
        for server in self.services.values_mut().flat_map(|state| &mut state.servers) {
            if server.condition.limit.is_some() {
                let role = view.role_for(server.hash_and_region());
                server.condition.drain_former_sender(role, now);
            }
        }
    }

    /// Takes the counts of requests that were sent to rate-limited backend servers.
    pub fn take_limited_requests(&mut self, now: Instant) -> Vec<RateLimitUsage> {
        let view = &self.region_view;
        let servers = self.services.values_mut().flat_map(|state| &mut state.servers);
        let limited = servers.filter_map(|server| {
            let role = view.role_for(server.hash_and_region());
            let limit = server.condition.limit.as_mut()?;
            Some(RateLimitUsage {
                id: server.id.clone(),
                per_s: limit.per_s,
                sent: std::mem::take(&mut limit.sent),
                reported_ago: now.duration_since(server.condition.limit_confirmed_at?),
                role,
                known_instances: view.size(),
            })
        });
        limited.filter(|limited| limited.sent > 0).collect()
    }

    fn all_servers(&self) -> impl Iterator<Item = &Server> {
        self.services.values().flat_map(|state| &state.servers)
    }
}
