//! Checks that no schedule of offers, fetches, failures and restarts lowers the active version.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::Arc;
use std::time::Duration;
use steering::Time;
use steering::adoption::{Action, Adoption, NotServing, Source};

const PEERS: usize = 4;

/// An event around one instance.
#[derive(Clone, Debug)]
enum Step {
    /// The platform accepts a new version.
    PublishVersion,
    /// A source receives the version that is this many numbers behind the newest.
    Advance { source: usize, behind: u64 },
    /// A source falls back to an older version, as after a restore or replacement.
    Revert { source: usize, by: u64 },
    /// A source offers its version.
    Offer { source: usize },
    /// One of the running fetches ends.
    EndFetch { fetch: usize, result: FetchResult },
    /// Time passes.
    Wait { ms: u64 },
    /// The instance is replaced by a new incarnation.
    Restart,
}

#[derive(Clone, Copy, Debug)]
enum FetchResult {
    Loads,
    LoadFailed,
    Unreachable,
}

fn step() -> impl Strategy<Value = Step> {
    let source = 0..PEERS + 1;
    let result = prop_oneof![
        4 => Just(FetchResult::Loads),
        1 => Just(FetchResult::LoadFailed),
        2 => Just(FetchResult::Unreachable)
    ];
    prop_oneof![
        3 => Just(Step::PublishVersion),
        3 => (source.clone(), 0_u64..4)
            .prop_map(|(source, behind)| Step::Advance { source, behind }),
        1 => (source.clone(), 1_u64..6).prop_map(|(source, by)| Step::Revert { source, by }),
        6 => source.prop_map(|source| Step::Offer { source }),
        8 => (any::<usize>(), result).prop_map(|(fetch, result)| Step::EndFetch { fetch, result }),
        3 => (0_u64..3_000).prop_map(|ms| Step::Wait { ms }),
        1 => Just(Step::Restart),
    ]
}

/// An instance and its sources; source 0 is the platform.
struct Simulation {
    now: Time,
    newest: u64,
    offered: [u64; PEERS + 1],
    instance: Adoption,
    in_flight: Vec<Source>,
    /// Numbers loaded by this incarnation, each offered by a source.
    loaded: Vec<u64>,
    active: u64,
}

fn source(position: usize) -> Source {
    match position {
        0 => Source::Platform,
        peer => Source::Peer(peer_name(peer)),
    }
}

fn peer_name(peer: usize) -> Arc<str> {
    format!("peer-{peer}").into()
}

fn position(source: &Source) -> usize {
    let peer = |name: &Arc<str>| name.trim_start_matches("peer-").parse().expect("a peer");
    match source {
        Source::Platform => 0,
        Source::Peer(name) => peer(name),
    }
}

fn join(now: Time) -> (Adoption, Vec<Source>) {
    let (instance, actions) = Adoption::join(now, (1..=PEERS).map(peer_name));
    let fetches = actions.into_iter().map(|action| match action {
        Action::Fetch(source) => source,
        Action::Activate(number) => panic!("version {number} activated immediately"),
    });
    (instance, fetches.collect())
}

impl Simulation {
    fn new() -> Self {
        let now = Time::from_ms(1_000);
        let (instance, in_flight) = join(now);
        Self {
            now,
            newest: 0,
            offered: [0; PEERS + 1],
            instance,
            in_flight,
            loaded: Vec::new(),
            active: 0,
        }
    }

    fn apply_step(&mut self, step: Step) {
        let actions = match step {
            Step::PublishVersion => {
                self.newest += 1;
                self.offered[0] = self.newest;
                Vec::new()
            }
            Step::Advance { source, behind } => {
                let number = self.newest.saturating_sub(behind);
                self.offered[source] = self.offered[source].max(number);
                Vec::new()
            }
            Step::Revert { source, by } => {
                self.offered[source] = self.offered[source].saturating_sub(by);
                Vec::new()
            }
            Step::Offer { source: offering } => {
                self.instance.record_offer(self.now, source(offering), self.offered[offering])
            }
            Step::EndFetch { fetch, result } if !self.in_flight.is_empty() => {
                let source = self.in_flight.swap_remove(fetch % self.in_flight.len());
                self.end_fetch(&source, result)
            }
            Step::EndFetch { .. } => Vec::new(),
            Step::Wait { ms } => {
                self.now += Duration::from_millis(ms);
                self.instance.tick(self.now)
            }
            Step::Restart => {
                (self.instance, self.in_flight) = join(self.now);
                self.loaded.clear();
                self.active = 0;
                Vec::new()
            }
        };
        self.run_actions(actions);
    }

    fn end_fetch(&mut self, source: &Source, result: FetchResult) -> Vec<Action> {
        let number = self.offered[position(source)];
        let highest_loaded = self.loaded.iter().max().copied().unwrap_or(0);
        match result {
            FetchResult::Unreachable => self.instance.on_unreachable(self.now, source),
            _ if number <= highest_loaded => self.instance.on_nothing_newer(self.now, source),
            FetchResult::LoadFailed => self.instance.on_load_failed(self.now, source, number),
            FetchResult::Loads => {
                self.loaded.push(number);
                self.instance.on_loaded(self.now, source, number)
            }
        }
    }

    fn run_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Fetch(source) => {
                    assert!(
                        !self.in_flight.contains(&source),
                        "two concurrent fetches from {source:?}"
                    );
                    self.in_flight.push(source);
                }
                Action::Activate(number) => {
                    assert!(number > self.active, "{number} after {}", self.active);
                    assert_eq!(Some(&number), self.loaded.iter().max(), "not the highest loaded");
                    self.active = number;
                }
            }
        }
        assert_eq!(self.instance.active_number(), self.active);
        assert_eq!(self.instance.not_serving_reason().is_none(), self.active > 0);
    }

    /// Lets all sources offer their versions and all fetches succeed until the state settles.
    fn settle(&mut self) {
        for _ in 0..200 {
            for offering in 0..=PEERS {
                self.apply_step(Step::Offer { source: offering });
            }
            self.apply_step(Step::Wait { ms: 2_000 });
            while !self.in_flight.is_empty() {
                self.apply_step(Step::EndFetch { fetch: 0, result: FetchResult::Loads });
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None,
        rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn the_active_version_never_decreases_and_the_newest_wins(
        steps in prop::collection::vec(step(), 0..120),
    ) {
        let mut simulation = Simulation::new();

        for step in steps {
            simulation.apply_step(step);
        }
        simulation.settle();

        let highest = simulation.offered.iter().max().copied().unwrap_or(0);
        prop_assert!(simulation.active >= highest, "{} active, {highest} offered", simulation.active);
    }
}

#[test]
fn a_new_instance_activates_the_highest_version_of_platform_and_peers() {
    let now = Time::from_ms(1);
    let (mut instance, _) = Adoption::join(now, [peer_name(1)]);

    let first = instance.on_loaded(now, &Source::Platform, 7);
    let second = instance.on_loaded(now, &source(1), 9);

    assert_eq!(first, []);
    assert_eq!(second, [Action::Activate(9)]);
}

#[test]
fn peers_suffice_without_the_platform_once_all_have_answered() {
    let now = Time::from_ms(1);
    let (mut instance, _) = Adoption::join(now, [peer_name(1), peer_name(2)]);

    instance.on_loaded(now, &source(1), 3);
    let before = instance.on_unreachable(now, &Source::Platform);
    let after = instance.on_nothing_newer(now, &source(2));

    assert_eq!(before, []);
    assert_eq!(after, [Action::Activate(3)]);
}

#[test]
fn reports_that_no_source_is_reachable() {
    let now = Time::from_ms(1);
    let (mut instance, _) = Adoption::join(now, [peer_name(1)]);

    instance.on_unreachable(now, &Source::Platform);
    instance.on_unreachable(now, &source(1));

    assert_eq!(instance.not_serving_reason(), Some(NotServing::NoSourceReachable));
}

#[test]
fn a_version_that_fails_to_load_is_fetched_again_only_after_a_backoff() {
    let now = Time::from_ms(1);
    let (mut instance, _) = Adoption::join(now, []);
    instance.on_loaded(now, &Source::Platform, 1);

    instance.on_load_failed(now, &Source::Platform, 2);
    let during_backoff = instance.record_offer(now, source(1), 2);
    let after_backoff = instance.record_offer(now + Duration::from_secs(2), source(1), 2);

    assert_eq!(during_backoff, []);
    assert_eq!(after_backoff, [Action::Fetch(source(1))]);
    assert_eq!(instance.active_number(), 1);
}
