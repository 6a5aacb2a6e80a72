//! Figures of a site as they age; docs/operators/stale-figures.md has the table for operators.

mod common;

use common::cases;
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use steering::Time;
use steering::figures::{
    AgedHeadroom, ExchangeEnd, Figures, SiteCapacity, SiteName, SiteReport, decayed_headroom,
};

const CAPACITY: SiteCapacity =
    SiteCapacity { capacity_slots: 30.0, floor_slots: 5.0, round_trip_ms: 70.0 };

fn site() -> SiteName {
    SiteName { service: "dossier".into(), availability_zone: "liege-ans".into() }
}

fn report(in_flight: u32, response_time_us: Option<u32>) -> SiteReport {
    SiteReport { site: site(), in_flight, granted_slots: 0, response_time_us, failed_share: 0.0 }
}

fn responded(ms: u64, failed: bool) -> ExchangeEnd {
    ExchangeEnd::Responded { response_time: Some(Duration::from_millis(ms)), failed }
}

/// Returns the headroom `age_s` seconds after another instance reported `in_flight`.
fn headroom_at(in_flight: u32, age_s: u64) -> f64 {
    let mut figures = Figures::default();
    let from: Arc<str> = "other".into();
    figures.merge_report(&from, vec![report(in_flight, None)], Duration::ZERO, Time::from_ms(0));
    figures.site_figures(&site(), CAPACITY, 1, Time::from_ms(age_s * 1_000)).headroom_slots
}

#[test]
fn headroom_decays_to_the_floor_from_above_and_from_below() {
    assert!((headroom_at(10, 1) - 20.0).abs() < 1e-9);
    assert!((headroom_at(30, 1) - 0.0).abs() < 1e-9);
    for in_flight in [0, 10, 30] {
        let middle = headroom_at(in_flight, 16);
        let reported = 30.0 - f64::from(in_flight);
        assert!(middle > reported.min(5.0) && middle < reported.max(5.0), "{in_flight}: {middle}");
        assert!((headroom_at(in_flight, 45) - 5.0).abs() < 1e-9);
        assert!((headroom_at(in_flight, 90) - 5.0).abs() < 1e-9);
    }
}

#[test]
fn own_requests_count_exactly_at_any_age() {
    let mut figures = Figures::default();
    for _ in 0..4 {
        figures.record_start(&site());
    }

    let stale = figures.site_figures(&site(), CAPACITY, 11, Time::from_ms(100_000));
    for _ in 0..30 {
        figures.record_start(&site());
    }
    let full = figures.site_figures(&site(), CAPACITY, 11, Time::from_ms(100_000));

    assert!(stale.headroom_slots >= 1.0 - 1e-9 && stale.headroom_slots < 8.0, "{stale:?}");
    assert_eq!(full.headroom_slots, 0.0);
}

#[test]
fn recent_own_responses_take_precedence_over_reports() {
    let mut figures = Figures::default();
    let from: Arc<str> = "other".into();
    figures.record_start(&site());
    figures.record_end(&site(), responded(20, false), Time::from_ms(0));
    let at = |figures: &mut Figures, now_ms: u64| {
        let reports = vec![report(1, Some(90_000))];
        figures.merge_report(&from, reports, Duration::ZERO, Time::from_ms(now_ms));
        figures.site_figures(&site(), CAPACITY, 1, Time::from_ms(now_ms))
    };

    let recent = at(&mut figures, 2_000);
    let aging = at(&mut figures, 10_000);
    let old = at(&mut figures, 31_000);

    assert_eq!((recent.latency_ms, recent.is_measured), (90.0, true));
    assert_eq!((aging.latency_ms, aging.is_measured), (90.0, false));
    assert_eq!((old.latency_ms, old.is_measured), (160.0, false));
}

#[test]
fn failures_decay_so_that_a_site_is_tried_again() {
    let mut figures = Figures::default();
    for _ in 0..20 {
        figures.record_start(&site());
        figures.record_end(&site(), ExchangeEnd::Failed, Time::from_ms(0));
        figures.record_release(&site());
    }
    let failed_share =
        |now_ms| figures.site_figures(&site(), CAPACITY, 0, Time::from_ms(now_ms)).failed_share;

    assert_eq!(failed_share(1_000), 1.0);
    assert_eq!(failed_share(30_000), 0.0);
}

#[test]
fn abandoned_exchanges_do_not_change_the_figures() {
    let mut figures = Figures::default();
    for _ in 0..20 {
        figures.record_start(&site());
        figures.record_end(&site(), ExchangeEnd::Abandoned, Time::from_ms(0));
        figures.record_release(&site());
    }

    let site_figures = figures.site_figures(&site(), CAPACITY, 0, Time::from_ms(0));

    assert_eq!((site_figures.failed_share, site_figures.in_flight), (0.0, 0));
    assert!(figures.own_report(Time::from_ms(0)).is_empty());
}

#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let mut figures = Figures::default();
    let from: Arc<str> = "other".into();
    let now = Time::from_ms(10_000);
    figures.merge_report(&from, vec![report(2, None)], Duration::from_secs(1), now);

    figures.merge_report(&from, vec![report(25, None)], Duration::from_secs(2), now);

    let site_figures = figures.site_figures(&site(), CAPACITY, 1, now);
    assert!((site_figures.headroom_slots - 28.0).abs() < 1e-9, "{site_figures:?}");
}

proptest! {
    #![proptest_config(cases(10_000))]

    /// Headroom lies between the reported value and the floor, and moves towards the floor with
    /// age.
    #[test]
    fn headroom_moves_only_towards_the_floor(
        measured_slots in 0.0..1_000.0_f64,
        floor_slots in 0.0..1_000.0_f64,
        age_ms in 0_u64..100_000,
        later_ms in 0_u64..100_000,
    ) {
        let at = |age_ms| decayed_headroom(AgedHeadroom {
            measured_slots,
            floor_slots,
            age: Duration::from_millis(age_ms),
        });
        let (now, later) = (at(age_ms), at(age_ms + later_ms));

        let (lower, upper) = (measured_slots.min(floor_slots), measured_slots.max(floor_slots));
        prop_assert!((lower - 1e-9..=upper + 1e-9).contains(&now));
        prop_assert!((later - floor_slots).abs() <= (now - floor_slots).abs() + 1e-9);
    }
}
