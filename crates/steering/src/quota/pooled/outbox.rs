//! What is to be told to other instances, one datagram for each.

use super::super::fleet::MemberId;
use super::super::message::{About, Told};
use crate::deployment::CustomerId;
use std::collections::BTreeMap;

/// Bits of a datagram's number that count within one start of an instance.
pub(super) const COUNT_BITS: u32 = 20;

/// What is to be told, by whom to.
#[derive(Debug)]
pub(super) struct Outbox {
    own: MemberId,
    number: u64,
    told: BTreeMap<MemberId, Told>,
}

impl Outbox {
    /// Begins with nothing to tell; `started_ms` is the time of day of the instance's start.
    pub(super) fn new(own: MemberId, started_ms: u64) -> Self {
        Self { own, number: started_ms << COUNT_BITS, told: BTreeMap::new() }
    }

    /// The next number.
    pub(super) fn number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Tells an instance something about a customer.
    pub(super) fn tell(&mut self, to: MemberId, customer: CustomerId, about: About) {
        self.telling(to).about.push((customer, about));
    }

    /// The datagram that goes to an instance next.
    pub(super) fn telling(&mut self, to: MemberId) -> &mut Told {
        let Self { own, number, told } = self;
        told.entry(to).or_insert_with(|| {
            *number += 1;
            Told { from: *own, number: *number, lending: None, about: Vec::new() }
        })
    }

    /// Takes all datagrams.
    pub(super) fn take(&mut self) -> Vec<(MemberId, Vec<u8>)> {
        let told = std::mem::take(&mut self.told).into_iter();
        // What is written into memory can't fail.
        told.filter_map(|(to, told)| Some((to, postcard::to_allocvec(&told).ok()?))).collect()
    }
}
