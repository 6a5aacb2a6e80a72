//! Versions on their way from the platform to every instance.

mod faults;
mod instances;

use configuration::{BlockChunk, MANIFEST_KEY, Manifest};
use faults::FaultyStore;
use instances::{Fleet, PLATFORM, proposal, proposal_of, text};
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
const PER_ZONE: usize = 4;
const CHANGES: u64 = 60;
const POLL: Duration = Duration::from_millis(10);

/// Writes a manifest to the platform without any check, as a faulty release might.
async fn force(fleet: &Fleet, number: u64, text: &str, chunks: &[BlockChunk]) {
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

async fn failure_of(fleet: &Fleet, name: &str) -> (&'static str, Option<u64>) {
    loop {
        let status = fleet.nodes[name].process.configuration.status();
        if let Some(failure) = status.last_failure {
            return (failure.kind, failure.number);
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Checks that no life of an instance sees its version go down.
#[derive(Default)]
struct Watchdog {
    seen: BTreeMap<(Arc<str>, u64), u64>,
}

impl Watchdog {
    fn look(&mut self, fleet: &Fleet) {
        for (name, node) in &fleet.nodes {
            let life = (name.clone(), node.process.incarnation.0);
            let seen = self.seen.entry(life).or_default();
            assert!(node.number() >= *seen, "{name} went from {seen} to {}", node.number());
            *seen = node.number();
        }
    }

    async fn watch_for(&mut self, fleet: &Fleet, time: Duration) {
        let end = tokio::time::Instant::now() + time;
        while tokio::time::Instant::now() < end {
            tokio::time::sleep(POLL).await;
            self.look(fleet);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn changes_with_lost_answers_cuts_and_restarts_never_revert() {
    let mut fleet = Fleet::with_zones(ZONES, PER_ZONE);
    fleet.cuts.set_delay(Duration::from_millis(5));
    let operator = FaultyStore::new(fleet.platform.clone(), 1);
    let mut random = StdRng::seed_from_u64(1);
    let mut watchdog = Watchdog::default();

    for change in 0..CHANGES {
        // A proposal may fail or stay unsure; the next one is another.
        let _ = propose(&operator, None, proposal(&format!("operator-{change}"))).await;
        let zone = format!("z{}", random.random_range(0..ZONES));
        match random.random_range(0..6) {
            0 => fleet.cuts.set(&zone, PLATFORM, true),
            1 => fleet.cuts.set(&zone, &format!("z{}", random.random_range(0..ZONES)), true),
            2 => fleet.cuts.heal(),
            3 => {
                let name = format!("{zone}-{}", random.random_range(0..PER_ZONE));
                fleet.kill(&name).await;
                fleet.start(&name, &zone);
            }
            _ => {}
        }
        watchdog.watch_for(&fleet, Duration::from_secs(1)).await;
    }
    fleet.cuts.heal();
    let last = propose(&*fleet.platform, None, proposal("last")).await.expect("accepted").number;
    fleet.wait_for(last).await;
    watchdog.look(&fleet);

    assert!(last > CHANGES / 2, "only {last} versions were accepted");
    assert!(fleet.nodes.values().all(|node| node.number() == last));
}

#[tokio::test(start_paused = true)]
async fn most_instances_get_a_version_from_peers() {
    let fleet = Fleet::with_zones(ZONES, PER_ZONE);
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
    // Watches that saw the change and the next ones, and the calls of the proposal itself.
    assert!(fleet.platform.calls() - before <= 2 * watchers as u64 + 8);
}

#[tokio::test(start_paused = true)]
async fn over_an_outage_nothing_reverts_and_a_new_instance_starts_from_peers() {
    let mut fleet = Fleet::with_zones(ZONES, PER_ZONE);
    for _ in 0..3 {
        propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");
    }
    fleet.wait_for(3).await;
    let mut watchdog = Watchdog::default();
    fleet.platform.set_faults(PlatformFaults { outage: true, ..Default::default() });

    let refused = propose(&*fleet.platform, None, proposal("anna")).await;
    fleet.start("z1-new", "z1");
    fleet.wait_for(3).await;
    watchdog.watch_for(&fleet, Duration::from_secs(120)).await;
    fleet.platform.set_faults(PlatformFaults::default());
    propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");
    fleet.wait_for(4).await;
    watchdog.look(&fleet);

    assert!(refused.is_err());
}

#[tokio::test(start_paused = true)]
async fn with_neither_platform_nor_peers_an_instance_does_not_serve_and_says_why() {
    let mut fleet = Fleet::new();
    fleet.platform.set_faults(PlatformFaults { outage: true, ..Default::default() });

    fleet.start("alone", "z0");
    let process = fleet.nodes["alone"].process.clone();
    while process.configuration.status().not_serving != Some(NotServing::NoSourceReachable) {
        tokio::time::sleep(POLL).await;
    }

    let reason = process.configuration.status().explain();
    assert!(reason.contains("neither the platform nor any instance is in reach"), "{reason}");
    assert_eq!(fleet.nodes["alone"].number(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_zone_cut_off_from_the_platform_gets_versions_from_other_zones() {
    let fleet = Fleet::with_zones(ZONES, PER_ZONE);
    propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");
    fleet.wait_for(1).await;
    fleet.cuts.set("z2", PLATFORM, true);

    propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");

    fleet.wait_for(2).await;
}

#[tokio::test(start_paused = true)]
async fn a_bad_manifest_leaves_the_last_good_one_in_force() {
    let fleet = Fleet::with_zones(1, 2);
    propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");
    fleet.wait_for(1).await;

    force(&fleet, 2, "[deployment]", &[]).await;
    let failure = failure_of(&fleet, "z0-0").await;

    assert_eq!(failure, ("invalid", Some(2)));
    assert!(fleet.nodes.values().all(|node| node.number() == 1));
    force(&fleet, 3, &text(), &[]).await;
    fleet.wait_for(3).await;
}

#[tokio::test(start_paused = true)]
async fn a_missing_chunk_leaves_the_last_good_one_in_force_until_it_is_there() {
    let fleet = Fleet::with_zones(1, 2);
    propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");
    fleet.wait_for(1).await;
    let chunk = BlockChunk::new("10.0.0.0/24 z0");

    force(&fleet, 2, &text(), std::slice::from_ref(&chunk)).await;
    let failure = failure_of(&fleet, "z0-0").await;
    let before = fleet.nodes["z0-0"].number();
    let value = chunk.text.as_bytes().to_vec().into();
    fleet.platform.put(&chunk.reference.key(), value, Expected::Absent).await.expect("written");
    force(&fleet, 3, &text(), &[chunk]).await;
    fleet.wait_for(3).await;

    assert_eq!(failure, ("missing_chunk", Some(2)));
    assert_eq!(before, 1);
}

#[tokio::test(start_paused = true)]
async fn a_chunk_that_is_not_what_its_digest_says_is_not_used() {
    let fleet = Fleet::with_zones(1, 2);
    propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");
    fleet.wait_for(1).await;
    let chunk = BlockChunk::new("10.0.0.0/24 z0");
    let other = b"10.0.0.0/24 z1".to_vec().into();
    fleet.platform.put(&chunk.reference.key(), other, Expected::Absent).await.expect("written");

    force(&fleet, 2, &text(), &[chunk]).await;
    let failure = failure_of(&fleet, "z0-0").await;

    assert_eq!(failure, ("missing_chunk", Some(2)));
    assert!(fleet.nodes.values().all(|node| node.number() == 1));
}

#[tokio::test(start_paused = true)]
async fn large_configurations_pass_between_instances_in_parts() {
    let fleet = Fleet::with_zones(ZONES, PER_ZONE);
    let blocks: String = (0..60_000)
        .map(|n: u32| format!("10.{}.{}.{}/32 z0\n", n >> 16, (n >> 8) & 255, n & 255))
        .collect();
    let comment = format!("# {}\n", "x".repeat(300_000));
    let large = proposal_of("anna", &(text() + comment.as_str()), Some(&blocks));

    propose(&*fleet.platform, None, large).await.expect("accepted");
    fleet.wait_for(1).await;

    let from_peer = fleet.nodes.values().find(|node| {
        let source = node.process.configuration.status().source;
        matches!(source, Some(Source::Peer(_)))
    });
    let process = &from_peer.expect("one that has it from a peer").process;
    let version = process.version.load_full().expect("in force");
    assert_eq!(version.chunks.iter().map(|chunk| chunk.reference.blocks).sum::<usize>(), 60_000);
    let address = "10.0.234.95".parse().expect("an address");
    assert_eq!(version.zone_of_caller(address), version.configuration.zone("z0"));
}
