//! Cost of one update of the shares at an instance, for 48 and 663 backend servers, with the
//! built-in rule alone and with two arms.

#![allow(missing_docs, reason = "the macros of the harness generate a public function")]

use criterion::{Criterion, criterion_group, criterion_main};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::deployment::{Arm, BackendServer, BackendServers, Policies};
use steering::placement::peers::Demand;
use steering::placement::roster::demand_key;
use steering::placement::{Peer, PeerState, Peers, Roster};

/// Availability zones, two to a region.
const ZONES: [&str; 6] = ["a1", "a2", "b1", "b2", "c1", "c2"];

/// Services of the sites.
const SERVICES: [&str; 3] = ["dossier", "agenda", "atelier"];

const PROGRAM: &str = include_str!("../../../examples/policies/latency-first.rhai");

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9000))
}

fn servers(count: usize) -> BackendServers {
    let server = |number: usize| BackendServer {
        service: SERVICES[number % SERVICES.len()].into(),
        address: address(),
        availability_zone: ZONES[number % ZONES.len()].into(),
        version: "v1".into(),
        slots: 9,
        draining: false,
        cold_remaining: Duration::ZERO,
        started_ms: 0,
        revision: 0,
    };
    (0..count).map(|number| (Arc::from(format!("i-{number}")), server(number))).collect()
}

fn own() -> Peer {
    let demand =
        Demand { movable_per_s: 60.0, pinned_per_s: 1.0, keys: Some(40), ..Demand::default() };
    Peer {
        name: "one".into(),
        started_ms: 1,
        heartbeat: 1,
        state: PeerState::Serving,
        caller_address: address(),
        gossip_address: address(),
        knowledge_address: address(),
        availability_zone: "a1".into(),
        region: "a".into(),
        alive_peers: 0,
        objects: Vec::new(),
        reaches_store: true,
        revisions: [0; 5],
        demand: SERVICES.iter().map(|service| (demand_key(service), demand.clone())).collect(),
    }
}

fn roster(count: usize, arms: &[Arm], now: Instant) -> Roster {
    let regions: HashMap<Arc<str>, Arc<str>> =
        ZONES.iter().map(|zone| (Arc::from(*zone), Arc::from(&zone[..1]))).collect();
    let mut roster = Roster::new("one", "a1".into(), regions);
    roster.set_servers(&servers(count), now);
    let policies = Policies { number: 1, arms: arms.to_vec() };
    roster.set_policies(&policies).expect("the programs compile");
    roster
}

fn update_shares(criterion: &mut Criterion) {
    let program: Arc<str> = PROGRAM.into();
    let arm = |name: &str| Arm { name: name.into(), weight: 1, program: Some(program.clone()) };
    for count in [48, 663] {
        for (policy, arms) in [("built-in", vec![]), ("two arms", vec![arm("a"), arm("b")])] {
            let mut now = Instant::now();
            let mut roster = roster(count, &arms, now);
            let (own, peers) = (own(), Peers::default());
            criterion.bench_function(&format!("shares/{count} servers/{policy}"), |bencher| {
                bencher.iter(|| {
                    now += Duration::from_millis(800);
                    roster.update_shares(&own, &peers, now)
                });
            });
        }
    }
}

criterion_group!(benches, update_shares);
criterion_main!(benches);
