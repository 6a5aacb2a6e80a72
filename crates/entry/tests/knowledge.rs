//! Updates between instances, checked against an instance that watches the store itself.

use entry::platform_api::{ObjectState, StoreResponse, Subject};
use entry::version::StoreReplica;
use entry::version::changes::ServersUpdate;
use entry::version::exchange::{decode_revisions, encode_revisions};
use proptest::prelude::{Strategy, any, prop, prop_assert_eq, proptest};
use std::sync::Arc;
use std::time::Duration;
use steering::deployment::{BackendServer, Deployment, Policies};

fn server(slots: u32) -> BackendServer {
    BackendServer {
        service: "dossier".into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9000)),
        availability_zone: "north-a".into(),
        version: "v1".into(),
        slots,
        draining: false,
        cold_remaining: Duration::ZERO,
        started_ms: 0,
        revision: 0,
    }
}

fn listed_replica(servers: u32) -> StoreReplica {
    let id = |number: u32| -> Arc<str> { format!("i-{number}").into() };
    let states =
        (0..servers).map(|number| ObjectState::BackendServer(id(number), server(9))).collect();
    let mut replica = StoreReplica::default();
    replica.apply_list(Subject::BackendServers, StoreResponse { states, as_of: 10, changed_at: 9 });
    replica
}

fn change(replica: &mut StoreReplica, number: u8, slots: Option<u32>, as_of: u64) {
    let id: Arc<str> = format!("i-{number}").into();
    let object_state = match slots {
        Some(slots) => ObjectState::BackendServer(id, server(slots)),
        None => ObjectState::BackendServerRemoved { id, revision: as_of },
    };
    let response = StoreResponse { states: vec![object_state], as_of, changed_at: as_of };
    replica.apply_changes(Subject::BackendServers, response);
}

fn steps() -> impl Strategy<Value = Vec<(u8, Option<u32>, bool, bool)>> {
    let step = (0u8..12, prop::option::of(1u32..4), any::<bool>(), any::<bool>());
    prop::collection::vec(step, 0..60)
}

proptest! {
    /// One instance watches the store, a second fetches updates from it at times, and a third fetches
    /// from the second.
    #[test]
    fn instances_that_fetch_updates_converge_to_the_store(steps in steps()) {
        let mut first = listed_replica(6);
        let (mut second, mut third) = (StoreReplica::default(), StoreReplica::default());
        for (step, (number, slots, second_fetches, third_fetches)) in steps.into_iter().enumerate() {
            change(&mut first, number, slots, 11 + step as u64);
            if second_fetches {
                second.apply_update(first.update_since(second.all_as_of()));
                prop_assert_eq!(&second.servers.content, &first.servers.content);
            }
            if third_fetches {
                third.apply_update(second.update_since(third.all_as_of()));
                prop_assert_eq!(&third.servers.content, &second.servers.content);
            }
        }
        second.apply_update(first.update_since(second.all_as_of()));
        prop_assert_eq!(&second.servers.content, &first.servers.content);
    }

    #[test]
    fn a_query_is_decoded_as_it_was_encoded(as_of in any::<[u64; 5]>()) {
        prop_assert_eq!(decode_revisions(Some(&encode_revisions(as_of))), as_of);
    }
}

#[test]
fn an_instance_that_is_slightly_behind_gets_an_incremental_update() {
    let mut replica = listed_replica(6);
    change(&mut replica, 1, None, 20);
    let update = replica.update_since([0, 10, 0, 0, 0]);
    match update.servers {
        Some(ServersUpdate::Changes { changes, .. }) => assert_eq!(changes.len(), 1),
        other => panic!("the update is not incremental: {other:?}"),
    }
    assert!(matches!(replica.update_since([0; 5]).servers, Some(ServersUpdate::Full(_))));
    assert!(replica.update_since([0, 20, 0, 0, 0]).servers.is_none());
}

#[test]
fn an_older_update_or_list_changes_nothing() {
    let mut replica = listed_replica(6);
    let mut behind = listed_replica(6);
    change(&mut behind, 1, None, 15);
    change(&mut replica, 2, None, 20);
    let before = replica.servers.content.clone();
    assert_eq!(replica.apply_update(behind.update_since([0, 10, 0, 0, 0])), [false; 5]);
    assert_eq!(replica.servers.content, before);
    let old = StoreResponse { states: Vec::new(), as_of: 12, changed_at: 12 };
    assert!(!replica.apply_list(Subject::BackendServers, old));
    assert_eq!(replica.servers.content, before);
}

#[test]
fn an_older_version_of_the_configuration_is_never_applied() {
    let version = |version, as_of| {
        let deployment = Deployment { version, ..Deployment::default() };
        StoreResponse {
            states: vec![ObjectState::Configuration(deployment)],
            as_of,
            changed_at: as_of,
        }
    };
    let mut replica = StoreReplica::default();
    assert!(replica.apply_changes(Subject::Configuration, version(7, 20)));
    assert!(!replica.apply_changes(Subject::Configuration, version(6, 30)));
    assert!(!replica.apply_list(Subject::Configuration, version(5, 40)));
    let mut other = StoreReplica::default();
    other.apply_changes(Subject::Configuration, version(4, 50));
    assert_eq!(replica.apply_update(other.update_since([0; 5])), [false; 5]);
    assert_eq!(replica.configuration.content.version, 7);
}

#[test]
fn evacuations_begin_and_end() {
    let mut replica = StoreReplica::default();
    let states = |object_state, as_of| StoreResponse {
        states: vec![object_state],
        as_of,
        changed_at: as_of,
    };
    let zone: Arc<str> = "north-a".into();
    assert!(
        replica
            .apply_changes(Subject::Evacuations, states(ObjectState::Evacuated(zone.clone()), 5))
    );
    let mut other = StoreReplica::default();
    assert_eq!(
        other.apply_update(replica.update_since([0; 5])),
        [false, false, true, false, false]
    );
    assert!(
        replica.apply_changes(Subject::Evacuations, states(ObjectState::EvacuationEnded(zone), 6))
    );
    assert_eq!(
        other.apply_update(replica.update_since(other.all_as_of())),
        [false, false, true, false, false]
    );
    assert!(other.evacuations.content.is_empty());
}

/// Later pages of a list may contain changes after the revision of the list, which is that of its first
/// page. Such changes must be in the updates for other instances too.
#[test]
fn changes_from_a_later_page_of_a_list_are_sent_to_others() {
    let id: Arc<str> = "i-5".into();
    let states = vec![ObjectState::BackendServer(id.clone(), server(3))];
    let list = StoreResponse { states, as_of: 10, changed_at: 12 };
    let mut first = StoreReplica::default();
    first.apply_list(Subject::BackendServers, list);
    // The watch reports the same change again, which changes nothing.
    change(&mut first, 5, Some(3), 12);
    change(&mut first, 1, Some(9), 20);
    let mut second = StoreReplica::default();
    let states = vec![ObjectState::BackendServer(id, server(9))];
    second.apply_list(Subject::BackendServers, StoreResponse { states, as_of: 11, changed_at: 9 });
    second.apply_update(first.update_since(second.all_as_of()));
    assert_eq!(second.servers.content, first.servers.content);
}

#[test]
fn policies_are_set_and_removed_and_unreadable_ones_change_nothing() {
    let mut replica = StoreReplica::default();
    let states = |states, as_of| StoreResponse { states, as_of, changed_at: as_of };
    let set = Policies { number: 3, arms: Vec::new() };
    assert!(!replica.apply_list(Subject::Policies, states(vec![ObjectState::PoliciesRemoved], 5)));
    assert!(
        replica
            .apply_changes(Subject::Policies, states(vec![ObjectState::Policies(set.clone())], 6))
    );
    let mut other = StoreReplica::default();
    assert_eq!(
        other.apply_update(replica.update_since([0; 5])),
        [false, false, false, true, false]
    );
    assert_eq!(*other.policies.content, set);
    // An unreadable object yields no record.
    assert!(!replica.apply_changes(Subject::Policies, states(Vec::new(), 7)));
    assert!(!replica.apply_list(Subject::Policies, states(Vec::new(), 8)));
    assert_eq!(*replica.policies.content, set);
    assert!(replica.apply_list(Subject::Policies, states(vec![ObjectState::PoliciesRemoved], 9)));
    assert!(other.apply_update(replica.update_since(other.all_as_of()))[3]);
    assert_eq!(other.policies.content.number, 0);
}

#[test]
fn an_earlier_incarnation_never_replaces_a_later_one() {
    // Arrange: a later page of a list, up to revision 10, already contains the next incarnation.
    let id: Arc<str> = "i-1".into();
    let record = |started_ms, revision| {
        let record = BackendServer { started_ms, revision, ..server(9) };
        ObjectState::BackendServer(id.clone(), record)
    };
    let mut replica = StoreReplica::default();
    let list = StoreResponse { states: vec![record(2_000, 14)], as_of: 10, changed_at: 14 };
    replica.apply_list(Subject::BackendServers, list);
    // Act: the watch reports the changes after revision 10 again.
    let removed = ObjectState::BackendServerRemoved { id: id.clone(), revision: 12 };
    for (object_state, as_of) in [(record(1_000, 11), 11), (removed, 12)] {
        replica.apply_changes(
            Subject::BackendServers,
            StoreResponse { states: vec![object_state], as_of, changed_at: as_of },
        );
        // Assert.
        assert_eq!(replica.servers.content[&id].started_ms, 2_000, "after revision {as_of}");
    }
    let removed = ObjectState::BackendServerRemoved { id: id.clone(), revision: 15 };
    replica.apply_changes(
        Subject::BackendServers,
        StoreResponse { states: vec![removed], as_of: 15, changed_at: 15 },
    );
    assert!(replica.servers.content.is_empty());
}

#[test]
fn an_empty_list_of_roll_outs_is_sent_to_an_instance_without_one() {
    let mut listed = StoreReplica::default();
    let none = StoreResponse { states: Vec::new(), as_of: 7, changed_at: 0 };
    listed.apply_list(Subject::Rollouts, none);
    let mut new = StoreReplica::default();
    assert_eq!(new.apply_update(listed.update_since(new.all_as_of())), [false; 5]);
    assert_eq!(new.rollouts.as_of, 7);
    assert!(listed.update_since(new.all_as_of()).rollouts.is_none());
    assert!(StoreReplica::default().update_since([0; 5]).rollouts.is_none());
}
