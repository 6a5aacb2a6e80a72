//! The numbered slots of an availability zone; the owner of a slot may use its floors.
//!
//! The table is one object in the platform, changed by conditional updates only.

use super::WINDOW;
use super::timing::{FENCE_TIMEOUT, plus_drift};
use crate::{Incarnation, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;

/// The owners of the numbered slots.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotTable {
    /// The slots, by number.
    pub slots: Vec<Slot>,
    /// Unique id of the last write.
    pub write: WriteId,
}

/// A unique id of a write.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriteId {
    /// Incarnation of the writer.
    pub writer: u64,
    /// Number of the write, counted by the writer.
    pub number: u64,
}

/// A numbered slot.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum Slot {
    /// No instance has ever owned it.
    #[default]
    Unused,
    /// It was released or reclaimed.
    Vacated,
    /// An instance owns it.
    Claimed {
        /// The instance's incarnation.
        incarnation: u64,
        /// Its name.
        name: Arc<str>,
        /// Whether the session holder intends to reclaim it.
        revoking: bool,
    },
}

/// A claim of a slot, before its write was answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Number of the slot.
    pub number: u32,
    /// Whether another incarnation has owned it before.
    pub used_before: bool,
}

/// The numbered slot that an instance owns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldSlot {
    /// Number of the slot.
    pub number: u32,
    /// Earliest time at which its floors may be used.
    pub usable_from: Time,
}

impl Claim {
    /// Returns the slot, once the claim's write was answered.
    ///
    /// Requests that the previous owner sent within one window count against the same floors.
    pub fn into_held_slot(self, answered_at: Time) -> HeldSlot {
        let usable_from =
            if self.used_before { answered_at + plus_drift(WINDOW) } else { answered_at };
        HeldSlot { number: self.number, usable_from }
    }
}

impl SlotTable {
    /// Adds slots until there are at least `count`.
    pub fn grow(&mut self, count: u32) {
        let count = self.slots.len().max(count as usize);
        self.slots.resize(count, Slot::Unused);
    }

    /// Claims the slot of the same name, else the lowest free one; `None` if no slot is free.
    ///
    /// An instance has one process, so an earlier owner of the same name has ended.
    pub fn claim(&mut self, own_incarnation: Incarnation, own_name: &Arc<str>) -> Option<Claim> {
        let number = self
            .position(|slot| slot.name() == Some(own_name))
            .or_else(|| self.position(|slot| slot.name().is_none()))?;
        let used_before = self.slots[number] != Slot::Unused;
        self.slots[number] = Slot::Claimed {
            incarnation: own_incarnation.0,
            name: own_name.clone(),
            revoking: false,
        };
        Some(Claim { number: number as u32, used_before })
    }

    /// Returns the number of the slot of `incarnation`, and whether it is being revoked.
    pub fn slot_of(&self, incarnation: Incarnation) -> Option<(u32, bool)> {
        self.slots.iter().enumerate().find_map(|(number, slot)| match slot {
            Slot::Claimed { incarnation: owner, revoking, .. } if *owner == incarnation.0 => {
                Some((number as u32, *revoking))
            }
            _ => None,
        })
    }

    /// Releases the slot of `incarnation`; returns false if it has none.
    pub fn release(&mut self, incarnation: Incarnation) -> bool {
        let owned = self.slot_of(incarnation);
        if let Some((number, _)) = owned {
            self.slots[number as usize] = Slot::Vacated;
        }
        owned.is_some()
    }

    /// Marks or unmarks the slot of `incarnation` as being revoked; returns whether it changed.
    pub fn set_revoking(&mut self, incarnation: Incarnation, value: bool) -> bool {
        self.slots.iter_mut().any(|slot| match slot {
            Slot::Claimed { incarnation: owner, revoking, .. } if *owner == incarnation.0 => {
                std::mem::replace(revoking, value) != value
            }
            _ => false,
        })
    }

    /// Returns the incarnations and names of the instances that own slots.
    pub fn owners(&self) -> impl Iterator<Item = (Incarnation, &Arc<str>)> {
        self.slots.iter().filter_map(|slot| match slot {
            Slot::Claimed { incarnation, name, .. } => Some((Incarnation(*incarnation), name)),
            _ => None,
        })
    }

    /// Returns whether a slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.slots.iter().any(|slot| slot.name().is_none())
    }

    fn position(&self, predicate: impl Fn(&Slot) -> bool) -> Option<usize> {
        self.slots.iter().position(predicate)
    }
}

impl Slot {
    fn name(&self) -> Option<&Arc<str>> {
        match self {
            Slot::Claimed { name, .. } => Some(name),
            _ => None,
        }
    }
}

/// Reclaims, as the session holder, the slots of instances that are no longer listed.
///
/// The holder first marks the slot.  A live instance that reads the mark removes it; one that is in
/// contact with neither the platform nor the holder stops using its floors after the fence timeout.
/// The holder releases the slot only then, counted from when it observed the mark and from its last
/// contact with the instance.
#[derive(Debug, Default)]
pub struct Reclaimer {
    marked_since: HashMap<Incarnation, Time>,
}

impl Reclaimer {
    /// Marks, unmarks and releases slots where that is safe; returns whether the table changed.
    ///
    /// `is_listed` returns whether the platform lists an instance of the name, `last_contact` when
    /// an incarnation was last in contact with this holder.
    pub fn reclaim_slots(
        &mut self,
        table: &mut SlotTable,
        now: Time,
        is_listed: impl Fn(&str) -> bool,
        last_contact: impl Fn(Incarnation) -> Option<Time>,
    ) -> bool {
        let owners: Vec<_> = table.owners().map(|(owner, name)| (owner, name.clone())).collect();
        let mut changed = false;
        for (owner, name) in owners {
            if is_listed(&name) {
                self.marked_since.remove(&owner);
                changed |= table.set_revoking(owner, false);
            } else if table.set_revoking(owner, true) {
                self.marked_since.remove(&owner);
                changed = true;
            } else {
                let since = *self.marked_since.entry(owner).or_insert(now);
                let since = since.max(last_contact(owner).unwrap_or(since));
                if now >= since + plus_drift(FENCE_TIMEOUT + WINDOW) {
                    self.marked_since.remove(&owner);
                    changed |= table.release(owner);
                }
            }
        }
        changed
    }
}
