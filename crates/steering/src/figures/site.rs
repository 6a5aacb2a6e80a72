//! What all figures of one site say together.

use super::own::OwnSite;
use super::report::{FORGET_AFTER, Reports, SiteReport};
use super::{SiteCapacity, SiteName};
use crate::Time;
use std::time::Duration;

/// Age up to which reports count in full.
const FRESH: Duration = Duration::from_secs(3);

/// Age from which reports count nothing and headroom is at its floor.
const STALE: Duration = Duration::from_secs(30);

/// Age up to which an own answer says that a site's answer time is measured.
const MEASURED: Duration = Duration::from_secs(3);

/// What is known of one site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteFigures {
    /// Free slots, as far as known.
    pub headroom_slots: f64,
    /// Own requests in flight.
    pub in_flight: u32,
    /// Median time to an answer's head, in milliseconds; the round trip while unknown.
    pub latency_ms: f64,
    /// That time less the round trip, in milliseconds; `None` while unknown.
    pub answer_time_ms: Option<f64>,
    /// Whether a recent answer to this instance stands behind the answer time.
    pub is_measured: bool,
    /// Part of exchanges that failed, from 0 to 1.
    pub failed_share: f64,
    /// Mean age of the figures behind the headroom, weighted by the work they stand for.
    pub age: Duration,
}

/// Free slots of a site and what they are drawn from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeadroomAt {
    /// Slots free according to the figures.
    pub measured_slots: f64,
    /// Slots to count on without figures.
    pub floor_slots: f64,
    /// Age of the figures.
    pub age: Duration,
}

/// Lets measured headroom decay to the floor: in full up to 3 s, at the floor from 30 s.
///
/// Bad news decays like good news, so that a site that was full once is used again.
pub fn decayed_headroom(headroom: HeadroomAt) -> f64 {
    let past_fresh = headroom.age.saturating_sub(FRESH).as_secs_f64();
    let known = (1.0 - past_fresh / (STALE - FRESH).as_secs_f64()).max(0.0);
    headroom.floor_slots + (headroom.measured_slots - headroom.floor_slots) * known
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
    let reported: Vec<(Duration, Option<&SiteReport>)> = reports.of_site(site, now).collect();
    let others_in_flight: u32 =
        reported.iter().filter_map(|(_, report)| report.map(|report| report.in_flight)).sum();
    let age = mean_age(&reported, others);
    let own_slots = f64::from(in_flight);
    let free_of_own = (capacity.capacity_slots - own_slots).max(0.0);
    let measured_slots = (free_of_own - f64::from(others_in_flight)).max(0.0);
    let floor_slots = (capacity.floor_slots - own_slots).max(0.0);
    let headroom = decayed_headroom(HeadroomAt { measured_slots, floor_slots, age });
    let answer_time_ms =
        own_answer_time_ms(own, now).or_else(|| reported_answer_time_ms(&reported));
    let last_answer = own.and_then(|own| own.last_answer);
    let is_measured = last_answer.is_some_and(|answer| now.since(answer) <= MEASURED);
    SiteFigures {
        headroom_slots: headroom.min(free_of_own),
        in_flight,
        latency_ms: capacity.round_trip_ms + answer_time_ms.unwrap_or(0.0),
        answer_time_ms,
        is_measured,
        failed_share: failed_share(own, &reported, now),
        age,
    }
}

/// Returns the mean age of what others report, each weighted by its requests and one more; an
/// instance without a report counts as old as a forgotten report.  Own work is known exactly.
fn mean_age(reported: &[(Duration, Option<&SiteReport>)], others: usize) -> Duration {
    let weight = |report: Option<&SiteReport>| report.map_or(0, |report| report.in_flight) + 1;
    let missing = others.saturating_sub(reported.len()) as f64;
    let known: f64 = reported.iter().map(|(_, report)| f64::from(weight(*report))).sum();
    let aged: f64 = reported
        .iter()
        .map(|(age, report)| age.as_secs_f64() * f64::from(weight(*report)))
        .sum::<f64>()
        + FORGET_AFTER.as_secs_f64() * missing;
    Duration::from_secs_f64(aged / (known + missing).max(1.0))
}

/// Returns the own answer time while it is at most as old as a report may be.
fn own_answer_time_ms(own: Option<&OwnSite>, now: Time) -> Option<f64> {
    let own = own?;
    if now.since(own.last_answer?) > STALE {
        return None;
    }
    own.answer_time_us().map(milliseconds)
}

/// Returns the median of the fresh reports.
fn reported_answer_time_ms(reported: &[(Duration, Option<&SiteReport>)]) -> Option<f64> {
    let mut answer_times_us: Vec<u32> = reported
        .iter()
        .filter(|(age, _)| *age <= STALE)
        .filter_map(|(_, report)| report.as_ref().and_then(|report| report.answer_time_us))
        .collect();
    answer_times_us.sort_unstable();
    answer_times_us.get(answer_times_us.len() / 2).copied().map(milliseconds)
}

/// Returns what this instance saw fail; reports of others count only where it saw nothing.
fn failed_share(
    own: Option<&OwnSite>,
    reported: &[(Duration, Option<&SiteReport>)],
    now: Time,
) -> f64 {
    let observed = own.filter(|own| {
        own.last_answer.is_some_and(|answer| now.since(answer) <= STALE)
            || own.failed_share(now) > 0.0
    });
    if let Some(own) = observed {
        return own.failed_share(now);
    }
    let mut shares: Vec<f64> = reported
        .iter()
        .filter(|(age, _)| *age <= FRESH)
        .filter_map(|(_, report)| report.as_ref().map(|report| report.failed_share))
        .collect();
    shares.sort_by(f64::total_cmp);
    shares.get(shares.len() / 2).copied().unwrap_or(0.0)
}

fn milliseconds(time_us: u32) -> f64 {
    f64::from(time_us) / 1_000.0
}
