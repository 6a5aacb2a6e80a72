//! Comparing versions by what all instances report.

use super::evidence::{RouteEvidence, Verdict};
use super::report::Report;
use super::tally::VersionTallies;
use super::version_capacity::VersionCapacity;
use crate::quota::MemberId;
use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Display, Formatter};

/// What the reports say of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Finding {
    /// It is worse than the others on a route.
    Worse {
        /// Hash of the route's name.
        route: u32,
        /// All that was reported of the route.
        seen: VersionTallies,
    },
    /// It is like the others on all routes.
    NotWorse,
    /// It is not decided, and whether what is known speaks for it on all routes.
    Undecided {
        /// Whether more speaks for it on each route.
        favorable: bool,
    },
}

/// What a judge went by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assessment {
    /// What the reports say of the version.
    pub finding: Finding,
    /// Instances whose reports it has.
    pub reports: usize,
    /// All answers that these counted.
    pub seen: VersionTallies,
    /// The room of the versions.
    pub capacity: VersionCapacity,
}

impl Display for Assessment {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { finding, reports, seen, capacity } = self;
        let VersionTallies { target, others } = match finding {
            Finding::Worse { route, seen } => {
                write!(formatter, "worse on route {route:08x}: ")?;
                seen
            }
            Finding::NotWorse => {
                formatter.write_str("alike: ")?;
                seen
            }
            Finding::Undecided { favorable } => {
                let against = if *favorable { "" } else { ", more speaks against it" };
                write!(formatter, "not decided{against}: ")?;
                seen
            }
        };
        let VersionCapacity { target: slots, others: other_slots } = capacity;
        write!(
            formatter,
            "{target}, others {others}; {reports} reports, {slots} slots, others {other_slots}"
        )
    }
}

/// The last report of one instance.
#[derive(Clone, Debug)]
struct Last {
    started_ms: u64,
    number: u32,
    is_done: bool,
    routes: BTreeMap<u32, VersionTallies>,
}

/// What is known of one route.
#[derive(Clone, Copy, Debug, Default)]
struct Route {
    evidence: RouteEvidence,
    all: VersionTallies,
    fresh: VersionTallies,
}

/// The reports of all instances on one roll-out.
#[derive(Clone, Debug, Default)]
pub(super) struct Judge {
    last: HashMap<MemberId, Last>,
    routes: BTreeMap<u32, Route>,
}

impl Judge {
    /// Takes over a report, which holds all that its instance has counted since its start.
    pub(super) fn hear(&mut self, report: Report) {
        let last = self.last.get(&report.member);
        if last.is_some_and(|last| {
            (last.started_ms, last.number) >= (report.started_ms, report.number)
        }) {
            return;
        }
        // What an instance reported before it started anew stays counted.
        let before = last.filter(|last| last.started_ms == report.started_ms);
        for (route, counted) in &report.routes {
            let earlier = before.and_then(|last| last.routes.get(route)).copied();
            let more = *counted - earlier.unwrap_or_default();
            let route = self.routes.entry(*route).or_default();
            route.fresh += more;
            route.all += more;
        }
        let Report { member, started_ms, number, is_done, routes, .. } = report;
        let routes = routes.into_iter().collect();
        self.last.insert(member, Last { started_ms, number, is_done, routes });
    }

    /// Weighs what was reported since the last step.
    pub(super) fn step(&mut self) {
        for route in self.routes.values_mut() {
            let VersionTallies { target, others } = std::mem::take(&mut route.fresh);
            route.evidence.add(target, others);
        }
    }

    /// What is found of the version.
    pub(super) fn finding(&self) -> Finding {
        let verdicts = || self.routes.iter().map(|(hash, it)| (hash, it, it.evidence.verdict()));
        let worse = verdicts().find(|(_, _, verdict)| *verdict == Verdict::Worse);
        if let Some((route, Route { all, .. }, _)) = worse {
            return Finding::Worse { route: *route, seen: *all };
        }
        let open = |verdict| matches!(verdict, Verdict::Undecided { .. });
        if !self.routes.is_empty() && !verdicts().any(|(_, _, verdict)| open(verdict)) {
            return Finding::NotWorse;
        }
        let against = Verdict::Undecided { favorable: false };
        Finding::Undecided { favorable: !verdicts().any(|(_, _, verdict)| verdict == against) }
    }

    /// Tells whether all these instances have said that nothing is under way to other versions.
    pub(super) fn are_done(&self, mut members: impl Iterator<Item = MemberId>) -> bool {
        members.all(|member| self.last.get(&member).is_some_and(|last| last.is_done))
    }

    /// Instances that have reported, and all answers that they counted.
    pub(super) fn seen(&self) -> (usize, VersionTallies) {
        let mut all = VersionTallies::default();
        self.routes.values().for_each(|route| all += route.all);
        (self.last.len(), all)
    }
}
