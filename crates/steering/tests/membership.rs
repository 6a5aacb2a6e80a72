//! Member states, and convergence under random message loss, duplication, delay and restarts.

mod membership_fleet;

use membership_fleet::Fleet;
use proptest::prelude::*;
use std::collections::HashMap;
use std::time::Duration;
use steering::membership::{DescriptionVersion, MemberState};

/// Rounds within which a fleet of six must converge once no more messages are lost.
const CONVERGENCE_ROUNDS: usize = 40;

#[test]
fn an_instance_that_was_only_listed_is_usable_until_a_call_fails() {
    let mut fleet = Fleet::new(1, 2, 1);
    fleet.nodes[1].alive = false;

    let before = fleet.state(0, 1);
    fleet.exchange(0, 1, false, false);
    let after = fleet.state(0, 1);

    assert_eq!((before, after), (Some(MemberState::Listed), Some(MemberState::Suspected)));
}

#[test]
fn a_killed_instance_is_suspected_within_two_rounds_everywhere_and_dead_later() {
    let mut fleet = Fleet::new(3, 2, 1);
    converge(&mut fleet);
    fleet.nodes[5].alive = false;

    fleet.round();
    fleet.round();
    let soon: Vec<_> = (0..5).map(|observer| fleet.state(observer, 5)).collect();
    (0..15).for_each(|_| fleet.round());
    let later: Vec<_> = (0..5).map(|observer| fleet.state(observer, 5)).collect();

    assert_eq!(soon, vec![Some(MemberState::Suspected); 5]);
    assert_eq!(later, vec![Some(MemberState::Dead); 5]);
}

#[test]
fn an_instance_that_returns_is_usable_again_within_three_rounds() {
    let mut fleet = Fleet::new(3, 2, 1);
    converge(&mut fleet);
    fleet.nodes[5].alive = false;
    (0..15).for_each(|_| fleet.round());

    fleet.restart(5, 200);
    (0..3).for_each(|_| fleet.round());

    let states: Vec<_> = (0..5).map(|observer| fleet.state(observer, 5)).collect();
    assert_eq!(states, vec![Some(MemberState::Back); 5]);
}

#[test]
fn a_zone_that_is_cut_off_and_the_rest_each_keep_their_own_members() {
    let mut fleet = Fleet::new(3, 2, 1);
    converge(&mut fleet);
    for other in ["zone-1", "zone-2"] {
        fleet.cuts.push(("zone-0".into(), other.into()));
    }

    (0..5).for_each(|_| fleet.round());

    let usable = |observer: usize| -> Vec<usize> {
        let is_usable =
            |subject: &usize| fleet.state(observer, *subject).is_some_and(MemberState::is_usable);
        (0..6).filter(is_usable).collect()
    };
    assert_eq!([usable(0), usable(1)], [vec![0, 1], vec![0, 1]]);
    assert_eq!([usable(2), usable(5)], [vec![2, 3, 4, 5], vec![2, 3, 4, 5]]);
}

#[test]
fn a_healed_cut_brings_all_members_back() {
    let mut fleet = Fleet::new(3, 2, 1);
    converge(&mut fleet);
    fleet.cuts.push(("zone-0".into(), "zone-1".into()));
    (0..30).for_each(|_| fleet.round());

    fleet.cuts.clear();
    let rounds = rounds_to_converge(&mut fleet);

    assert!(rounds <= 5, "{rounds} rounds");
}

#[test]
fn an_instance_removed_from_the_list_gets_no_callers_though_it_answers() {
    let mut fleet = Fleet::new(1, 2, 1);
    let entries = fleet.entries();
    converge(&mut fleet);
    let now = fleet.now;
    fleet.nodes[0].table.apply_list(now, entries[..1].to_vec());

    fleet.exchange(0, 1, false, false);
    let just_removed = fleet.state(0, 1);
    fleet.now += Duration::from_secs(11);
    fleet.exchange(0, 1, false, false);
    let later = fleet.state(0, 1);

    assert_eq!((just_removed, later), (Some(MemberState::Draining), Some(MemberState::Dead)));
}

#[test]
fn an_instance_that_was_never_listed_is_used_while_in_contact() {
    let mut fleet = Fleet::new(1, 3, 1);
    let now = fleet.now;
    let entries = fleet.entries();
    for (number, node) in fleet.nodes.iter_mut().enumerate() {
        node.table = unlisted(number);
        node.table.apply_list(now, entries[..2].to_vec());
    }

    fleet.exchange(2, 0, false, false);
    let in_contact = fleet.state(0, 2);
    fleet.now += Duration::from_secs(61);
    let out_of_contact = fleet.state(0, 2);

    assert_eq!(
        (in_contact, out_of_contact),
        (Some(MemberState::Serving), Some(MemberState::Draining))
    );
}

#[test]
fn a_restart_with_the_wall_clock_set_back_supersedes_the_earlier_incarnation() {
    let mut fleet = Fleet::new(2, 2, 1);
    converge(&mut fleet);

    fleet.restart(3, 50);
    let rounds = rounds_to_converge(&mut fleet);

    assert!(rounds <= 6, "{rounds} rounds");
    let known = fleet.nodes[0].table.version("instance-3").expect("known");
    assert!(known.generation > 100, "{known:?}");
}

#[test]
fn a_recent_successful_call_overrides_a_suspicion() {
    let mut fleet = Fleet::new(1, 3, 1);
    converge(&mut fleet);
    fleet.exchange(0, 2, false, false);

    // Calls fail only between instances 1 and 2.
    fleet.nodes[1].table.record_failure(fleet.now, "instance-2", true);
    fleet.exchange(1, 0, false, false);

    assert_eq!(fleet.state(1, 2), Some(MemberState::Suspected));
    assert_eq!(fleet.state(0, 2), Some(MemberState::Serving));
}

#[test]
fn two_timeouts_are_needed_where_one_refused_connection_is_enough() {
    let mut fleet = Fleet::new(1, 2, 1);
    converge(&mut fleet);

    fleet.nodes[0].table.record_failure(fleet.now, "instance-1", false);
    let once = fleet.state(0, 1);
    fleet.nodes[0].table.record_failure(fleet.now, "instance-1", false);
    let twice = fleet.state(0, 1);

    assert_eq!((once, twice), (Some(MemberState::Serving), Some(MemberState::Suspected)));
}

#[test]
fn a_new_instance_learns_all_members_from_sync_pages() {
    let mut fleet = Fleet::new(3, 10, 1);
    converge(&mut fleet);

    fleet.restart(7, 200);
    let rounds = rounds_to_converge(&mut fleet);

    assert!(rounds <= 20, "{rounds} rounds");
}

fn unlisted(number: usize) -> steering::membership::Membership<()> {
    let fleet = Fleet::new(1, 3, 1);
    let mut table = steering::membership::Membership::new(steering::membership::OwnInstance {
        name: fleet.nodes[number].name.clone(),
        availability_zone: fleet.nodes[number].zone.clone(),
        incarnation: steering::Incarnation(number as u64),
        generation: 100,
        caller_address: membership_fleet::address(number),
        peer_address: membership_fleet::address(number),
    });
    table.describe(steering::membership::Status::Serving, (), false);
    table
}

fn converge(fleet: &mut Fleet) {
    let rounds = rounds_to_converge(fleet);
    assert!(rounds < CONVERGENCE_ROUNDS, "not converged");
}

fn rounds_to_converge(fleet: &mut Fleet) -> usize {
    let mut rounds = 0;
    while rounds < CONVERGENCE_ROUNDS && !fleet.has_converged() {
        fleet.round();
        rounds += 1;
    }
    rounds
}

#[derive(Clone, Debug)]
enum Step {
    Exchange {
        from: usize,
        to: usize,
        request_lost: bool,
        reply_lost: bool,
    },
    /// Delivers an earlier message again, or late.
    Redeliver(prop::sample::Index),
    Wait(u64),
    Round,
    Stop(usize),
    Restart {
        number: usize,
        generation: u64,
    },
    Cut(usize, usize),
    Heal,
    Suspect {
        observer: usize,
        subject: usize,
    },
}

const NODES: usize = 6;
const ZONES: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        6 => (node.clone(), node.clone(), any::<bool>(), any::<bool>()).prop_map(
            |(from, to, request_lost, reply_lost)| Step::Exchange {
                from, to, request_lost, reply_lost
            }
        ),
        6 => any::<prop::sample::Index>().prop_map(Step::Redeliver),
        2 => (1_u64..20_000).prop_map(Step::Wait),
        2 => Just(Step::Round),
        1 => node.clone().prop_map(Step::Stop),
        2 => (node.clone(), 50_u64..300)
            .prop_map(|(number, generation)| Step::Restart { number, generation }),
        1 => (0..ZONES, 0..ZONES).prop_map(|(a, b)| Step::Cut(a, b)),
        1 => Just(Step::Heal),
        1 => (node.clone(), node).prop_map(|(observer, subject)| Step::Suspect { observer, subject }),
    ]
}

fn apply_step(fleet: &mut Fleet, step: Step) {
    match step {
        Step::Exchange { from, to, request_lost, reply_lost } => {
            if from != to && fleet.nodes[from].alive {
                fleet.exchange(from, to, request_lost, reply_lost);
            }
        }
        Step::Redeliver(index) => {
            if !fleet.sent.is_empty() {
                let sent = index.get(&fleet.sent).clone();
                fleet.deliver(sent);
            }
        }
        Step::Wait(ms) => fleet.now += Duration::from_millis(ms),
        Step::Round => fleet.round(),
        Step::Stop(number) => fleet.nodes[number].alive = false,
        Step::Restart { number, generation } => fleet.restart(number, generation),
        Step::Cut(a, b) => {
            if a != b {
                fleet.cuts.push((format!("zone-{a}").into(), format!("zone-{b}").into()));
            }
        }
        Step::Heal => fleet.cuts.clear(),
        Step::Suspect { observer, subject } => {
            let name = fleet.nodes[subject].name.clone();
            fleet.nodes[observer].table.record_failure(fleet.now, &name, true);
        }
    }
}

/// Version known to each incarnation of each instance, by observer, incarnation and subject.
type KnownVersions = HashMap<(usize, u64, usize), DescriptionVersion>;

/// Checks that the versions known to an incarnation never decrease and were all published.
fn check_versions(
    fleet: &Fleet,
    known: &mut KnownVersions,
    published: &mut HashMap<usize, DescriptionVersion>,
) {
    for (number, node) in fleet.nodes.iter().enumerate() {
        let own = node.table.own_description().expect("described").version;
        let highest = published.entry(number).or_default();
        *highest = own.max(*highest);
    }
    for (observer, node) in fleet.nodes.iter().enumerate() {
        for (subject, other) in fleet.nodes.iter().enumerate() {
            let Some(version) = node.table.version(&other.name) else { continue };
            let before =
                known.insert((observer, node.incarnation, subject), version).unwrap_or_default();
            assert!(
                version >= before,
                "{observer} went back from {before:?} to {version:?} of {subject}"
            );
            assert!(
                version <= published[&subject],
                "{observer} knows {version:?}, which {subject} never published"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn known_versions_never_decrease_and_all_converge_once_nothing_is_lost(
        steps in prop::collection::vec(step(), 1..60),
        seed in any::<u64>(),
    ) {
        let mut fleet = Fleet::new(ZONES, NODES / ZONES, seed);
        let (mut known, mut published) = (KnownVersions::new(), HashMap::new());
        for step in steps {
            apply_step(&mut fleet, step);
            check_versions(&fleet, &mut known, &mut published);
        }

        fleet.cuts.clear();
        fleet.list_all();
        let rounds = rounds_to_converge(&mut fleet);

        check_versions(&fleet, &mut known, &mut published);
        prop_assert!(rounds < CONVERGENCE_ROUNDS, "not converged");
    }
}
