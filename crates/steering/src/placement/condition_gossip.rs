//! What backend servers say of their condition, as instances tell each other of it.
//!
//! Few instances send to a backend server that names a limit, and so hear when it ends; the others learn
//! it from them.  Whoever gets an answer that contradicts what is known makes a new claim with the next number.

use super::condition::{Condition, ConditionChange, KnownCondition, LimitClaim};
use super::incarnation::ServerRef;
use super::request::RateLimitUsage;
use super::roster::Roster;
use super::server::Server;
use crate::gossip::{self, Age};
use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

/// One backend server, as an instance tells of it.
#[derive(Debug, Deserialize, Serialize)]
struct Told {
    /// Hash of its incarnation.
    server: u64,
    limit: Option<ToldLimit>,
    is_leaving: bool,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct ToldLimit {
    claim: LimitClaim,
    /// Time since the latest answer that is known to have said so.
    age: Age,
}

impl Told {
    /// What others have to know of a backend server; none if there is nothing.
    fn new(server: &Server, now: Instant) -> Option<Self> {
        let claim = server.condition.claim(now);
        let limit =
            claim.map(|(claim, at)| ToldLimit { claim, age: now.duration_since(at).into() });
        let is_leaving = server.condition.is_leaving;
        let matters = is_leaving || limit.is_some();
        matters.then_some(Self { server: server.incarnation_hash, limit, is_leaving })
    }
}

impl ToldLimit {
    /// Takes it over, if it can be one.
    fn apply(self, known: &mut KnownCondition, now: Instant) -> Option<ConditionChange> {
        let is_valid = |per_s: f64| per_s.is_finite() && per_s >= 0.0;
        if !self.claim.per_s.is_none_or(is_valid) {
            return None;
        }
        // What is older than the clock of this machine is too old to count.
        let at = now.checked_sub(self.age.upper_bound())?;
        known.limit_claimed(self.claim, at, now)
    }
}

impl Roster {
    /// Takes over what an answer of a backend server says of its condition; returns what changed.
    pub fn record_condition<'a>(
        &mut self,
        server: impl Into<ServerRef<'a>>,
        said: Condition,
        now: Instant,
    ) -> Vec<ConditionChange> {
        let server = self.server_mut(server.into());
        server.map_or_else(Vec::new, |server| server.condition.told(said, now))
    }

    /// Tells whether something became known of conditions that others may not know yet; none if there
    /// is nothing that they have to know.
    pub fn has_fresh_conditions(&self, now: Instant) -> Option<bool> {
        let mut that_matter = self.all_servers().filter(|it| it.condition.matters(now)).peekable();
        that_matter.peek()?;
        Some(that_matter.any(|it| it.condition.is_fresh(now)))
    }

    /// What this instance tells another one of conditions; none if there is nothing.
    ///
    /// What is new goes first; of the rest, others each time.
    pub fn encode_conditions(&self, random: &mut impl Rng, now: Instant) -> Option<Vec<u8>> {
        let mut servers: Vec<&Server> =
            self.all_servers().filter(|it| it.condition.matters(now)).collect();
        servers.shuffle(random);
        servers.sort_by_key(|server| !server.condition.is_fresh(now));
        gossip::encode_items(servers.into_iter().filter_map(|server| Told::new(server, now)))
    }

    /// Takes over what another instance tells of conditions; returns what changed, none if it can't be
    /// read.
    pub fn merge_conditions(
        &mut self,
        message: &[u8],
        now: Instant,
    ) -> Option<Vec<(Arc<str>, ConditionChange)>> {
        let told: Vec<Told> = gossip::decode_items(message)?;
        let told: HashMap<u64, Told> = told.into_iter().map(|it| (it.server, it)).collect();
        let mut changes = Vec::new();
        for server in self.services.values_mut().flat_map(|state| &mut state.servers) {
            let Some(told) = told.get(&server.incarnation_hash) else { continue };
            let known = &mut server.condition;
            let limit = told.limit.and_then(|limit| limit.apply(known, now));
            let leaves = if told.is_leaving { known.leaves(now) } else { None };
            changes.extend(limit.into_iter().chain(leaves).map(|it| (server.id.clone(), it)));
        }
        Some(changes)
    }

    /// The backend servers whose condition binds what they get, with what they said.
    pub fn conditions(&self, now: Instant) -> impl Iterator<Item = (&Arc<str>, &KnownCondition)> {
        let bound = self.all_servers().filter(move |server| server.condition.binds(now));
        bound.map(|server| (&server.id, &server.condition))
    }

    /// Takes what was sent to backend servers that name a limit.
    pub fn take_limited_requests(&mut self, now: Instant) -> Vec<RateLimitUsage> {
        let servers = self.services.values_mut().flat_map(|state| &mut state.servers);
        let limited = servers.filter_map(|server| {
            let limit = server.condition.limit.as_mut()?;
            Some(RateLimitUsage {
                id: server.id.clone(),
                per_s: limit.per_s,
                sent: std::mem::take(&mut limit.sent),
                reported_ago: now.duration_since(server.condition.limit_told_at?),
            })
        });
        limited.filter(|limited| limited.sent > 0).collect()
    }

    fn all_servers(&self) -> impl Iterator<Item = &Server> {
        self.services.values().flat_map(|state| &state.servers)
    }
}
