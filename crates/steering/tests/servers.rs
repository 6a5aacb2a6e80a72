//! Compares the choice of backend servers with naive models, and tests the phases one by one.

use configuration::{BackendServer, Site, ZoneIndex};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::net::SocketAddr;
use std::time::Duration;
use steering::Time;
use steering::servers::picker::{Candidate, LatencyWeighted, LeastInFlight, Picker, PowerOfTwo};
use steering::servers::subset::{self, InstancePosition};
use steering::servers::{Ending, Finding, MAX_EJECTED_PERCENT, Pool, Report, Servers};

const SLOTS: u32 = 3;
const LEAVING_PROBE_DELAY_MS: u64 = 5_000;
const MAX_PROBE_DELAY_MS: u64 = 60_000;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn sites(servers: u8) -> Vec<Site> {
    let backend_servers = (0..servers).map(|n| BackendServer { address: address(n) }).collect();
    vec![Site { availability_zone: ZoneIndex(0), backend_servers, capacity_slots: 1 }]
}

fn pool(sites: &[Site]) -> Pool<'_> {
    Pool { servers: &sites[0].backend_servers, sites, slots: SLOTS, repeatable: true }
}

fn picker(kind: u8) -> Box<dyn Picker> {
    match kind % 3 {
        0 => Box::new(LeastInFlight::new(1)),
        1 => Box::new(PowerOfTwo::new(1)),
        _ => Box::new(LatencyWeighted::new(1)),
    }
}

fn report(started: Time, ending: Ending) -> Report {
    Report::new(started, ending)
}

#[derive(Clone, Debug)]
enum Event {
    Take,
    Finish { oldest: bool, ending: Ending, closing: bool, latency_ms: u64 },
    List(u8),
    Report { server: u8, leaving: bool },
    Advance(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let ending = prop_oneof![
        6 => Just(Ending::Complete),
        1 => Just(Ending::Shed),
        1 => Just(Ending::Refused),
        1 => Just(Ending::Unsent),
        3 => Just(Ending::Failed),
        1 => Just(Ending::TimedOut),
        1 => Just(Ending::Abandoned),
    ];
    let finish = (any::<bool>(), ending, prop::bool::weighted(0.1), 1_u64..200).prop_map(
        |(oldest, ending, closing, latency_ms)| Event::Finish {
            oldest,
            ending,
            closing,
            latency_ms,
        },
    );
    prop_oneof![
        8 => Just(Event::Take),
        6 => finish,
        1 => (0_u8..16).prop_map(Event::List),
        1 => (0_u8..4, any::<bool>())
            .prop_map(|(server, leaving)| Event::Report { server, leaving }),
        3 => (1_u64..3_000).prop_map(Event::Advance),
    ]
}

/// A naive model of what is forbidden: a listed server, one within the delay after its own leaving
/// signal, and one without a free slot.
#[derive(Default)]
struct NaiveModel {
    listed: Vec<SocketAddr>,
    signal_ms: std::collections::HashMap<SocketAddr, u64>,
    in_flight: Vec<(SocketAddr, u64)>,
}

impl NaiveModel {
    fn is_leaving(&self, now_ms: u64, address: SocketAddr) -> bool {
        self.listed.contains(&address) || self.is_waiting(now_ms, address)
    }

    fn is_waiting(&self, now_ms: u64, address: SocketAddr) -> bool {
        let is_recent = |signal_ms: &u64| now_ms < signal_ms + LEAVING_PROBE_DELAY_MS;
        self.signal_ms.get(&address).is_some_and(is_recent)
    }

    /// Returns whether only failures and reports can exclude the server: a repeated signal has a
    /// longer delay.
    fn may_stay(&self, now_ms: u64, address: SocketAddr) -> bool {
        let is_old = |signal_ms: &u64| now_ms >= signal_ms + MAX_PROBE_DELAY_MS;
        !self.listed.contains(&address) && self.signal_ms.get(&address).is_none_or(is_old)
    }

    fn in_flight_at(&self, address: SocketAddr) -> usize {
        self.in_flight.iter().filter(|(at, _)| *at == address).count()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 10_000, failure_persistence: None,
        rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn never_chooses_a_leaving_or_full_server_and_never_empties_a_service(
        kind in 0_u8..3,
        count in 1_u8..5,
        repeatable in any::<bool>(),
        events in prop::collection::vec(event(), 1..60),
    ) {
        let sites = sites(count);
        let mut servers = Servers::with_picker(picker(kind));
        let mut model = NaiveModel::default();
        let mut now_ms = 0;

        for event in events {
            let now = Time::from_ms(now_ms);
            match event {
                Event::Advance(ms) => now_ms += ms,
                Event::List(mask) => {
                    model.listed = (0..4).filter(|n| mask >> n & 1 == 1).map(address).collect();
                    servers.set_leaving(now, &model.listed);
                }
                Event::Report { server, leaving } => {
                    servers.merge_findings(now, &[Finding { address: address(server), leaving }]);
                }
                Event::Finish { oldest, ending, closing, latency_ms } => {
                    if model.in_flight.is_empty() {
                        continue;
                    }
                    let position = if oldest { 0 } else { model.in_flight.len() - 1 };
                    let (at, started_ms) = model.in_flight.remove(position);
                    let latency = Some(Duration::from_millis(latency_ms));
                    let started = Time::from_ms(started_ms);
                    servers.finish(now, at, Report { started, ending, latency, closing });
                    if (closing || ending == Ending::Refused) && !model.is_waiting(now_ms, at) {
                        model.signal_ms.insert(at, now_ms);
                    }
                }
                Event::Take => {
                    let pool = Pool { repeatable, ..pool(&sites) };
                    let taken = servers.acquire(now, pool);
                    let staying = (0..count).filter(|n| model.may_stay(now_ms, address(*n))).count();
                    if let Some(taken) = taken {
                        prop_assert!(!model.is_leaving(now_ms, taken));
                        prop_assert!(model.in_flight_at(taken) < SLOTS as usize);
                        model.in_flight.push((taken, now_ms));
                    } else {
                        prop_assert!(staying == 0 || !model.in_flight.is_empty());
                    }
                }
            }
            for n in 0..count {
                let in_flight = model.in_flight_at(address(n)) as u32;
                prop_assert_eq!(servers.in_flight(address(n)), in_flight);
            }
        }
    }

    #[test]
    fn pickers_agree_with_a_sorted_list(
        loads in prop::collection::vec((0_u32..6, prop::option::of(1_u64..50)), 0..9),
    ) {
        let candidates: Vec<Candidate> = loads
            .iter()
            .enumerate()
            .map(|(n, (in_flight, latency_ms))| Candidate {
                address: address(n as u8),
                in_flight: *in_flight,
                limit: 6,
                latency: latency_ms.map(Duration::from_millis),
            })
            .collect();
        let fastest_ms = loads.iter().filter_map(|(_, latency_ms)| *latency_ms).min();
        let cost = |candidate: &Candidate| {
            let latency_ms = candidate.latency.map(|latency| latency.as_millis() as u64);
            let slowness = latency_ms.zip(fastest_ms).map_or(1, |(own, fastest)| own / fastest);
            slowness * u64::from(candidate.in_flight + 1)
        };
        let mut by_load: Vec<u32> = loads.iter().map(|(in_flight, _)| *in_flight).collect();
        by_load.sort_unstable();

        let least = LeastInFlight::new(1).pick(&candidates).map(|n| candidates[n].in_flight);
        let weighted = LatencyWeighted::new(1).pick(&candidates).map(|n| cost(&candidates[n]));
        let of_two = PowerOfTwo::new(1).pick(&candidates).map(|n| candidates[n].in_flight);

        prop_assert_eq!(least, by_load.first().copied());
        prop_assert_eq!(weighted, candidates.iter().map(cost).min());
        // The most loaded one loses against the other drawn candidate.
        let worst_allowed = by_load.len().checked_sub(2).or(by_load.len().checked_sub(1));
        prop_assert!(of_two <= worst_allowed.map(|n| by_load[n]));
    }

    #[test]
    fn subsets_respect_the_connection_limit_and_spread_evenly(
        count in 1_u8..40,
        instances in 1_usize..300,
        limit in 1_u32..400,
    ) {
        let sites = sites(count);
        let servers = &sites[0].backend_servers;
        let mut connections = vec![0; usize::from(count)];
        let mut users = vec![0_usize; usize::from(count)];
        for number in 0..instances {
            let subset = subset::for_site(servers, InstancePosition { number, instances }, limit, 2);
            prop_assert!(!subset.servers.is_empty());
            for server in &subset.servers {
                let position = servers.iter().position(|one| one == server);
                let position = position.ok_or(TestCaseError::fail("the backend server is not of the site"))?;
                connections[position] += subset.connections;
                users[position] += 1;
            }
        }

        // Each instance may open at least one connection, even when there are more instances than
        // connections.
        for (connections, users) in connections.iter().zip(&users) {
            prop_assert!(*connections <= limit || *connections as usize == *users);
        }
        let fewest = instances * users.iter().sum::<usize>() / instances / usize::from(count);
        prop_assert!(users.iter().all(|users| *users <= fewest.max(1) * 3 + 3));
    }
}

#[test]
fn failures_eject_at_most_half_of_a_service() {
    let sites = sites(4);
    let mut servers = Servers::new(1);
    let now = Time::from_ms(1);
    for _ in 0..40 {
        if let Some(taken) = servers.acquire(now, pool(&sites)) {
            servers.finish(now, taken, report(now, Ending::Failed));
        }
    }

    let chosen: std::collections::HashSet<_> =
        (0..40).filter_map(|_| servers.acquire(now, pool(&sites))).collect();

    assert_eq!(chosen.len(), 4 - 4 * MAX_EJECTED_PERCENT / 100);
}

#[test]
fn an_ejected_server_returns_by_one_probe_and_a_growing_limit() {
    let sites = sites(2);
    let mut servers = Servers::new(1);
    let start = Time::from_ms(0);
    for _ in 0..3 {
        let taken = servers.acquire(start, pool(&sites)).expect("a slot is free");
        let other = if taken == address(0) { address(1) } else { address(0) };
        let other = servers
            .acquire(start, pool(&sites))
            .filter(|two| *two == other)
            .expect("a slot is free");
        let ending = |at| if at == address(0) { Ending::Failed } else { Ending::Complete };
        servers.finish(start, taken, report(start, ending(taken)));
        servers.finish(start, other, report(start, ending(other)));
    }
    let within = servers.acquire(Time::from_ms(900), pool(&sites));
    let later = Time::from_ms(1_100);

    let probe = servers.acquire(later, pool(&sites));
    let beside: Vec<_> = (0..2).filter_map(|_| servers.acquire(later, pool(&sites))).collect();
    servers.finish(later, address(0), report(later, Ending::Complete));
    let after: Vec<_> = (0..6).filter_map(|_| servers.acquire(later, pool(&sites))).collect();

    assert_eq!(within, Some(address(1)));
    assert_eq!(probe, Some(address(0)));
    assert_eq!(beside, [address(1); 2]);
    assert_eq!(after, [address(0); 2], "the limit is 2 after one successful response");
}

#[test]
fn an_old_successful_exchange_does_not_restore_a_leaving_server() {
    let sites = sites(1);
    let mut servers = Servers::new(1);
    let start = Time::from_ms(0);
    let upload = servers.acquire(start, pool(&sites)).expect("a slot is free");
    let other = servers.acquire(start, pool(&sites)).expect("a slot is free");
    servers.finish(start, other, report(start, Ending::Refused));
    let after_delay = Time::from_ms(LEAVING_PROBE_DELAY_MS + 1);

    servers.finish(after_delay, upload, report(start, Ending::Complete));

    assert!(servers.is_leaving(after_delay, upload));
}

#[test]
fn failure_reports_of_others_require_an_own_failure() {
    let sites = sites(2);
    let mut servers = Servers::new(1);
    let now = Time::from_ms(1);
    servers.set_leaving(now, &[address(1)]);
    servers.merge_findings(now, &[Finding { address: address(0), leaving: false }]);
    let before = servers.acquire(now, pool(&sites));

    servers.finish(now, address(0), report(now, Ending::Failed));

    assert_eq!(before, Some(address(0)));
    assert_eq!(servers.own_findings(now).len(), 2, "one is listed, one is failing");
}

#[test]
fn short_timeouts_of_callers_eject_no_backend_server() {
    let sites = sites(2);
    let mut servers = Servers::new(1);
    for ms in 0..50 {
        let now = Time::from_ms(ms);
        let taken = servers.acquire(now, pool(&sites)).expect("a slot is free");
        servers.finish(Time::from_ms(ms + 1), taken, report(now, Ending::TimedOut));
    }

    assert!(servers.own_findings(Time::from_ms(50)).is_empty());
}

#[test]
fn false_reports_exclude_half_of_a_site_until_a_probe_contradicts_them() {
    let sites = sites(4);
    let false_findings: Vec<_> =
        (0..4).map(|n| Finding { address: address(n), leaving: true }).collect();
    let mut servers = Servers::new(1);
    let mut distinct = Vec::new();
    for second in 0..5 {
        let now = Time::from_ms(second * 1_000);
        servers.merge_findings(now, &false_findings);
        let mut chosen = std::collections::HashSet::new();
        for _ in 0..40 {
            let taken = servers.acquire(now, pool(&sites)).expect("a slot is free");
            servers.finish(now, taken, report(now, Ending::Complete));
            chosen.insert(taken);
        }
        distinct.push(chosen.len());
    }

    assert_eq!(distinct, [2, 2, 4, 4, 4]);
}
