//! Gossip between instances: heartbeats by UDP datagrams, updates of the state by HTTP requests.
//!
//! A lost datagram costs one heartbeat and nothing else. A heartbeat carries the revisions of the
//! sender's state; an instance with earlier revisions waits briefly for its own watch and then fetches
//! what has changed.

use super::activation::activate;
use super::conditions::Conditions;
use super::datagram::{self, Kind};
use super::instance::Instance;
use super::reach::ReachOfInstances;
use super::readiness_log::log_readiness_change;
use super::rollouts::RolloutAnnouncements;
use super::suspects::SuspectRequests;
use super::update_requests::UpdateRequests;
use super::{conditions, fleet, gossip_topics, reach, rollouts, suspects, watch_handover};
use crate::connection::http_client::{self, GetError};
use crate::platform_api::{Registration, SUBJECTS, Subject};
use crate::version::changes::Update;
use crate::version::exchange;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::placement::gossip::{self, TargetOrder};
use steering::placement::rounds::Rounds;
use steering::placement::{PlacementCounts, ShareChange, SlotCounts};
use steering::terms::timings::Timings;
use tokio::net::UdpSocket;

/// Delay before a hedged request while the instance lacks the state to serve callers: a full update
/// takes a third of this on the link of the smallest instance.
const FULL_UPDATE_HEDGE_DELAY: Duration = Duration::from_millis(1200);

/// Heartbeats between two log lines about the placement of requests: half of the window in which a
/// shift would be visible.
const PLACEMENT_LOG_HEARTBEATS: u64 = 2;

/// Heartbeats after which the registrations are read a second time: a list may be seconds old, and by
/// then it contains instances that started together with this one.
const SECOND_INTRODUCTION_HEARTBEAT: u64 = 4;

/// Heartbeats between two reads of the registrations while there are no live peers.
const ISOLATED_INTRODUCTION_HEARTBEATS: u64 = 4;

/// Starts the tasks that send and receive gossip for the lifetime of the process.
pub(super) fn run(instance: &Rc<Instance>, socket: Rc<UdpSocket>) {
    tokio::task::spawn_local(receive(instance.clone(), socket.clone()));
    gossip_topics::run(
        instance,
        socket.clone(),
        &[&SuspectRequests, &Conditions, &RolloutAnnouncements, &ReachOfInstances],
    );
    fleet::run(instance, socket.clone());
    if instance.settings.exposure.is_some() {
        rollouts::run(instance, socket.clone());
    }
    tokio::task::spawn_local(heartbeat_loop(instance.clone(), socket));
}

/// Sends one round of heartbeats.
async fn send_heartbeats(instance: &Instance, socket: &UdpSocket, order: TargetOrder) {
    instance.count_heartbeat();
    let port = instance.settings.gossip_address.port();
    let seeds: Vec<SocketAddr> =
        instance.seeds.borrow().iter().map(|seed| SocketAddr::new(*seed, port)).collect();
    let round = gossip::round_datagrams(
        &instance.peers.borrow(),
        &instance.own_peer(),
        &seeds,
        order,
        &mut rand::rng(),
        Instant::now(),
    );
    for (target, bytes) in round {
        // A datagram that can't be sent counts as lost.
        let _ = socket.send_to(&datagram::encode(Kind::Instances, &bytes), target).await;
    }
}

async fn heartbeat_loop(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let mut stop = instance.stop.subscribe();
    let mut previous_alive = 0;
    let mut was_ready = false;
    // Logged once per arm and service, as a failing program fails repeatedly.
    let mut logged_policies = HashSet::new();
    let mut rounds = Rounds::new(instance.timings.liveness.heartbeat_interval, Instant::now());
    let mut heartbeats = 0u64;
    loop {
        let order = rounds.start_round(Instant::now());
        if order == TargetOrder::Random {
            let is_isolated = || instance.peers.borrow().alive_count(Instant::now()) == 0;
            let is_scheduled = [0, SECOND_INTRODUCTION_HEARTBEAT].contains(&heartbeats);
            if is_scheduled
                || heartbeats.is_multiple_of(ISOLATED_INTRODUCTION_HEARTBEATS) && is_isolated()
            {
                introduce(&instance, &socket);
            }
            heartbeats += 1;
        }
        send_heartbeats(&instance, &socket, order).await;
        let now = Instant::now();
        let own = instance.own_peer();
        let (alive, share_changes) = {
            let mut peers = instance.peers.borrow_mut();
            peers.prune(now);
            let share_changes = instance.roster.borrow_mut().update_shares(&own, &peers, now);
            (peers.alive_count(now), share_changes)
        };
        fleet::update_fleet(&instance);
        was_ready = log_readiness_change(&instance, was_ready);
        log_policy_failures(&instance, &mut logged_policies);
        let with_placement =
            order == TargetOrder::Random && heartbeats.is_multiple_of(PLACEMENT_LOG_HEARTBEATS);
        log_shares(&instance, share_changes, alive, with_placement);
        if alive != previous_alive {
            log::info!(target: "instances", alive, before = previous_alive; "changed");
            previous_alive = alive;
        }
        tokio::select! {
            () = tokio::time::sleep_until(rounds.next_heartbeat_at().into()) => {}
            // A planned stop and changes of the state are sent at once.
            _ = stop.changed() => rounds.request_heartbeat(Instant::now()),
            () = instance.heartbeat_trigger.notified() => {}
        }
    }
}

/// Logs policy programs that produced no shares, once per arm and service.
fn log_policy_failures(instance: &Instance, logged: &mut HashSet<(Arc<str>, Arc<str>)>) {
    for failure in instance.roster.borrow_mut().take_policy_failures() {
        instance.metrics.policy_failures.with_label_values(&[&*failure.arm]).inc();
        if logged.insert((failure.arm.clone(), failure.service.clone())) {
            log::warn!(
                target: "policies",
                arm = &*failure.arm, service = &*failure.service, error:% = failure.error;
                "policy produced no shares"
            );
        }
    }
}

/// Logs changes of shares, and the placement of requests if `with_placement`.
fn log_shares(
    instance: &Instance,
    share_changes: Vec<ShareChange>,
    alive: usize,
    with_placement: bool,
) {
    for change in share_changes {
        let SlotCounts { listed, cold, limited, versioned } = change.slot_counts;
        log::info!(
            target: "shares", service = &*change.service, moved = change.moved,
            moved_uploads = change.moved_uploads, step = change.step.as_str(),
            slots = change.slots, demand = change.demand, listed_slots = listed, cold_slots = cold,
            limited_slots = limited, versioned_slots = versioned, slot_s = change.slot_s, alive,
            stale_beats = change.max_description_lag;
            "moved"
        );
    }
    if with_placement {
        let counts = instance.roster.borrow_mut().take_placements();
        for (service, counts) in counts {
            let PlacementCounts { stayed, homed, moved, spilled, displaced, opened } = counts;
            log::info!(
                target: "shares", service = &*service, stayed, homed, moved, spilled, displaced,
                opened;
                "placed"
            );
        }
        conditions::log_limited(instance);
    }
}

/// Sends a heartbeat to all registered instances, and registers this one unless it is among them.
fn introduce(instance: &Rc<Instance>, socket: &Rc<UdpSocket>) {
    let instance = instance.clone();
    let socket = socket.clone();
    tokio::task::spawn_local(async move {
        let own = Registration {
            name: instance.settings.name.clone(),
            region: instance.settings.region.clone(),
            gossip_address: instance.settings.gossip_address,
        };
        let calls = &instance.metrics.store_calls;
        let outcome = |ok: bool| if ok { "ok" } else { "failed" };
        let registrations = instance.store.list_registrations().await;
        calls.with_label_values(&["registrations", outcome(registrations.is_ok())]).inc();
        let registrations = match registrations {
            Ok(registrations) => registrations,
            Err(error) => {
                log::warn!(target: "instances", error:%; "failed to read registrations");
                return;
            }
        };
        let bytes = datagram::encode(Kind::Instances, &gossip::introduction(instance.own_peer()));
        for other in registrations.iter().filter(|other| other.name != own.name) {
            // A datagram that can't be sent counts as lost.
            let _ = socket.send_to(&bytes, other.gossip_address).await;
        }
        let is_registered = registrations.contains(&own);
        instance.registrations.replace(registrations);
        fleet::update_fleet(&instance);
        if !is_registered {
            let registered = instance.store.register(&own).await;
            calls.with_label_values(&["registration", outcome(registered.is_ok())]).inc();
        }
    });
}

async fn receive(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; 2 * gossip::DATAGRAM_BYTES];
    let requests = Rc::new(RefCell::new(UpdateRequests::default()));
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            // The error belongs to an earlier datagram sent to a closed port; the socket still works.
            tokio::task::yield_now().await;
            continue;
        };
        let sender = match datagram::decode(&buffer[..length]) {
            Some((Kind::Instances, message)) => {
                let mut peers = instance.peers.borrow_mut();
                gossip::receive(&mut peers, &instance.settings.name, message, Instant::now())
            }
            Some((Kind::Suspects, message)) => {
                suspects::receive(&instance, message);
                None
            }
            Some((Kind::Conditions, message)) => {
                conditions::receive(&instance, message);
                None
            }
            Some((Kind::RolloutAnnouncements, message)) => {
                rollouts::receive_announcements(&instance, message);
                None
            }
            Some((Kind::RolloutReports, report)) => {
                rollouts::receive_report(&instance, report);
                None
            }
            Some((Kind::Quotas, message)) => {
                instance.quotas.receive(message, instance.clock.now());
                None
            }
            Some((Kind::WatchHandover, message)) => {
                watch_handover::receive(&instance, message);
                None
            }
            Some((Kind::Reach, message)) => {
                reach::receive(&instance, message);
                None
            }
            None => None,
        };
        let Some(sender) = sender else { continue };
        let revisions = sender.revisions;
        let address = sender.knowledge_address;
        let is_same_region = sender.region == instance.settings.region;
        if !is_behind(&instance, revisions) {
            continue;
        }
        let has_required_state = instance.has_required_state();
        let timings = instance.timings.propagation;
        let response_delay =
            if has_required_state { timings.hedge_delay } else { FULL_UPDATE_HEDGE_DELAY };
        // An instance of the same region that has the change saves traffic between regions.
        let (delay, hedge_delay) =
            match (instance.is_watcher() && has_required_state, is_same_region) {
                (true, _) => (timings.watch_grace, timings.watch_grace + response_delay),
                (false, true) => (
                    timings.same_region_max_delay.mul_f64(rand::random()),
                    timings.same_region_max_delay + response_delay,
                ),
                (false, false) => (timings.other_region_delay, Duration::ZERO),
            };
        if requests.borrow_mut().begin(address, hedge_delay, Instant::now()) {
            let instance = instance.clone();
            let requests = requests.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(delay).await;
                catch_up(&instance, address, revisions).await;
                requests.borrow_mut().end(address);
            });
        }
    }
}

/// Returns whether any of the given revisions is later than this instance's.
fn is_behind(instance: &Instance, revisions: [u64; SUBJECTS]) -> bool {
    let own = instance.replica.borrow().revisions();
    own.iter().zip(revisions).any(|(own, other)| *own < other)
}

/// Fetches an update from another instance if this one still needs it.
async fn catch_up(instance: &Rc<Instance>, address: SocketAddr, revisions: [u64; SUBJECTS]) {
    if !is_behind(instance, revisions) {
        return;
    }
    let as_of = instance.replica.borrow().all_as_of();
    let timeout = instance.timings.propagation.fetch_timeout;
    let fetching = fetch_update(&instance.timings, address, as_of);
    match tokio::time::timeout(timeout, fetching).await {
        Ok(Ok(update)) => apply_update(instance, update),
        Ok(Err(why)) => {
            log::warn!(target: "instances", address:%, why:%; "failed to fetch an update");
        }
        Err(_) => {
            log::warn!(target: "instances", address:%, why = "timeout"; "failed to fetch an update");
        }
    }
}

/// Applies an update from another instance.
pub(super) fn apply_update(instance: &Rc<Instance>, update: Update) {
    let changed = instance.replica.borrow_mut().apply_update(update);
    for subject in Subject::ALL.into_iter().filter(|subject| changed[subject.index()]) {
        activate(instance, subject, "instance");
        // Only a pending watch is obsolete: a later one begins at the new revision.
        instance.watch_interrupts[subject.index()].notify_waiters();
        instance.heartbeat_trigger.notify_one();
    }
}

/// Why an update was not fetched from another instance.
#[derive(Debug, thiserror::Error)]
pub(super) enum FetchError {
    /// There is no response with a body.
    #[error(transparent)]
    Get(#[from] GetError),
    /// The body is not an update.
    #[error("invalid update: {0}")]
    Decode(#[from] postcard::Error),
}

/// Fetches from another instance what changed since these revisions.
///
/// # Errors
///
/// Fails if the other instance sends no update.
pub(super) async fn fetch_update(
    timings: &Timings,
    address: SocketAddr,
    as_of: [u64; SUBJECTS],
) -> Result<Update, FetchError> {
    let path = format!("{}?{}", exchange::UPDATE_PATH, exchange::encode_revisions(as_of));
    let body =
        http_client::get(address, &path, timings.propagation.connect_timeout, timings.connections)
            .await?;
    Ok(postcard::from_bytes(&body)?)
}
