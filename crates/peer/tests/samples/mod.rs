//! Proptest strategies for messages of every kind.

use bytes::Bytes;
use peer::message::{
    ChunkRequest, Digest, GrantReply, GrantRequest, HandOverReply, HandOverRequest, InstanceDigest,
    InstanceStatus, KeyOutcome, KeyRecord, LinkAmount, ManifestRequest, Part, PromiseReply,
    PromiseRequest, ReleaseRequest, ServerFigure, SiteAmount, SiteFigure, Suspicion, SyncPosition,
};
use peer::{Reply, Request};
use proptest::collection::vec;
use proptest::prelude::*;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

fn name() -> impl Strategy<Value = Arc<str>> {
    "[a-zé0-9-]{1,12}".prop_map(Arc::from)
}

fn address() -> impl Strategy<Value = SocketAddr> {
    let v4 = any::<[u8; 4]>().prop_map(IpAddr::from);
    let v6 = any::<[u8; 16]>().prop_map(IpAddr::from);
    (prop_oneof![v4, v6], any::<u16>()).prop_map(SocketAddr::from)
}

fn bytes() -> impl Strategy<Value = Bytes> {
    vec(any::<u8>(), 0..200).prop_map(Bytes::from)
}

fn status() -> impl Strategy<Value = InstanceStatus> {
    prop_oneof![
        Just(InstanceStatus::Joining),
        Just(InstanceStatus::Serving),
        Just(InstanceStatus::Draining),
    ]
}

fn site_figure() -> impl Strategy<Value = SiteFigure> {
    (name(), name(), any::<u32>(), any::<u32>(), any::<u32>(), any::<u16>()).prop_map(
        |(service, availability_zone, in_flight, granted_slots, latency_us, failed_per_mille)| {
            SiteFigure {
                service,
                availability_zone,
                in_flight,
                granted_slots,
                latency_us,
                failed_per_mille,
            }
        },
    )
}

fn server_figure() -> impl Strategy<Value = ServerFigure> {
    (address(), any::<bool>()).prop_map(|(address, leaving)| ServerFigure { address, leaving })
}

pub(crate) fn instance() -> impl Strategy<Value = InstanceDigest> {
    let names = (name(), name());
    let numbers = any::<[u64; 5]>();
    let addresses = (address(), address());
    let lists = (vec(any::<u64>(), 0..3), vec(site_figure(), 0..3), vec(server_figure(), 0..3));
    (names, numbers, addresses, status(), lists).prop_map(
        |(names, numbers, addresses, status, lists)| InstanceDigest {
            name: names.0,
            availability_zone: names.1,
            incarnation: numbers[0],
            generation: numbers[1],
            sequence: numbers[2],
            age_ms: numbers[3],
            caller_address: addresses.0,
            peer_address: addresses.1,
            status,
            configuration_number: numbers[4],
            successor_of: lists.0,
            sites: lists.1,
            servers: lists.2,
        },
    )
}

fn suspicion() -> impl Strategy<Value = Suspicion> {
    (name(), any::<u64>(), any::<u64>()).prop_map(|(name, generation, sequence)| Suspicion {
        name,
        generation,
        sequence,
    })
}

fn sync() -> impl Strategy<Value = SyncPosition> {
    (name(), proptest::option::of(name()))
        .prop_map(|(availability_zone, after)| SyncPosition { availability_zone, after })
}

fn digest() -> impl Strategy<Value = Digest> {
    let lists = (vec(instance(), 0..3), vec(suspicion(), 0..3), vec(name(), 0..3));
    let options = (proptest::option::of(sync()), proptest::option::of(name()));
    (lists, any::<u64>(), options).prop_map(|(lists, configuration_number, options)| Digest {
        instances: lists.0,
        configuration_number,
        suspicions: lists.1,
        unreachable_zones: lists.2,
        sync: options.0,
        more_after: options.1,
    })
}

fn part() -> impl Strategy<Value = Part> {
    (any::<u64>(), any::<u64>(), bytes()).prop_map(|(total_bytes, offset, bytes)| Part {
        total_bytes,
        offset,
        bytes,
    })
}

fn links() -> impl Strategy<Value = Vec<LinkAmount>> {
    let link =
        (name(), any::<u64>(), any::<u64>()).prop_map(|(to, requests_per_ks, bytes_per_s)| {
            LinkAmount { to, requests_per_ks, bytes_per_s }
        });
    vec(link, 0..3)
}

fn sites() -> impl Strategy<Value = Vec<SiteAmount>> {
    let site = (name(), name(), any::<u32>()).prop_map(|(service, availability_zone, slots)| {
        SiteAmount { service, availability_zone, slots }
    });
    vec(site, 0..3)
}

fn outcome() -> impl Strategy<Value = KeyOutcome> {
    prop_oneof![
        Just(KeyOutcome::Ran),
        Just(KeyOutcome::Unknown),
        Just(KeyOutcome::InProgress),
        Just(KeyOutcome::NotRun),
        (any::<u16>(), name(), bytes()).prop_map(|(status, content_type, body)| {
            KeyOutcome::Answered { status, content_type, body }
        }),
    ]
}

fn record() -> impl Strategy<Value = KeyRecord> {
    (name(), any::<u64>(), any::<u64>(), outcome()).prop_map(
        |(key, fingerprint, keep_ms, outcome)| KeyRecord { key, fingerprint, keep_ms, outcome },
    )
}

fn hand_over() -> impl Strategy<Value = HandOverRequest> {
    (any::<[u64; 3]>(), any::<u32>(), any::<bool>(), vec(record(), 0..3)).prop_map(
        |(numbers, part, last, records)| HandOverRequest {
            home: numbers[0],
            successor: numbers[1],
            horizon_ms: numbers[2],
            part,
            last,
            records,
        },
    )
}

/// Requests of every kind.
pub(crate) fn request() -> impl Strategy<Value = Request> {
    prop_oneof![
        digest().prop_map(Request::Digest),
        any::<[u64; 3]>().prop_map(|numbers| Request::Manifest(ManifestRequest {
            known_number: numbers[0],
            number: numbers[1],
            offset: numbers[2],
        })),
        (name(), any::<u64>())
            .prop_map(|(digest, offset)| Request::Chunk(ChunkRequest { digest, offset })),
        (any::<[u64; 3]>(), links(), sites(), sites()).prop_map(
            |(numbers, links, sites, in_use)| {
                Request::Grant(GrantRequest {
                    known_epoch: numbers[0],
                    number: numbers[1],
                    accepted_number: numbers[2],
                    links,
                    sites,
                    in_use,
                })
            }
        ),
        any::<[u64; 2]>().prop_map(|numbers| Request::Release(ReleaseRequest {
            epoch: numbers[0],
            number: numbers[1],
        })),
        any::<[u64; 2]>().prop_map(|numbers| Request::Promise(PromiseRequest {
            epoch: numbers[0],
            lasts_ms: numbers[1],
        })),
        hand_over().prop_map(Request::HandOver),
    ]
}

/// Replies of every kind.
pub(crate) fn reply() -> impl Strategy<Value = Reply> {
    prop_oneof![
        digest().prop_map(Reply::Digest),
        part().prop_map(Reply::Manifest),
        part().prop_map(Reply::Chunk),
        (any::<[u64; 2]>(), links(), sites()).prop_map(|(numbers, links, sites)| {
            Reply::Grant(GrantReply { epoch: numbers[0], lasts_ms: numbers[1], links, sites })
        }),
        Just(Reply::Released),
        (any::<bool>(), any::<u64>()).prop_map(|(promised, known_epoch)| {
            Reply::Promise(PromiseReply { promised, known_epoch })
        }),
        any::<bool>().prop_map(|accepted| Reply::HandOver(HandOverReply { accepted })),
        Just(Reply::Refused),
    ]
}
