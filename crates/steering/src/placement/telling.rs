//! What instances tell each other in a round of datagrams, and what they take from one.

use super::news::{Heartbeat, News};
use super::peers::{Living, Peer, Peers};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Instant;

/// Instances that one round goes to.
const FANOUT: usize = 6;

/// Those of them that are of other availability zones, if the own one has as many as are left.
///
/// Bytes between zones and regions have a price, and those within a zone have none.
const FAR_FANOUT: usize = 2;

/// Largest datagram in bytes, below what every link carries in one piece.
pub const DATAGRAM_BYTES: usize = 1400;

/// Bytes of a datagram that are kept for heartbeats of others, 6 to 9 bytes each, so that none that
/// lives is taken for lost: enough for 65 of them.
const HEARTBEATS_BYTES: usize = 480;

/// Datagrams of a round that tell an instance in full to one that knows about as many.
const WITH_OTHERS: usize = 1;

/// Part of the known instances that another may lack before it is told instances in full: those that
/// were lost or found just now are not known to all alike.
const LACKS: f64 = 0.05;

/// Heartbeats by which news of the reader's own region count as newer: its instances decide from the
/// same figures then.
const NEAR_AHEAD: u64 = 1;

#[derive(Deserialize, Serialize)]
struct Datagram {
    own: Peer,
    /// Heartbeats of others, so that one that is not told directly is still known to live.
    heartbeats: Vec<Heartbeat>,
    /// A few others in full, for instances that don't know them.
    others: Vec<Peer>,
    /// What others told of themselves, as much as there is room for.
    news: Vec<News>,
}

/// Whom a round reaches first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// Anyone.
    Random,
    /// Instances of the own region, as there is news of the store; what is told is short, so that
    /// it may be told often.
    NearFirst,
}

/// The datagrams of one round; `seeds` are addresses that may know instances that nobody else does.
pub fn tell(
    peers: &Peers,
    own: &Peer,
    seeds: &[SocketAddr],
    order: Order,
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
        Order::Random => {
            let is_near = |(_, peer): &(SocketAddr, Option<&Peer>)| {
                peer.is_some_and(|it| it.availability_zone == own.availability_zone)
            };
            let (near, mut far): (Vec<_>, Vec<_>) = targets.into_iter().partition(is_near);
            let near_count = near.len().min(FANOUT - FAR_FANOUT.min(far.len()));
            far.truncate(FANOUT - near_count);
            targets = near.into_iter().take(near_count).chain(far).collect();
            // The first datagram of a round tells more, so it must not always stay near.
            targets.shuffle(random);
        }
        Order::NearFirst => {
            let is_near = |peer: &Option<&Peer>| peer.is_some_and(|it| it.region == own.region);
            targets.sort_by_key(|(_, peer)| !is_near(peer));
            targets.truncate(FANOUT);
        }
    }
    let passed_on = match order {
        Order::Random => PassedOn::of(peers, now),
        Order::NearFirst => PassedOn::default(),
    };
    let numbered = targets.into_iter().zip(0..);
    numbered
        .map(|((address, target), number)| {
            (address, passed_on.datagram(own, target, number, random))
        })
        .collect()
}

/// The datagram that introduces an instance to others that it has heard nothing of.
pub fn introduction(own: Peer) -> Vec<u8> {
    encoded(&Datagram { own, heartbeats: Vec::new(), others: Vec::new(), news: Vec::new() })
}

/// Takes over a datagram and returns its sender; none if it can't be read.
pub fn hear(peers: &mut Peers, own_name: &str, bytes: &[u8], now: Instant) -> Option<Peer> {
    let datagram: Datagram = postcard::from_bytes(bytes).ok()?;
    peers.heard_heartbeats(&datagram.heartbeats, now);
    let heard = std::iter::once(datagram.own.clone()).chain(datagram.others);
    for peer in heard.filter(|peer| *peer.name != *own_name) {
        peers.heard(peer, now);
    }
    peers.heard_news(datagram.news, now);
    Some(datagram.own)
}

/// What is passed on of others in one round; each datagram has another part of it.
#[derive(Default)]
struct PassedOn<'a> {
    items: Vec<Item<'a>>,
    /// Bytes of a datagram that are kept for heartbeats.
    heartbeats_room: usize,
}

/// What can be passed on of one living instance, and what the choice goes by.
struct Item<'a> {
    peer: &'a Peer,
    living: Living,
    news: News,
    news_bytes: usize,
    heartbeat_bytes: usize,
}

impl<'a> Item<'a> {
    fn new(peer: &'a Peer, living: Living) -> Self {
        let news = News::of(living.heartbeat.id, peer);
        let (news_bytes, heartbeat_bytes) =
            (encoded(&news).len(), encoded(&living.heartbeat).len());
        Self { peer, living, news, news_bytes, heartbeat_bytes }
    }
}

impl<'a> PassedOn<'a> {
    fn of(peers: &'a Peers, now: Instant) -> Self {
        let items: Vec<Item<'_>> =
            peers.living(now).map(|(peer, living)| Item::new(peer, living)).collect();
        let heartbeats: usize = items.iter().map(|it| it.heartbeat_bytes).sum();
        Self { items, heartbeats_room: heartbeats.min(HEARTBEATS_BYTES) }
    }

    /// The datagram for a target; `number` is its place in the round.
    fn datagram(
        &self,
        own: &Peer,
        target: Option<&Peer>,
        number: usize,
        random: &mut impl Rng,
    ) -> Vec<u8> {
        let none = Datagram {
            own: own.clone(),
            others: Vec::new(),
            news: Vec::new(),
            heartbeats: Vec::new(),
        };
        // The length of a list takes one byte more from 128 entries on.
        let mut room = DATAGRAM_BYTES.saturating_sub(encoded(&none).len() + 3);
        let kept = self.heartbeats_room.min(room);
        room -= kept;
        let others = self.others_for(target, number, &mut room, random);
        let mut items: Vec<&Item<'_>> = self.items.iter().collect();
        items.shuffle(random);
        let news = news_for(target, &mut items, &mut room);
        room += kept;
        let heartbeats = heartbeats_of(&mut items[news.len()..], &mut room, random);
        encoded(&Datagram { others, news, heartbeats, ..none })
    }

    /// Instances that a target is told in full.
    ///
    /// News and heartbeats mean something to those only who know the instance; each datagram of a round
    /// tells others, so that one that just started soon knows them all.
    fn others_for(
        &self,
        target: Option<&Peer>,
        number: usize,
        room: &mut usize,
        random: &mut impl Rng,
    ) -> Vec<Peer> {
        let alive = self.items.len();
        let lacks = |peer: &Peer| (peer.known as f64) < alive as f64 * (1.0 - LACKS) - 1.0;
        let most = if target.is_none_or(lacks) { alive } else { usize::from(number < WITH_OTHERS) };
        let others = self.items.choose_multiple(random, most).map(|it| it.peer);
        let others = others.map(|it| Peer { objects: Vec::new(), ..it.clone() });
        others.take_while(|it| take(room, encoded(it).len())).collect()
    }
}

/// News for a target, newest first; puts those that are told to the front.
fn news_for(target: Option<&Peer>, items: &mut [&Item<'_>], room: &mut usize) -> Vec<News> {
    items.sort_by_key(|it| {
        let is_near = target.is_some_and(|target| target.region == it.peer.region);
        // Callers should not be sent to those that leave.
        (it.peer.is_serving(), it.living.behind + if is_near { 0 } else { NEAR_AHEAD })
    });
    let told = items.iter().take_while(|it| take(room, it.news_bytes));
    told.map(|it| it.news.clone()).collect()
}

/// Heartbeats of those that are told nothing else of, latest first.
fn heartbeats_of(
    rest: &mut [&Item<'_>],
    room: &mut usize,
    random: &mut impl Rng,
) -> Vec<Heartbeat> {
    rest.shuffle(random);
    rest.sort_by_key(|it| it.living.beats_ago);
    let told = rest.iter().take_while(|it| take(room, it.heartbeat_bytes));
    told.map(|it| it.living.heartbeat).collect()
}

/// Takes so many bytes of what is left, if there are as many.
fn take(room: &mut usize, bytes: usize) -> bool {
    let left = room.checked_sub(bytes);
    *room = left.unwrap_or(*room);
    left.is_some()
}

fn encoded(told: &impl Serialize) -> Vec<u8> {
    // What is written into memory can't fail; an empty datagram would be read by nobody.
    postcard::to_allocvec(told).unwrap_or_default()
}
