//! Compares versions by the reports of all instances.

use super::evidence::{RouteEvidence, Verdict};
use super::report::Report;
use super::tally::VersionTallies;
use super::version_capacity::VersionCapacity;
use crate::quota::MemberId;
use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Display, Formatter};

/// The conclusion from all reports about a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Finding {
    /// It is worse than the others on a route.
    Worse {
        /// Hash of the route's name.
        route: u32,
        /// All responses that were reported on the route.
        totals: VersionTallies,
    },
    /// It is not worse than the others on any route.
    NotWorse,
    /// The reports do not decide yet.
    Undecided {
        /// Whether the evidence is in favor of the version on each route.
        favorable: bool,
    },
}

/// What a judge's decision is based on, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assessment {
    /// The conclusion from the reports.
    pub finding: Finding,
    /// Number of instances that have reported.
    pub reports: usize,
    /// All responses that these instances counted.
    pub totals: VersionTallies,
    /// Capacity of the versions.
    pub capacity: VersionCapacity,
}

impl Display for Assessment {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { finding, reports, totals, capacity } = self;
        let VersionTallies { target, others } = match finding {
            Finding::Worse { route, totals } => {
                write!(formatter, "worse on route {route:08x}: ")?;
                totals
            }
            Finding::NotWorse => {
                formatter.write_str("alike: ")?;
                totals
            }
            Finding::Undecided { favorable } => {
                let unfavorable = if *favorable { "" } else { ", more speaks against it" };
                write!(formatter, "not decided{unfavorable}: ")?;
                totals
            }
        };
        let VersionCapacity { target: slots, others: other_slots } = capacity;
        write!(
            formatter,
            "{target}, others {others}; {reports} reports, {slots} slots, others {other_slots}"
        )
    }
}

/// Sender of the report with the stored responses, which were counted before all instances restarted.
pub(super) fn stored_responses_id() -> MemberId {
    MemberId::from_name("stored responses")
}

/// The last report of one instance.
#[derive(Clone, Debug)]
struct LastReport {
    started_ms: u64,
    number: u32,
    is_done: bool,
    routes: BTreeMap<u32, VersionTallies>,
}

/// The reported responses of one route.
#[derive(Clone, Copy, Debug, Default)]
struct Route {
    evidence: RouteEvidence,
    total: VersionTallies,
    pending: VersionTallies,
}

/// The reports of all instances on one rollout.
#[derive(Clone, Debug, Default)]
pub(super) struct Judge {
    last_reports: HashMap<MemberId, LastReport>,
    routes: BTreeMap<u32, Route>,
    /// Whether the stored responses were added since the last step.
    has_stored_pending: bool,
}

impl Judge {
    /// Processes a report, which holds all that its instance has counted since its start.
    pub(super) fn add_report(&mut self, report: Report) {
        let last = self.last_reports.get(&report.member);
        if last.is_some_and(|last| {
            (last.started_ms, last.number) >= (report.started_ms, report.number)
        }) {
            return;
        }
        // What an instance reported before it restarted stays counted.
        let before = last.filter(|last| last.started_ms == report.started_ms);
        for (route, counted) in &report.routes {
            let earlier = before.and_then(|last| last.routes.get(route)).copied();
            let new = *counted - earlier.unwrap_or_default();
            let route = self.routes.entry(*route).or_default();
            route.pending += new;
            route.total += new;
        }
        let Report { member, started_ms, number, is_done, routes, .. } = report;
        self.has_stored_pending |= member == stored_responses_id();
        let routes = routes.into_iter().collect();
        self.last_reports.insert(member, LastReport { started_ms, number, is_done, routes });
    }

    /// Adds the responses reported since the last step to the evidence.
    pub(super) fn step(&mut self) {
        for route in self.routes.values_mut() {
            let VersionTallies { target, others } = std::mem::take(&mut route.pending);
            route.evidence.add(target, others);
            if self.has_stored_pending {
                route.evidence.drop_favorable();
            }
        }
        self.has_stored_pending = false;
    }

    /// The conclusion about the version.
    pub(super) fn finding(&self) -> Finding {
        let verdicts =
            || self.routes.iter().map(|(hash, route)| (hash, route, route.evidence.verdict()));
        let worse = verdicts().find(|(_, _, verdict)| *verdict == Verdict::Worse);
        if let Some((route, Route { total, .. }, _)) = worse {
            return Finding::Worse { route: *route, totals: *total };
        }
        let open = |verdict| matches!(verdict, Verdict::Undecided { .. });
        if !self.routes.is_empty() && !verdicts().any(|(_, _, verdict)| open(verdict)) {
            return Finding::NotWorse;
        }
        let unfavorable = Verdict::Undecided { favorable: false };
        Finding::Undecided { favorable: !verdicts().any(|(_, _, verdict)| verdict == unfavorable) }
    }

    /// Returns whether all these instances have reported that no requests to other versions are in
    /// flight.
    pub(super) fn are_done(&self, mut members: impl Iterator<Item = MemberId>) -> bool {
        members.all(|member| self.last_reports.get(&member).is_some_and(|last| last.is_done))
    }

    /// All responses by the hash of the route's name.
    pub(super) fn routes(&self) -> BTreeMap<u32, VersionTallies> {
        self.routes.iter().map(|(hash, route)| (*hash, route.total)).collect()
    }

    /// The stored responses, which were counted before all instances restarted.
    pub(super) fn stored_totals(&self) -> VersionTallies {
        let mut total = VersionTallies::default();
        let report = self.last_reports.get(&stored_responses_id());
        report.iter().flat_map(|report| report.routes.values()).for_each(|route| total += *route);
        total
    }

    /// Number of instances that have reported, and the sum of all responses that they counted.
    pub(super) fn totals(&self) -> (usize, VersionTallies) {
        let mut total = VersionTallies::default();
        self.routes.values().for_each(|route| total += route.total);
        (self.last_reports.len(), total)
    }
}
