//! Report of the comparison of two arms, as text and JSON.

use super::collect::{ArmMeasurement, Group};
use crate::table::Table;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use steering::compare::{Comparison, Finding, Measure, MeasureComparison, Verdict};

/// The result of a comparison.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    pub(super) base: String,
    pub(super) trial: String,
    /// Number of instances whose counts are included.
    pub(super) instances: usize,
    /// Number of instances whose counts are not included.
    pub(super) silent_instances: usize,
    pub(super) periods: usize,
    /// Whether there were enough periods to show a difference.
    pub(super) enough_periods: bool,
    pub(super) groups: Vec<GroupReport>,
}

/// Comparison for one service and class.
#[derive(Debug, Serialize)]
pub(super) struct GroupReport {
    service: String,
    class: String,
    base: ArmReport,
    trial: ArmReport,
    #[serde(flatten)]
    comparison: Comparison,
}

#[derive(Debug, Serialize)]
struct ArmReport {
    /// Requests with a complete response.
    answered: u64,
    /// Requests that were refused or have an unknown outcome, by kind.
    refused: BTreeMap<String, u64>,
}

impl From<ArmMeasurement> for ArmReport {
    fn from(measurement: ArmMeasurement) -> Self {
        Self { answered: measurement.answered(), refused: measurement.refused }
    }
}

impl GroupReport {
    pub(super) fn new(group: Group, comparison: Comparison) -> Self {
        Self {
            service: group.service,
            class: group.class,
            base: group.base.into(),
            trial: group.trial.into(),
            comparison,
        }
    }

    fn table(&self, base: &str, trial: &str) -> Table {
        let mut table = Table::new(["MEASURE", base, trial, "FINDING"]);
        table.add_row([
            "answered".to_owned(),
            self.base.answered.to_string(),
            self.trial.answered.to_string(),
            String::new(),
        ]);
        for measure in &self.comparison.measures {
            table.add_row([
                measure.measure.to_string(),
                value(measure, measure.base, measure.base_interval),
                value(measure, measure.trial, measure.trial_interval),
                describe_finding(measure.finding).to_owned(),
            ]);
        }
        let kinds = self.base.refused.keys().chain(self.trial.refused.keys());
        let kinds: std::collections::BTreeSet<&String> = kinds.collect();
        let count = |arm: &ArmReport, kind| arm.refused.get(kind).copied().unwrap_or_default();
        for kind in kinds {
            table.add_row([
                format!("  {kind}"),
                count(&self.base, kind).to_string(),
                count(&self.trial, kind).to_string(),
                String::new(),
            ]);
        }
        table
    }
}

impl Report {
    /// Returns the report as text.
    pub(super) fn describe(&self) -> String {
        let Report { base, trial, instances, periods, .. } = self;
        let mut text = format!("{trial} against {base}, {instances} instances, {periods} periods");
        // Writing to a string can't fail.
        if self.silent_instances > 0 {
            let _ = write!(text, "; {} instances did not answer", self.silent_instances);
        }
        for group in &self.groups {
            let _ = write!(text, "\n\nservice {}, class {}\n", group.service, group.class);
            let _ = writeln!(text, "{}", group.table(base, trial));
            let verdict = describe_verdict(group.comparison.verdict, trial, base);
            let _ = write!(text, "verdict: {verdict}");
        }
        text
    }
}

fn value(measure: &MeasureComparison, value: Option<f64>, interval: Option<(f64, f64)>) -> String {
    let Some(value) = value else { return "-".to_owned() };
    let (factor, unit) = match measure.measure {
        Measure::RefusedShare => (100.0, "%"),
        _ => (1.0, "ms"),
    };
    let value = value * factor;
    match interval {
        Some((low, high)) => {
            format!("{value:.2} {unit} ({:.2} to {:.2})", low * factor, high * factor)
        }
        None => format!("{value:.2} {unit}"),
    }
}

fn describe_finding(finding: Finding) -> &'static str {
    match finding {
        Finding::Better => "better",
        Finding::Worse => "worse",
        Finding::NoDifferenceShown => "no difference shown yet",
        Finding::TooFew => "too few requests",
    }
}

fn describe_verdict(verdict: Verdict, trial: &str, base: &str) -> String {
    match verdict {
        Verdict::Better => format!("{trial} is better than {base}"),
        Verdict::Worse => format!("{trial} is worse than {base}"),
        Verdict::Mixed => format!("{trial} is better than {base} in part and worse in part"),
        Verdict::NoDifferenceShown => "no difference shown yet".to_owned(),
    }
}
