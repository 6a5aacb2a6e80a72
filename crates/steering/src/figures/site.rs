//! Combination of all figures of one site.

use super::own::OwnSite;
use super::report::{MAX_REPORT_AGE, Reports, SiteReport};
use super::{SiteCapacity, SiteName};
use crate::Time;
use std::time::Duration;

/// Age up to which reports have full weight.
const FRESH_AGE: Duration = Duration::from_secs(3);

/// Age from which reports have no weight and headroom is at its floor.
const STALE_AGE: Duration = Duration::from_secs(30);

/// Age of the last response to this instance, up to which a site's response time counts as
/// measured.
const MEASURED_AGE: Duration = Duration::from_secs(3);

/// Figures of one site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteFigures {
    /// Estimated free slots.
    pub headroom_slots: f64,
    /// Requests of this instance in flight.
    pub in_flight: u32,
    /// Median time to the response head, in milliseconds; the round-trip time if unknown.
    pub latency_ms: f64,
    /// Median time to the response head less the round trip, in milliseconds; `None` if unknown.
    pub response_time_ms: Option<f64>,
    /// Whether the response time is backed by a recent response to this instance.
    pub is_measured: bool,
    /// Fraction of exchanges that failed, from 0 to 1.
    pub failed_share: f64,
    /// Mean age of the reports behind the headroom, weighted by their requests in flight.
    pub age: Duration,
}

/// Headroom of a site before its decay with age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgedHeadroom {
    /// Free slots according to the figures.
    pub measured_slots: f64,
    /// Free slots assumed without figures.
    pub floor_slots: f64,
    /// Age of the figures.
    pub age: Duration,
}

/// Returns the free slots, which move linearly from the measured value up to an age of 3 s to the
/// floor from 30 s.
///
/// Low headroom also rises to the floor, so that a site that was full once is used again.
pub fn decayed_headroom(headroom: AgedHeadroom) -> f64 {
    let excess_age_s = headroom.age.saturating_sub(FRESH_AGE).as_secs_f64();
    let confidence = (1.0 - excess_age_s / (STALE_AGE - FRESH_AGE).as_secs_f64()).max(0.0);
    headroom.floor_slots + (headroom.measured_slots - headroom.floor_slots) * confidence
}

pub(super) fn combine(
    own: Option<&OwnSite>,
    reports: &Reports,
    site: &SiteName,
    capacity: SiteCapacity,
    others: usize,
    now: Time,
) -> SiteFigures {
    let in_flight = own.map_or(0, |own| own.in_flight);
    let reported: Vec<(Duration, Option<&SiteReport>)> = reports.site_reports(site, now).collect();
    let others_in_flight: u32 =
        reported.iter().filter_map(|(_, report)| report.map(|report| report.in_flight)).sum();
    let age = mean_age(&reported, others);
    let own_slots = f64::from(in_flight);
    let available_slots = (capacity.capacity_slots - own_slots).max(0.0);
    let measured_slots = (available_slots - f64::from(others_in_flight)).max(0.0);
    let floor_slots = (capacity.floor_slots - own_slots).max(0.0);
    let headroom = decayed_headroom(AgedHeadroom { measured_slots, floor_slots, age });
    let response_time_ms =
        own_response_time_ms(own, now).or_else(|| reported_response_time_ms(&reported));
    let last_response_at = own.and_then(|own| own.last_response_at);
    let is_measured = last_response_at.is_some_and(|at| now.since(at) <= MEASURED_AGE);
    SiteFigures {
        headroom_slots: headroom.min(available_slots),
        in_flight,
        latency_ms: capacity.round_trip_ms + response_time_ms.unwrap_or(0.0),
        response_time_ms,
        is_measured,
        failed_share: failed_share(own, &reported, now),
        age,
    }
}

/// Returns the mean age of the reports, each weighted by its requests in flight plus one.
///
/// An instance without a report counts with the maximum report age. Own requests are known exactly
/// and don't count.
fn mean_age(reported: &[(Duration, Option<&SiteReport>)], others: usize) -> Duration {
    let weight = |report: Option<&SiteReport>| report.map_or(0, |report| report.in_flight) + 1;
    let missing_reports = others.saturating_sub(reported.len()) as f64;
    let reported_weight: f64 = reported.iter().map(|(_, report)| f64::from(weight(*report))).sum();
    let weighted_age_s: f64 = reported
        .iter()
        .map(|(age, report)| age.as_secs_f64() * f64::from(weight(*report)))
        .sum::<f64>()
        + MAX_REPORT_AGE.as_secs_f64() * missing_reports;
    Duration::from_secs_f64(weighted_age_s / (reported_weight + missing_reports).max(1.0))
}

/// Returns the own response time, unless the last response is too old.
fn own_response_time_ms(own: Option<&OwnSite>, now: Time) -> Option<f64> {
    let own = own?;
    if now.since(own.last_response_at?) > STALE_AGE {
        return None;
    }
    own.response_time_us().map(milliseconds)
}

/// Returns the median response time of the reports that aren't too old.
fn reported_response_time_ms(reported: &[(Duration, Option<&SiteReport>)]) -> Option<f64> {
    let mut response_times_us: Vec<u32> = reported
        .iter()
        .filter(|(age, _)| *age <= STALE_AGE)
        .filter_map(|(_, report)| report.as_ref().and_then(|report| report.response_time_us))
        .collect();
    response_times_us.sort_unstable();
    response_times_us.get(response_times_us.len() / 2).copied().map(milliseconds)
}

/// Returns the fraction of failures seen by this instance or, if it has seen neither a response nor
/// a failure recently, the median of the fresh reports.
fn failed_share(
    own: Option<&OwnSite>,
    reported: &[(Duration, Option<&SiteReport>)],
    now: Time,
) -> f64 {
    let observed = own.filter(|own| {
        own.last_response_at.is_some_and(|at| now.since(at) <= STALE_AGE)
            || own.failed_share(now) > 0.0
    });
    if let Some(own) = observed {
        return own.failed_share(now);
    }
    let mut shares: Vec<f64> = reported
        .iter()
        .filter(|(age, _)| *age <= FRESH_AGE)
        .filter_map(|(_, report)| report.as_ref().map(|report| report.failed_share))
        .collect();
    shares.sort_by(f64::total_cmp);
    shares.get(shares.len() / 2).copied().unwrap_or(0.0)
}

fn milliseconds(time_us: u32) -> f64 {
    f64::from(time_us) / 1_000.0
}
