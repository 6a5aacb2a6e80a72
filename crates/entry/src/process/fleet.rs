//! The instances that take part in quotas and roll-outs, and the timer of the quotas.

use super::instance::Instance;
use super::millis::millis;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use steering::placement::peers::Startup;
use steering::placement::{Peer, PeerState};
use steering::quota::{Fleet, MemberId};
use steering::rollout::Members;
use tokio::net::UdpSocket;

/// Starts the task that runs the quotas' timer for the lifetime of the process.
pub(super) fn run(instance: &Rc<Instance>, socket: Rc<UdpSocket>) {
    if !instance.quotas.set_socket(socket) {
        log::warn!(target: "quotas", "already running");
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
                () = quotas.wait_for_earlier_step() => {}
            }
        }
    });
}

/// Passes the present set of serving instances to the quotas and roll-outs.
pub(super) fn update_fleet(instance: &Instance) {
    let size = fleet_size(instance);
    let shared_by = size.filter(|_| knows_of_others(instance));
    if instance.retry_budgets.set_fleet_size(shared_by) {
        log_fleet_size(instance, shared_by);
    }
    let Some(size) = size else { return };
    let now = Instant::now();
    let own = instance.own_peer();
    let peers = instance.peers.borrow();
    let member_id = |peer: &Peer| MemberId::from_name(&peer.name);
    let own_id = member_id(&own);
    let mut regions: BTreeMap<Arc<str>, Vec<MemberId>> = BTreeMap::new();
    let mut addresses = HashMap::new();
    let mut members = Vec::new();
    let own_if_serving = std::iter::once(&own).filter(|own| own.state == PeerState::Serving);
    for peer in peers.alive(now).filter(|peer| peer.is_serving()).chain(own_if_serving) {
        regions.entry(peer.region.clone()).or_default().push(member_id(peer));
        addresses.insert(member_id(peer), peer.gossip_address);
        members.push((member_id(peer), peer.reaches_store));
    }
    instance.rollouts.borrow_mut().set_members(Members::new(members).with_fleet_size(size));
    let region_members = regions.remove(&own.region).unwrap_or_else(|| vec![own_id]);
    let other_regions = regions.into_values().collect();
    let fleet = Fleet { own: own_id, region_members, other_regions, size };
    let now = instance.clock.now();
    instance.quotas.set_fleet(fleet, addresses, now);
}

/// Returns whether it is known which other instances there are, if any; otherwise the number of instances is a
/// guess, on which quotas are granted, so that an instance that is cut off serves, but no retries are saved.
fn knows_of_others(instance: &Instance) -> bool {
    let peers = instance.peers.borrow();
    instance.registrations.count_of_others(&instance.settings.name).is_some()
        || peers.all().next().is_some()
        || peers.remembered_count() > 0
}

/// Logs a change of the number of instances that may be serving callers, with the evidence for it.
fn log_fleet_size(instance: &Instance, size: Option<usize>) {
    let peers = instance.peers.borrow();
    let registered_others = instance.registrations.count_of_others(&instance.settings.name);
    log::info!(
        target: "instances",
        size = size.unwrap_or(0), alive = peers.alive_count(Instant::now()),
        heard = peers.all().count(), remembered = peers.remembered_count(),
        registered = registered_others.unwrap_or(0), uptime_ms = millis(instance.uptime());
        "size of the fleet changed"
    );
}

/// Number of instances that may be serving callers, reachable from here or not; none while unknown.
fn fleet_size(instance: &Instance) -> Option<usize> {
    let startup = instance.is_recently_started().then(|| Startup {
        registered_others: instance.registrations.count_of_others(&instance.settings.name),
        has_waited: instance.uptime() >= instance.timings.liveness.lost_after,
    });
    instance.peers.borrow().fleet_size(startup.as_ref())
}
