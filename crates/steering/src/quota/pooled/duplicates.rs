//! Which datagrams were heard already: one that comes twice would grant twice.

use super::super::fleet::MemberId;
use crate::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a sender is forgotten, far above what a datagram takes.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Heard {
    highest: u64,
    /// A bit for each of the 64 numbers up to the highest.
    seen: u64,
    at: Time,
}

/// The numbers of datagrams that were heard of late.
#[derive(Debug, Default)]
pub(super) struct Numbers {
    by_sender: BTreeMap<MemberId, Heard>,
}

impl Numbers {
    /// Takes a number; returns whether it is new.
    pub(super) fn take(&mut self, from: MemberId, number: u64, now: Time) -> bool {
        let heard =
            self.by_sender.entry(from).or_insert(Heard { highest: number, seen: 0, at: now });
        heard.at = now;
        if number > heard.highest {
            let ahead = u32::try_from(number - heard.highest).unwrap_or(u32::MAX);
            heard.seen = heard.seen.checked_shl(ahead).unwrap_or(0);
            heard.highest = number;
        }
        let Ok(behind) = u32::try_from(heard.highest - number) else { return false };
        let Some(bit) = 1u64.checked_shl(behind) else { return false };
        let is_new = heard.seen & bit == 0;
        heard.seen |= bit;
        is_new
    }

    /// Forgets senders that are not heard any more.
    pub(super) fn prune(&mut self, now: Time) {
        self.by_sender.retain(|_, heard| now.since(heard.at) < FORGOTTEN_AFTER);
    }
}
