//! What instances tell each other in a round of datagrams, and what they take from one.

use super::peer_update::{Age, Heartbeat, PeerUpdate};
use super::peers::{Freshness, Peer, Peers};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

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

/// Bytes of a datagram that are kept for instances that are silent, where such are told.
const SILENCES_BYTES: usize = 280;

/// Part of the own zone's instances whose heartbeats go first, to readers in it: with four datagrams a
/// round that stay in the zone, each hears of each other more than once in a round.
const ZONE_TOLD: f64 = 0.4;

/// Largest part of the room for heartbeats that these take.
const ZONE_ROOM: f64 = 0.75;

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
    /// Last heartbeats of others that are silent since.
    silences: Vec<Heartbeat>,
    /// A few others in full, for instances that don't know them.
    others: Vec<Peer>,
    /// What others told of themselves, as much as there is room for.
    news: Vec<PeerUpdate>,
    /// Times since the heartbeats of `heartbeats`, `others` and `news` were sent, in this order; none in
    /// a fleet in which they don't matter.
    ages: Vec<Age>,
}

impl Datagram {
    /// One that tells of nobody but the sender.
    fn of(own: Peer) -> Self {
        Self {
            own,
            heartbeats: Vec::new(),
            silences: Vec::new(),
            others: Vec::new(),
            news: Vec::new(),
            ages: Vec::new(),
        }
    }
}

/// Whom a round reaches first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetOrder {
    /// Anyone.
    Random,
    /// Instances of the own region, as there is news of the store; what is told is short, so that
    /// it may be told often.
    OwnRegionFirst,
}

/// The datagrams of one round; `seeds` are addresses that may know instances that nobody else does.
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
        TargetOrder::OwnRegionFirst => {
            let is_near = |peer: &Option<&Peer>| peer.is_some_and(|it| it.region == own.region);
            targets.sort_by_key(|(_, peer)| !is_near(peer));
            targets.truncate(FANOUT);
        }
    }
    let passed_on = match order {
        TargetOrder::Random => PassedOn::of(peers, now),
        TargetOrder::OwnRegionFirst => PassedOn::default(),
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
    encoded(&Datagram::of(own))
}

/// Takes over a datagram and returns its sender; none if it can't be read.
pub fn receive(peers: &mut Peers, own_name: &str, bytes: &[u8], now: Instant) -> Option<Peer> {
    let datagram: Datagram = postcard::from_bytes(bytes).ok()?;
    let mut ages = datagram.ages.into_iter().map(Duration::from);
    let mut age = || ages.next().unwrap_or(Duration::ZERO);
    let heartbeats: Vec<_> = datagram.heartbeats.into_iter().map(|it| (it, age())).collect();
    let others: Vec<_> = datagram.others.into_iter().map(|it| (it, age())).collect();
    let news: Vec<_> = datagram.news.into_iter().map(|it| (it, age())).collect();
    peers.record_heartbeats(heartbeats, now);
    let own = (datagram.own.clone(), Duration::ZERO);
    let heard = std::iter::once(own).chain(others);
    for (peer, age) in heard.filter(|(peer, _)| *peer.name != *own_name) {
        peers.record_relayed(peer, age, now);
    }
    peers.record_updates(news, now);
    peers.record_silences(&datagram.silences, now);
    Some(datagram.own)
}

/// What is passed on of others in one round; each datagram has another part of it.
#[derive(Default)]
struct PassedOn<'a> {
    items: Vec<Item<'a>>,
    /// Instances that are silent.
    silences: Vec<Heartbeat>,
    /// Bytes of a datagram that are kept for heartbeats.
    heartbeats_room: usize,
    /// Whether the heartbeats of all don't reach all in time, so that those of a zone go first there.
    is_large: bool,
}

/// What can be passed on of one living instance, and what the choice goes by.
struct Item<'a> {
    peer: &'a Peer,
    living: Freshness,
    age: Age,
    news: PeerUpdate,
    news_bytes: usize,
    heartbeat_bytes: usize,
}

impl<'a> Item<'a> {
    /// `age_bytes` are those that the age takes.
    fn new(peer: &'a Peer, living: Freshness, age_bytes: usize) -> Self {
        let news = PeerUpdate::new(living.heartbeat.id, peer);
        let news_bytes = encoded(&news).len() + age_bytes;
        let heartbeat_bytes = encoded(&living.heartbeat).len() + age_bytes;
        Self { peer, living, age: living.age.into(), news, news_bytes, heartbeat_bytes }
    }
}

/// Some of what a datagram tells, each with the time since its heartbeat was sent.
type Aged<T> = Vec<(T, Age)>;

impl<'a> PassedOn<'a> {
    fn of(peers: &'a Peers, now: Instant) -> Self {
        let is_large = peers.is_large();
        let age_bytes = usize::from(is_large);
        let items = peers
            .alive_with_freshness(now)
            .map(|(peer, living)| Item::new(peer, living, age_bytes));
        let items: Vec<Item<'_>> = items.collect();
        let heartbeats: usize = items.iter().map(|it| it.heartbeat_bytes).sum();
        Self {
            items,
            silences: peers.silences(now),
            heartbeats_room: heartbeats.min(HEARTBEATS_BYTES),
            is_large,
        }
    }

    /// The datagram for a target; `number` is its place in the round.
    fn datagram(
        &self,
        own: &Peer,
        target: Option<&Peer>,
        number: usize,
        random: &mut impl Rng,
    ) -> Vec<u8> {
        let none = Datagram::of(own.clone());
        // The length of a list takes one byte more from 128 entries on.
        let mut room = DATAGRAM_BYTES.saturating_sub(encoded(&none).len() + 4);
        let mut silences = self.silences.clone();
        silences.shuffle(random);
        let silences = fitting(&silences, SILENCES_BYTES.min(room));
        room -= encoded(&silences).len() - 1;
        let kept = self.heartbeats_room.min(room);
        room -= kept;
        let others = self.others_for(target, number, &mut room, random);
        let mut items: Vec<&Item<'_>> = self.items.iter().collect();
        items.shuffle(random);
        let news = news_for(target, &mut items, &mut room);
        room += kept;
        let is_near = target.is_some_and(|it| it.availability_zone == own.availability_zone);
        let zone = (self.is_large && is_near).then_some(&own.availability_zone);
        let heartbeats = heartbeats_of(&mut items[news.len()..], zone, &mut room, random);
        let (heartbeats, mut ages): (Vec<_>, Vec<_>) = heartbeats.into_iter().unzip();
        let (others, ages_of_others): (Vec<_>, Vec<_>) = others.into_iter().unzip();
        let (news, ages_of_news): (Vec<_>, Vec<_>) = news.into_iter().unzip();
        ages.extend(ages_of_others.into_iter().chain(ages_of_news));
        if !self.is_large {
            ages.clear();
        }
        encoded(&Datagram { heartbeats, others, news, silences, ages, ..none })
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
    ) -> Aged<Peer> {
        let alive = self.items.len();
        let lacks = |peer: &Peer| (peer.alive_peers as f64) < alive as f64 * (1.0 - LACKS) - 1.0;
        let most = if target.is_none_or(lacks) { alive } else { usize::from(number < WITH_OTHERS) };
        let others = self.items.choose_multiple(random, most).map(|it| {
            let peer = Peer { objects: Vec::new(), ..it.peer.clone() };
            (peer, it.age)
        });
        let age_bytes = usize::from(self.is_large);
        others.take_while(|(it, _)| take(room, encoded(it).len() + age_bytes)).collect()
    }
}

/// News for a target, newest first; puts those that are told to the front.
fn news_for(target: Option<&Peer>, items: &mut [&Item<'_>], room: &mut usize) -> Aged<PeerUpdate> {
    items.sort_by_key(|it| {
        let is_near = target.is_some_and(|target| target.region == it.peer.region);
        // Callers should not be sent to those that leave.
        (it.peer.is_serving(), it.living.behind + if is_near { 0 } else { NEAR_AHEAD })
    });
    let told = items.iter().take_while(|it| take(room, it.news_bytes));
    told.map(|it| (it.news.clone(), it.age)).collect()
}

/// Heartbeats of those that are told nothing else of, latest first; `zone` is one whose instances go
/// before others in a part of the room.
fn heartbeats_of(
    rest: &mut [&Item<'_>],
    zone: Option<&Arc<str>>,
    room: &mut usize,
    random: &mut impl Rng,
) -> Aged<Heartbeat> {
    rest.shuffle(random);
    rest.sort_by_key(|it| it.living.beats_ago);
    let (first, last): (Vec<&Item<'_>>, Vec<&Item<'_>>) =
        rest.iter().partition(|it| zone == Some(&it.peer.availability_zone));
    let zone_bytes: usize = first.iter().map(|it| it.heartbeat_bytes).sum();
    let wanted = zone_bytes as f64 * ZONE_TOLD;
    let mut room_of_first = wanted.min(*room as f64 * ZONE_ROOM) as usize;
    let told_first = first.iter().take_while(|it| take(&mut room_of_first, it.heartbeat_bytes));
    let heartbeat = |it: &&Item<'_>| (it.living.heartbeat, it.age);
    let mut told: Aged<Heartbeat> = told_first.map(heartbeat).collect();
    *room -= first[..told.len()].iter().map(|it| it.heartbeat_bytes).sum::<usize>();
    let others = last.iter().chain(&first[told.len()..]);
    let told_others = others.take_while(|it| take(room, it.heartbeat_bytes));
    told.extend(told_others.map(heartbeat));
    told
}

/// The first of some heartbeats, as many as fit into so many bytes.
fn fitting(heartbeats: &[Heartbeat], mut room: usize) -> Vec<Heartbeat> {
    let told = heartbeats.iter().take_while(|it| take(&mut room, encoded(it).len()));
    told.copied().collect()
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
