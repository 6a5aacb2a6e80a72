//! No schedule of offers, answers, failures and restarts makes a version go down.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::Arc;
use std::time::Duration;
use steering::Time;
use steering::adoption::{Action, Adoption, NotServing, Source};

const PEERS: usize = 4;

/// What happens next around one instance.
#[derive(Clone, Debug)]
enum Step {
    /// The platform accepts a version.
    Accept,
    /// A source comes to have a version so many below the newest.
    Advance { source: usize, behind: u64 },
    /// A source goes back, as one restored or replaced does.
    GoBack { source: usize, by: u64 },
    /// A source tells what it has.
    Tell { source: usize },
    /// One of the fetches in flight ends.
    Answer { fetch: usize, how: Ending },
    /// Time passes.
    Wait { ms: u64 },
    /// The instance is replaced.
    Restart,
}

#[derive(Clone, Copy, Debug)]
enum Ending {
    Loads,
    Refused,
    Unreachable,
}

fn step() -> impl Strategy<Value = Step> {
    let source = 0..PEERS + 1;
    let ending = prop_oneof![
        4 => Just(Ending::Loads),
        1 => Just(Ending::Refused),
        2 => Just(Ending::Unreachable)
    ];
    prop_oneof![
        3 => Just(Step::Accept),
        3 => (source.clone(), 0_u64..4)
            .prop_map(|(source, behind)| Step::Advance { source, behind }),
        1 => (source.clone(), 1_u64..6).prop_map(|(source, by)| Step::GoBack { source, by }),
        6 => source.prop_map(|source| Step::Tell { source }),
        8 => (any::<usize>(), ending).prop_map(|(fetch, how)| Step::Answer { fetch, how }),
        3 => (0_u64..3_000).prop_map(|ms| Step::Wait { ms }),
        1 => Just(Step::Restart),
    ]
}

/// An instance among sources; source 0 is the platform.
struct World {
    now: Time,
    newest: u64,
    has: [u64; PEERS + 1],
    instance: Adoption,
    in_flight: Vec<Source>,
    /// Numbers that loaded in this life, each of which somebody had.
    loaded: Vec<u64>,
    in_force: u64,
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
        Action::Activate(number) => panic!("{number} in force at once"),
    });
    (instance, fetches.collect())
}

impl World {
    fn new() -> Self {
        let now = Time::from_ms(1_000);
        let (instance, in_flight) = join(now);
        Self {
            now,
            newest: 0,
            has: [0; PEERS + 1],
            instance,
            in_flight,
            loaded: Vec::new(),
            in_force: 0,
        }
    }

    fn take(&mut self, step: Step) {
        let actions = match step {
            Step::Accept => {
                self.newest += 1;
                self.has[0] = self.newest;
                Vec::new()
            }
            Step::Advance { source, behind } => {
                let number = self.newest.saturating_sub(behind);
                self.has[source] = self.has[source].max(number);
                Vec::new()
            }
            Step::GoBack { source, by } => {
                self.has[source] = self.has[source].saturating_sub(by);
                Vec::new()
            }
            Step::Tell { source: teller } => {
                self.instance.record_offer(self.now, source(teller), self.has[teller])
            }
            Step::Answer { fetch, how } if !self.in_flight.is_empty() => {
                let source = self.in_flight.swap_remove(fetch % self.in_flight.len());
                self.answer(&source, how)
            }
            Step::Answer { .. } => Vec::new(),
            Step::Wait { ms } => {
                self.now += Duration::from_millis(ms);
                self.instance.tick(self.now)
            }
            Step::Restart => {
                (self.instance, self.in_flight) = join(self.now);
                self.loaded.clear();
                self.in_force = 0;
                Vec::new()
            }
        };
        self.carry_out(actions);
    }

    fn answer(&mut self, source: &Source, how: Ending) -> Vec<Action> {
        let number = self.has[position(source)];
        let known = self.loaded.iter().max().copied().unwrap_or(0);
        match how {
            Ending::Unreachable => self.instance.on_unreachable(self.now, source),
            _ if number <= known => self.instance.on_nothing_newer(self.now, source),
            Ending::Refused => self.instance.on_load_failed(self.now, source, number),
            Ending::Loads => {
                self.loaded.push(number);
                self.instance.on_loaded(self.now, source, number)
            }
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Fetch(source) => {
                    assert!(!self.in_flight.contains(&source), "asked {source:?} twice at once");
                    self.in_flight.push(source);
                }
                Action::Activate(number) => {
                    assert!(number > self.in_force, "{number} after {}", self.in_force);
                    assert_eq!(Some(&number), self.loaded.iter().max(), "not the highest loaded");
                    self.in_force = number;
                }
            }
        }
        assert_eq!(self.instance.active_number(), self.in_force);
        assert_eq!(self.instance.not_serving_reason().is_none(), self.in_force > 0);
    }

    /// Lets everybody answer well until nothing more happens.
    fn settle(&mut self) {
        for _ in 0..200 {
            for teller in 0..=PEERS {
                self.take(Step::Tell { source: teller });
            }
            self.take(Step::Wait { ms: 2_000 });
            while !self.in_flight.is_empty() {
                self.take(Step::Answer { fetch: 0, how: Ending::Loads });
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None,
        rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn a_version_never_goes_down_and_the_newest_wins(
        steps in prop::collection::vec(step(), 0..120),
    ) {
        let mut world = World::new();

        for step in steps {
            world.take(step);
        }
        world.settle();

        let highest = world.has.iter().max().copied().unwrap_or(0);
        prop_assert!(world.in_force >= highest, "{} in force, {highest} known", world.in_force);
    }
}

#[test]
fn a_new_instance_takes_the_higher_of_platform_and_peers() {
    let now = Time::from_ms(1);
    let (mut instance, _) = Adoption::join(now, [peer_name(1)]);

    let first = instance.on_loaded(now, &Source::Platform, 7);
    let second = instance.on_loaded(now, &source(1), 9);

    assert_eq!(first, []);
    assert_eq!(second, [Action::Activate(9)]);
}

#[test]
fn without_the_platform_peers_suffice_once_all_have_answered() {
    let now = Time::from_ms(1);
    let (mut instance, _) = Adoption::join(now, [peer_name(1), peer_name(2)]);

    instance.on_loaded(now, &source(1), 3);
    let before = instance.on_unreachable(now, &Source::Platform);
    let after = instance.on_nothing_newer(now, &source(2));

    assert_eq!(before, []);
    assert_eq!(after, [Action::Activate(3)]);
}

#[test]
fn with_nobody_in_reach_it_says_so() {
    let now = Time::from_ms(1);
    let (mut instance, _) = Adoption::join(now, [peer_name(1)]);

    instance.on_unreachable(now, &Source::Platform);
    instance.on_unreachable(now, &source(1));

    assert_eq!(instance.not_serving_reason(), Some(NotServing::NoSourceReachable));
}

#[test]
fn a_version_that_does_not_load_is_left_alone_for_a_while() {
    let now = Time::from_ms(1);
    let (mut instance, _) = Adoption::join(now, []);
    instance.on_loaded(now, &Source::Platform, 1);

    instance.on_load_failed(now, &Source::Platform, 2);
    let at_once = instance.record_offer(now, source(1), 2);
    let later = instance.record_offer(now + Duration::from_secs(2), source(1), 2);

    assert_eq!(at_once, []);
    assert_eq!(later, [Action::Fetch(source(1))]);
    assert_eq!(instance.active_number(), 1);
}
