//! Terms of deployments and the timings derived from them.

mod placement_common;

use placement_common::peer;
use proptest::option;
use proptest::prelude::*;
use std::time::Duration;
use steering::placement::Peers;
use steering::placement::peers::{HEARTBEAT_INTERVAL, LOST_AFTER};
use steering::terms::timings::{
    ConnectionTimings, LivenessTimings, PropagationTimings, SenderLimits, ShiftLimits, WaitRange,
    WatchTimings,
};
use steering::terms::{Conflict, RawStoreTerms, RawTerms, Terms, TermsError, Timings};

/// Largest number of senders to one cold backend server, while instances disagree on the
/// membership.
const MAX_SENDERS: f64 = 4.0;

/// Shortest timeout for fetching an update from another instance under any terms.
const MIN_UPDATE_TIMEOUT: Duration = Duration::from_millis(900);

/// Two round trips between regions: a connection and an update over it.
const REMOTE_FETCH: Duration = Duration::from_millis(300);

/// Slack for the rounding of durations.
const ROUNDING: Duration = Duration::from_micros(1);

/// Access to one term.
type Accessor = fn(&mut RawTerms) -> &mut Option<f64>;

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

/// The timings of deployments with usual terms, and of those without terms.
fn usual_timings() -> Timings {
    let ms = Duration::from_millis;
    let range = |min_ms, max_ms| WaitRange { min: ms(min_ms), max: ms(max_ms) };
    Timings {
        propagation: PropagationTimings {
            watch_grace: ms(300),
            same_region_max_delay: ms(60),
            other_region_delay: ms(500),
            hedge_delay: ms(400),
            connect_timeout: ms(1200),
            fetch_timeout: ms(2500),
            call_timeout: ms(1200),
            max_backoff: ms(1500),
            store_recovery_delay: ms(2000),
        },
        watches: WatchTimings {
            configuration: range(1000, 2000),
            servers: range(3000, 8000),
            evacuations: range(3000, 8000),
            rollouts: range(3000, 8000),
            policies: range(15_000, 29_000),
            response_grace: ms(600),
            check_interval: ms(350),
        },
        liveness: LivenessTimings {
            heartbeat_interval: ms(800),
            lost_after: ms(3800),
            report_after: ms(4600),
        },
        connections: ConnectionTimings { user_timeout: ms(3000), keepalive_interval: ms(2000) },
        cold_start: SenderLimits { rate_share: 0.35, burst: 1.25 },
        region_shift: ShiftLimits {
            max_offload: 0.06,
            max_change_per_s: 0.03,
            max_total_change_per_s: 0.04,
            max_settling_change_per_s: 0.15,
            settling_time: ms(4000),
            spill_ratio: 0.04,
        },
    }
}

#[test]
fn without_terms_timings_are_the_usual_ones() {
    assert_eq!(timings(RawTerms::default()), usual_timings());
    assert_eq!(Timings::default(), usual_timings());
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
    let fields: [(&str, Accessor); 20] = [
        ("reconnection_s", |raw| &mut raw.reconnection_s),
        ("configuration_s", |raw| &mut raw.configuration_s),
        ("server_drain_s", |raw| &mut raw.server_drain_s),
        ("evacuation_s", |raw| &mut raw.evacuation_s),
        ("key_revocation_s", |raw| &mut raw.key_revocation_s),
        ("outage_extension_s", |raw| &mut raw.outage_extension_s),
        ("regression_s", |raw| &mut raw.regression_s),
        ("recovery_s", |raw| &mut raw.recovery_s),
        ("address_reuse_s", |raw| &mut raw.address_reuse_s),
        ("cold_overage", |raw| &mut raw.cold_overage),
        ("cold_slack", |raw| &mut raw.cold_slack),
        ("max_region_shift", |raw| &mut raw.max_region_shift),
        ("exposure_share", |raw| &mut raw.exposure_share),
        ("exposure_slack", |raw| &mut raw.exposure_slack),
        ("rollback_s", |raw| &mut raw.rollback_s),
        ("machine.cores", |raw| &mut raw.machine.cores),
        ("machine.memory_mb", |raw| &mut raw.machine.memory_mb),
        ("store.writes_per_s", |raw| &mut raw.store.writes_per_s),
        ("store.history_s", |raw| &mut raw.store.history_s),
        ("store.registration_interval_s", |raw| &mut raw.store.registration_interval_s),
    ];
    for (name, field) in fields {
        // None of the requests beyond a share is a valid term.
        let zero = if name.ends_with("_slack") { -0.1 } else { 0.0 };
        for value in [zero, -3.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e10, 1e300] {
            let mut raw = usual_terms();
            *field(&mut raw) = Some(value);

            let error: TermsError = Terms::try_from(raw).expect_err("the value is invalid");

            assert_eq!(error.field, name, "{value}");
            assert!(error.to_string().starts_with(name), "{error}");
        }
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
    fn under_usual_terms_timings_are_the_usual_ones(
        reconnection_s in option::of(3.0..=5.0),
        configuration_s in option::of(2.5..=5.0),
        server_drain_s in option::of(2.5..=5.0),
        evacuation_s in option::of(5.0..=6.0),
        key_revocation_s in option::of(5.0..=6.0),
        cold_slack in option::of(5.0..=10.0),
    ) {
        let raw = RawTerms {
            reconnection_s,
            configuration_s,
            server_drain_s,
            evacuation_s,
            key_revocation_s,
            cold_slack,
            max_region_shift: Some(0.15),
            ..usual_terms()
        };

        prop_assert_eq!(timings(raw), usual_timings());
    }

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

        // A silent store is detected and the watcher replaced within the term.  The usual wait, which
        // is kept under all usual terms, is too long for the shortest of them.
        let replaced = watches.configuration.max + watches.response_grace + watches.check_interval;
        let is_usual = (2.5..=5.0).contains(&configuration_s);
        let bound_s = if is_usual { configuration_s.max(2.95) } else { configuration_s };
        prop_assert!(replaced <= seconds(bound_s) + ROUNDING, "{replaced:?}");
        prop_assert!(watches.configuration.max <= seconds(configuration_s));
        prop_assert!(watches.configuration.min < watches.configuration.max);
        // A watch without a response is abandoned, and another instance watches, within the term.
        prop_assert!(watches.response_grace + watches.check_interval <= tightest);
        // After a failed call, the next one starts and responds within the term.
        prop_assert!(propagation.max_backoff + REMOTE_FETCH <= tightest);
        prop_assert!(propagation.call_timeout <= tightest);
        prop_assert!(propagation.fetch_timeout <= tightest.max(MIN_UPDATE_TIMEOUT) + ROUNDING);
        // A change that one instance lacks arrives by a hedged request in this time.
        let hedged = propagation.other_region_delay
            + propagation.watch_grace
            + propagation.hedge_delay
            + propagation.same_region_max_delay;
        prop_assert!(hedged <= tightest.mul_f64(0.6), "{hedged:?} of {tightest:?}");
        prop_assert!(hedged + REMOTE_FETCH <= tightest, "{hedged:?} of {tightest:?}");
        prop_assert!(propagation.connect_timeout < propagation.fetch_timeout);
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
    fn timings_of_liveness_stay_within_their_term(reconnection_s in 1.5..100.0) {
        let term = seconds(reconnection_s);

        let Timings { liveness, connections, region_shift, .. } =
            timings(RawTerms { reconnection_s: Some(reconnection_s), ..usual_terms() });

        // An instance that returns sends a heartbeat, which reaches all others in half the time
        // after which it would count as lost.
        prop_assert!(liveness.heartbeat_interval + liveness.lost_after / 2 <= term);
        // Other zones hear of a lost instance after its own zone, and within the term after it.
        let report_delay = liveness.report_after - liveness.lost_after;
        prop_assert!(report_delay + ROUNDING >= liveness.heartbeat_interval);
        prop_assert!(report_delay <= term);
        prop_assert!(connections.user_timeout <= term + ROUNDING);
        prop_assert!(connections.keepalive_interval <= connections.user_timeout);
        // The measured demand is renewed once within the term.
        prop_assert!(region_shift.settling_time / 2 <= term);
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
        let of_short_services = 2.0 * limits.max_total_change_per_s + limits.spill_ratio;
        prop_assert!(of_short_services <= max_shift);
        prop_assert!(limits.max_offload <= 0.5 * max_shift);
        prop_assert!(limits.settling_time <= seconds(reconnection_s * 4.0 / 3.0) + ROUNDING);
    }
}
