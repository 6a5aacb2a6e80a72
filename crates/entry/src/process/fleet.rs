//! Which instances take part in quotas and roll-outs, and when parts of quotas are handed on.

use super::instance::Instance;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use steering::placement::peers::LOST_AFTER;
use steering::placement::{Peer, PeerState};
use steering::quota::{Fleet, MemberId};
use steering::rollout::Members;
use tokio::net::UdpSocket;

/// Does what is due, for as long as the process lives.
pub(super) fn run(instance: &Rc<Instance>, socket: Rc<UdpSocket>) {
    if !instance.quotas.begin(socket) {
        log::warn!(target: "quotas", "runs already");
        return;
    }
    let instance = instance.clone();
    tokio::task::spawn_local(async move {
        let quotas = &instance.quotas;
        loop {
            let now = instance.clock.now();
            let due = quotas.step(now);
            tokio::select! {
                () = tokio::time::sleep(due.since(now)) => {}
                () = quotas.is_due_earlier() => {}
            }
        }
    });
}

/// Takes over which instances there are.
pub(super) fn set_fleet(instance: &Instance) {
    let Some(size) = fleet_size(instance) else { return };
    let now = Instant::now();
    let own = instance.own();
    let peers = instance.peers.borrow();
    let id = |peer: &Peer| MemberId::from_name(&peer.name);
    let own_id = id(&own);
    let mut regions: BTreeMap<Arc<str>, Vec<MemberId>> = BTreeMap::new();
    let mut addresses = HashMap::new();
    let mut members = Vec::new();
    let own_if_serving = std::iter::once(&own).filter(|own| own.state == PeerState::Serving);
    for peer in peers.alive(now).filter(|peer| peer.is_serving()).chain(own_if_serving) {
        regions.entry(peer.region.clone()).or_default().push(id(peer));
        addresses.insert(id(peer), peer.gossip_address);
        members.push((id(peer), peer.reaches_store));
    }
    instance.rollouts.borrow_mut().set_members(Members::new(members));
    let region_members = regions.remove(&own.region).unwrap_or_else(|| vec![own_id]);
    let other_regions = regions.into_values().collect();
    let fleet = Fleet { own: own_id, region_members, other_regions, size };
    let now = instance.clock.now();
    instance.quotas.set_fleet(fleet, addresses, now);
}

/// Instances that may be serving callers, whether they are heard or not; none while it can't be told.
///
/// One that was heard counts until it is forgotten: it may be cut off from this one, not from callers.
/// Until this instance can have heard all, those count that registered, or that others know.
fn fleet_size(instance: &Instance) -> Option<usize> {
    let peers = instance.peers.borrow();
    let heard = peers.all().count();
    if !instance.is_young() {
        return Some(heard + 1);
    }
    let own = &instance.settings.name;
    let registered = instance.registered.borrow();
    let registered = registered.as_ref().map(|all| all.iter().filter(|it| it.name != *own).count());
    let known = peers.all().map(|peer| peer.alive_peers).max().unwrap_or(0);
    let others = heard.max(known).max(registered.unwrap_or(0));
    let can_tell = others > 0 || registered.is_some() || instance.uptime() >= LOST_AFTER;
    can_tell.then_some(others + 1)
}
