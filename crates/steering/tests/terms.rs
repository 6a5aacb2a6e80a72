//! Terms of deployments and the timings derived from them.

mod placement_common;

use placement_common::peer;
use proptest::prelude::*;
use std::time::Duration;
use steering::placement::Peers;
use steering::placement::peers::{HEARTBEAT_INTERVAL, LOST_AFTER};
use steering::terms::timings::{SenderLimits, WaitRange};
use steering::terms::{Conflict, RawStoreTerms, RawTerms, Terms, TermsError, Timings};
use steering::watch_timing::{RESPONSE_GRACE, SHORT_WAIT_MS, WAIT_MS, WATCHER_CHECK_INTERVAL};

/// Largest number of senders to one cold backend server, while instances disagree on the
/// membership.
const MAX_SENDERS: f64 = 4.0;

/// Time that a connection to another region and an update over it take.
const MIN_FETCH_TIMEOUT: Duration = Duration::from_millis(900);

/// Slack for the rounding of durations.
const ROUNDING: Duration = Duration::from_micros(1);

/// Terms within the usual ranges.
fn usual_terms() -> RawTerms {
    RawTerms {
        reconnection_s: Some(4.0),
        configuration_s: Some(3.0),
        server_drain_s: Some(3.0),
        evacuation_s: Some(5.0),
        key_revocation_s: Some(5.0),
        recovery_s: Some(15.0),
        cold_overage: Some(1.5),
        cold_slack: Some(5.0),
        store: RawStoreTerms { history_s: Some(20.0), ..RawStoreTerms::default() },
        ..RawTerms::default()
    }
}

fn checked(raw: RawTerms) -> Terms {
    Terms::try_from(raw).expect("the terms are valid")
}

fn timings(raw: RawTerms) -> Timings {
    Timings::from(&checked(raw))
}

fn seconds(value_s: f64) -> Duration {
    Duration::from_secs_f64(value_s)
}

/// All timings, for comparing two sets of them.
fn durations(timings: &Timings) -> Vec<Duration> {
    let (path, watches) = (timings.propagation, timings.watches);
    let (liveness, connections) = (timings.liveness, timings.connections);
    let waits = [watches.configuration, watches.servers, watches.evacuations, watches.rollouts];
    let mut all: Vec<Duration> = waits.iter().flat_map(|wait| [wait.min, wait.max]).collect();
    all.extend([path.watch_grace, path.same_region_max_delay, path.other_region_delay]);
    all.extend([path.hedge_delay, path.connect_timeout, path.fetch_timeout, path.max_backoff]);
    all.extend([path.call_timeout, timings.region_shift.settling_time]);
    all.extend([path.store_recovery_delay, watches.response_grace, watches.check_interval]);
    all.extend([liveness.heartbeat_interval, liveness.lost_after, liveness.report_after]);
    all.extend([connections.user_timeout, connections.keepalive_interval]);
    all
}

/// Terms with one factor for all of them.
fn scaled_terms(factor: f64) -> RawTerms {
    let scale = |term: Option<f64>| term.map(|term| term * factor);
    let usual = usual_terms();
    RawTerms {
        reconnection_s: scale(usual.reconnection_s),
        configuration_s: scale(usual.configuration_s),
        server_drain_s: scale(usual.server_drain_s),
        evacuation_s: scale(usual.evacuation_s),
        key_revocation_s: scale(usual.key_revocation_s),
        cold_slack: scale(usual.cold_slack),
        ..usual
    }
}

#[test]
fn without_terms_and_under_usual_ones_timings_are_the_usual_ones() {
    for raw in [RawTerms::default(), usual_terms()] {
        let timings = timings(raw);

        assert_eq!(timings, Timings::default());
        let [min_ms, max_ms] = SHORT_WAIT_MS;
        let wait =
            WaitRange { min: Duration::from_millis(min_ms), max: Duration::from_millis(max_ms) };
        assert_eq!(timings.watches.configuration, wait);
        assert_eq!(timings.watches.servers.max, Duration::from_millis(WAIT_MS[1]));
        assert_eq!(timings.watches.response_grace, RESPONSE_GRACE);
        assert_eq!(timings.watches.check_interval, WATCHER_CHECK_INTERVAL);
        assert_eq!(timings.liveness.heartbeat_interval, HEARTBEAT_INTERVAL);
        assert_eq!(timings.liveness.lost_after, LOST_AFTER);
        assert_eq!(timings.cold_start, SenderLimits { rate_share: 0.35, burst: 1.25 });
    }
}

#[test]
fn a_loose_configuration_does_not_delay_the_revocation_of_a_key() {
    let raw = RawTerms { configuration_s: Some(60.0), ..usual_terms() };

    assert_eq!(timings(raw).watches.configuration, Timings::default().watches.configuration);
}

#[test]
fn looser_terms_save_calls_to_the_store_and_nothing_else_changes() {
    let raw = RawTerms { server_drain_s: Some(9.0), ..usual_terms() };

    let loose = timings(raw);

    assert!(loose.watches.servers.min > Timings::default().watches.servers.min);
    assert_eq!(loose.propagation, Timings::default().propagation);
    assert_eq!(loose.liveness, Timings::default().liveness);
}

#[test]
fn an_invalid_term_is_an_error_that_names_its_field() {
    for value in [0.0, -3.0, f64::NAN, f64::INFINITY, 1e7] {
        let raw = RawTerms { server_drain_s: Some(value), ..usual_terms() };

        let error: TermsError = Terms::try_from(raw).expect_err("the value is invalid");

        assert_eq!(error.field, "server_drain_s", "{value}");
    }
}

#[test]
fn usual_terms_have_no_conflicts() {
    assert_eq!(Conflict::find(&checked(usual_terms())), []);
}

#[test]
fn terms_that_cannot_be_kept_are_conflicts() {
    let usual = usual_terms;
    let cases = [
        (RawTerms { configuration_s: Some(0.2), ..usual() }, "configuration_s"),
        (RawTerms { reconnection_s: Some(1.0), ..usual() }, "reconnection_s"),
        (RawTerms { recovery_s: Some(2.0), ..usual() }, "recovery_s"),
        (RawTerms { cold_slack: Some(2.0), ..usual() }, "cold_slack"),
        (
            RawTerms {
                store: RawStoreTerms { history_s: Some(6.0), ..RawStoreTerms::default() },
                ..usual()
            },
            "store.history_s",
        ),
    ];
    for (raw, field) in cases {
        let conflicts = Conflict::find(&checked(raw));

        assert!(conflicts[0].to_string().starts_with(field), "{field}: {conflicts:?}");
    }
}

#[test]
fn heartbeats_are_no_more_frequent_below_the_shortest_reconnection() {
    let shortest = timings(RawTerms { reconnection_s: Some(1.5), ..usual_terms() });

    let shorter = timings(RawTerms { reconnection_s: Some(0.3), ..usual_terms() });

    assert_eq!(shorter.liveness, shortest.liveness);
    assert_eq!(shortest.liveness.heartbeat_interval, HEARTBEAT_INTERVAL / 2);
}

/// An instance counts as alive until its heartbeats are missing for the derived time, in a fleet of
/// any size in which all heartbeats reach all instances.
#[test]
fn lost_instances_are_detected_within_the_derived_time_at_all_sizes() {
    for count in [10, 100, 300, 1_000, 4_000] {
        for reconnection_s in [1.5, 2.0, 3.0, 5.0, 12.0] {
            let liveness =
                timings(RawTerms { reconnection_s: Some(reconnection_s), ..usual_terms() })
                    .liveness;
            let start = std::time::Instant::now();
            let mut peers = Peers::in_zone("north-a".into(), liveness);
            for number in 0..count {
                peers.record(peer(&format!("i-{number}"), "north-a"), start);
            }
            peers.prune(start);

            let just_before = start + liveness.lost_after - Duration::from_millis(1);
            assert_eq!(peers.alive_count(just_before), count);
            assert_eq!(peers.alive_count(start + liveness.lost_after), 0);
        }
    }
}

proptest! {
    #[test]
    fn timings_grow_with_terms(tight in 0.1..4.0, ratio in 1.0..10.0) {
        let (tight, loose) = (timings(scaled_terms(tight)), timings(scaled_terms(tight * ratio)));

        for (shorter, longer) in durations(&tight).into_iter().zip(durations(&loose)) {
            prop_assert!(shorter <= longer + ROUNDING, "{shorter:?} {longer:?}");
        }
        prop_assert!(tight.cold_start.burst <= loose.cold_start.burst);
    }

    #[test]
    fn timings_of_propagation_stay_within_their_terms(
        configuration_s in 1.0..20.0,
        server_drain_s in 1.0..20.0,
        evacuation_s in 2.0..40.0,
    ) {
        let raw = RawTerms {
            configuration_s: Some(configuration_s),
            server_drain_s: Some(server_drain_s),
            evacuation_s: Some(evacuation_s),
            ..usual_terms()
        };
        let tightest = seconds(configuration_s.min(server_drain_s).min(evacuation_s));

        let Timings { propagation, watches, .. } = timings(raw);

        prop_assert!(watches.configuration.max <= seconds(configuration_s));
        prop_assert!(propagation.fetch_timeout <= tightest.max(MIN_FETCH_TIMEOUT) + ROUNDING);
        // A change that one instance lacks arrives by a hedged request in this time.
        let hedged = propagation.other_region_delay
            + propagation.watch_grace
            + propagation.hedge_delay
            + propagation.same_region_max_delay;
        prop_assert!(hedged <= tightest.mul_f64(0.6), "{hedged:?} of {tightest:?}");
        prop_assert!(propagation.store_recovery_delay > propagation.max_backoff);
    }

    #[test]
    fn timings_of_liveness_keep_their_ratios(reconnection_s in 0.05..100.0) {
        let liveness =
            timings(RawTerms { reconnection_s: Some(reconnection_s), ..usual_terms() }).liveness;

        let heartbeats = liveness.lost_after.div_duration_f64(liveness.heartbeat_interval);
        let usual = LOST_AFTER.div_duration_f64(HEARTBEAT_INTERVAL);
        prop_assert!((heartbeats - usual).abs() < 1e-6);
        prop_assert!(liveness.report_after > liveness.lost_after);
    }

    #[test]
    fn senders_to_a_cold_server_stay_within_its_terms(
        overage in 1.0..10.0,
        slack in MAX_SENDERS..50.0,
        rate_per_s in 0.5..50.0,
    ) {
        let raw =
            RawTerms { cold_overage: Some(overage), cold_slack: Some(slack), ..usual_terms() };

        let limits = timings(raw).cold_start;

        let sent_in_a_second = MAX_SENDERS * (limits.rate_share * rate_per_s + limits.burst);
        prop_assert!(sent_in_a_second <= overage * rate_per_s + slack + 1e-9);
        prop_assert!(limits.burst >= 1.0);
    }

    #[test]
    fn shares_move_less_than_the_allowed_shift(max_shift in 0.01..1.0, reconnection_s in 0.5..10.0) {
        let raw = RawTerms {
            max_region_shift: Some(max_shift),
            reconnection_s: Some(reconnection_s),
            ..usual_terms()
        };

        let limits = timings(raw).region_shift;

        let within_two_seconds = 2.0 * limits.max_change_per_s + limits.spill_ratio;
        prop_assert!(within_two_seconds <= 0.7 * max_shift);
        prop_assert!(limits.max_offload <= 0.5 * max_shift);
        prop_assert!(limits.settling_time <= seconds(reconnection_s * 4.0 / 3.0) + ROUNDING);
    }
}
