//! Terms as they appear in the settings, and their validation.

use super::{
    ColdStartTerms, FaultTolerance, MachineTerms, Propagation, RolloutTerms, StoreTerms, Terms,
    TermsError,
};
use serde::Deserialize;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Times that can be meant, in seconds: no message between regions is faster, and nothing that
/// instances promise takes longer than a day.
const DURATION_RANGE_S: RangeInclusive<f64> = 0.05..=86_400.0;
/// Fractions of requests that can be meant.
const FRACTION_RANGE: RangeInclusive<f64> = 0.001..=1.0;
/// Factors that can be meant.
const FACTOR_RANGE: RangeInclusive<f64> = 1.0..=100.0;
/// Numbers of requests, machines and the like that can be meant.
const COUNT_RANGE: RangeInclusive<f64> = 0.0..=1e9;
/// Limits of machines and of the store that can be meant.
const CAPACITY_RANGE: RangeInclusive<f64> = 0.01..=1e9;

/// Terms as they appear in the settings; an absent field is a term that is not agreed.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RawTerms {
    /// See [`Terms::reconnection`], in seconds.
    pub reconnection_s: Option<f64>,
    /// See [`Propagation::configuration`], in seconds.
    pub configuration_s: Option<f64>,
    /// See [`Propagation::server_drain`], in seconds.
    pub server_drain_s: Option<f64>,
    /// See [`Propagation::evacuation`], in seconds.
    pub evacuation_s: Option<f64>,
    /// See [`Propagation::key_revocation`], in seconds.
    pub key_revocation_s: Option<f64>,
    /// See [`Terms::outage_extension`], in seconds.
    pub outage_extension_s: Option<f64>,
    /// See [`Terms::regression`], in seconds.
    pub regression_s: Option<f64>,
    /// See [`Terms::recovery`], in seconds.
    pub recovery_s: Option<f64>,
    /// See [`Terms::address_reuse`], in seconds.
    pub address_reuse_s: Option<f64>,
    /// See [`ColdStartTerms::overage`].
    pub cold_overage: Option<f64>,
    /// See [`ColdStartTerms::slack`].
    pub cold_slack: Option<f64>,
    /// See [`Terms::max_region_shift`].
    pub max_region_shift: Option<f64>,
    /// See [`RolloutTerms::exposure_share`].
    pub exposure_share: Option<f64>,
    /// See [`RolloutTerms::exposure_slack`].
    pub exposure_slack: Option<f64>,
    /// See [`RolloutTerms::rollback`], in seconds.
    pub rollback_s: Option<f64>,
    /// See [`FaultTolerance`].
    pub tolerance: Option<RawToleranceTerms>,
    /// See [`MachineTerms`].
    pub machine: RawMachineTerms,
    /// See [`StoreTerms`].
    pub store: RawStoreTerms,
}

/// Fault tolerance as it appears in the settings.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct RawToleranceTerms {
    /// See [`FaultTolerance::instances`].
    pub instances: u32,
    /// See [`FaultTolerance::zones`].
    pub zones: u32,
    /// See [`FaultTolerance::regions`].
    pub regions: u32,
}

/// Limits of a machine as they appear in the settings.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RawMachineTerms {
    /// See [`MachineTerms::cores`].
    pub cores: Option<f64>,
    /// See [`MachineTerms::memory_mb`].
    pub memory_mb: Option<f64>,
    /// See [`MachineTerms::descriptors`].
    pub descriptors: Option<f64>,
    /// See [`MachineTerms::link_mbps`].
    pub link_mbps: Option<f64>,
}

/// Limits of the store as they appear in the settings.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RawStoreTerms {
    /// See [`StoreTerms::writes_per_s`].
    pub writes_per_s: Option<f64>,
    /// See [`StoreTerms::reads_per_s`].
    pub reads_per_s: Option<f64>,
    /// See [`StoreTerms::history`], in seconds.
    pub history_s: Option<f64>,
    /// See [`StoreTerms::max_value_bytes`].
    pub max_value_bytes: Option<f64>,
    /// See [`StoreTerms::registration_interval`], in seconds.
    pub registration_interval_s: Option<f64>,
}

impl TryFrom<RawTerms> for Terms {
    type Error = TermsError;

    fn try_from(raw: RawTerms) -> Result<Self, TermsError> {
        Ok(Self {
            reconnection: duration("reconnection_s", raw.reconnection_s)?,
            propagation: Propagation {
                configuration: duration("configuration_s", raw.configuration_s)?,
                server_drain: duration("server_drain_s", raw.server_drain_s)?,
                evacuation: duration("evacuation_s", raw.evacuation_s)?,
                key_revocation: duration("key_revocation_s", raw.key_revocation_s)?,
            },
            outage_extension: duration("outage_extension_s", raw.outage_extension_s)?,
            regression: duration("regression_s", raw.regression_s)?,
            recovery: duration("recovery_s", raw.recovery_s)?,
            address_reuse: duration("address_reuse_s", raw.address_reuse_s)?,
            cold_start: ColdStartTerms {
                overage: check("cold_overage", raw.cold_overage, FACTOR_RANGE)?,
                slack: check("cold_slack", raw.cold_slack, COUNT_RANGE)?,
            },
            max_region_shift: check("max_region_shift", raw.max_region_shift, FRACTION_RANGE)?,
            rollout: RolloutTerms {
                exposure_share: check("exposure_share", raw.exposure_share, FRACTION_RANGE)?,
                exposure_slack: check("exposure_slack", raw.exposure_slack, COUNT_RANGE)?,
                rollback: duration("rollback_s", raw.rollback_s)?,
            },
            tolerance: raw.tolerance.map(FaultTolerance::from),
            machine: raw.machine.try_into()?,
            store: raw.store.try_into()?,
        })
    }
}

impl From<RawToleranceTerms> for FaultTolerance {
    fn from(raw: RawToleranceTerms) -> Self {
        Self { instances: raw.instances, zones: raw.zones, regions: raw.regions }
    }
}

impl TryFrom<RawMachineTerms> for MachineTerms {
    type Error = TermsError;

    fn try_from(raw: RawMachineTerms) -> Result<Self, TermsError> {
        let descriptors = check("machine.descriptors", raw.descriptors, CAPACITY_RANGE)?;
        Ok(Self {
            cores: check("machine.cores", raw.cores, CAPACITY_RANGE)?,
            memory_mb: check("machine.memory_mb", raw.memory_mb, CAPACITY_RANGE)?,
            descriptors: descriptors.map(|count| count as u32),
            link_mbps: check("machine.link_mbps", raw.link_mbps, CAPACITY_RANGE)?,
        })
    }
}

impl TryFrom<RawStoreTerms> for StoreTerms {
    type Error = TermsError;

    fn try_from(raw: RawStoreTerms) -> Result<Self, TermsError> {
        let max_value_bytes = check("store.max_value_bytes", raw.max_value_bytes, CAPACITY_RANGE)?;
        Ok(Self {
            writes_per_s: check("store.writes_per_s", raw.writes_per_s, CAPACITY_RANGE)?,
            reads_per_s: check("store.reads_per_s", raw.reads_per_s, CAPACITY_RANGE)?,
            history: duration("store.history_s", raw.history_s)?,
            max_value_bytes: max_value_bytes.map(|bytes| bytes as usize),
            registration_interval: duration(
                "store.registration_interval_s",
                raw.registration_interval_s,
            )?,
        })
    }
}

fn duration(field: &'static str, value_s: Option<f64>) -> Result<Option<Duration>, TermsError> {
    Ok(check(field, value_s, DURATION_RANGE_S)?.map(Duration::from_secs_f64))
}

/// Returns the value if it is within the range; NaN is within none.
fn check(
    field: &'static str,
    value: Option<f64>,
    range: RangeInclusive<f64>,
) -> Result<Option<f64>, TermsError> {
    let Some(value) = value else { return Ok(None) };
    if range.contains(&value) {
        return Ok(Some(value));
    }
    Err(TermsError { field, value, min: *range.start(), max: *range.end() })
}
