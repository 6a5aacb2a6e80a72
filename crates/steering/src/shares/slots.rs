//! The numbered slots of an availability zone, each of which carries floors.
//!
//! The table is one object in the platform, changed by conditional updates only.

use super::WINDOW;
use super::timing::{FENCE_TIMEOUT, plus_drift};
use crate::{Incarnation, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;

/// Who has which numbered slot.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotTable {
    /// The slots, by number.
    pub slots: Vec<Slot>,
    /// Number of the last write, and who wrote it: no two writes are equal.
    pub write: WriteId,
}

/// What tells a write from every other one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriteId {
    /// Incarnation that wrote.
    pub writer: u64,
    /// Count of its writes.
    pub number: u64,
}

/// A numbered slot.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum Slot {
    /// Nobody ever had it.
    #[default]
    Unused,
    /// It was given or taken back.
    Vacated,
    /// An instance has it.
    Claimed {
        /// The instance's incarnation.
        incarnation: u64,
        /// Its name.
        name: Arc<str>,
        /// Whether the session holder means to take it back.
        revoking: bool,
    },
}

/// A slot that was claimed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Number of the slot.
    pub number: u32,
    /// Whether another incarnation had it before.
    pub used_before: bool,
}

/// The numbered slot that an instance has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldSlot {
    /// Number of the slot.
    pub number: u32,
    /// When its floors may first be spent.
    pub usable_from: Time,
}

impl Claim {
    /// Returns the slot once the claim's write was answered.
    ///
    /// What another one spent in the second before counts against the same floors.
    pub fn into_held_slot(self, answered_at: Time) -> HeldSlot {
        let usable_from =
            if self.used_before { answered_at + plus_drift(WINDOW) } else { answered_at };
        HeldSlot { number: self.number, usable_from }
    }
}

impl SlotTable {
    /// Adds slots until there are `count`.
    pub fn grow(&mut self, count: u32) {
        let count = self.slots.len().max(count as usize);
        self.slots.resize(count, Slot::Unused);
    }

    /// Claims a slot: that of the same name, else the lowest free one; `None` when all are taken.
    ///
    /// An instance has one process, so one of the same name that had a slot before has ended.
    pub fn claim(&mut self, me: Incarnation, my_name: &Arc<str>) -> Option<Claim> {
        let number = self
            .position(|slot| slot.name() == Some(my_name))
            .or_else(|| self.position(|slot| slot.name().is_none()))?;
        let used_before = self.slots[number] != Slot::Unused;
        self.slots[number] =
            Slot::Claimed { incarnation: me.0, name: my_name.clone(), revoking: false };
        Some(Claim { number: number as u32, used_before })
    }

    /// Returns the number of the slot that `incarnation` has, and whether it is being revoked.
    pub fn slot_of(&self, incarnation: Incarnation) -> Option<(u32, bool)> {
        self.slots.iter().enumerate().find_map(|(number, slot)| match slot {
            Slot::Claimed { incarnation: owner, revoking, .. } if *owner == incarnation.0 => {
                Some((number as u32, *revoking))
            }
            _ => None,
        })
    }

    /// Gives back the slot of `incarnation`; false if it has none.
    pub fn release(&mut self, incarnation: Incarnation) -> bool {
        let owned = self.slot_of(incarnation);
        if let Some((number, _)) = owned {
            self.slots[number as usize] = Slot::Vacated;
        }
        owned.is_some()
    }

    /// Marks or unmarks the slot of `incarnation` as being revoked; false if that changes nothing.
    pub fn set_revoking(&mut self, incarnation: Incarnation, value: bool) -> bool {
        self.slots.iter_mut().any(|slot| match slot {
            Slot::Claimed { incarnation: owner, revoking, .. } if *owner == incarnation.0 => {
                std::mem::replace(revoking, value) != value
            }
            _ => false,
        })
    }

    /// Returns the incarnations and names that have slots.
    pub fn owners(&self) -> impl Iterator<Item = (Incarnation, &Arc<str>)> {
        self.slots.iter().filter_map(|slot| match slot {
            Slot::Claimed { incarnation, name, .. } => Some((Incarnation(*incarnation), name)),
            _ => None,
        })
    }

    /// Tells whether a slot could be claimed.
    pub fn has_free_slot(&self) -> bool {
        self.slots.iter().any(|slot| slot.name().is_none())
    }

    fn position(&self, wanted: impl Fn(&Slot) -> bool) -> Option<usize> {
        self.slots.iter().position(wanted)
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

/// Which slots of instances that are gone the session holder takes back.
///
/// It first marks the slot.  An instance that reads the mark removes it; one that is in contact
/// neither with the platform nor with the holder stops using its floors once the fence time is
/// over.  Only then is the slot free, as counted by the holder from when it saw the mark itself and
/// from its last contact with the instance.
#[derive(Debug, Default)]
pub struct Reclaimer {
    marked_since: HashMap<Incarnation, Time>,
}

impl Reclaimer {
    /// Changes the table as far as is safe; true if there is a change to write.
    ///
    /// `is_listed` tells whether the platform lists an instance slot_of the name, `last_contact` when
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
