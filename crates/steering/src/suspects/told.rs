//! What instances tell each other of requests under which backend servers ended.

use super::ends::{End, ServerHash, Suspect};
use super::fingerprint::Fingerprint;
use super::table::{Changes, HELD_FROM, MOST_ENDS, Suspects};
use crate::Time;
use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Instances that are told at once of what is new, and each heartbeat for as long as it is fresh.
pub const FANOUT: usize = 6;

/// Instances that are told each heartbeat of what is held back while nothing is fresh: one that
/// starts, or wakes up, is told by two of the others each heartbeat on average, and misses all of
/// four heartbeats once in 3,000 times.
pub const STEADY_FANOUT: usize = 2;

/// Largest message in bytes, below what every link carries in one piece.
pub const MESSAGE_BYTES: usize = 1_300;

/// Time for which something new is told by everyone: it reaches hundreds of instances in four
/// heartbeats, and one heartbeat of 30 may be lost to each.
const FRESH_FOR: Duration = Duration::from_secs(5);

/// Parts of a second in which ages are told; below what a message takes between regions, and a
/// request is sent in 60 ms at the soonest after what makes it seem later.
const AGE_PARTS_PER_S: f64 = 20.0;

/// One request, as an instance tells of it; all ages are parts of a second.
#[derive(Debug, Deserialize, Serialize)]
struct Told {
    request: Fingerprint,
    ends: Vec<(ServerHash, u32)>,
    seen: u32,
    well: Option<u32>,
}

impl Told {
    fn new(request: Fingerprint, suspect: &Suspect, now: Time) -> Self {
        let age = |at: Time| {
            let age_s = now.since(at).as_secs_f64();
            (age_s * AGE_PARTS_PER_S).round() as u32
        };
        Self {
            request,
            ends: suspect.ends.iter().map(|end| (end.server, age(end.at))).collect(),
            seen: age(suspect.seen_at),
            well: suspect.well_at.map(age),
        }
    }
}

impl Suspects {
    /// Tells whether something is known that others may not know yet.
    pub fn has_fresh(&self, now: Time) -> bool {
        self.by_request.values().any(|suspect| is_fresh(suspect, now))
    }

    /// What this instance tells another one; none if there is nothing.
    ///
    /// Requests under which more servers ended go first, as a sum over instances may hold them back;
    /// of alike ones, others each time.
    pub fn tell(&self, random: &mut impl Rng, now: Time) -> Option<Vec<u8>> {
        let mut told: Vec<(&Fingerprint, &Suspect)> = self.by_request.iter().collect();
        told.retain(|(_, suspect)| is_fresh(suspect, now) || suspect.ends.len() >= HELD_FROM);
        told.shuffle(random);
        told.sort_by_key(|(_, it)| (!is_fresh(it, now), usize::MAX - it.ends.len().min(HELD_FROM)));
        let told = told.into_iter().map(|(request, it)| Told::new(*request, it, now));
        let mut room = MESSAGE_BYTES;
        let mut message = Vec::new();
        for one in told {
            let bytes = postcard::to_allocvec(&one).unwrap_or_default();
            if bytes.len() > room {
                break;
            }
            room -= bytes.len();
            message.extend(bytes);
        }
        (!message.is_empty()).then_some(message)
    }

    /// Takes over what another instance tells; none if it can't be read.
    pub fn hear(&mut self, message: &[u8], now: Time) -> Option<Changes> {
        let mut rest = message;
        let mut is_urgent = false;
        while !rest.is_empty() {
            let (told, left) = postcard::take_from_bytes::<Told>(rest).ok()?;
            rest = left;
            is_urgent |= self.take(told, now);
        }
        let mut changes = self.settle();
        // What is held back already is told on with the heartbeats.
        changes.is_urgent = is_urgent || !changes.held.is_empty() || !changes.released.is_empty();
        Some(changes)
    }

    /// Takes over one request; tells whether one more end may hold it back anywhere.
    fn take(&mut self, told: Told, now: Time) -> bool {
        let at = |age: u32| {
            let age = Duration::from_secs_f64(f64::from(age) / AGE_PARTS_PER_S);
            now - age
        };
        let suspect = self.entry(told.request, now);
        suspect.seen_at = suspect.seen_at.max(at(told.seen));
        if let Some(well) = told.well {
            suspect.ran_well(at(well), now);
        }
        let before = suspect.ends.len();
        for (server, age) in told.ends {
            suspect.add(End { server, at: at(age) }, MOST_ENDS, now);
        }
        let after = suspect.ends.len();
        before < after && before < HELD_FROM && after + 1 >= HELD_FROM
    }
}

fn is_fresh(suspect: &Suspect, now: Time) -> bool {
    now.since(suspect.changed_at) < FRESH_FOR
}
