//! Assigns callers to the arms of an experiment.

use crate::hash::mix;
use std::sync::Arc;

/// Arm of all callers when the configuration defines none; it uses the built-in policy.
pub const BUILT_IN_ARM: &str = "built-in";

/// Salt that makes the assignment independent of other uses of the caller's hash.
const ARM_SALT: u64 = 0x0061_726d;

/// Number of equal groups of callers, one for each percent.
const CALLER_GROUPS: u64 = 100;

/// An arm of one configuration version.
#[derive(Clone, Debug, PartialEq)]
pub struct ArmEntry {
    /// Name of the arm.
    pub name: Arc<str>,
    /// Index of its policy in the configuration; `None` for the built-in policy.
    pub policy: Option<usize>,
    /// Percentage of the callers.
    pub share_percent: u32,
    /// Whether the arm only records its decisions without applying them.
    pub shadow: bool,
}

/// All arms of one configuration version; never empty.
#[derive(Clone, Debug)]
pub struct Arms {
    entries: Vec<ArmEntry>,
    /// Index of the arm of each group of callers.
    arm_by_group: Vec<usize>,
}

impl Arms {
    /// Creates the arms of a validated configuration, whose shares add up to 100 unless it has
    /// none.
    pub fn new(arms: &[configuration::Arm]) -> Self {
        let mut entries: Vec<ArmEntry> = arms
            .iter()
            .map(|arm| ArmEntry {
                name: arm.name.clone(),
                policy: Some(arm.policy),
                share_percent: arm.share_percent,
                shadow: arm.shadow,
            })
            .collect();
        if entries.is_empty() {
            entries.push(ArmEntry {
                name: BUILT_IN_ARM.into(),
                policy: None,
                share_percent: 100,
                shadow: false,
            });
        }
        let arm_by_group = entries
            .iter()
            .enumerate()
            .flat_map(|(position, arm)| {
                std::iter::repeat_n(position, arm.share_percent.min(100) as usize)
            })
            .collect();
        Self { entries, arm_by_group }
    }

    /// Returns the arms in the order of the configuration.
    pub fn entries(&self) -> &[ArmEntry] {
        &self.entries
    }

    /// Returns the index of a caller's arm, the same for all of its requests.
    pub fn arm_position(&self, caller_hash: u64) -> usize {
        let group = mix(caller_hash ^ ARM_SALT) % CALLER_GROUPS;
        self.arm_by_group.get(group as usize).copied().unwrap_or(0)
    }

    /// Returns the indices of the shadow arms.
    pub fn shadows(&self) -> impl Iterator<Item = usize> {
        self.entries.iter().enumerate().filter(|(_, arm)| arm.shadow).map(|(position, _)| position)
    }
}
