//! Detects duplicate datagrams: processing one twice would grant its tokens twice.

use super::super::fleet::MemberId;
use crate::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a sender's state is dropped, far longer than a datagram is delayed.
const SENDER_EXPIRY: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct SenderWindow {
    highest_sequence: u64,
    /// Bitmap of the 64 sequence numbers up to `highest_sequence`.
    received: u64,
    last_seen_at: Time,
}

/// Sequence numbers of recently received datagrams, by sender.
#[derive(Debug, Default)]
pub(super) struct DuplicateFilter {
    by_sender: BTreeMap<MemberId, SenderWindow>,
}

impl DuplicateFilter {
    /// Records a sequence number; returns whether it is new.
    pub(super) fn accept(&mut self, from: MemberId, sequence: u64, now: Time) -> bool {
        let window = self.by_sender.entry(from).or_insert(SenderWindow {
            highest_sequence: sequence,
            received: 0,
            last_seen_at: now,
        });
        window.last_seen_at = now;
        if sequence > window.highest_sequence {
            let shift = u32::try_from(sequence - window.highest_sequence).unwrap_or(u32::MAX);
            window.received = window.received.checked_shl(shift).unwrap_or(0);
            window.highest_sequence = sequence;
        }
        let Ok(offset) = u32::try_from(window.highest_sequence - sequence) else { return false };
        let Some(bit) = 1u64.checked_shl(offset) else { return false };
        let is_new = window.received & bit == 0;
        window.received |= bit;
        is_new
    }

    /// Drops the state of senders that have been silent.
    pub(super) fn prune(&mut self, now: Time) {
        self.by_sender.retain(|_, window| now.since(window.last_seen_at) < SENDER_EXPIRY);
    }
}
