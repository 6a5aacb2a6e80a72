//! Content of the gossip datagrams that instances send to each other, and how a receiver applies
//! them.

use super::peer_update::{Age, Heartbeat, PeerUpdate};
use super::peers::{Freshness, Peer, Peers};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of instances that one round goes to.
const FANOUT: usize = 6;

/// Number of those in other availability zones, if the own zone has enough for the rest.
///
/// Traffic between zones and regions is charged, traffic within a zone is not.
const OTHER_ZONES_FANOUT: usize = 2;

/// Largest datagram in bytes, small enough for every link to carry it unfragmented.
pub const DATAGRAM_BYTES: usize = 1400;

/// Bytes of a datagram reserved for heartbeats of others, so that no live instance counts as
/// lost.  At 6 to 9 bytes each, about 65 fit.
const RESERVED_HEARTBEAT_BYTES: usize = 480;

/// Bytes of a datagram reserved for silence reports, if there are any.
const RESERVED_SILENCE_BYTES: usize = 280;

/// Fraction of the own zone's instances whose heartbeats go first to receivers in the zone.  With
/// four datagrams of a round staying in the zone, its instances receive each other's heartbeats
/// more than once per round.
const OWN_ZONE_FRACTION: f64 = 0.4;

/// Largest fraction of the bytes for heartbeats that these take.
const MAX_OWN_ZONE_BYTES_FRACTION: f64 = 0.75;

/// Datagrams of a round that describe instances in full even to a receiver that knows about as
/// many.
const FULL_DATAGRAMS_PER_ROUND: usize = 1;

/// Fraction of the known instances that a receiver may be missing before it gets full descriptions:
/// instances that were just lost or found are not known to all alike.
const TOLERATED_MISSING_FRACTION: f64 = 0.05;

/// Lead in heartbeats that updates of the receiver's own region get in the order, so that its
/// instances decide from the same figures.
const OWN_REGION_LEAD: u64 = 1;

#[derive(Deserialize, Serialize)]
struct Datagram {
    own: Peer,
    /// Heartbeats of others, so that an instance that does not send to the receiver directly still
    /// counts as alive.
    heartbeats: Vec<Heartbeat>,
    /// Last heartbeats of instances reported as silent.
    silences: Vec<Heartbeat>,
    /// Full descriptions of a few others, for instances that don't know them.
    others: Vec<Peer>,
    /// Updates of other descriptions, as many as fit.
    updates: Vec<PeerUpdate>,
    /// Times since the heartbeats of `heartbeats`, `others` and `updates` were sent, in this order;
    /// empty in a fleet small enough not to need them.
    ages: Vec<Age>,
}

impl Datagram {
    /// A datagram that describes only the sender.
    fn new(own: Peer) -> Self {
        Self {
            own,
            heartbeats: Vec::new(),
            silences: Vec::new(),
            others: Vec::new(),
            updates: Vec::new(),
            ages: Vec::new(),
        }
    }
}

/// Which targets a round prefers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetOrder {
    /// All instances, most of them in the own zone.
    Random,
    /// Instances of the own region, to announce a change in the store.  The datagrams are short, so
    /// they may be sent often.
    OwnRegionFirst,
}

/// Builds the datagrams of one round; `seeds` are addresses that may be unknown to the peer table.
pub fn round_datagrams(
    peers: &Peers,
    own: &Peer,
    seeds: &[SocketAddr],
    order: TargetOrder,
    random: &mut impl Rng,
    now: Instant,
) -> Vec<(SocketAddr, Vec<u8>)> {
    let known = peers.all().map(|peer| (peer.gossip_address, Some(peer)));
    let mut targets: Vec<(SocketAddr, Option<&Peer>)> = known.collect();
    let addresses: HashSet<SocketAddr> = targets.iter().map(|(address, _)| *address).collect();
    let unknown = |seed: &&SocketAddr| !addresses.contains(*seed) && **seed != own.gossip_address;
    targets.extend(seeds.iter().filter(unknown).map(|seed| (*seed, None)));
    targets.shuffle(random);
    match order {
        TargetOrder::Random => {
            let is_in_own_zone = |(_, peer): &(SocketAddr, Option<&Peer>)| {
                peer.is_some_and(|peer| peer.availability_zone == own.availability_zone)
            };
            let (own_zone, mut other_zones): (Vec<_>, Vec<_>) =
                targets.into_iter().partition(is_in_own_zone);
            let own_zone_count =
                own_zone.len().min(FANOUT - OTHER_ZONES_FANOUT.min(other_zones.len()));
            other_zones.truncate(FANOUT - own_zone_count);
            targets = own_zone.into_iter().take(own_zone_count).chain(other_zones).collect();
            // The first datagram of a round carries more, so it must not always stay in the zone.
            targets.shuffle(random);
        }
        TargetOrder::OwnRegionFirst => {
            let is_in_own_region =
                |peer: &Option<&Peer>| peer.is_some_and(|peer| peer.region == own.region);
            targets.sort_by_key(|(_, peer)| !is_in_own_region(peer));
            targets.truncate(FANOUT);
        }
    }
    let relayed = match order {
        TargetOrder::Random => RelayedState::new(peers, now),
        TargetOrder::OwnRegionFirst => RelayedState::default(),
    };
    let numbered = targets.into_iter().zip(0..);
    numbered
        .map(|((address, target), number)| (address, relayed.datagram(own, target, number, random)))
        .collect()
}

/// The datagram that introduces an instance to others that it has not received anything from.
pub fn introduction(own: Peer) -> Vec<u8> {
    encode(&Datagram::new(own))
}

/// Applies a datagram to `peers` and returns its sender, or `None` if it can't be decoded.
pub fn receive(peers: &mut Peers, own_name: &str, bytes: &[u8], now: Instant) -> Option<Peer> {
    let datagram: Datagram = postcard::from_bytes(bytes).ok()?;
    let mut ages = datagram.ages.into_iter().map(Duration::from);
    let mut age = || ages.next().unwrap_or(Duration::ZERO);
    let heartbeats: Vec<_> =
        datagram.heartbeats.into_iter().map(|heartbeat| (heartbeat, age())).collect();
    let others: Vec<_> = datagram.others.into_iter().map(|peer| (peer, age())).collect();
    let updates: Vec<_> = datagram.updates.into_iter().map(|update| (update, age())).collect();
    peers.record_heartbeats(heartbeats, now);
    let own = (datagram.own.clone(), Duration::ZERO);
    let descriptions = std::iter::once(own).chain(others);
    for (peer, age) in descriptions.filter(|(peer, _)| *peer.name != *own_name) {
        peers.record_relayed(peer, age, now);
    }
    peers.record_updates(updates, now);
    peers.record_silences(&datagram.silences, now);
    Some(datagram.own)
}

/// What a round relays of others; each datagram gets another part of it.
#[derive(Default)]
struct RelayedState<'a> {
    items: Vec<RelayItem<'a>>,
    /// Last heartbeats of silent instances.
    silences: Vec<Heartbeat>,
    /// Bytes of a datagram reserved for heartbeats.
    reserved_heartbeat_bytes: usize,
    /// Whether the fleet is too large for all heartbeats to reach all in time, so that those of a
    /// zone go first within it.
    is_large: bool,
}

/// What can be relayed of one live instance, with the sort keys and encoded sizes.
struct RelayItem<'a> {
    peer: &'a Peer,
    freshness: Freshness,
    age: Age,
    update: PeerUpdate,
    update_bytes: usize,
    heartbeat_bytes: usize,
}

impl<'a> RelayItem<'a> {
    /// `age_bytes` is the encoded size of the age.
    fn new(peer: &'a Peer, freshness: Freshness, age_bytes: usize) -> Self {
        let update = PeerUpdate::new(freshness.heartbeat.id, peer);
        let update_bytes = encode(&update).len() + age_bytes;
        let heartbeat_bytes = encode(&freshness.heartbeat).len() + age_bytes;
        Self { peer, freshness, age: freshness.age.into(), update, update_bytes, heartbeat_bytes }
    }
}

/// Elements of a datagram, each with the time since its heartbeat was sent.
type Aged<T> = Vec<(T, Age)>;

impl<'a> RelayedState<'a> {
    fn new(peers: &'a Peers, now: Instant) -> Self {
        let is_large = peers.is_large();
        let age_bytes = usize::from(is_large);
        let items = peers
            .alive_with_freshness(now)
            .map(|(peer, freshness)| RelayItem::new(peer, freshness, age_bytes));
        let items: Vec<RelayItem<'_>> = items.collect();
        let heartbeats: usize = items.iter().map(|item| item.heartbeat_bytes).sum();
        Self {
            items,
            silences: peers.silences(now),
            reserved_heartbeat_bytes: heartbeats.min(RESERVED_HEARTBEAT_BYTES),
            is_large,
        }
    }

    /// Encodes the datagram for a target; `number` is its position in the round.
    fn datagram(
        &self,
        own: &Peer,
        target: Option<&Peer>,
        number: usize,
        random: &mut impl Rng,
    ) -> Vec<u8> {
        let empty = Datagram::new(own.clone());
        // The length prefix of a list takes one byte more from 128 elements on.
        let mut bytes_left = DATAGRAM_BYTES.saturating_sub(encode(&empty).len() + 4);
        let mut silences = self.silences.clone();
        silences.shuffle(random);
        let silences = fitting_heartbeats(&silences, RESERVED_SILENCE_BYTES.min(bytes_left));
        bytes_left -= encode(&silences).len() - 1;
        let reserved = self.reserved_heartbeat_bytes.min(bytes_left);
        bytes_left -= reserved;
        let others = self.full_descriptions_for(target, number, &mut bytes_left, random);
        let mut items: Vec<&RelayItem<'_>> = self.items.iter().collect();
        items.shuffle(random);
        let updates = updates_for(target, &mut items, &mut bytes_left);
        bytes_left += reserved;
        let is_in_own_zone =
            target.is_some_and(|target| target.availability_zone == own.availability_zone);
        let zone = (self.is_large && is_in_own_zone).then_some(&own.availability_zone);
        let heartbeats =
            remaining_heartbeats(&mut items[updates.len()..], zone, &mut bytes_left, random);
        let (heartbeats, mut ages): (Vec<_>, Vec<_>) = heartbeats.into_iter().unzip();
        let (others, ages_of_others): (Vec<_>, Vec<_>) = others.into_iter().unzip();
        let (updates, ages_of_updates): (Vec<_>, Vec<_>) = updates.into_iter().unzip();
        ages.extend(ages_of_others.into_iter().chain(ages_of_updates));
        if !self.is_large {
            ages.clear();
        }
        encode(&Datagram { heartbeats, others, updates, silences, ages, ..empty })
    }

    /// Instances that a target gets full descriptions of.
    ///
    /// Updates and heartbeats are useful only to a receiver that knows the instance.  Each datagram
    /// of a round describes other instances, so that one that just started soon knows them all.
    fn full_descriptions_for(
        &self,
        target: Option<&Peer>,
        number: usize,
        bytes_left: &mut usize,
        random: &mut impl Rng,
    ) -> Aged<Peer> {
        let alive = self.items.len();
        let is_missing_many = |peer: &Peer| {
            (peer.alive_peers as f64) < alive as f64 * (1.0 - TOLERATED_MISSING_FRACTION) - 1.0
        };
        let max_count = if target.is_none_or(is_missing_many) {
            alive
        } else {
            usize::from(number < FULL_DATAGRAMS_PER_ROUND)
        };
        let others = self.items.choose_multiple(random, max_count).map(|item| {
            let peer = Peer { objects: Vec::new(), ..item.peer.clone() };
            (peer, item.age)
        });
        let age_bytes = usize::from(self.is_large);
        others
            .take_while(|(peer, _)| take_bytes(bytes_left, encode(peer).len() + age_bytes))
            .collect()
    }
}

/// Updates for a target, newest first; moves the items used to the front of `items`.
fn updates_for(
    target: Option<&Peer>,
    items: &mut [&RelayItem<'_>],
    bytes_left: &mut usize,
) -> Aged<PeerUpdate> {
    items.sort_by_key(|item| {
        let is_in_same_region = target.is_some_and(|target| target.region == item.peer.region);
        // Instances that leave go first, so that callers are not sent to them.
        (
            item.peer.is_serving(),
            item.freshness.description_lag + if is_in_same_region { 0 } else { OWN_REGION_LEAD },
        )
    });
    let selected = items.iter().take_while(|item| take_bytes(bytes_left, item.update_bytes));
    selected.map(|item| (item.update.clone(), item.age)).collect()
}

/// Heartbeats of the remaining items, latest first; instances of `zone` go first in a part of the
/// bytes.
fn remaining_heartbeats(
    items: &mut [&RelayItem<'_>],
    zone: Option<&Arc<str>>,
    bytes_left: &mut usize,
    random: &mut impl Rng,
) -> Aged<Heartbeat> {
    items.shuffle(random);
    items.sort_by_key(|item| item.freshness.intervals_since_heartbeat);
    let (zone_items, other_items): (Vec<&RelayItem<'_>>, Vec<&RelayItem<'_>>) =
        items.iter().partition(|item| zone == Some(&item.peer.availability_zone));
    let zone_bytes: usize = zone_items.iter().map(|item| item.heartbeat_bytes).sum();
    let wanted = zone_bytes as f64 * OWN_ZONE_FRACTION;
    let mut zone_bytes_left = wanted.min(*bytes_left as f64 * MAX_OWN_ZONE_BYTES_FRACTION) as usize;
    let zone_first =
        zone_items.iter().take_while(|item| take_bytes(&mut zone_bytes_left, item.heartbeat_bytes));
    let heartbeat = |item: &&RelayItem<'_>| (item.freshness.heartbeat, item.age);
    let mut selected: Aged<Heartbeat> = zone_first.map(heartbeat).collect();
    *bytes_left -=
        zone_items[..selected.len()].iter().map(|item| item.heartbeat_bytes).sum::<usize>();
    let others = other_items.iter().chain(&zone_items[selected.len()..]);
    let fitting_others = others.take_while(|item| take_bytes(bytes_left, item.heartbeat_bytes));
    selected.extend(fitting_others.map(heartbeat));
    selected
}

/// The first heartbeats, as many as fit into so many bytes.
fn fitting_heartbeats(heartbeats: &[Heartbeat], mut bytes_left: usize) -> Vec<Heartbeat> {
    let selected = heartbeats
        .iter()
        .take_while(|heartbeat| take_bytes(&mut bytes_left, encode(heartbeat).len()));
    selected.copied().collect()
}

/// Subtracts the bytes from the remaining ones and returns true, if there are enough.
fn take_bytes(bytes_left: &mut usize, bytes: usize) -> bool {
    let left = bytes_left.checked_sub(bytes);
    *bytes_left = left.unwrap_or(*bytes_left);
    left.is_some()
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    // Encoding into memory can't fail; an empty datagram would be rejected by the receiver.
    postcard::to_allocvec(value).unwrap_or_default()
}
