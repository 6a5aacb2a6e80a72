//! Requests to a backend server that states a limit, while its senders change.
//!
//! Guards against more requests than the limit allows. Each instance that became a sender had a
//! request at hand, so 8 arrived in 4 s at a server that takes none, where 5 are allowed, while the
//! instances that sent to it ended one after another.

mod model;
#[path = "../placement_common/mod.rs"]
mod placement_common;

use model::{Cuts, Deaths, Scenario, Views, WINDOW_MS, allowed, run};

const LIMITS_PER_S: [f64; 5] = [0.0, 0.3, 2.3, 5.4, 12.0];

fn scenario(instances: usize, limit_per_s: f64) -> Scenario {
    Scenario {
        instances,
        limit_per_s,
        requests_per_s: 200.0,
        views: Views::Whole,
        deaths: None,
        cuts: None,
        senders_unused_from_ms: None,
        end_ms: 24_000,
        seed: 7,
    }
}

fn assert_limit_holds(scenario: Scenario) {
    let max_in_window = run(scenario).max_in_window();
    let allowed = allowed(scenario.limit_per_s);
    assert!(max_in_window <= allowed, "{max_in_window} of {allowed}: {scenario:?}");
}

// Guards against senders that each begin with a request at hand while the one before has just ended.
#[test]
fn a_limit_holds_while_senders_end_one_after_another() {
    for instances in [4, 12, 25, 40, 100] {
        for every_ms in [400, 800, 1_600] {
            for limit_per_s in LIMITS_PER_S {
                for down_ms in [2_000, 60_000] {
                    let deaths = Some(Deaths { every_ms, down_ms });
                    assert_limit_holds(Scenario { deaths, ..scenario(instances, limit_per_s) });
                }
            }
        }
    }
}

// Guards against as many senders as there are parts of a region that don't hear each other.
#[test]
fn a_limit_holds_while_a_region_is_in_pieces() {
    for instances in [4, 12, 25, 40] {
        for count in [2, 3, 6, 40] {
            for limit_per_s in LIMITS_PER_S {
                let views = Views::Pieces { count, from_ms: 6_000 };
                assert_limit_holds(Scenario { views, ..scenario(instances, limit_per_s) });
            }
        }
    }
}

// Guards against instances that each take themselves for a sender for a moment, one after another.
#[test]
fn a_limit_holds_while_views_change_with_each_heartbeat() {
    for instances in [4, 12, 25, 40] {
        for part in [0.9, 0.7, 0.5] {
            for limit_per_s in LIMITS_PER_S {
                let views = Views::Drawn { part };
                assert_limit_holds(Scenario { views, ..scenario(instances, limit_per_s) });
            }
        }
    }
}

// Guards against all instances that probe at once a limit which no response confirmed for a minute.
#[test]
fn a_limit_holds_where_no_sender_gets_requests() {
    for instances in [4, 25, 100] {
        for limit_per_s in LIMITS_PER_S {
            let senders_unused_from_ms = Some(WINDOW_MS);
            let end_ms = 90_000;
            let scenario =
                Scenario { senders_unused_from_ms, end_ms, ..scenario(instances, limit_per_s) };
            assert_limit_holds(scenario);
        }
    }
}

#[test]
fn a_limit_holds_in_a_region_of_three_hundred_instances() {
    let deaths = Some(Deaths { every_ms: 800, down_ms: 2_000 });
    assert_limit_holds(Scenario { deaths, end_ms: 12_000, ..scenario(300, 0.0) });
}

// Guards against a server that gets nothing for good, so that nobody sees its limit end.
#[test]
fn a_limited_server_gets_requests_while_senders_change() {
    for instances in [4, 25] {
        let deaths = Some(Deaths { every_ms: 3_200, down_ms: 2_000 });
        let arrivals = run(Scenario { deaths, ..scenario(instances, 5.4) });
        let settled = arrivals.count_from(WINDOW_MS);
        assert!(settled >= 5, "{settled} requests in 20 s, {instances} instances");
    }
}

#[test]
fn a_server_without_confirmations_is_probed_within_a_minute_and_a_half() {
    for instances in [4, 25, 100] {
        let scenario = Scenario {
            senders_unused_from_ms: Some(WINDOW_MS),
            end_ms: 95_000,
            ..scenario(instances, 5.4)
        };
        let probes = run(scenario).count_from(60_000);
        assert!(probes > 0, "no probe, {instances} instances");
    }
}

// Guards against senders that are cut off from the server and come back while others took their place.
#[test]
fn a_limit_holds_while_its_senders_are_cut_off_one_after_another() {
    for instances in [4, 12, 25, 100] {
        for (every_ms, length_ms) in [(800, 2_000), (1_600, 5_000), (3_200, 1_000)] {
            for limit_per_s in LIMITS_PER_S {
                let cuts = Some(Cuts { every_ms, length_ms });
                assert_limit_holds(Scenario { cuts, ..scenario(instances, limit_per_s) });
            }
        }
    }
}

// Guards against a limited server that gets nothing as its senders are cut off and stay senders.
#[test]
fn a_limited_server_gets_requests_while_its_senders_are_cut_off() {
    for instances in [12, 25, 100] {
        let cuts = Some(Cuts { every_ms: 3_200, length_ms: 60_000 });
        let arrivals = run(Scenario { cuts, ..scenario(instances, 5.4) });
        let after_three_cuts = arrivals.count_from(4 * 3_200);
        assert!(after_three_cuts >= 5, "{after_three_cuts} requests, {instances} instances");
    }
}
