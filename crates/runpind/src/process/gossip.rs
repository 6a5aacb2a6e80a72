//! Gossip with other instances, and polling of the platform's list of instances.

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

/// Interval between reads of the platform's list.
const LIST_PERIOD: Duration = Duration::from_secs(1);

/// Interval between gossip rounds.
const ROUND_PERIOD: Duration = Duration::from_secs(1);

/// Interval between checks for due work.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Minimum interval between gossip rounds when there are urgent updates.
const MIN_ROUND_PERIOD: Duration = Duration::from_millis(250);

/// Maximum wait for the reply of a gossip exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(750);

/// Interval between descriptions of this instance, per other instance of its availability zone.
const DESCRIBE_PERIOD_PER_PEER: Duration = Duration::from_millis(100);

/// Maximum interval between descriptions of this instance.
const MAX_DESCRIBE_PERIOD: Duration = Duration::from_secs(15);

/// Maximum bytes of descriptions in a gossip message.
pub const MESSAGE_BUDGET_BYTES: usize = 450;

/// Maximum bytes of descriptions in a page of a full synchronization.
const MAX_PAGE_BYTES: usize = 4_000;

/// Maximum number of instances notified directly of a planned stop.
const MAX_STOP_NOTIFICATIONS: usize = 64;

/// Polls the platform's list of instances; after a failed read the previous list stays in use.
pub async fn poll_instance_list(process: Arc<Process>, directory: Arc<dyn InstanceDirectory>) {
    process.enable_publishing();
    loop {
        if let Ok(list) = directory.instances().await {
            let now = process.clock.now();
            process.membership.table.lock().apply_list(now, list.entry.into_iter().map(to_listed));
            process.publish_members();
            process.set_leaving_servers(&list.leaving_backend_servers);
        }
        tokio::time::sleep(LIST_PERIOD).await;
    }
}

/// Runs gossip rounds until the task is dropped.
pub async fn run(process: Arc<Process>) {
    process.enable_publishing();
    let mut rng = StdRng::seed_from_u64(process.incarnation.0);
    let mut schedule = Schedule::new();
    let exchanges = InFlightExchanges::default();
    let mut ticks = tokio::time::interval(CHECK_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if schedule.is_description_due(&process) {
            process.refresh_description();
        }
        let urgent = process.membership.table.lock().take_urgent();
        if schedule.is_round_due(urgent, &mut rng) {
            let now = process.clock.now();
            let targets = process.membership.table.lock().targets(now, &mut rng);
            exchanges.start(&process, targets);
            process.publish_members();
        }
    }
}

/// Schedule of descriptions of this instance and of gossip rounds.
struct Schedule {
    last_described_at: Option<Instant>,
    last_round_at: Option<Instant>,
    next_round_at: Instant,
    urgent: bool,
}

impl Schedule {
    fn new() -> Self {
        Self {
            last_described_at: None,
            last_round_at: None,
            next_round_at: Instant::now(),
            urgent: false,
        }
    }

    /// Returns whether this instance's description is too old, lacks an urgent change, or is
    /// outdated according to the membership.
    ///
    /// If it is due, records the current time as the time of the last description.
    fn is_description_due(&mut self, process: &Process) -> bool {
        let own = digest::compose_own(process);
        let table = process.membership.table.lock();
        let announced = table.own_description().map(|description| &description.payload);
        let changed = announced.is_none_or(|announced| digest::differs_urgently(announced, &own));
        let peers =
            u32::try_from(table.reachable_zone_peers(process.clock.now())).unwrap_or(u32::MAX);
        let period = DESCRIBE_PERIOD_PER_PEER.saturating_mul(peers);
        let period = period.clamp(ROUND_PERIOD, MAX_DESCRIBE_PERIOD);
        let is_expired = self.last_described_at.is_none_or(|at| at.elapsed() >= period);
        let is_due = changed || is_expired || table.is_outdated();
        if is_due {
            self.last_described_at = Some(Instant::now());
        }
        is_due
    }

    /// Returns whether a round is due: every [`ROUND_PERIOD`], and earlier after urgent updates.
    ///
    /// If it is due, schedules the next one.
    fn is_round_due(&mut self, urgent: bool, rng: &mut StdRng) -> bool {
        self.urgent |= urgent;
        let now = Instant::now();
        let may_start_early = self.last_round_at.is_none_or(|at| now - at >= MIN_ROUND_PERIOD);
        let is_due = now >= self.next_round_at || (self.urgent && may_start_early);
        if is_due {
            self.urgent = false;
            self.last_round_at = Some(now);
            // Jitter keeps instances that started together from gossiping at the same time.
            self.next_round_at = now + ROUND_PERIOD.mul_f64(rng.random_range(0.9..1.1));
        }
        is_due
    }
}

/// Notifies other instances that this one drains; waits until each has replied or failed.
pub async fn announce_stop(process: &Arc<Process>) {
    process.refresh_description();
    let mut rng = StdRng::seed_from_u64(process.incarnation.0);
    let now = process.clock.now();
    let targets =
        process.membership.table.lock().shutdown_targets(now, MAX_STOP_NOTIFICATIONS, &mut rng);
    let exchanges = targets.into_iter().map(|target| exchange(process.clone(), target));
    futures::future::join_all(exchanges).await;
}

/// Handles a gossip message of another instance and returns the reply.
pub(super) fn answer(process: &Process, from: &Sender, digest: Digest) -> Reply {
    let sync = digest.sync.clone().map(to_sync_request);
    merge_digest(process, from.name.clone(), from.availability_zone.clone(), digest);
    let same_zone = from.availability_zone == process.settings.availability_zone;
    let (outgoing, page) = {
        let mut table = process.membership.table.lock();
        let now = process.clock.now();
        let size =
            |description: &Description<InstanceDigest>| digest::size_bytes(description, same_zone);
        let outgoing =
            table.compose_message(now, &from.availability_zone, MESSAGE_BUDGET_BYTES, size);
        (outgoing, sync.as_ref().map(|sync| table.sync_page(now, sync, MAX_PAGE_BYTES, size)))
    };
    let mut reply = to_digest(process, outgoing, same_zone);
    if let Some(page) = page {
        let page_digests = page.descriptions.iter().map(|aged| digest::to_message(aged, same_zone));
        reply.instances.extend(page_digests);
        reply.more_after = page.more_after;
    }
    Reply::Digest(reply)
}

/// Instances with a gossip exchange in flight.
#[derive(Clone, Default)]
struct InFlightExchanges {
    in_flight: Arc<Mutex<HashSet<Arc<str>>>>,
}

impl InFlightExchanges {
    /// Starts an exchange with each target that has none in flight.
    fn start(&self, process: &Arc<Process>, targets: Vec<Target>) {
        for target in targets {
            if !self.in_flight.lock().insert(target.name.clone()) {
                continue;
            }
            let (process, in_flight) = (process.clone(), self.in_flight.clone());
            tokio::spawn(async move {
                let name = target.name.clone();
                exchange(process, target).await;
                in_flight.lock().remove(&name);
            });
        }
    }
}

async fn exchange(process: Arc<Process>, target: Target) {
    let same_zone = target.availability_zone == process.settings.availability_zone;
    let (outgoing, sync) = {
        let mut table = process.membership.table.lock();
        let size =
            |description: &Description<InstanceDigest>| digest::size_bytes(description, same_zone);
        let now = process.clock.now();
        let outgoing =
            table.compose_message(now, &target.availability_zone, MESSAGE_BUDGET_BYTES, size);
        (outgoing, table.sync_request(&target.availability_zone))
    };
    let mut message = to_digest(&process, outgoing, same_zone);
    message.sync = sync.clone().map(to_sync_position);
    let endpoint = PeerEndpoint {
        address: target.peer_address,
        availability_zone: target.availability_zone.clone(),
    };
    let call = process.peers.call(&endpoint, Request::Digest(message));
    let reply = tokio::time::timeout(EXCHANGE_TIMEOUT, call).await;
    let reply = reply.unwrap_or(Err(PeerError::Timeout));
    process.membership.metrics.count_exchange(reply.is_ok());
    match reply {
        Ok(Reply::Digest(digest)) => process_reply(&process, &target, digest, sync),
        Ok(_) => record_contact(&process, &target),
        Err(error) => record_failure(&process, &target, error),
    }
}

fn process_reply(process: &Process, target: &Target, digest: Digest, sync: Option<SyncRequest>) {
    // The address may have been reassigned; the first description is that of the replying instance.
    let replying = digest.instances.first().map(|instance| instance.name.clone());
    if replying.is_some_and(|name| name != target.name) {
        record_failure(process, target, PeerError::Unreachable);
        return;
    }
    let more_after = digest.more_after.clone();
    merge_digest(process, target.name.clone(), target.availability_zone.clone(), digest);
    if let Some(sync) = sync {
        process.membership.table.lock().record_synced_page(&sync, more_after);
    }
}

fn record_contact(process: &Process, target: &Target) {
    let now = process.clock.now();
    process.membership.table.lock().record_success(now, &target.name, &target.availability_zone);
}

fn record_failure(process: &Process, target: &Target, error: PeerError) {
    let no_connection = match error {
        PeerError::Unreachable | PeerError::Unauthenticated => true,
        PeerError::Timeout | PeerError::Broken | PeerError::UnexpectedReply => false,
        // The failure is caused by the message of this instance, not by the target.
        PeerError::TooLarge => return,
    };
    let now = process.clock.now();
    process.membership.table.lock().record_failure(now, &target.name, no_connection);
    process.publish_members();
}

fn merge_digest(process: &Process, from: Arc<str>, from_zone: Arc<str>, digest: Digest) {
    let count = digest.instances.len();
    let descriptions: Vec<_> =
        digest.instances.into_iter().filter_map(digest::from_message).collect();
    let valid = descriptions.len();
    let suspicions = digest.suspicions.into_iter().map(from_peer_suspicion).collect();
    let incoming = Incoming {
        from,
        from_zone,
        descriptions,
        suspicions,
        unreachable_zones: digest.unreachable_zones,
    };
    let updates = process.membership.table.lock().receive(process.clock.now(), incoming);
    process.membership.metrics.count_descriptions(
        updates.len(),
        valid - updates.len(),
        count - valid,
    );
    digest::apply_updates(process, &updates);
    process.publish_members();
}

fn to_digest(process: &Process, outgoing: Outgoing<InstanceDigest>, same_zone: bool) -> Digest {
    let version = process.version.load();
    let to_message = |aged| digest::to_message(aged, same_zone);
    Digest {
        instances: outgoing.descriptions.iter().map(to_message).collect(),
        configuration_number: version.as_ref().map_or(0, |version| version.number),
        suspicions: outgoing.suspicions.into_iter().map(to_peer_suspicion).collect(),
        unreachable_zones: outgoing.unreachable_zones,
        sync: None,
        more_after: None,
    }
}

fn to_listed(entry: InstanceEntry) -> Listed {
    Listed {
        name: entry.name,
        availability_zone: entry.availability_zone,
        caller_address: entry.caller_address,
        peer_address: entry.peer_address,
        leaving: entry.state == InstanceState::Leaving,
    }
}

fn from_peer_suspicion(suspicion: Suspicion) -> steering::membership::Suspicion {
    let version =
        DescriptionVersion { generation: suspicion.generation, sequence: suspicion.sequence };
    steering::membership::Suspicion { name: suspicion.name, version }
}

fn to_peer_suspicion(suspicion: steering::membership::Suspicion) -> Suspicion {
    let DescriptionVersion { generation, sequence } = suspicion.version;
    Suspicion { name: suspicion.name, generation, sequence }
}

fn to_sync_request(position: SyncPosition) -> SyncRequest {
    SyncRequest { availability_zone: position.availability_zone, after: position.after }
}

fn to_sync_position(request: SyncRequest) -> SyncPosition {
    SyncPosition { availability_zone: request.availability_zone, after: request.after }
}
