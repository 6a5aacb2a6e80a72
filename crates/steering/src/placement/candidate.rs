//! Choosing among the backend servers that may take a request.

use super::server::Server;
use std::time::{Duration, Instant};

/// Utilization of a backend server up to which it takes what has no place where it belongs, or is
/// at another one already.
const SPILL_UTILIZATION: f64 = 0.6;

/// A backend server that may take a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Its position in the list of the service's backend servers.
    pub(super) index: usize,
    /// 0 and 1 where the request belongs, 1 if that costs more bytes between zones; 2 in the own
    /// region if that is another one, 3 elsewhere.
    pub(super) tier: u8,
    /// Whether it is so slow, or fails so often, that it comes last.
    pub(super) last: bool,
    /// Its place among all candidates for the key, lowest first.
    pub(super) rank: f64,
}

impl Candidate {
    fn is_home(&self) -> bool {
        self.tier <= 1
    }

    fn order(&self, other: &Self) -> std::cmp::Ordering {
        self.tier.cmp(&other.tier).then(self.rank.total_cmp(&other.rank))
    }
}

/// What the choice goes by, besides the candidates.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    /// Backend servers that hold the object where it belongs.
    pub(super) replicas: usize,
    /// Time that the request may wait for a slot.
    pub(super) patience: Duration,
    /// Mean answer time of the service, in milliseconds.
    pub(super) answer_ms: f64,
    /// Whether the request may go elsewhere than where it belongs.
    pub(super) may_spill: bool,
    /// Whether it only goes where there is much room.
    pub(super) is_second: bool,
    /// Instances that send to the same backend servers, this one included.
    pub(super) sharers: usize,
    /// The time.
    pub(super) now: Instant,
}

/// Chooses a candidate.
///
/// The first replica in rank with a free slot gets the request; else the one with the shortest
/// wait, if the request has patience for it; else a backend server elsewhere that has much room.
/// One that gets an object for the first time is slow and drops another object for it, so that
/// work does not spread further under load.
pub(super) fn best_of(
    candidates: &mut [Candidate],
    servers: &[Server],
    terms: Terms,
) -> Option<Candidate> {
    if !candidates.iter().any(Candidate::is_home) {
        // Where the object belongs there is no backend server at all.
        candidates.iter_mut().for_each(|it| it.tier = 1);
    }
    let wanted = terms.replicas.clamp(1, candidates.len().max(1));
    if wanted < candidates.len() {
        candidates.select_nth_unstable_by(wanted - 1, Candidate::order);
    }
    let wanted = wanted.min(candidates.len());
    let (replicas, rest) = candidates.split_at_mut(wanted);
    replicas.sort_unstable_by(Candidate::order);
    let room = |it: &Candidate, utilization: f64| {
        let server = &servers[it.index];
        let slots = f64::from(server.record.slots);
        server.load.estimate(terms.sharers, terms.now) + 1.0 <= (slots * utilization).max(1.0)
    };
    let wait_ms = |it: &Candidate| {
        let server = &servers[it.index];
        let slots = f64::from(server.record.slots.max(1));
        let waiting = (server.load.estimate(terms.sharers, terms.now) + 1.0 - slots).max(0.0);
        waiting / slots * terms.answer_ms
    };
    let homes = || replicas.iter().filter(|it| it.is_home());
    if terms.is_second {
        // Another cold answer under load would delay those that others wait for.
        return homes().find(|it| !it.last && room(it, SPILL_UTILIZATION)).copied();
    }
    let first = |last: bool| homes().find(|it| it.last == last && room(it, 1.0));
    let patience_ms = terms.patience.as_secs_f64() * 1_000.0;
    let shortest = || {
        let waits = homes().map(|it| (it, wait_ms(it)));
        let waits = waits.filter(|(_, wait_ms)| *wait_ms <= patience_ms);
        waits.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(it, _)| it)
    };
    let spill = || {
        let elsewhere = replicas.iter().chain(rest.iter()).filter(|it| !it.is_home() && !it.last);
        let with_room = elsewhere.filter(|it| terms.may_spill && room(it, SPILL_UTILIZATION));
        with_room.min_by(|a, b| a.order(b))
    };
    first(false).or_else(|| first(true)).or_else(shortest).or_else(spill).copied()
}
