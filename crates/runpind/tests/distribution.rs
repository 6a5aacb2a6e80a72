//! Distribution of configuration versions from the platform to every instance.

mod faults;
mod instances;

use configuration::{BlockChunk, MANIFEST_KEY, Manifest};
use faults::FaultyStore;
use instances::{Fleet, PLATFORM, configuration_text, proposal, proposal_of};
use lab::PlatformFaults;
use platform::{Expected, ObjectStore};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use runpind::process::acceptance::propose;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use steering::adoption::{NotServing, Source};

const ZONES: usize = 3;
const INSTANCES_PER_ZONE: usize = 4;
const CHANGES: u64 = 60;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Writes a manifest to the platform without validation, as a faulty release might.
async fn write_unchecked(fleet: &Fleet, number: u64, text: &str, chunks: &[BlockChunk]) {
    let manifest = Manifest {
        number,
        write_id: format!("forced-{number}").into(),
        author: "anna".into(),
        applied_at_s: 0,
        text: text.into(),
        chunks: chunks.iter().map(|chunk| chunk.reference.clone()).collect(),
        ..Manifest::default()
    };
    let current = fleet.platform.get(MANIFEST_KEY).await.expect("read");
    let expected = current.map_or(Expected::Absent, |object| Expected::Version(object.version));
    let value = manifest.to_json().expect("manifest").into();
    fleet.platform.put(MANIFEST_KEY, value, expected).await.expect("written");
}

/// Waits until an instance reports a failure, and returns its kind and version number.
async fn wait_for_failure(fleet: &Fleet, name: &str) -> (&'static str, Option<u64>) {
    loop {
        let status = fleet.nodes[name].process.configuration.status();
        if let Some(failure) = status.last_failure {
            return (failure.kind, failure.number);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Checks that the version number never decreases within an incarnation of an instance.
#[derive(Default)]
struct VersionMonitor {
    seen: BTreeMap<(Arc<str>, u64), u64>,
}

impl VersionMonitor {
    fn check(&mut self, fleet: &Fleet) {
        for (name, node) in &fleet.nodes {
            let incarnation = (name.clone(), node.process.incarnation.0);
            let seen = self.seen.entry(incarnation).or_default();
            assert!(node.number() >= *seen, "{name} went from {seen} to {}", node.number());
            *seen = node.number();
        }
    }

    async fn check_for(&mut self, fleet: &Fleet, duration: Duration) {
        let end = tokio::time::Instant::now() + duration;
        while tokio::time::Instant::now() < end {
            tokio::time::sleep(POLL_INTERVAL).await;
            self.check(fleet);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn versions_never_revert_under_lost_responses_partitions_and_restarts() {
    let mut fleet = Fleet::with_zones(ZONES, INSTANCES_PER_ZONE);
    fleet.partitions.set_delay(Duration::from_millis(5));
    let operator = FaultyStore::new(fleet.platform.clone(), 1);
    let mut random = StdRng::seed_from_u64(1);
    let mut monitor = VersionMonitor::default();

    for change in 0..CHANGES {
        // A proposal may fail or have an unknown outcome; the loop goes on with the next one.
        let _ = propose(&operator, None, proposal(&format!("operator-{change}"))).await;
        let zone = format!("z{}", random.random_range(0..ZONES));
        match random.random_range(0..6) {
            0 => fleet.partitions.set(&zone, PLATFORM, true),
            1 => fleet.partitions.set(&zone, &format!("z{}", random.random_range(0..ZONES)), true),
            2 => fleet.partitions.heal(),
            3 => {
                let name = format!("{zone}-{}", random.random_range(0..INSTANCES_PER_ZONE));
                fleet.kill(&name).await;
                fleet.start(&name, &zone);
            }
            _ => {}
        }
        monitor.check_for(&fleet, Duration::from_secs(1)).await;
    }
    fleet.partitions.heal();
    let last = propose(&*fleet.platform, None, proposal("last")).await.expect("accepted").number;
    fleet.wait_for(last).await;
    monitor.check(&fleet);

    assert!(last > CHANGES / 2, "only {last} versions were accepted");
    assert!(fleet.nodes.values().all(|node| node.number() == last));
}

#[tokio::test(start_paused = true)]
async fn most_instances_get_a_version_from_peers() {
    let fleet = Fleet::with_zones(ZONES, INSTANCES_PER_ZONE);
    propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");
    fleet.wait_for(1).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = fleet.platform.calls();

    propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");
    fleet.wait_for(2).await;

    let from_peers = fleet.nodes.values().filter(|node| {
        let source = node.process.configuration.status().source;
        matches!(source, Some(Source::Peer(_)))
    });
    let watchers = ZONES * steering::watchers::WATCHERS_PER_ZONE;
    assert!(from_peers.count() >= fleet.nodes.len() - watchers);
    // Each watcher's watch that returned the change and its next one, and the proposal's own calls.
    assert!(fleet.platform.calls() - before <= 2 * watchers as u64 + 8);
}

#[tokio::test(start_paused = true)]
async fn in_an_outage_nothing_reverts_and_a_new_instance_starts_from_peers() {
    let mut fleet = Fleet::with_zones(ZONES, INSTANCES_PER_ZONE);
    for _ in 0..3 {
        propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");
    }
    fleet.wait_for(3).await;
    let mut monitor = VersionMonitor::default();
    fleet.platform.set_faults(PlatformFaults { outage: true, ..Default::default() });

    let refused = propose(&*fleet.platform, None, proposal("anna")).await;
    fleet.start("z1-new", "z1");
    fleet.wait_for(3).await;
    monitor.check_for(&fleet, Duration::from_secs(120)).await;
    fleet.platform.set_faults(PlatformFaults::default());
    propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");
    fleet.wait_for(4).await;
    monitor.check(&fleet);

    assert!(refused.is_err());
}

#[tokio::test(start_paused = true)]
async fn without_platform_and_peers_an_instance_does_not_serve_and_reports_the_reason() {
    let mut fleet = Fleet::new();
    fleet.platform.set_faults(PlatformFaults { outage: true, ..Default::default() });

    fleet.start("alone", "z0");
    let process = fleet.nodes["alone"].process.clone();
    while process.configuration.status().not_serving != Some(NotServing::NoSourceReachable) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }

    let reason = process.configuration.status().explain();
    assert!(reason.contains("neither the platform nor any instance is in reach"), "{reason}");
    assert_eq!(fleet.nodes["alone"].number(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_zone_partitioned_from_the_platform_gets_versions_from_other_zones() {
    let fleet = Fleet::with_zones(ZONES, INSTANCES_PER_ZONE);
    propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");
    fleet.wait_for(1).await;
    fleet.partitions.set("z2", PLATFORM, true);

    propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");

    fleet.wait_for(2).await;
}

#[tokio::test(start_paused = true)]
async fn an_invalid_manifest_leaves_the_last_valid_one_active() {
    let fleet = Fleet::with_zones(1, 2);
    propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");
    fleet.wait_for(1).await;

    write_unchecked(&fleet, 2, "[deployment]", &[]).await;
    let failure = wait_for_failure(&fleet, "z0-0").await;

    assert_eq!(failure, ("invalid", Some(2)));
    assert!(fleet.nodes.values().all(|node| node.number() == 1));
    write_unchecked(&fleet, 3, &configuration_text(), &[]).await;
    fleet.wait_for(3).await;
}

#[tokio::test(start_paused = true)]
async fn a_missing_chunk_leaves_the_last_valid_version_active() {
    let fleet = Fleet::with_zones(1, 2);
    propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");
    fleet.wait_for(1).await;
    let chunk = BlockChunk::new("10.0.0.0/24 z0");

    write_unchecked(&fleet, 2, &configuration_text(), std::slice::from_ref(&chunk)).await;
    let failure = wait_for_failure(&fleet, "z0-0").await;
    let before = fleet.nodes["z0-0"].number();
    let value = chunk.text.as_bytes().to_vec().into();
    fleet.platform.put(&chunk.reference.key(), value, Expected::Absent).await.expect("written");
    write_unchecked(&fleet, 3, &configuration_text(), &[chunk]).await;
    fleet.wait_for(3).await;

    assert_eq!(failure, ("missing_chunk", Some(2)));
    assert_eq!(before, 1);
}

#[tokio::test(start_paused = true)]
async fn a_chunk_that_does_not_match_its_digest_is_not_used() {
    let fleet = Fleet::with_zones(1, 2);
    propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");
    fleet.wait_for(1).await;
    let chunk = BlockChunk::new("10.0.0.0/24 z0");
    let other = b"10.0.0.0/24 z1".to_vec().into();
    fleet.platform.put(&chunk.reference.key(), other, Expected::Absent).await.expect("written");

    write_unchecked(&fleet, 2, &configuration_text(), &[chunk]).await;
    let failure = wait_for_failure(&fleet, "z0-0").await;

    assert_eq!(failure, ("missing_chunk", Some(2)));
    assert!(fleet.nodes.values().all(|node| node.number() == 1));
}

#[tokio::test(start_paused = true)]
async fn large_configurations_pass_between_instances_in_parts() {
    let fleet = Fleet::with_zones(ZONES, INSTANCES_PER_ZONE);
    let blocks: String = (0..60_000)
        .map(|n: u32| format!("10.{}.{}.{}/32 z0\n", n >> 16, (n >> 8) & 255, n & 255))
        .collect();
    let comment = format!("# {}\n", "x".repeat(300_000));
    let large = proposal_of("anna", &(configuration_text() + comment.as_str()), Some(&blocks));

    propose(&*fleet.platform, None, large).await.expect("accepted");
    fleet.wait_for(1).await;

    let from_peer = fleet.nodes.values().find(|node| {
        let source = node.process.configuration.status().source;
        matches!(source, Some(Source::Peer(_)))
    });
    let process = &from_peer.expect("an instance with the version from a peer").process;
    let version = process.version.load_full().expect("an active version");
    assert_eq!(version.chunks.iter().map(|chunk| chunk.reference.blocks).sum::<usize>(), 60_000);
    let address = "10.0.234.95".parse().expect("an address");
    assert_eq!(version.zone_of_caller(address), version.configuration.zone("z0"));
}
