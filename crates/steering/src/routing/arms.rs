//! Which arm a caller belongs to.

use crate::hash::mix;
use std::sync::Arc;

/// Arm of all callers when the configuration names none; its policy is the built-in one.
pub const BUILT_IN_ARM: &str = "built-in";

/// Keeps the choice of the arm independent of other uses of the caller's hash.
const ARM_SALT: u64 = 0x0061_726d;

/// Callers are divided into so many equal parts, one for each percent.
const PARTS: u64 = 100;

/// An arm of one configuration version.
#[derive(Clone, Debug, PartialEq)]
pub struct ArmEntry {
    /// Name of the arm.
    pub name: Arc<str>,
    /// Position of its policy in the configuration; `None` for the built-in policy.
    pub policy: Option<usize>,
    /// Part of the callers, in percent.
    pub share_percent: u32,
    /// Whether the arm only records what it would have done.
    pub shadow: bool,
}

/// All arms of one configuration version; never empty.
#[derive(Clone, Debug)]
pub struct Arms {
    entries: Vec<ArmEntry>,
    /// Position of the arm of each part of the callers.
    parts: Vec<usize>,
}

impl Arms {
    /// Takes over the arms of a checked configuration, whose shares add up to 100 or are none.
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
        let parts = entries
            .iter()
            .enumerate()
            .flat_map(|(position, arm)| {
                std::iter::repeat_n(position, arm.share_percent.min(100) as usize)
            })
            .collect();
        Self { entries, parts }
    }

    /// Returns the arms in the order of the configuration.
    pub fn entries(&self) -> &[ArmEntry] {
        &self.entries
    }

    /// Returns the position of the arm of a caller, the same for all of its requests.
    pub fn arm_position(&self, caller_hash: u64) -> usize {
        let part = mix(caller_hash ^ ARM_SALT) % PARTS;
        self.parts.get(part as usize).copied().unwrap_or(0)
    }

    /// Returns the positions of the arms that only record.
    pub fn shadows(&self) -> impl Iterator<Item = usize> {
        self.entries.iter().enumerate().filter(|(_, arm)| arm.shadow).map(|(position, _)| position)
    }
}
