//! Cost of a routing decision and of building a table at the size planned for two years: 660,000
//! client blocks and 460 sites.

#![allow(missing_docs, reason = "the macros of the harness make a public function")]

use configuration::{ClientBlock, Configuration, ZoneIndex};
use criterion::{Criterion, criterion_group, criterion_main};
use ipnet::{IpNet, Ipv4Net};
use std::collections::HashSet;
use std::fmt::Write;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use steering::figures::Figures;
use steering::hash::{address_hash, mix};
use steering::routing::{Arms, Builder, Counters, Input, Programs, RequestRng};
use steering::{BlockTable, Time};

const BLOCKS: u32 = 660_000;
const REGIONS: usize = 15;
const ZONES: usize = 30;
/// Fifteen services of 30 sites and one of ten: 460 sites.
const SERVICES: usize = 16;
const LAST_SERVICE_SITES: usize = 10;
const POLICIES: [(&str, &str); 3] = [
    ("headroom-first", include_str!("../../../examples/policies/headroom-first.rhai")),
    ("nearest", include_str!("../../../examples/policies/nearest.rhai")),
    ("least-loaded", include_str!("../../../examples/policies/least-loaded.rhai")),
];

fn configuration() -> Configuration {
    let mut text = String::from(
        "[deployment]\nname = \"large\"\nlookup_ttl_ms = 5000\nlookup_instances = 3\n\
         idempotency_key_ttl_ms = 600000\n[delays]\nsame_region_ms = 1.0\n\
         between_regions_ms = 35.0\nclient_ms = 3.0\n[link_defaults]\ncap_requests_per_s = 150\n\
         floor_percent = 40.0\ninstance_slots = 4\nshift_percent_per_s = 10.0\n",
    );
    for region in 0..REGIONS {
        let (a, b) = (2 * region, 2 * region + 1);
        write!(
            text,
            "[[region]]\nname = \"r{region}\"\navailability_zones = [\"z{a}\", \"z{b}\"]\n"
        )
        .expect("text");
    }
    for service in 0..SERVICES {
        write!(
            text,
            "[[service]]\nname = \"s{service}\"\npath_prefix = \"/s{service}\"\n\
             slots_per_server = 9\ntarget_utilization = 0.9\n"
        )
        .expect("text");
        let sites = if service + 1 == SERVICES { LAST_SERVICE_SITES } else { ZONES };
        for zone in 0..sites {
            write!(
                text,
                "[[service.site]]\navailability_zone = \"z{zone}\"\n\
                 backend_servers = [\"10.{zone}.{service}.1:80\", \"10.{zone}.{service}.2:80\"]\n"
            )
            .expect("text");
        }
    }
    for (name, program) in POLICIES {
        write!(text, "[[policy]]\nname = \"{name}\"\nprogram = '''\n{program}'''\n").expect("text");
    }
    text.push_str(
        "[[arm]]\nname = \"a\"\npolicy = \"headroom-first\"\nshare_percent = 90\n\
         [[arm]]\nname = \"b\"\npolicy = \"nearest\"\nshare_percent = 10\n\
         [[arm]]\nname = \"c\"\npolicy = \"least-loaded\"\nshadow = true\n",
    );
    text.parse().expect("configuration")
}

fn blocks() -> BlockTable {
    let block = |number: u32| ClientBlock {
        block: IpNet::V4(Ipv4Net::new_assert(Ipv4Addr::from(number << 12), 22)),
        availability_zone: ZoneIndex((mix(u64::from(number)) % ZONES as u64) as u16),
    };
    let blocks: Vec<ClientBlock> = (0..BLOCKS).map(block).collect();
    BlockTable::new(&blocks)
}

fn caller(number: u64) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(mix(number) as u32))
}

fn lookup(criterion: &mut Criterion) {
    let table = blocks();
    let name = format!("zone of a caller, table of {} bytes", table.memory_bytes());
    let mut number = 0;
    criterion.bench_function(&name, |bencher| {
        bencher.iter(|| {
            number += 1;
            black_box(table.zone_of(caller(number)))
        });
    });
}

fn routing_decision(criterion: &mut Criterion) {
    let configuration = configuration();
    let arms = Arms::new(&configuration.arms);
    let programs = Programs::compile(&configuration.policies);
    let counters = Counters::new(&configuration, arms.entries().len());
    let unusable = HashSet::new();
    let figures = Figures::default();
    let input = Input {
        version: 1,
        configuration: &configuration,
        own_zone: ZoneIndex(0),
        arms: &arms,
        programs: &programs,
        counters: &counters,
        figures: &figures,
        unusable: &unusable,
        instances: 130,
        others: 0,
    };
    let mut builder = Builder::default();
    let table = builder.build(&input, Time::from_ms(0)).table;
    let rng = RequestRng::new(1);
    let service = configuration.service("s0").expect("service");
    let mut number = 0;
    criterion.bench_function("arm and order of 30 sites", |bencher| {
        bencher.iter(|| {
            number += 1;
            let hash = address_hash(caller(number));
            let arm = arms.arm_position(hash);
            let flow = table.flow(service, arm).expect("flow");
            let order = flow.weights.order(mix(rng.next() ^ hash));
            flow.counters.count(order.first().copied());
            black_box(order)
        });
    });
    let mut now_ms = 0;
    criterion.bench_function("table of 460 sites and 3 arms", |bencher| {
        bencher.iter(|| {
            now_ms += 1_000;
            black_box(builder.build(&input, Time::from_ms(now_ms)))
        });
    });
}

criterion_group!(benches, lookup, routing_decision);
criterion_main!(benches);
