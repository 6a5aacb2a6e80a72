//! What instances tell each other of requests under which backend servers ended.

use super::crash::{End, ServerHash, Suspect};
use super::fingerprint::Fingerprint;
use super::table::{Changes, HELD_FROM, MOST_ENDS, Suspects};
use crate::Time;
use crate::gossip::{self, Age, FRESH_FOR};
use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One request, as an instance tells of it.
#[derive(Debug, Deserialize, Serialize)]
struct Told {
    request: Fingerprint,
    ends: Vec<(ServerHash, Age)>,
    seen: Age,
    well: Option<Age>,
}

impl Told {
    fn new(request: Fingerprint, suspect: &Suspect, now: Time) -> Self {
        let age = |at: Time| Age::from(now.since(at));
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
        gossip::write(told.into_iter().map(|(request, it)| Told::new(*request, it, now)))
    }

    /// Takes over what another instance tells; none if it can't be read.
    pub fn hear(&mut self, message: &[u8], now: Time) -> Option<Changes> {
        let told: Vec<Told> = gossip::read(message)?;
        let mut is_urgent = false;
        for one in told {
            is_urgent |= self.take(one, now);
        }
        let mut changes = self.settle();
        // What is held back already is told on with the heartbeats.
        changes.is_urgent = is_urgent || !changes.held.is_empty() || !changes.released.is_empty();
        Some(changes)
    }

    /// Takes over one request; tells whether one more end may hold it back anywhere.
    fn take(&mut self, told: Told, now: Time) -> bool {
        let at = |age: Age| now - Duration::from(age);
        let suspect = self.entry(told.request, now);
        suspect.seen_at = suspect.seen_at.max(now - told.seen.most());
        if let Some(well) = told.well {
            // An answer that seemed later by each way would wipe out ends that came after it.
            suspect.ran_well(now - well.most(), now);
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
