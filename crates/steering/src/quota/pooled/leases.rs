//! What instances lend to a keeper, and for how long.

use super::super::fleet::MemberId;
use super::super::message::Lending;
use super::outbox::COUNT_BITS;
use crate::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a lending holds after it was heard: two that are lost in a row end it.
const LEASE: Duration = Duration::from_millis(1_000);

#[derive(Debug)]
struct Lease {
    keepers: Vec<MemberId>,
    /// Part of every quota that the instance has.
    fraction: f64,
    number: u64,
    until: Time,
}

/// What was lent to the same keepers, for as long as any instance lends to them.
#[derive(Clone, Debug)]
pub(super) struct Lent {
    /// Tells it from what was lent to the same keepers before.
    pub(super) id: u64,
    /// The keepers that it was lent to.
    pub(super) keepers: Vec<MemberId>,
    /// Part of every quota that is lent now.
    pub(super) fraction: f64,
    /// Part of every quota, times seconds, from the beginning.
    pub(super) part_s: f64,
}

/// The leases of one keeper; an instance has one at a time.
#[derive(Debug, Default)]
pub(super) struct Leases {
    by_member: BTreeMap<MemberId, Lease>,
    lent: Vec<Lent>,
    next_id: u64,
    at: Time,
}

impl Leases {
    /// Takes over a lending, unless a later one is known; returns whether the instance has just started
    /// and had not lent anything as such.
    pub(super) fn lend(
        &mut self,
        from: MemberId,
        number: u64,
        lending: Lending,
        now: Time,
    ) -> bool {
        let known = self.by_member.get(&from);
        if known.is_some_and(|lease| number <= lease.number) {
            return false;
        }
        let is_fresh = lending.is_fresh
            && known.is_none_or(|it| it.number >> COUNT_BITS != number >> COUNT_BITS);
        let fraction = lending.fraction();
        let Lending { keepers, .. } = lending;
        self.by_member.insert(from, Lease { keepers, fraction, number, until: now + LEASE });
        is_fresh
    }

    /// Adds up what was lent until now; leases that are over end.
    pub(super) fn add_up(&mut self, now: Time) {
        let since = std::mem::replace(&mut self.at, now);
        self.lent.iter_mut().for_each(|lent| lent.fraction = 0.0);
        for lease in self.by_member.values() {
            let position = self.lent.iter().position(|lent| lent.keepers == lease.keepers);
            let position = position.unwrap_or_else(|| {
                self.next_id += 1;
                let keepers = lease.keepers.clone();
                self.lent.push(Lent { id: self.next_id, keepers, fraction: 0.0, part_s: 0.0 });
                self.lent.len() - 1
            });
            let lent = &mut self.lent[position];
            lent.part_s += lease.fraction * lease.until.min(now).since(since).as_secs_f64();
            if lease.until > now {
                lent.fraction += lease.fraction;
            }
        }
        self.by_member.retain(|_, lease| lease.until > now);
        self.lent.retain(|lent| lent.fraction > 0.0);
    }

    /// What was lent, as of when it was added up.
    pub(super) fn lent(&self) -> &[Lent] {
        &self.lent
    }

    /// Part of every quota that is lent now.
    pub(super) fn fraction(&self, now: Time) -> f64 {
        self.by_member.values().filter(|it| it.until > now).map(|it| it.fraction).sum()
    }
}
