//! Terms and what is derived from each, for operators.

use super::timings::{Timings, WaitRange};
use super::{Conflict, Terms};
use serde::Serialize;
use std::time::Duration;

/// Terms, what is derived from each, and conflicts between them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TermsDescription {
    /// The terms, in the order of the settings; without the tolerance and the limits of the machine and
    /// the store.
    pub terms: Vec<TermDescription>,
    /// Conflicts, in words.
    pub conflicts: Vec<String>,
}

/// One term and what is derived from it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TermDescription {
    /// Name of the field in the settings, with its unit as a suffix.
    pub name: &'static str,
    /// Value in the unit of the field; none if the term is not agreed.
    pub value: Option<f64>,
    /// Values derived from it, some from other terms too.
    pub derived: Vec<DerivedValue>,
}

/// A value that is derived from a term.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct DerivedValue {
    /// Name with its unit as a suffix.
    pub name: &'static str,
    /// Value in that unit.
    pub value: f64,
}

impl From<&Terms> for TermsDescription {
    fn from(terms: &Terms) -> Self {
        let conflicts = Conflict::find(terms).iter().map(Conflict::to_string).collect();
        Self { terms: describe(terms), conflicts }
    }
}

fn describe(terms: &Terms) -> Vec<TermDescription> {
    let timings = Timings::from(terms);
    let watches = timings.watches;
    let (propagation, rollout) = (&terms.propagation, &terms.rollout);
    let seconds = |name, value: Option<Duration>, derived| {
        let value = value.map(|value| value.as_secs_f64());
        TermDescription { name, value, derived }
    };
    let number = |name, value, derived| TermDescription { name, value, derived };
    let cold_start = timings.cold_start;
    vec![
        seconds("reconnection_s", terms.reconnection, reconnection(&timings)),
        seconds(
            "configuration_s",
            propagation.configuration,
            propagation_values(&timings, watches.configuration),
        ),
        seconds(
            "server_drain_s",
            propagation.server_drain,
            propagation_values(&timings, watches.servers),
        ),
        seconds(
            "evacuation_s",
            propagation.evacuation,
            propagation_values(&timings, watches.evacuations),
        ),
        seconds(
            "key_revocation_s",
            propagation.key_revocation,
            propagation_values(&timings, watches.configuration),
        ),
        seconds("outage_extension_s", terms.outage_extension, Vec::new()),
        seconds("regression_s", terms.regression, Vec::new()),
        seconds("recovery_s", terms.recovery, Vec::new()),
        seconds("address_reuse_s", terms.address_reuse, Vec::new()),
        number(
            "cold_overage",
            terms.cold_start.overage,
            vec![DerivedValue { name: "cold_rate_share", value: cold_start.rate_share }],
        ),
        number(
            "cold_slack",
            terms.cold_start.slack,
            vec![DerivedValue { name: "cold_burst_requests", value: cold_start.burst }],
        ),
        number("max_region_shift", terms.max_region_shift, region_shift(&timings)),
        number("exposure_share", rollout.exposure_share, Vec::new()),
        number("exposure_slack", rollout.exposure_slack, Vec::new()),
        seconds("rollback_s", rollout.rollback, Vec::new()),
    ]
}

fn duration(name: &'static str, value: Duration) -> DerivedValue {
    DerivedValue { name, value: value.as_secs_f64() }
}

fn reconnection(timings: &Timings) -> Vec<DerivedValue> {
    let (liveness, connections) = (timings.liveness, timings.connections);
    vec![
        duration("heartbeat_interval_s", liveness.heartbeat_interval),
        duration("lost_after_s", liveness.lost_after),
        duration("report_after_s", liveness.report_after),
        duration("user_timeout_s", connections.user_timeout),
        duration("keepalive_interval_s", connections.keepalive_interval),
        duration("settling_time_s", timings.region_shift.settling_time),
    ]
}

fn region_shift(timings: &Timings) -> Vec<DerivedValue> {
    let limits = timings.region_shift;
    vec![
        DerivedValue { name: "max_offload", value: limits.max_offload },
        DerivedValue { name: "max_change_per_s", value: limits.max_change_per_s },
        DerivedValue { name: "max_total_change_per_s", value: limits.max_total_change_per_s },
        DerivedValue { name: "max_settling_change_per_s", value: limits.max_settling_change_per_s },
        DerivedValue { name: "spill_ratio", value: limits.spill_ratio },
    ]
}

/// Values derived from a bound on propagation: the path is the same for all kinds of changes, only
/// the wait of the watch differs.
fn propagation_values(timings: &Timings, wait: WaitRange) -> Vec<DerivedValue> {
    let (propagation, watches) = (timings.propagation, timings.watches);
    vec![
        duration("min_watch_wait_s", wait.min),
        duration("max_watch_wait_s", wait.max),
        duration("response_grace_s", watches.response_grace),
        duration("check_interval_s", watches.check_interval),
        duration("watch_grace_s", propagation.watch_grace),
        duration("same_region_max_delay_s", propagation.same_region_max_delay),
        duration("other_region_delay_s", propagation.other_region_delay),
        duration("hedge_delay_s", propagation.hedge_delay),
        duration("connect_timeout_s", propagation.connect_timeout),
        duration("fetch_timeout_s", propagation.fetch_timeout),
        duration("call_timeout_s", propagation.call_timeout),
        duration("max_backoff_s", propagation.max_backoff),
        duration("store_recovery_delay_s", propagation.store_recovery_delay),
    ]
}
