//! Arms: which policy steers an object, and the regional shares that its program asks for.
//!
//! A program runs when shares are moved, not for each request, and within limits: its shares move as
//! slowly as those of the built-in rule, and never fill a region.

use super::rank::key_position;
use super::shares::{RegionLoad, Split};
use crate::deployment::{Arm, Policies};
use crate::policy::{PolicyError, Program, View};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Salt of the place of a key among the arms.
const ARM_SALT: u64 = 0x61_726d;

/// Utilization of a region up to which a program may send there, and above which it may not keep
/// traffic at home: what is left takes the objects that are cold, which need three times as long.
const MOST_UTILIZATION: f64 = 0.8;

/// An arm that is in force.
#[derive(Debug)]
struct ArmInForce {
    arm: Arm,
    program: Option<Program>,
    /// Upper end of its objects' places, in `0.0..=1.0`.
    end: f64,
}

/// The arms in force.
#[derive(Debug, Default)]
pub(super) struct Arms {
    arms: Vec<ArmInForce>,
}

/// A policy that gave no shares for a service.
#[derive(Debug)]
pub struct PolicyFailure {
    /// The arm.
    pub arm: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// Why; the built-in rule steers meanwhile.
    pub error: PolicyError,
}

impl Arms {
    /// Compiles the programs of policies.
    ///
    /// # Errors
    ///
    /// Fails if a program can't be compiled; [`Policies::check`] says which.
    pub(super) fn new(policies: &Policies) -> Result<Self, PolicyError> {
        let sum: f64 = policies.arms.iter().map(|arm| f64::from(arm.weight)).sum();
        let mut end = 0.0;
        let arms = policies.arms.iter().map(|arm| {
            end += f64::from(arm.weight) / sum;
            let program = arm.program.as_deref().map(Program::compile).transpose()?;
            Ok(ArmInForce { arm: arm.clone(), program, end })
        });
        Ok(Self { arms: arms.collect::<Result<_, PolicyError>>()? })
    }

    /// The number of arms.
    pub(super) fn len(&self) -> usize {
        self.arms.len()
    }

    /// Whether the built-in rule steers all objects.
    pub(super) fn is_empty(&self) -> bool {
        self.arms.is_empty()
    }

    /// Position and name of the arm of an object; none without arms.
    pub(super) fn of(&self, key_hash: u64) -> Option<(usize, &Arc<str>)> {
        let place = key_position(key_hash, ARM_SALT);
        let position = self.arms.iter().position(|arm| place < arm.end);
        // The ends of the places add up to 1 but for rounding.
        let position = position.or(self.arms.len().checked_sub(1))?;
        Some((position, &self.arms[position].arm.name))
    }

    /// The part of the objects that an arm has.
    pub(super) fn part(&self, position: usize) -> f64 {
        let begin = if position == 0 { 0.0 } else { self.arms[position - 1].end };
        self.arms[position].end - begin
    }

    /// The split that an arm asks for, within the room of the regions.
    ///
    /// # Errors
    ///
    /// Fails if its program gives no weights.
    pub(super) fn target(
        &self,
        position: usize,
        view: &View,
        loads: &BTreeMap<Arc<str>, RegionLoad>,
        built_in: &Split,
    ) -> Result<Split, PolicyFailure> {
        let ArmInForce { arm, program, .. } = &self.arms[position];
        let Some(program) = program else { return Ok(built_in.clone()) };
        let weights = program.weights(view).map_err(|error| PolicyFailure {
            arm: arm.name.clone(),
            service: view.service.clone(),
            error,
        })?;
        let mut wanted = Split::new();
        for (site, weight) in view.sites.iter().zip(weights) {
            if site.region != view.region && weight > 0.0 {
                *wanted.entry(site.region.clone()).or_insert(0.0) += weight;
            }
        }
        Ok(within_room(wanted, &view.region, loads, built_in))
    }
}

/// Cuts a split to what the regions have room for.
///
/// Each region may use an equal part of another one's room, as all decide alone.  If what stays would
/// fill the own region, the built-in rule's split holds.
fn within_room(
    mut wanted: Split,
    region: &str,
    loads: &BTreeMap<Arc<str>, RegionLoad>,
    built_in: &Split,
) -> Split {
    let Some(own) = loads.get(region) else { return built_in.clone() };
    if own.movable <= 0.0 {
        return built_in.clone();
    }
    let others = loads.len().saturating_sub(1).max(1) as f64;
    for (name, share) in &mut wanted {
        let load = loads.get(name).copied().unwrap_or_default();
        let room = MOST_UTILIZATION * load.slots - load.demand();
        *share = share.min(room.max(0.0) / others / own.movable);
    }
    wanted.retain(|_, share| *share > 0.0);
    let moved: f64 = wanted.values().sum();
    let stays = own.near + own.guests + own.movable * (1.0 - moved);
    let leaves_less = moved < built_in.values().sum();
    match leaves_less && stays > MOST_UTILIZATION * own.slots {
        true => built_in.clone(),
        false => wanted,
    }
}
