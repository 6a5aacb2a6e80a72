//! What an instance knows of the instances of its region, and its role towards a backend server.

use super::rank::rank;
use super::role::{Role, Turn};
use super::senders::SENDERS_PER_SERVER;
use std::sync::Arc;

/// The instances of an instance's own region, as it knows them.
#[derive(Debug)]
pub(super) struct RegionView {
    region: Arc<str>,
    /// Name hash of this instance.
    own: u64,
    /// Name hashes of the live instances that reach the backend servers, this one included if it
    /// does; empty while no other is known.
    live: Vec<u64>,
    /// Number of live instances, this one included, whether they reach the backend servers or not.
    live_count: usize,
    /// Whether this instance reaches the backend servers.
    own_reaches: bool,
    /// Number of instances that were live recently, this one included.
    recently_live: usize,
}

impl RegionView {
    /// The view of an instance with the name hash `own` that knows no other.
    pub(super) fn new(region: Arc<str>, own: u64) -> Self {
        Self { region, own, live: Vec::new(), live_count: 1, own_reaches: true, recently_live: 1 }
    }

    /// Applies the name hashes of the other live instances that reach the backend servers, the number
    /// of others that are live or were so recently, and whether this one reaches the backend servers.
    pub(super) fn update(
        &mut self,
        other_reaching: Vec<u64>,
        other_live_count: usize,
        other_recently_live: usize,
        own_reaches: bool,
    ) {
        self.live = other_reaching;
        if own_reaches && other_live_count > 0 {
            self.live.push(self.own);
        }
        self.live_count = other_live_count + 1;
        self.recently_live = other_recently_live + 1;
        self.own_reaches = own_reaches;
    }

    /// Returns whether no other instance is known to be live.
    pub(super) fn is_alone(&self) -> bool {
        self.live_count == 1
    }

    /// Returns the number of live instances, this one included.
    pub(super) fn size(&self) -> usize {
        self.live_count
    }

    /// Returns the fraction of the recently live instances that still are.
    ///
    /// Parts of a region that lost each other each have senders; if each uses this fraction of a
    /// rate, all of them together don't exceed it.
    pub(super) fn live_fraction(&self) -> f64 {
        self.live.len().max(1) as f64 / self.recently_live.max(self.size()) as f64
    }

    /// Returns the role of this instance towards a backend server, by its hash and region.
    pub(super) fn role_for(&self, (server, server_region): (u64, &str)) -> Role {
        let is_remote = *server_region != *self.region;
        if self.is_alone() {
            return if is_remote { Role::Remote(Turn::ONLY) } else { Role::SoleInstance };
        }
        if !self.own_reaches {
            return if is_remote { Role::Remote(Turn::NEVER) } else { Role::Standby(Turn::NEVER) };
        }
        let own_rank = rank(server, self.own);
        let position = self.live.iter().filter(|other| rank(server, **other) < own_rank).count();
        let turn = Turn { position, instances: self.live.len() };
        match () {
            () if is_remote => Role::Remote(turn),
            () if position < SENDERS_PER_SERVER => Role::Sender,
            () => Role::Standby(turn),
        }
    }
}
