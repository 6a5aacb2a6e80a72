//! Exchanges with other instances: beginning them, answering them, and reading the platform's list.

use super::Process;
use super::digest;
use parking_lot::Mutex;
use peer::message::{Digest, InstanceDigest, Suspicion, SyncPosition};
use peer::{PeerEndpoint, PeerError, Reply, Request, Sender};
use platform::{InstanceDirectory, InstanceEntry, InstanceState};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use steering::membership::{
    Description, DescriptionVersion, Incoming, Listed, Outgoing, SyncRequest, Target,
};
use tokio::time::{Instant, MissedTickBehavior};

/// Time between two reads of the platform's list.
const LIST_PERIOD: Duration = Duration::from_secs(1);

/// Time between two rounds of exchanges.
const PERIOD: Duration = Duration::from_secs(1);

/// Time between two looks at whether something is due.
const TICK: Duration = Duration::from_millis(50);

/// Least time between two rounds when there are urgent news.
const URGENT_PERIOD: Duration = Duration::from_millis(250);

/// Longest wait for an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(750);

/// Time between two descriptions of our own, for each instance of our availability zone.
const DESCRIBE_PERIOD_PER_PEER: Duration = Duration::from_millis(100);

/// Longest time between two descriptions of our own.
const MAX_DESCRIBE_PERIOD: Duration = Duration::from_secs(15);

/// Bytes of descriptions in a message.
pub const MESSAGE_BUDGET_BYTES: usize = 450;

/// Bytes of descriptions in a page.
const PAGE_BUDGET_BYTES: usize = 4_000;

/// Most instances that are told of a planned stop.
const MAX_FAREWELLS: usize = 64;

/// Reads the platform's list again and again; a failed read leaves the last one in use.
pub async fn read_list(process: Arc<Process>, directory: Arc<dyn InstanceDirectory>) {
    process.keep_members();
    loop {
        if let Ok(list) = directory.instances().await {
            let now = process.clock.now();
            process.membership.table.lock().apply_list(now, list.entry.into_iter().map(listed));
            process.publish_members();
            process.set_leaving_servers(&list.leaving_backend_servers);
        }
        tokio::time::sleep(LIST_PERIOD).await;
    }
}

/// Exchanges with other instances, round by round.
pub async fn run(process: Arc<Process>) {
    process.keep_members();
    let mut rng = StdRng::seed_from_u64(process.incarnation.0);
    let mut pace = Pace::new();
    let rounds = Rounds::default();
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if pace.must_describe(&process) {
            process.describe_anew();
        }
        let urgent = process.membership.table.lock().take_urgent();
        if pace.must_exchange(urgent, &mut rng) {
            let now = process.clock.now();
            let targets = process.membership.table.lock().targets(now, &mut rng);
            rounds.begin(&process, targets);
            process.publish_members();
        }
    }
}

/// When to describe ourselves and when to exchange.
struct Pace {
    described_at: Option<Instant>,
    exchanged_at: Option<Instant>,
    next_round_at: Instant,
    urgent: bool,
}

impl Pace {
    fn new() -> Self {
        Self {
            described_at: None,
            exchanged_at: None,
            next_round_at: Instant::now(),
            urgent: false,
        }
    }

    /// Tells whether our description is too old, or does not say what it has to.
    fn must_describe(&mut self, process: &Process) -> bool {
        let own = digest::own(process);
        let table = process.membership.table.lock();
        let told = table.own_description().map(|told| &told.payload);
        let changed = told.is_none_or(|told| digest::differs_urgently(told, &own));
        let peers =
            u32::try_from(table.reachable_zone_peers(process.clock.now())).unwrap_or(u32::MAX);
        let period = DESCRIBE_PERIOD_PER_PEER.saturating_mul(peers);
        let period = period.clamp(PERIOD, MAX_DESCRIBE_PERIOD);
        let old = self.described_at.is_none_or(|at| at.elapsed() >= period);
        let must = changed || old || table.is_outdated();
        if must {
            self.described_at = Some(Instant::now());
        }
        must
    }

    /// Tells whether a round is due: each period, and soon after urgent news.
    fn must_exchange(&mut self, urgent: bool, rng: &mut StdRng) -> bool {
        self.urgent |= urgent;
        let now = Instant::now();
        let rested = self.exchanged_at.is_none_or(|at| now - at >= URGENT_PERIOD);
        let must = now >= self.next_round_at || (self.urgent && rested);
        if must {
            self.urgent = false;
            self.exchanged_at = Some(now);
            // Spread, so that instances that started together do not call each other all at once.
            self.next_round_at = now + PERIOD.mul_f64(rng.random_range(0.9..1.1));
        }
        must
    }
}

/// Tells other instances that this one drains, and waits until they know or can't be reached.
pub async fn announce_stop(process: &Arc<Process>) {
    process.describe_anew();
    let mut rng = StdRng::seed_from_u64(process.incarnation.0);
    let now = process.clock.now();
    let targets = process.membership.table.lock().shutdown_targets(now, MAX_FAREWELLS, &mut rng);
    let told = targets.into_iter().map(|target| exchange(process.clone(), target));
    futures::future::join_all(told).await;
}

/// Answers an exchange that another instance began.
pub(super) fn answer(process: &Process, from: &Sender, digest: Digest) -> Reply {
    let sync = digest.sync.clone().map(to_request);
    receive(process, from.name.clone(), from.availability_zone.clone(), digest);
    let inside = from.availability_zone == process.settings.availability_zone;
    let (outgoing, page) = {
        let mut table = process.membership.table.lock();
        let now = process.clock.now();
        let size =
            |description: &Description<InstanceDigest>| digest::size_bytes(description, inside);
        let outgoing =
            table.compose_message(now, &from.availability_zone, MESSAGE_BUDGET_BYTES, size);
        (outgoing, sync.as_ref().map(|sync| table.sync_page(now, sync, PAGE_BUDGET_BYTES, size)))
    };
    let mut reply = to_digest(process, outgoing, inside);
    if let Some(page) = page {
        let page_digests = page.descriptions.iter().map(|aged| digest::to_message(aged, inside));
        reply.instances.extend(page_digests);
        reply.more_after = page.more_after;
    }
    Reply::Digest(reply)
}

/// Instances that a round is exchanging with.
#[derive(Clone, Default)]
struct Rounds {
    under_way: Arc<Mutex<HashSet<Arc<str>>>>,
}

impl Rounds {
    /// Begins an exchange with each target, unless one is under way.
    fn begin(&self, process: &Arc<Process>, targets: Vec<Target>) {
        for target in targets {
            if !self.under_way.lock().insert(target.name.clone()) {
                continue;
            }
            let (process, under_way) = (process.clone(), self.under_way.clone());
            tokio::spawn(async move {
                let name = target.name.clone();
                exchange(process, target).await;
                under_way.lock().remove(&name);
            });
        }
    }
}

async fn exchange(process: Arc<Process>, target: Target) {
    let inside = target.availability_zone == process.settings.availability_zone;
    let (outgoing, sync) = {
        let mut table = process.membership.table.lock();
        let size =
            |description: &Description<InstanceDigest>| digest::size_bytes(description, inside);
        let now = process.clock.now();
        let outgoing =
            table.compose_message(now, &target.availability_zone, MESSAGE_BUDGET_BYTES, size);
        (outgoing, table.sync_request(&target.availability_zone))
    };
    let mut message = to_digest(&process, outgoing, inside);
    message.sync = sync.clone().map(to_position);
    let endpoint = PeerEndpoint {
        address: target.peer_address,
        availability_zone: target.availability_zone.clone(),
    };
    let call = process.peers.call(&endpoint, Request::Digest(message));
    let reply = tokio::time::timeout(EXCHANGE_TIMEOUT, call).await;
    let reply = reply.unwrap_or(Err(PeerError::Timeout));
    process.membership.metrics.count_exchange(reply.is_ok());
    match reply {
        Ok(Reply::Digest(digest)) => take_reply(&process, &target, digest, sync),
        Ok(_) => reached(&process, &target),
        Err(error) => failed(&process, &target, error),
    }
}

fn take_reply(process: &Process, target: &Target, digest: Digest, sync: Option<SyncRequest>) {
    // The address may have gone to another instance; the first description is the answering one's.
    let answering = digest.instances.first().map(|instance| instance.name.clone());
    if answering.is_some_and(|name| name != target.name) {
        failed(process, target, PeerError::Unreachable);
        return;
    }
    let more_after = digest.more_after.clone();
    receive(process, target.name.clone(), target.availability_zone.clone(), digest);
    if let Some(sync) = sync {
        process.membership.table.lock().record_synced_page(&sync, more_after);
    }
}

fn reached(process: &Process, target: &Target) {
    let now = process.clock.now();
    process.membership.table.lock().record_success(now, &target.name, &target.availability_zone);
}

fn failed(process: &Process, target: &Target, error: PeerError) {
    let no_connection = match error {
        PeerError::Unreachable | PeerError::Unauthenticated => true,
        PeerError::Timeout | PeerError::Broken | PeerError::UnexpectedReply => false,
        // Our own message was at fault.
        PeerError::TooLarge => return,
    };
    let now = process.clock.now();
    process.membership.table.lock().record_failure(now, &target.name, no_connection);
    process.publish_members();
}

fn receive(process: &Process, from: Arc<str>, from_zone: Arc<str>, digest: Digest) {
    let count = digest.instances.len();
    let descriptions: Vec<_> =
        digest.instances.into_iter().filter_map(digest::from_message).collect();
    let valid = descriptions.len();
    let suspicions = digest.suspicions.into_iter().map(to_suspicion).collect();
    let incoming = Incoming {
        from,
        from_zone,
        descriptions,
        suspicions,
        unreachable_zones: digest.unreachable_zones,
    };
    let news = process.membership.table.lock().receive(process.clock.now(), incoming);
    process.membership.metrics.count_descriptions(news.len(), valid - news.len(), count - valid);
    digest::deliver(process, &news);
    process.publish_members();
}

fn to_digest(process: &Process, outgoing: Outgoing<InstanceDigest>, inside: bool) -> Digest {
    let version = process.version.load();
    let to_message = |aged| digest::to_message(aged, inside);
    Digest {
        instances: outgoing.descriptions.iter().map(to_message).collect(),
        configuration_number: version.as_ref().map_or(0, |version| version.number),
        suspicions: outgoing.suspicions.into_iter().map(from_suspicion).collect(),
        unreachable_zones: outgoing.unreachable_zones,
        sync: None,
        more_after: None,
    }
}

fn listed(entry: InstanceEntry) -> Listed {
    Listed {
        name: entry.name,
        availability_zone: entry.availability_zone,
        caller_address: entry.caller_address,
        peer_address: entry.peer_address,
        leaving: entry.state == InstanceState::Leaving,
    }
}

fn to_suspicion(suspicion: Suspicion) -> steering::membership::Suspicion {
    let version =
        DescriptionVersion { generation: suspicion.generation, sequence: suspicion.sequence };
    steering::membership::Suspicion { name: suspicion.name, version }
}

fn from_suspicion(suspicion: steering::membership::Suspicion) -> Suspicion {
    let DescriptionVersion { generation, sequence } = suspicion.version;
    Suspicion { name: suspicion.name, generation, sequence }
}

fn to_request(position: SyncPosition) -> SyncRequest {
    SyncRequest { availability_zone: position.availability_zone, after: position.after }
}

fn to_position(request: SyncRequest) -> SyncPosition {
    SyncPosition { availability_zone: request.availability_zone, after: request.after }
}
