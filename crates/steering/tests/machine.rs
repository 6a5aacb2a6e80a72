//! The division of a machine among callers, and the choice of the connection to end.

use std::time::Duration;
use steering::machine::{MachineLimits, MemoryPool, Waiting, longest_waiting};
use steering::terms::MachineTerms;

const MB: usize = 1024 * 1024;

fn limits(memory_mb: f64, descriptors: u32) -> MachineLimits {
    let terms = MachineTerms {
        memory_mb: Some(memory_mb),
        descriptors: Some(descriptors),
        ..Default::default()
    };
    MachineLimits::from(&terms)
}

#[test]
fn buffers_and_connections_fit_into_the_memory_of_every_machine() {
    for memory_mb in [160, 260, 512] {
        let limits = limits(f64::from(memory_mb), 8_192);

        let open = limits.connections;
        let connections =
            open.callers + open.instances + open.look_ups + open.readiness + open.operators;
        let bytes = limits.buffer_bytes + connections * 40 * 1024;
        assert!(bytes < memory_mb as usize * MB / 2, "{bytes} of {memory_mb} MB");
    }
}

#[test]
fn listeners_leave_descriptors_for_own_connections() {
    let open = limits(512.0, 512).connections;

    let all = open.callers + open.instances + open.look_ups + open.readiness + open.operators;
    assert!(all < (512 - 200) * 3 / 4, "{all} descriptors");
}

#[test]
fn a_machine_that_states_nothing_counts_as_a_small_one() {
    assert_eq!(MachineLimits::from(&MachineTerms::default()), limits(160.0, 4_100));
}

#[test]
fn memory_is_given_back() {
    let pool = MemoryPool::new(MB);
    let mut first = pool.reserve(MB / 2).expect("it is free");

    assert!(!first.grow_to(MB), "a part is left to small holders");
    assert!(pool.reserve(MB / 2).is_none());
    drop(first);

    assert_eq!(pool.used_bytes(), 0);
}

#[test]
fn large_holders_leave_memory_to_small_ones() {
    let pool = MemoryPool::new(MB);
    let held: Vec<_> = std::iter::from_fn(|| pool.reserve(64 * 1024)).collect();

    assert!(!held.is_empty());
    assert!(pool.reserve(17 * 1024).is_none());
    assert!(pool.reserve(16 * 1024).is_some());
    assert!(pool.begin_internal().grow_to(64 * 1024));
}

fn chosen(connections: &[(u32, Waiting, u64)]) -> Option<u32> {
    let connections = connections.iter();
    let connections =
        connections.map(|(key, waiting, ms)| (*key, *waiting, Duration::from_millis(*ms)));
    longest_waiting(connections).map(|(key, _, _)| key)
}

#[test]
fn connections_without_a_request_are_ended_first() {
    let connections =
        [(1, Waiting::Body, 9_000), (2, Waiting::Request, 10), (3, Waiting::Request, 20)];

    assert_eq!(chosen(&connections), Some(3));
}

#[test]
fn what_has_begun_is_ended_only_after_a_time() {
    assert_eq!(chosen(&[(1, Waiting::Body, 900), (2, Waiting::Upload, 800)]), None);
    assert_eq!(chosen(&[(1, Waiting::Body, 1_100), (2, Waiting::Upload, 2_100)]), Some(2));
    assert_eq!(chosen(&[(1, Waiting::Reader, 900)]), None);
    assert_eq!(chosen(&[]), None);
}
