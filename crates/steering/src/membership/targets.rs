//! With whom an instance exchanges what it knows.

use super::Membership;
use super::record::Record;
use crate::Time;
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

/// Instances of our own availability zone that are called in each period.
const FAN_OUT: usize = 2;

/// Instances of each availability zone that exchange with other availability zones.
const REPRESENTATIVES: usize = 2;

/// Other availability zones that a representative calls in each period.
const MAX_FAN_OUT_BETWEEN: usize = 4;

/// Number of availability zones up to which the largest fan-out between them is used, times that
/// fan-out; beyond it, a representative calls fewer in each period.
const FAN_OUT_BETWEEN_ZONES: usize = 24;

/// An instance to call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name that the platform gave it.
    pub name: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Its address for peers.
    pub peer_address: SocketAddr,
}

impl<P> Membership<P> {
    /// Chooses the instances to call in this period.
    pub fn targets(&self, now: Time, rng: &mut impl Rng) -> Vec<Target> {
        let own_zone = self.own.availability_zone.clone();
        let up = |record: &Record<P>| !record.state(now).is_down();
        let mut targets = self.others_in(&own_zone, up).choose_multiple(rng, FAN_OUT);
        targets.extend(self.others_in(&own_zone, Record::is_doubtful).choose(rng));
        let down = |record: &Record<P>| record.state(now).is_down() && !record.is_gone(now);
        targets.extend(self.others_in(&own_zone, down).choose(rng));
        if self.is_representative(now) {
            let zones = self.other_zones();
            let count = fan_out_between(zones.len());
            let zones = zones.into_iter().choose_multiple(rng, count);
            targets.extend(zones.iter().filter_map(|zone| self.target_in(now, zone, rng)));
        }
        targets.sort_by(|a, b| a.name.cmp(&b.name));
        targets.dedup_by(|a, b| a.name == b.name);
        targets
    }

    /// Chooses the instances that are told of a planned stop: those of our own availability zone,
    /// as far as `limit` allows, and one of each other one.
    pub fn farewell_targets(&self, now: Time, limit: usize, rng: &mut impl Rng) -> Vec<Target> {
        let own_zone = self.own.availability_zone.clone();
        let up = self.others_in(&own_zone, |record| !record.state(now).is_down());
        let mut targets = up.choose_multiple(rng, limit);
        let zones = self.other_zones();
        targets.extend(zones.iter().filter_map(|zone| self.target_in(now, zone, rng)));
        targets.truncate(limit);
        targets
    }

    /// Tells whether this instance exchanges with other availability zones.
    pub fn is_representative(&self, now: Time) -> bool {
        let own_rank = rank(&self.own.name);
        let own_zone = self.own.availability_zone.clone();
        let up = self.others_in(&own_zone, |record| !record.state(now).is_down());
        up.filter(|target| rank(&target.name) < own_rank).count() < REPRESENTATIVES
    }

    /// Returns the number of other instances of our own availability zone that are within reach.
    pub fn peers_inside(&self, now: Time) -> usize {
        let own_zone = self.own.availability_zone.clone();
        self.others_in(&own_zone, |record| !record.state(now).is_down()).count()
    }

    /// Returns the availability zones of the instances known, but for our own.
    pub fn other_zones(&self) -> BTreeSet<Arc<str>> {
        let zones = self.records.values().map(|record| record.availability_zone.clone());
        zones.filter(|zone| *zone != self.own.availability_zone).collect()
    }

    /// Chooses a representative of another availability zone, one out of reach if all are.
    fn target_in(&self, now: Time, zone: &str, rng: &mut impl Rng) -> Option<Target> {
        let mut up: Vec<Target> =
            self.others_in(zone, |record| !record.state(now).is_down()).collect();
        up.sort_by_key(|target| rank(&target.name));
        let representative = up.into_iter().take(REPRESENTATIVES).choose(rng);
        representative.or_else(|| self.others_in(zone, |record| !record.is_gone(now)).choose(rng))
    }

    fn others_in<'a>(
        &'a self,
        zone: &'a str,
        wanted: impl Fn(&Record<P>) -> bool + 'a,
    ) -> impl Iterator<Item = Target> + 'a {
        let inside = self
            .records
            .iter()
            .filter(move |(_, record)| *record.availability_zone == *zone && wanted(record));
        inside.filter_map(|(name, record)| {
            Some(Target {
                name: name.clone(),
                availability_zone: record.availability_zone.clone(),
                peer_address: record.peer_address()?,
            })
        })
    }
}

/// Order by which representatives are chosen, the same at every instance.
fn rank(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

fn fan_out_between(other_zones: usize) -> usize {
    let shared = FAN_OUT_BETWEEN_ZONES / other_zones.max(1);
    shared.clamp(1, MAX_FAN_OUT_BETWEEN)
}
