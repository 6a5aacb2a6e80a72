//! Which instances there are, from heartbeats that they pass on to each other.
//!
//! Each instance counts its own heartbeats; the highest count of the latest start wins.  An
//! instance whose count no longer grows is taken for gone.

use super::rank::name_hash;
use crate::watchers;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time without a new heartbeat after which an instance is in no look-up any more: the time in
/// which a heartbeat reaches a hundred instances through others, twice.
pub const LOST_AFTER: Duration = Duration::from_millis(3800);

/// Time after which an instance that was lost is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// Callers' addresses in the answer to a look-up, at least, if there are as many instances.
const MIN_ADDRESSES: usize = 2;

/// Callers' addresses in the answer to a look-up, at most.
const MAX_ADDRESSES: usize = 64;

/// What an instance says that it does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerState {
    /// It does not know enough to serve.
    Joining,
    /// It serves callers.
    Serving,
    /// It finishes what it has.
    Leaving,
}

/// Requests a second that an instance takes for one service.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Demand {
    /// Those that may run in any region.
    pub movable_per_s: f32,
    /// Those that stay near because of their size.
    pub near_per_s: f32,
    /// Distinct objects that they concern, once that is known.
    pub keys: Option<u32>,
    /// Time to an answer that is warm and waited for nothing, in milliseconds, once one came.
    pub warm_ms: Option<f32>,
}

/// One instance, as it tells of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Peer {
    /// Its name.
    pub name: Arc<str>,
    /// Time of its start, in milliseconds since the epoch: a later start wins.
    pub started_ms: u64,
    /// Heartbeats since then.
    pub heartbeat: u64,
    /// What it does.
    pub state: PeerState,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for datagrams of other instances.
    pub gossip_address: SocketAddr,
    /// Address at which other instances ask it for what it knows.
    pub knowledge_address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Whether its last call to the platform's store was answered, or it had no cause for one.
    pub reaches_store: bool,
    /// Revisions at which what it knows changed last: configuration, backend servers, evacuations,
    /// policies.
    pub revisions: [u64; 4],
    /// Its demand, by the lower half of the hash of the service's name.
    pub demand: Vec<(u32, Demand)>,
}

impl Seen {
    fn heartbeat(&self) -> Heartbeat {
        let lower = |number: u64| (number & u64::from(u32::MAX)) as u32;
        Heartbeat {
            name_hash: lower(self.name_hash),
            started_ms: lower(self.peer.started_ms),
            heartbeat: lower(self.peer.heartbeat),
        }
    }
}

impl Peer {
    /// Tells whether it serves callers.
    pub fn is_serving(&self) -> bool {
        self.state == PeerState::Serving
    }
}

/// A heartbeat of an instance that the reader knows already.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Lower half of the hash of the instance's name.
    pub name_hash: u32,
    /// Lower half of the time of its start.
    pub started_ms: u32,
    /// Heartbeats since then.
    pub heartbeat: u32,
}

#[derive(Debug)]
struct Seen {
    peer: Peer,
    name_hash: u64,
    grew_at: Instant,
}

/// The instances known to this one, itself not among them.
#[derive(Debug, Default)]
pub struct Peers {
    seen: BTreeMap<Arc<str>, Seen>,
}

impl Peers {
    /// Takes over a description; returns whether it was news.
    pub fn heard(&mut self, peer: Peer, now: Instant) -> bool {
        let order = |peer: &Peer| (peer.started_ms, peer.heartbeat);
        match self.seen.get_mut(&peer.name) {
            Some(seen) if order(&peer) <= order(&seen.peer) => false,
            Some(seen) => {
                seen.peer = peer;
                seen.grew_at = now;
                true
            }
            None => {
                let name_hash = name_hash(&peer.name);
                self.seen.insert(peer.name.clone(), Seen { peer, name_hash, grew_at: now });
                true
            }
        }
    }

    /// The heartbeats of the living instances, newest first.
    pub fn heartbeats(&self, now: Instant) -> Vec<Heartbeat> {
        let mut seen: Vec<&Seen> = self.alive_seen(now).collect();
        seen.sort_by_key(|seen| std::cmp::Reverse(seen.grew_at));
        seen.into_iter().map(Seen::heartbeat).collect()
    }

    /// Takes over heartbeats; those of unknown instances or other starts tell nothing.
    pub fn heard_heartbeats(&mut self, heartbeats: &[Heartbeat], now: Instant) {
        let news: HashMap<(u32, u32), u32> =
            heartbeats.iter().map(|it| ((it.name_hash, it.started_ms), it.heartbeat)).collect();
        for seen in self.seen.values_mut() {
            let known = seen.heartbeat();
            if let Some(heartbeat) = news.get(&(known.name_hash, known.started_ms))
                && *heartbeat > known.heartbeat
            {
                seen.peer.heartbeat = u64::from(*heartbeat);
                seen.grew_at = now;
            }
        }
    }

    /// Forgets instances that have been lost for long.
    pub fn prune(&mut self, now: Instant) {
        self.seen.retain(|_, seen| now.duration_since(seen.grew_at) < FORGOTTEN_AFTER);
    }

    /// The instances whose heartbeats grow.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.alive_seen(now).map(|seen| &seen.peer)
    }

    /// The number of instances whose heartbeats grow.
    pub fn alive_count(&self, now: Instant) -> usize {
        self.alive_seen(now).count()
    }

    /// All instances that were heard of and not forgotten, also lost ones.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.seen.values().map(|seen| &seen.peer)
    }

    /// Tells whether `own` is one of the few instances of its region that follow the store; the
    /// others hear of changes from these.  One that does not reach the store is left out.
    pub fn is_watcher(&self, own: &Peer, now: Instant) -> bool {
        let of_region = self.alive(now).filter(|peer| peer.region == own.region);
        let reaching = of_region.filter(|peer| peer.reaches_store && peer.is_serving());
        watchers::is_watcher(&own.name, reaching.map(|peer| &*peer.name))
    }

    /// Hashes of the names of living instances in a region.
    pub fn hashes_in(&self, region: &str, now: Instant) -> Vec<u64> {
        self.alive_seen(now)
            .filter(|seen| *seen.peer.region == *region)
            .map(|seen| seen.name_hash)
            .collect()
    }

    fn alive_seen(&self, now: Instant) -> impl Iterator<Item = &Seen> {
        self.seen.values().filter(move |seen| now.duration_since(seen.grew_at) < LOST_AFTER)
    }

    /// Addresses for callers of an availability zone, `own` included if it serves.
    ///
    /// They are those of the zone, joined by others of the region, then of other regions, while
    /// there are too few.
    pub fn look_up(&self, own: &Peer, zone: &str, region: &str, now: Instant) -> Vec<SocketAddr> {
        let serving: Vec<&Peer> =
            self.alive(now).chain(std::iter::once(own)).filter(|peer| peer.is_serving()).collect();
        let distance = |peer: &Peer| match () {
            () if *peer.availability_zone == *zone => 0,
            () if *peer.region == *region => 1,
            () => 2,
        };
        let mut addresses: Vec<SocketAddr> = Vec::new();
        for tier in 0..=2 {
            let missing = match tier {
                0 => MAX_ADDRESSES,
                _ => MIN_ADDRESSES.saturating_sub(addresses.len()),
            };
            let of_tier = serving.iter().filter(|peer| distance(peer) == tier);
            addresses.extend(of_tier.map(|peer| peer.caller_address).take(missing));
        }
        addresses
    }
}
