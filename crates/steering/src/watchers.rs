//! Which instances watch the platform for changes, and which instances a new version is announced
//! to.
//!
//! An instance whose watch gets no response asks its successors to watch in its place.
//!
//! A pending watch counts as a call, so only a few instances of each availability zone have one.
//! An instance that adopts a version announces it to a bounded number of others, which do the same.

use rand::Rng;
use rand::seq::IteratorRandom;
use std::cmp::Reverse;
use std::sync::Arc;

/// Instances of one availability zone that watch the platform.
pub const WATCHERS_PER_ZONE: usize = 2;

/// Instances that are asked to replace a watcher: two, since one of them or a datagram may be lost.
pub const SUCCESSORS: usize = 2;

/// Instances of its own availability zone that an instance announces a version to at once.
pub const OWN_ZONE_FANOUT: usize = 4;

/// Instances of other availability zones that an instance announces a version to at once.
pub const OTHER_ZONES_FANOUT: usize = 1;

/// An instance that a version may be announced to.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Neighbor {
    /// Name that the platform gave it.
    pub name: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
}

/// Returns whether `own` is among the watchers of its availability zone.
///
/// Rendezvous hashing: an instance that joins or leaves changes no watcher but itself and one
/// other. An instance that is not in the list counts as if it were, so a new one may only watch too
/// early.
pub fn is_watcher<'a>(own: &str, zone_members: impl Iterator<Item = &'a str>) -> bool {
    ranks_among_first(own, zone_members, WATCHERS_PER_ZONE)
}

/// Returns whether `own` is among the `count` highest-ranked members.
pub fn ranks_among_first<'a>(
    own: &str,
    members: impl Iterator<Item = &'a str>,
    count: usize,
) -> bool {
    higher_ranked(own, members).take(count).count() < count
}

/// Returns the number of members that rank higher than `own`.
pub fn position<'a>(own: &str, members: impl Iterator<Item = &'a str>) -> usize {
    higher_ranked(own, members).count()
}

/// Returns the members that replace `own` if its watch gets no response, highest rank first.
///
/// Members that rank among the watchers without `own` are left out, as they watch already.  There
/// are fewer than [`SUCCESSORS`] if the members do not suffice.
pub fn successors<'a>(own: &str, members: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut others: Vec<&str> = members.filter(|name| *name != own).collect();
    let other_watchers = WATCHERS_PER_ZONE - usize::from(is_watcher(own, others.iter().copied()));
    others.sort_unstable_by_key(|&name| Reverse(rank(name)));
    others.into_iter().skip(other_watchers).take(SUCCESSORS).collect()
}

fn higher_ranked<'a>(
    own: &str,
    members: impl Iterator<Item = &'a str>,
) -> impl Iterator<Item = &'a str> {
    let own_rank = rank(own);
    members.filter(move |name| *name != own && rank(name) > own_rank)
}

/// Chooses the instances to announce a version to, at random, so that versions spread along
/// different paths.
pub fn choose_announcement_targets(
    own: &Neighbor,
    others: &[Neighbor],
    random: &mut impl Rng,
) -> Vec<Neighbor> {
    let in_own_zone = |other: &&Neighbor| other.availability_zone == own.availability_zone;
    let others = || others.iter().filter(|other| other.name != own.name);
    let mut chosen = others().filter(in_own_zone).choose_multiple(random, OWN_ZONE_FANOUT);
    let in_other_zones = others().filter(|other| !in_own_zone(other));
    chosen.extend(in_other_zones.choose_multiple(random, OTHER_ZONES_FANOUT));
    chosen.into_iter().cloned().collect()
}

/// Ranks a name by its FNV-1a hash, mixed so that similar names get distant ranks.
///
/// Releases that run side by side must agree on it, and the standard library's hashes may change.
fn rank(name: &str) -> (u64, &str) {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let hash =
        name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    (mixed ^ (mixed >> 33), name)
}
