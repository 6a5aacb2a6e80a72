//! Selection of the instances to gossip with.

use super::Membership;
use super::record::Record;
use crate::Time;
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

/// Reachable instances of the own availability zone that are called in each period.
const FANOUT: usize = 2;

/// Instances per availability zone that gossip with other availability zones.
const REPRESENTATIVES: usize = 2;

/// Most other availability zones that a representative calls in each period.
const MAX_CROSS_ZONE_FANOUT: usize = 4;

/// Dividend of the cross-zone fan-out, which is this number divided by the number of other
/// availability zones: with more than 6 of them, a representative calls fewer in each period.
const CROSS_ZONE_CALL_BUDGET: usize = 24;

/// An instance to call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name assigned by the platform.
    pub name: Arc<str>,
    /// Availability zone of the instance.
    pub availability_zone: Arc<str>,
    /// Address for peers.
    pub peer_address: SocketAddr,
}

impl<P> Membership<P> {
    /// Chooses the instances to call in this period.
    pub fn targets(&self, now: Time, rng: &mut impl Rng) -> Vec<Target> {
        let own_zone = self.own.availability_zone.clone();
        let up = |record: &Record<P>| !record.state(now).is_down();
        let mut targets = self.instances_in(&own_zone, up).choose_multiple(rng, FANOUT);
        targets.extend(self.instances_in(&own_zone, Record::has_unconfirmed_failure).choose(rng));
        let down =
            |record: &Record<P>| record.state(now).is_down() && !record.is_removed_and_dead(now);
        targets.extend(self.instances_in(&own_zone, down).choose(rng));
        if self.is_representative(now) {
            let zones = self.other_zones();
            let count = cross_zone_fanout(zones.len());
            let zones = zones.into_iter().choose_multiple(rng, count);
            targets.extend(zones.iter().filter_map(|zone| self.zone_target(now, zone, rng)));
        }
        targets.sort_by(|a, b| a.name.cmp(&b.name));
        targets.dedup_by(|a, b| a.name == b.name);
        targets
    }

    /// Chooses at most `limit` instances to notify of a planned stop: first those of the own
    /// availability zone, then one of each other availability zone.
    pub fn shutdown_targets(&self, now: Time, limit: usize, rng: &mut impl Rng) -> Vec<Target> {
        let own_zone = self.own.availability_zone.clone();
        let up = self.instances_in(&own_zone, |record| !record.state(now).is_down());
        let mut targets = up.choose_multiple(rng, limit);
        let zones = self.other_zones();
        targets.extend(zones.iter().filter_map(|zone| self.zone_target(now, zone, rng)));
        targets.truncate(limit);
        targets
    }

    /// Returns whether this instance gossips with other availability zones.
    pub fn is_representative(&self, now: Time) -> bool {
        let own_rank = rank(&self.own.name);
        let own_zone = self.own.availability_zone.clone();
        let up = self.instances_in(&own_zone, |record| !record.state(now).is_down());
        up.filter(|target| rank(&target.name) < own_rank).count() < REPRESENTATIVES
    }

    /// Returns the number of other reachable instances in the own availability zone.
    pub fn reachable_zone_peers(&self, now: Time) -> usize {
        let own_zone = self.own.availability_zone.clone();
        self.instances_in(&own_zone, |record| !record.state(now).is_down()).count()
    }

    /// Returns the availability zones of the known instances, except the own one.
    pub fn other_zones(&self) -> BTreeSet<Arc<str>> {
        let zones = self.records.values().map(|record| record.availability_zone.clone());
        zones.filter(|zone| *zone != self.own.availability_zone).collect()
    }

    /// Chooses a representative of another availability zone, or any instance of it that hasn't
    /// been removed if none is reachable.
    fn zone_target(&self, now: Time, zone: &str, rng: &mut impl Rng) -> Option<Target> {
        let mut up: Vec<Target> =
            self.instances_in(zone, |record| !record.state(now).is_down()).collect();
        up.sort_by_key(|target| rank(&target.name));
        let representative = up.into_iter().take(REPRESENTATIVES).choose(rng);
        representative.or_else(|| {
            self.instances_in(zone, |record| !record.is_removed_and_dead(now)).choose(rng)
        })
    }

    fn instances_in<'a>(
        &'a self,
        zone: &'a str,
        predicate: impl Fn(&Record<P>) -> bool + 'a,
    ) -> impl Iterator<Item = Target> + 'a {
        let matching = self
            .records
            .iter()
            .filter(move |(_, record)| *record.availability_zone == *zone && predicate(record));
        matching.filter_map(|(name, record)| {
            Some(Target {
                name: name.clone(),
                availability_zone: record.availability_zone.clone(),
                peer_address: record.peer_address()?,
            })
        })
    }
}

/// Returns the rank by which representatives are chosen, the same at every instance whose release
/// was built with the same standard library.
fn rank(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

fn cross_zone_fanout(other_zones: usize) -> usize {
    let shared = CROSS_ZONE_CALL_BUDGET / other_zones.max(1);
    shared.clamp(1, MAX_CROSS_ZONE_FANOUT)
}
