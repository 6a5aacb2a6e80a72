//! Choice among the known instances: for callers, to relay requests to another region, and to stand
//! in for an instance that does not reach the backend servers.

use super::incarnation::Incarnation;
use super::peer_update::StartId;
use super::peers::{Peer, PeerEntry, Peers};
use super::rank::{name_hash, rank};
use std::net::SocketAddr;
use std::time::Instant;

/// Minimum number of caller addresses in the response to a look-up, if there are as many instances.
const MIN_ADDRESSES: usize = 2;

/// Maximum number of caller addresses in the response to a look-up.
const MAX_ADDRESSES: usize = 64;

/// Maximum number of instances that stand in for one: enough to spread its requests, few enough to
/// keep connections to.
const MAX_STAND_INS: usize = 8;

/// Identifies the start of an instance that a description is of.
pub fn start_id(peer: &Peer) -> StartId {
    StartId::new(name_hash(&peer.name), peer.started_ms)
}

impl Peers {
    /// The instance of another availability zone that relays requests for `own`, with its
    /// incarnation.  It stays the same while it serves, and different instances use different
    /// relays.
    pub fn relay_to(
        &self,
        own: &str,
        zone: &str,
        now: Instant,
        is_allowed: impl Fn(&Incarnation) -> bool,
    ) -> Option<(Incarnation, &Peer)> {
        let own_hash = name_hash(own);
        let of_zone = self.serving_entries(now).filter(|entry| {
            *entry.peer.availability_zone == *zone && !self.is_entry_cut_off(entry, None, now)
        });
        let (entry, start) = of_zone
            .map(|entry| (entry, entry.incarnation()))
            .filter(|(_, start)| is_allowed(start))
            .min_by_key(|(entry, _)| rank(own_hash, entry.name_hash))?;
        Some((start, &entry.peer))
    }

    /// Instances that reach the backend servers of a service, to which `own` may pass its requests
    /// while it does not.
    ///
    /// They are those of its availability zone, unless fewer than the instances there that are cut
    /// off; then those of its region, and without any there, those of other regions.  Different
    /// instances get different ones if there are many.
    pub fn stand_ins(
        &self,
        own: &Peer,
        service: u32,
        now: Instant,
        is_allowed: impl Fn(&Incarnation) -> bool,
    ) -> Vec<(Incarnation, &Peer)> {
        let is_in_zone = |peer: &Peer| peer.availability_zone == own.availability_zone;
        let cut_off_in_zone = 1 + self
            .serving_entries(now)
            .filter(|entry| is_in_zone(&entry.peer))
            .filter(|entry| self.is_entry_cut_off(entry, Some(service), now))
            .count();
        let mut reaching: Vec<(&PeerEntry, Incarnation)> = self
            .serving_entries(now)
            .filter(|entry| !self.is_entry_cut_off(entry, Some(service), now))
            .map(|entry| (entry, entry.incarnation()))
            .filter(|(_, start)| is_allowed(start))
            .collect();
        let in_zone = reaching.iter().filter(|(entry, _)| is_in_zone(&entry.peer)).count();
        let is_in_region = |peer: &Peer| peer.region == own.region;
        if in_zone >= cut_off_in_zone {
            reaching.retain(|(entry, _)| is_in_zone(&entry.peer));
        } else if reaching.iter().any(|(entry, _)| is_in_region(&entry.peer)) {
            reaching.retain(|(entry, _)| is_in_region(&entry.peer));
        }
        let own_hash = name_hash(&own.name);
        reaching.sort_by_key(|(entry, _)| rank(own_hash, entry.name_hash));
        reaching.truncate(MAX_STAND_INS);
        reaching.into_iter().map(|(entry, start)| (start, &entry.peer)).collect()
    }

    /// Addresses for callers of an availability zone, including that of `own` if it serves.
    ///
    /// They are those of the zone that reach the backend servers, and others of the region if fewer
    /// than the ones that don't.  While there are too few, those are added that don't, then those of
    /// other regions.
    pub fn look_up(&self, own: &Peer, zone: &str, region: &str, now: Instant) -> Vec<SocketAddr> {
        let own_is_cut_off = self.reach.is_cut_off(start_id(own), None, now);
        let others = self
            .serving_entries(now)
            .map(|entry| (&entry.peer, self.is_entry_cut_off(entry, None, now)));
        let own = Some((own, own_is_cut_off)).filter(|(own, _)| own.is_serving());
        let serving: Vec<(&Peer, bool)> = others.chain(own).collect();
        let in_zone = |is_cut_off: bool| {
            let of_zone = serving.iter().filter(|(peer, _)| *peer.availability_zone == *zone);
            of_zone.filter(|(_, other)| *other == is_cut_off).count()
        };
        let is_outnumbered = in_zone(false) < in_zone(true);
        let order = |peer: &Peer, is_cut_off: bool| {
            let distance = match () {
                () if *peer.availability_zone == *zone => 0,
                () if *peer.region == *region => 1,
                () => 4,
            };
            if is_cut_off && distance < 4 { distance + 2 } else { distance }
        };
        let mut addresses: Vec<SocketAddr> = Vec::new();
        for tier in 0..=4 {
            let wanted = match tier {
                0 => MAX_ADDRESSES,
                1 if is_outnumbered => MAX_ADDRESSES - addresses.len(),
                // All of a zone that is cut off as a whole share its callers.
                2 if addresses.is_empty() => MAX_ADDRESSES,
                _ => MIN_ADDRESSES.saturating_sub(addresses.len()),
            };
            let of_tier = serving.iter().filter(|(peer, cut_off)| order(peer, *cut_off) == tier);
            addresses.extend(of_tier.map(|(peer, _)| peer.caller_address).take(wanted));
        }
        addresses
    }

    /// Hashes of the names of the live instances of a region that reach the backend servers.
    pub fn alive_name_hashes(&self, region: &str, now: Instant) -> Vec<u64> {
        self.alive_entries(now)
            .filter(|entry| *entry.peer.region == *region)
            .filter(|entry| !self.is_entry_cut_off(entry, None, now))
            .map(|entry| entry.name_hash)
            .collect()
    }

    fn serving_entries(&self, now: Instant) -> impl Iterator<Item = &PeerEntry> {
        self.alive_entries(now).filter(|entry| entry.peer.is_serving())
    }

    fn is_entry_cut_off(&self, entry: &PeerEntry, service: Option<u32>, now: Instant) -> bool {
        self.reach.is_cut_off(entry.id, service, now)
    }
}
