//! Measures how configuration versions reachability every instance, and prints the results.
//!
//! `cargo bench -p runpind --bench configuration -- PART` with one of `spread`, `outage`,
//! `recovery`, `blocks`; without a part, all of them run.

#![allow(clippy::print_stdout, reason = "the benchmark prints its results")]

#[path = "../tests/demand/mod.rs"]
mod demand;
#[path = "../tests/faults/mod.rs"]
mod faults;
#[path = "../tests/instances/mod.rs"]
mod instances;

use configuration::chunk_blocks;
use demand::{Demand, WorstSecond};
use faults::FaultyStore;
use instances::{Fleet, PLATFORM, configuration_text, proposal, proposal_of};
use lab::PlatformFaults;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use runpind::process::acceptance::propose;
use std::collections::HashSet;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};

const ZONES: usize = 3;
const INSTANCES_PER_ZONE: usize = 4;
const CHANGES: usize = 120;
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Time after which a version counts as late.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(6);

fn main() {
    let part = std::env::args().skip(1).find(|argument| !argument.starts_with('-'));
    let is_selected = |name: &str| part.as_deref().is_none_or(|part| part == name);
    if is_selected("blocks") {
        runtime().block_on(blocks());
    }
    if is_selected("spread") {
        runtime().block_on(spread());
    }
    if is_selected("outage") {
        runtime().block_on(outage());
    }
    for instances in [300, 3_900] {
        if is_selected("recovery") {
            paused_runtime().block_on(recovery(instances));
        }
    }
}

fn runtime() -> Runtime {
    Builder::new_multi_thread().worker_threads(4).enable_all().build().expect("a runtime")
}

/// Returns a runtime whose clock advances only while it is idle.
fn paused_runtime() -> Runtime {
    Builder::new_current_thread().enable_all().start_paused(true).build().expect("a runtime")
}

/// The availability zones that a version can reachability, through at most one other zone.
struct Reachability {
    partitions: HashSet<(String, String)>,
}

impl Reachability {
    fn is_cut(&self, a: &str, b: &str) -> bool {
        self.partitions.contains(&(a.to_owned(), b.to_owned()))
            || self.partitions.contains(&(b.to_owned(), a.to_owned()))
    }

    fn reaches(&self, zone: &str) -> bool {
        let is_path = |other: &String| {
            !self.is_cut(PLATFORM, other) && (zone == other || !self.is_cut(zone, other))
        };
        (0..ZONES).map(|number| format!("z{number}")).any(|other| is_path(&other))
    }
}

async fn spread() {
    let mut fleet = Fleet::with_zones(ZONES, INSTANCES_PER_ZONE);
    fleet.partitions.set_delay(Duration::from_millis(17));
    let operator = FaultyStore::new(fleet.platform.clone(), 1);
    let mut random = StdRng::seed_from_u64(1);
    let mut reachability = Reachability { partitions: HashSet::new() };
    let mut times_ms = Vec::new();
    let (mut accepted, mut late, mut reverts, mut calls, mut kills) = (0_u64, 0_u64, 0, 0, 0);
    propose(&*fleet.platform, None, proposal("first")).await.expect("accepted");
    fleet.wait_for(1).await;
    for change in 0..CHANGES {
        disturb(&mut fleet, &mut reachability, &mut random, &mut kills).await;
        let calls_before = fleet.platform.calls();
        let started = Instant::now();
        let outcome = propose(&operator, None, proposal(&format!("operator-{change}"))).await;
        let Ok(version) = outcome else { continue };
        accepted += 1;
        let accepted_at = Instant::now();
        let mut waiting: Vec<_> = fleet
            .nodes
            .iter()
            .filter(|(name, _)| reachability.reaches(&name[..2]))
            .map(|(_, node)| (node, node.number()))
            .collect();
        while !waiting.is_empty() && accepted_at.elapsed() < ACTIVATION_TIMEOUT {
            waiting.retain_mut(|(node, seen)| {
                reverts += u64::from(node.number() < *seen);
                *seen = node.number();
                let is_active = *seen >= version.number;
                if is_active {
                    times_ms.push(accepted_at.elapsed().as_secs_f64() * 1_000.0);
                }
                !is_active
            });
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        late += waiting.len() as u64;
        tokio::time::sleep(Duration::from_secs(1).saturating_sub(started.elapsed())).await;
        calls += fleet.platform.calls() - calls_before;
    }
    times_ms.sort_by(f64::total_cmp);
    let quantile = |quantile: f64| times_ms[((times_ms.len() - 1) as f64 * quantile) as usize];
    println!(
        "spread: {ZONES} zones x {INSTANCES_PER_ZONE} instances, 17 ms one way, {CHANGES} proposals"
    );
    println!("  accepted {accepted}, instances killed and restarted {kills}");
    println!(
        "  from accepted to active, each reachable instance: p50 {:.0} ms, p99 {:.0} ms, max {:.0} ms ({} samples)",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0),
        times_ms.len()
    );
    println!("  not active after 6 s: {late}; reverts: {reverts}");
    println!(
        "  calls to the platform for each accepted version: {:.1}",
        calls as f64 / accepted as f64
    );
}

/// Adds a network partition, heals all partitions, or restarts an instance.
async fn disturb(
    fleet: &mut Fleet,
    reachability: &mut Reachability,
    random: &mut StdRng,
    kills: &mut u64,
) {
    let zone = format!("z{}", random.random_range(0..ZONES));
    match random.random_range(0..6) {
        0 => {
            fleet.partitions.set(&zone, PLATFORM, true);
            reachability.partitions.insert((zone, PLATFORM.to_owned()));
        }
        1 => {
            let other = format!("z{}", random.random_range(0..ZONES));
            if other != zone {
                fleet.partitions.set(&zone, &other, true);
                reachability.partitions.insert((zone, other));
            }
        }
        2 => {
            fleet.partitions.heal();
            reachability.partitions.clear();
        }
        3 => {
            let name = format!("{zone}-{}", random.random_range(0..INSTANCES_PER_ZONE));
            fleet.kill(&name).await;
            fleet.start(&name, &zone);
            *kills += 1;
        }
        _ => {}
    }
}

async fn outage() {
    let mut fleet = Fleet::with_zones(ZONES, INSTANCES_PER_ZONE);
    fleet.partitions.set_delay(Duration::from_millis(17));
    propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");
    fleet.wait_for(1).await;
    fleet.platform.set_faults(PlatformFaults { outage: true, ..Default::default() });
    let (mut refused, mut reverts) = (0, 0);
    let calls_before = fleet.platform.calls();
    for _ in 0..30 {
        let outcome = propose(&*fleet.platform, None, proposal("berta")).await;
        refused += u64::from(outcome.is_err());
        tokio::time::sleep(Duration::from_secs(1)).await;
        reverts += fleet.nodes.values().filter(|node| node.number() < 1).count();
    }
    let calls = fleet.platform.calls() - calls_before - 30;
    let started = Instant::now();
    fleet.start("z1-new", "z1");
    fleet.wait_for(1).await;
    let join_time = started.elapsed();
    fleet.platform.set_faults(PlatformFaults::default());
    let version = propose(&*fleet.platform, None, proposal("anna")).await.expect("accepted");
    let outage_ended_at = Instant::now();
    fleet.wait_for(version.number).await;
    println!("outage of 30 s: {refused} of 30 proposals refused, {reverts} reverts");
    println!("  calls of 12 instances, without a budget: {:.1}/s", calls as f64 / 30.0);
    println!("  a new instance gets the version from peers after {} ms", join_time.as_millis());
    println!(
        "  first version after the outage active everywhere after {} ms",
        outage_ended_at.elapsed().as_millis()
    );
}

async fn recovery(instances: usize) {
    let demand = Demand::start(instances);
    let before = demand.count_calls(Duration::from_secs(30)).await;
    demand.set_outage(true);
    demand.count_calls(Duration::from_secs(60)).await;
    let outage = demand.count_calls(Duration::from_secs(3_540)).await;
    demand.set_outage(false);
    let recovery = demand.count_calls(Duration::from_secs(120)).await;
    println!("recovery: {instances} instances that each want 4 calls a second, outage of one hour");
    println!(
        "  calls per second: before, mean {:.0}; in the outage, mean {:.0}, worst {}",
        mean(&before),
        mean(&outage),
        outage.worst_second()
    );
    println!("  in the first 10 s after it: {:?}", &recovery[..10]);
    println!(
        "  worst second of 120 s after it: {}; mean of the last 30 s: {:.0}; circuits open: {}",
        recovery.worst_second(),
        mean(&recovery[90..]),
        demand.open_circuits()
    );
}

fn mean(calls: &[u64]) -> f64 {
    calls.iter().sum::<u64>() as f64 / calls.len() as f64
}

const BLOCK_COUNT: u32 = 660_000;

async fn blocks() {
    let line = |n: u32| {
        format!("10.{}.{}.0/28 z{}\n", n >> 12 & 255, n >> 4 & 255, n % 3)
            .replace(".0/28", &format!(".{}/28", (n & 15) << 4))
    };
    let all: String = (0..BLOCK_COUNT).map(line).collect();
    let changed = all.replacen("10.40.1.16/28 z", "10.40.1.16/29 z", 1);
    let (old, new) = (chunk_blocks(&all), chunk_blocks(&changed));
    let old_references: HashSet<_> = old.iter().map(|chunk| &chunk.reference).collect();
    let sent: Vec<_> =
        new.iter().filter(|chunk| !old_references.contains(&chunk.reference)).collect();
    let sent_bytes: usize = sent.iter().map(|chunk| chunk.text.len()).sum();
    let largest = old.iter().map(|chunk| chunk.text.len()).max().unwrap_or(0);
    println!("blocks: {} lines, {} bytes", all.lines().count(), all.len());
    println!("  {} chunks, the largest {largest} bytes", old.len());
    println!("  change of one line: {} chunks, {sent_bytes} bytes", sent.len());
    drop((old, new));
    let rss_before = resident_bytes();
    let mut fleet = Fleet::new();
    fleet.start("z0-0", "z0");
    let started = Instant::now();
    let first =
        propose(&*fleet.platform, None, proposal_of("anna", &configuration_text(), Some(&all)))
            .await;
    let first = first.expect("accepted");
    println!("  manifest: {} bytes", first.to_json().expect("manifest").len());
    println!("  accepted after {} ms (without a budget)", started.elapsed().as_millis());
    fleet.wait_for(1).await;
    let rss_one = resident_bytes();
    fleet.start("z0-1", "z0");
    fleet.wait_for(1).await;
    let rss_two = resident_bytes();
    let mib = |bytes: u64| bytes as f64 / f64::from(1 << 20);
    println!(
        "  resident: {:.0} MiB before, {:.0} with the mock platform and one instance, {:.0} with two",
        mib(rss_before),
        mib(rss_one),
        mib(rss_two)
    );
    let cpu_before = cpu_seconds();
    let started = Instant::now();
    let second =
        propose(&*fleet.platform, None, proposal_of("anna", &configuration_text(), Some(&changed)));
    let second = second.await.expect("accepted");
    let cpu_proposed = cpu_seconds();
    fleet.wait_for(second.number).await;
    println!(
        "  change of one line: accepted and active on both after {} ms; processor time {:.0} ms for the proposal",
        started.elapsed().as_millis(),
        (cpu_proposed - cpu_before) * 1_000.0
    );
    let version = fleet.nodes["z0-0"].process.version.load_full().expect("an active version");
    let started = Instant::now();
    let manifest = (*version.manifest).clone();
    let rebuilt = runpind::version::Version::build(manifest, version.chunks.clone(), "z0");
    println!("  building one version: {} ms", started.elapsed().as_millis());
    println!("  table: {} bytes", rebuilt.expect("built").blocks.memory_bytes());
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}

fn cpu_seconds() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}
