//! Outgoing messages, combined into one datagram per recipient.

use super::super::fleet::MemberId;
use super::super::message::{Datagram, Message};
use crate::deployment::CustomerId;
use std::collections::BTreeMap;

/// Low bits of a sequence number, which count datagrams since the start; the high bits are the
/// start time.
pub(super) const SEQUENCE_BITS: u32 = 20;

/// Pending datagrams by recipient.
#[derive(Debug)]
pub(super) struct Outbox {
    own: MemberId,
    sequence: u64,
    datagrams: BTreeMap<MemberId, Datagram>,
}

impl Outbox {
    /// Creates an empty outbox; `started_ms` is the instance's start time in milliseconds since the
    /// Unix epoch.
    pub(super) fn new(own: MemberId, started_ms: u64) -> Self {
        Self { own, sequence: started_ms << SEQUENCE_BITS, datagrams: BTreeMap::new() }
    }

    /// Returns the next sequence number.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Adds a message about a customer to the next datagram for an instance.
    pub(super) fn push(&mut self, to: MemberId, customer: CustomerId, message: Message) {
        self.datagram_for(to).messages.push((customer, message));
    }

    /// The next datagram for an instance.
    pub(super) fn datagram_for(&mut self, to: MemberId) -> &mut Datagram {
        let Self { own, sequence, datagrams } = self;
        datagrams.entry(to).or_insert_with(|| {
            *sequence += 1;
            Datagram { from: *own, sequence: *sequence, renewal: None, messages: Vec::new() }
        })
    }

    /// Takes all datagrams, encoded.
    pub(super) fn take(&mut self) -> Vec<(MemberId, Vec<u8>)> {
        let datagrams = std::mem::take(&mut self.datagrams).into_iter();
        // Encoding into memory can't fail.
        datagrams
            .filter_map(|(to, datagram)| Some((to, postcard::to_allocvec(&datagram).ok()?)))
            .collect()
    }
}
