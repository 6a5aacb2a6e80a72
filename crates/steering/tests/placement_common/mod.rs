//! Fixtures for the tests of placement.
#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::deployment::{
    AllowedRegions, BackendServer, BackendServers, Deployment, RequestKind, Service,
};
use steering::placement::peers::Demand;
use steering::placement::roster::demand_key;
use steering::placement::{Peer, PeerState, Peers, PlacementRequest, Roster};

/// The service of all fixtures.
pub(crate) const SERVICE: &str = "dossier";

/// Two regions of two availability zones each.
pub(crate) const ZONES: [(&str, &str); 4] =
    [("north-a", "north"), ("north-b", "north"), ("south-a", "south"), ("south-b", "south")];

pub(crate) fn name(text: &str) -> Arc<str> {
    text.into()
}

pub(crate) fn regions() -> HashMap<Arc<str>, Arc<str>> {
    ZONES.iter().map(|(zone, region)| (name(zone), name(region))).collect()
}

pub(crate) fn region_of(zone: &str) -> Arc<str> {
    regions()[zone].clone()
}

pub(crate) fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

pub(crate) fn server(zone: &str, slots: u32) -> BackendServer {
    BackendServer {
        service: name(SERVICE),
        address: address(9000),
        availability_zone: name(zone),
        version: name("v1"),
        slots,
        draining: false,
        cold_remaining: Duration::ZERO,
        started_ms: 0,
        revision: 0,
    }
}

/// Backend servers named `ZONE-NUMBER`, with the given count in each availability zone.
pub(crate) fn servers(counts: &[(&str, usize)], slots: u32) -> BackendServers {
    let of_zone = |(zone, count): &(&str, usize)| {
        let zone = (*zone).to_owned();
        (0..*count).map(move |number| (name(&format!("{zone}-{number}")), server(&zone, slots)))
    };
    counts.iter().flat_map(of_zone).collect()
}

pub(crate) fn deployment() -> Deployment {
    let service = Service {
        health_path: name("/health"),
        max_connections: 100,
        cold_start: Duration::from_secs(3),
        cold_rate_per_s: 11.0,
    };
    Deployment { version: 1, services: [(name(SERVICE), service)].into(), ..Deployment::default() }
}

pub(crate) fn peer(instance: &str, zone: &str) -> Peer {
    Peer {
        name: name(instance),
        started_ms: 1,
        heartbeat: 1,
        state: PeerState::Serving,
        caller_address: address(7001),
        gossip_address: address(7002),
        knowledge_address: address(7003),
        availability_zone: name(zone),
        region: region_of(zone),
        alive_peers: 0,
        objects: Vec::new(),
        reaches_store: true,
        revisions: [0; 5],
        demand: Vec::new(),
    }
}

pub(crate) fn with_demand(
    mut peer: Peer,
    movable_per_s: f32,
    keys: impl Into<Option<u32>>,
) -> Peer {
    let demand = Demand { movable_per_s, keys: keys.into(), ..Demand::default() };
    peer.demand = vec![(demand_key(SERVICE), demand)];
    peer
}

/// The roster of an instance in a zone, with these backend servers.
pub(crate) fn roster(
    instance: &str,
    zone: &str,
    backend_servers: &BackendServers,
    now: Instant,
) -> Roster {
    let mut roster = Roster::new(instance, name(zone), regions());
    roster.set_deployment(&deployment());
    roster.set_servers(backend_servers, now);
    roster
}

/// Steps a roster once, after heartbeats of the other instances.
pub(crate) fn step(roster: &mut Roster, own: &Peer, others: &[Peer], now: Instant) {
    let mut peers = Peers::default();
    for other in others {
        peers.record(other.clone(), now);
    }
    roster.update_shares(own, &peers, now);
}

pub(crate) fn placement_request<'a>(
    service: &'a Arc<str>,
    key_hash: u64,
    excluded: &'a [Arc<str>],
) -> PlacementRequest<'a> {
    PlacementRequest {
        service,
        key_hash,
        kind: RequestKind::Idempotent,
        allowed_regions: &AllowedRegions::Any,
        excluded,
        remaining_objective: Duration::from_millis(500),
        min_wait_budget: Duration::from_millis(50),
        is_hedge: false,
    }
}
