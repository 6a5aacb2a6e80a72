//! Arms of a policy: which arm steers an object, and the regional shares that its program requests.
//!
//! A program runs when shares are updated, not for each request.  Its result is limited: its shares
//! change as slowly as those of the built-in rule and never fill a region.

use super::rank::key_position;
use super::shares::{RegionLoad, Split};
use crate::deployment::{Arm, Policies};
use crate::policy::{PolicyError, Program, View};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Salt of the hash that assigns keys to arms.
const ARM_SALT: u64 = 0x61_726d;

/// Utilization up to which a program may send traffic to a region, and above which it may not keep
/// traffic in its own region.  The rest is headroom for cold objects, which take three times as
/// long.
const MAX_UTILIZATION: f64 = 0.8;

/// An arm of the active policies, with its compiled program.
#[derive(Debug)]
struct ActiveArm {
    arm: Arm,
    program: Option<Program>,
    /// Upper end of the arm's range of hash values, in `0.0..=1.0`.
    range_end: f64,
}

/// The arms of the active policies; empty while the built-in rule steers everything.
#[derive(Debug, Default)]
pub(super) struct Arms {
    arms: Vec<ActiveArm>,
}

/// A program that returned no shares for a service.
#[derive(Debug)]
pub struct PolicyFailure {
    /// Name of the arm.
    pub arm: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// The cause.  The built-in rule applies meanwhile.
    pub error: PolicyError,
}

impl Arms {
    /// Compiles the programs of the policies.
    ///
    /// # Errors
    ///
    /// Fails if a program can't be compiled; [`Policies::check`] reports which one.
    pub(super) fn new(policies: &Policies) -> Result<Self, PolicyError> {
        let sum: f64 = policies.arms.iter().map(|arm| f64::from(arm.weight)).sum();
        let mut range_end = 0.0;
        let arms = policies.arms.iter().map(|arm| {
            range_end += f64::from(arm.weight) / sum;
            let program = arm.program.as_deref().map(Program::compile).transpose()?;
            Ok(ActiveArm { arm: arm.clone(), program, range_end })
        });
        Ok(Self { arms: arms.collect::<Result<_, PolicyError>>()? })
    }

    pub(super) fn len(&self) -> usize {
        self.arms.len()
    }

    /// Returns whether the built-in rule steers all objects.
    pub(super) fn is_empty(&self) -> bool {
        self.arms.is_empty()
    }

    /// Position and name of the arm that steers an object, or `None` without arms.
    pub(super) fn assign(&self, key_hash: u64) -> Option<(usize, &Arc<str>)> {
        let unit_hash = key_position(key_hash, ARM_SALT);
        let position = self.arms.iter().position(|arm| unit_hash < arm.range_end);
        // The last end may be just below 1 because of rounding.
        let position = position.or(self.arms.len().checked_sub(1))?;
        Some((position, &self.arms[position].arm.name))
    }

    /// The fraction of objects that an arm steers.
    pub(super) fn object_fraction(&self, position: usize) -> f64 {
        let begin = if position == 0 { 0.0 } else { self.arms[position - 1].range_end };
        self.arms[position].range_end - begin
    }

    /// The split that an arm requests, limited to the headroom of the regions.
    ///
    /// # Errors
    ///
    /// Fails if the arm's program returns no weights.
    pub(super) fn target_split(
        &self,
        position: usize,
        view: &View,
        loads: &BTreeMap<Arc<str>, RegionLoad>,
        built_in: &Split,
    ) -> Result<Split, PolicyFailure> {
        let ActiveArm { arm, program, .. } = &self.arms[position];
        let Some(program) = program else { return Ok(built_in.clone()) };
        let weights = program.weights(view).map_err(|error| PolicyFailure {
            arm: arm.name.clone(),
            service: view.service.clone(),
            error,
        })?;
        let mut requested = Split::new();
        for (site, weight) in view.sites.iter().zip(weights) {
            if site.region != view.region && weight > 0.0 {
                *requested.entry(site.region.clone()).or_insert(0.0) += weight;
            }
        }
        Ok(limit_to_headroom(requested, &view.region, loads, built_in))
    }
}

/// Limits a requested split to the headroom of the regions.
///
/// All instances decide alone, so each region may use only an equal fraction of another region's
/// headroom.  If the requested split moves less than the built-in one and the rest would overload
/// the own region, the built-in split applies.
fn limit_to_headroom(
    mut requested: Split,
    region: &str,
    loads: &BTreeMap<Arc<str>, RegionLoad>,
    built_in: &Split,
) -> Split {
    let Some(own) = loads.get(region) else { return built_in.clone() };
    if own.movable <= 0.0 {
        return built_in.clone();
    }
    let others = loads.len().saturating_sub(1).max(1) as f64;
    for (name, share) in &mut requested {
        let load = loads.get(name).copied().unwrap_or_default();
        let headroom = MAX_UTILIZATION * load.slots - load.demand();
        *share = share.min(headroom.max(0.0) / others / own.movable);
    }
    requested.retain(|_, share| *share > 0.0);
    let moved: f64 = requested.values().sum();
    let remaining = own.pinned + own.inbound + own.movable * (1.0 - moved);
    let moves_less = moved < built_in.values().sum();
    match moves_less && remaining > MAX_UTILIZATION * own.slots {
        true => built_in.clone(),
        false => requested,
    }
}
