//! What instances tell each other: heartbeats by datagrams, knowledge on request.
//!
//! A datagram is lost now and then, which costs one heartbeat and nothing else.  It carries the
//! revisions of what the sender knows; whoever is behind waits a moment for its own watch and then
//! asks for the whole.

use super::applying::apply;
use super::conditions::Conditions;
use super::datagram::{self, Kind};
use super::instance::Instance;
use super::questions::Questions;
use super::rollouts::RolloutAnnouncements;
use super::suspicions::Suspicions;
use super::{conditions, fleet, rollouts, spreading, suspicions};
use crate::border::{Registration, SUBJECTS, Subject};
use crate::version::changes::Update;
use crate::version::exchange;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::placement::rounds::Rounds;
use steering::placement::telling::{self, Order};
use steering::placement::{Placed, ShareMove};
use tokio::net::UdpSocket;

/// Time that the own watch has to bring what another instance knows already.
const WATCH_AHEAD: Duration = Duration::from_millis(300);

/// Longest wait, at random, before an instance of the own region is asked, so that not all ask at
/// once.
const NEAR_WAIT: Duration = Duration::from_millis(60);

/// Wait before an instance of another region is asked.
const FAR_WAIT: Duration = Duration::from_millis(500);

/// Time after which another instance is asked beside one that has not answered: many times an
/// exchange within a region, and a tenth of the time in which a change has to be in force.
const ANSWER_PATIENCE: Duration = Duration::from_millis(400);

/// The same while nothing is known: all that is known takes a link of a least instance a third of this.
const WHOLE_PATIENCE: Duration = Duration::from_millis(1200);

/// Time for a connection to another instance to come up.  Where packets wait at a thin link, whoever
/// gives up before learns nothing for as long as the link is full, while its requests get through.
const ASK_DIAL_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time for asking another instance for what it knows, the connection included.
const ASK_TIMEOUT: Duration = Duration::from_millis(2500);

/// Heartbeats between two lines about where requests were sent: half of the time of a window in which
/// a shift would show.
const PLACED_BEATS: u64 = 2;

/// Heartbeats after which the registrations are read once more: by then those are listed that started
/// together with this one, as a list may be seconds old.
const INTRODUCED_AGAIN: u64 = 4;

/// Heartbeats between two readings of the registrations while no other instance is heard.
const ALONE_BEATS: u64 = 4;

/// Tells other instances of this one, and hears them, for as long as the process lives.
pub(super) fn run(instance: &Rc<Instance>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    tokio::task::spawn_local(receive(instance.clone(), socket.clone()));
    spreading::run(instance, socket.clone(), &[&Suspicions, &Conditions, &RolloutAnnouncements]);
    fleet::run(instance, socket.clone());
    if instance.settings.exposure.is_some() {
        rollouts::run(instance, socket.clone());
    }
    tokio::task::spawn_local(beat(instance.clone(), socket));
}

/// Tells some instances what this one is.
async fn send(instance: &Instance, socket: &UdpSocket, order: Order) {
    instance.beat();
    let port = instance.settings.gossip_address.port();
    let seeds: Vec<SocketAddr> =
        instance.seeds.borrow().iter().map(|seed| SocketAddr::new(*seed, port)).collect();
    let round = telling::tell(
        &instance.peers.borrow(),
        &instance.own(),
        &seeds,
        order,
        &mut rand::rng(),
        Instant::now(),
    );
    for (target, bytes) in round {
        // A datagram that can't be sent is as good as one that is lost.
        let _ = socket.send_to(&datagram::write(Kind::Instances, &bytes), target).await;
    }
}

async fn beat(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let mut stop = instance.stop.subscribe();
    let mut known_alive = 0;
    // Once for each arm and service: a program that fails does so again and again.
    let mut told_policies = HashSet::new();
    let mut rounds = Rounds::new(Instant::now());
    let mut beats = 0u64;
    loop {
        let order = rounds.take(Instant::now());
        if order == Order::Random {
            let alone = || instance.peers.borrow().alive_count(Instant::now()) == 0;
            let is_new = [0, INTRODUCED_AGAIN].contains(&beats);
            if is_new || beats.is_multiple_of(ALONE_BEATS) && alone() {
                introduce(&instance, &socket);
            }
            beats += 1;
        }
        send(&instance, &socket, order).await;
        let now = Instant::now();
        let own = instance.own();
        let (alive, moves) = {
            let mut peers = instance.peers.borrow_mut();
            peers.prune(now);
            let moves = instance.roster.borrow_mut().step(&own, &peers, now);
            (peers.alive_count(now), moves)
        };
        fleet::set_fleet(&instance);
        log_policy_failures(&instance, &mut told_policies);
        let with_placed = order == Order::Random && beats.is_multiple_of(PLACED_BEATS);
        log_shares(&instance, moves, alive, with_placed);
        if alive != known_alive {
            log::info!(target: "instances", alive, before = known_alive; "changed");
            known_alive = alive;
        }
        tokio::select! {
            () = tokio::time::sleep_until(rounds.beat_at().into()) => {}
            // A planned stop is told at once, and so is news of the store.
            _ = stop.changed() => rounds.beat_now(Instant::now()),
            () = instance.news.notified() => {}
        }
    }
}

/// Tells of programs that gave no shares, each once for an arm and service.
fn log_policy_failures(instance: &Instance, told: &mut HashSet<(Arc<str>, Arc<str>)>) {
    for failure in instance.roster.borrow_mut().take_policy_failures() {
        instance.metrics.policy_failures.with_label_values(&[&*failure.arm]).inc();
        if told.insert((failure.arm.clone(), failure.service.clone())) {
            log::warn!(
                target: "policies",
                arm = &*failure.arm, service = &*failure.service, error:% = failure.error;
                "gave no shares"
            );
        }
    }
}

/// Tells of shares that moved, and where requests were sent if that is due.
fn log_shares(instance: &Instance, moves: Vec<ShareMove>, alive: usize, with_placed: bool) {
    for ShareMove { service, moved, slots, demand, stale_beats } in moves {
        log::info!(
            target: "shares", service = &*service, moved, slots, demand, alive, stale_beats;
            "moved"
        );
    }
    if with_placed {
        let counts = instance.roster.borrow_mut().take_placed();
        for (service, Placed { stayed, homed, moved, spilled, opened }) in counts {
            log::info!(
                target: "shares", service = &*service, stayed, homed, moved, spilled, opened;
                "placed"
            );
        }
        conditions::log_limited(instance);
    }
}

/// Asks the store for instances that are registered, and registers this one if it is not among them.
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
        let others = instance.store.registered().await;
        calls.with_label_values(&["registrations", outcome(others.is_ok())]).inc();
        let others = match others {
            Ok(others) => others,
            Err(error) => {
                log::warn!(target: "instances", error:%; "registrations can't be read");
                return;
            }
        };
        let bytes = datagram::write(Kind::Instances, &telling::introduction(instance.own()));
        for other in others.iter().filter(|other| other.name != own.name) {
            // A datagram that can't be sent is as good as one that is lost.
            let _ = socket.send_to(&bytes, other.gossip_address).await;
        }
        let is_registered = others.contains(&own);
        instance.registered.replace(Some(others));
        fleet::set_fleet(&instance);
        if !is_registered {
            let registered = instance.store.register(&own).await;
            calls.with_label_values(&["registration", outcome(registered.is_ok())]).inc();
        }
    });
}

async fn receive(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; 2 * telling::DATAGRAM_BYTES];
    let questions = Rc::new(RefCell::new(Questions::default()));
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            // An earlier datagram met a closed port; the next may not.
            tokio::task::yield_now().await;
            continue;
        };
        let heard = match datagram::read(&buffer[..length]) {
            Some((Kind::Instances, told)) => {
                let mut peers = instance.peers.borrow_mut();
                telling::hear(&mut peers, &instance.settings.name, told, Instant::now())
            }
            Some((Kind::Suspects, told)) => {
                suspicions::hear(&instance, told);
                None
            }
            Some((Kind::Conditions, told)) => {
                conditions::hear(&instance, told);
                None
            }
            Some((Kind::RolloutAnnouncements, told)) => {
                rollouts::hear_announcements(&instance, told);
                None
            }
            Some((Kind::RolloutReports, report)) => {
                rollouts::hear_report(&instance, report);
                None
            }
            Some((Kind::Quotas, told)) => {
                instance.quotas.hear(told, instance.clock.now());
                None
            }
            None => None,
        };
        let Some(sender) = heard else { continue };
        let revisions = sender.revisions;
        let address = sender.knowledge_address;
        let near = sender.region == instance.settings.region;
        if !is_behind(&instance, revisions) {
            continue;
        }
        let knows_enough = instance.knows_enough();
        let answer_patience = if knows_enough { ANSWER_PATIENCE } else { WHOLE_PATIENCE };
        // Whoever is near and knows it spares the bytes from far away.
        let (wait, patience) = match (instance.is_watcher() && knows_enough, near) {
            (true, _) => (WATCH_AHEAD, WATCH_AHEAD + answer_patience),
            (false, true) => (NEAR_WAIT.mul_f64(rand::random()), NEAR_WAIT + answer_patience),
            (false, false) => (FAR_WAIT, Duration::ZERO),
        };
        if questions.borrow_mut().begin(address, patience, Instant::now()) {
            let instance = instance.clone();
            let questions = questions.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(wait).await;
                catch_up(&instance, address, revisions).await;
                questions.borrow_mut().end(address);
            });
        }
    }
}

fn is_behind(instance: &Instance, revisions: [u64; SUBJECTS]) -> bool {
    let own = instance.knowledge.borrow().revisions();
    own.iter().zip(revisions).any(|(own, other)| *own < other)
}

/// Asks another instance for what this one lacks, if it still does.
async fn catch_up(instance: &Rc<Instance>, address: SocketAddr, revisions: [u64; SUBJECTS]) {
    if !is_behind(instance, revisions) {
        return;
    }
    let as_of = instance.knowledge.borrow().all_as_of();
    let Ok(Some(knowledge)) = tokio::time::timeout(ASK_TIMEOUT, ask(address, as_of)).await else {
        log::warn!(target: "instances", address:%; "knowledge can't be read");
        return;
    };
    take_over(instance, knowledge);
}

/// Takes over what another instance knows better.
pub(super) fn take_over(instance: &Rc<Instance>, knowledge: Update) {
    let changed = instance.knowledge.borrow_mut().learned(knowledge);
    for subject in Subject::ALL.into_iter().filter(|subject| changed[subject.index()]) {
        apply(instance, subject, "instance");
        instance.learned[subject.index()].notify_one();
        instance.news.notify_one();
    }
}

/// Asks another instance for what it knows since these revisions.
pub(super) async fn ask(address: SocketAddr, as_of: [u64; SUBJECTS]) -> Option<Update> {
    let path = format!("{}?{}", exchange::KNOWLEDGE_PATH, exchange::query(as_of));
    let body = crate::connection::http_client::get(address, &path, ASK_DIAL_TIMEOUT).await?;
    postcard::from_bytes(&body).ok()
}
