//! Selection of one of the backend servers that may serve a request.

use super::server::Server;
use std::time::{Duration, Instant};

/// Utilization up to which a backend server gets a request from outside its home region, or one
/// that already runs on another backend server.
const SPILL_UTILIZATION: f64 = 0.6;

/// A backend server that may serve the request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Index in the service's list of backend servers.
    pub(super) index: usize,
    /// 0 and 1 for the home region, 1 if the request would cost traffic between availability zones;
    /// 2 for the own region if that is not the home region; 3 for all others.
    pub(super) tier: u8,
    /// Whether it is so slow, or fails so often, that it comes last within its tier.
    pub(super) is_deprioritized: bool,
    /// Rank of the backend server for the request's key, lowest first.
    pub(super) rank: f64,
}

impl Candidate {
    pub(super) fn is_home(&self) -> bool {
        self.tier <= 1
    }

    fn order(&self, other: &Self) -> std::cmp::Ordering {
        let by_tier =
            self.tier.cmp(&other.tier).then(self.is_deprioritized.cmp(&other.is_deprioritized));
        by_tier.then(self.rank.total_cmp(&other.rank))
    }
}

/// Inputs of the selection besides the candidates.
#[derive(Clone, Copy, Debug)]
pub(super) struct SelectionContext {
    /// Number of backend servers in the home region that hold the object.
    pub(super) replicas: usize,
    /// Longest time that the request may wait for a slot.
    pub(super) max_wait: Duration,
    /// Mean response time of the service, in milliseconds.
    pub(super) response_ms: f64,
    /// Additional response time where the object is cold, in milliseconds.
    pub(super) cold_penalty_ms: f64,
    /// Whether the request may leave its home region.
    pub(super) may_spill: bool,
    /// Whether all other regions count as the home region if it has no candidate.
    pub(super) may_displace: bool,
    /// Whether the request already runs on another backend server, so that it goes only to one with
    /// low utilization.
    pub(super) is_hedge: bool,
    /// Number of instances that send to the same backend servers, this one included.
    pub(super) sending_instances: usize,
    /// Current time.
    pub(super) now: Instant,
}

/// Selects the backend server of a request.
///
/// The first choice is the replica with the earliest expected response, if the request can afford
/// to wait for a slot there; then any backend server that has the object warm; then one outside the
/// home region with low utilization. A wait of a few warm responses is shorter than one cold
/// response, which also occupies slots and evicts another object from the backend server's cache.
/// So an object has one replica, unless there are fewer objects than backend servers, and load does
/// not spread objects further.
///
/// `is_warm` returns whether the incarnation with this hash is known to have the object warm. It is
/// called for few candidates, as most selections end with the first replica.
pub(super) fn select_candidate(
    candidates: &mut [Candidate],
    servers: &[Server],
    is_warm: impl Fn(u64) -> bool,
    context: SelectionContext,
) -> Option<Candidate> {
    if context.may_displace && !candidates.iter().any(Candidate::is_home) {
        candidates.iter_mut().for_each(|candidate| candidate.tier = 1);
    }
    let replica_count = context.replicas.clamp(1, candidates.len().max(1));
    if replica_count < candidates.len() {
        candidates.select_nth_unstable_by(replica_count - 1, Candidate::order);
    }
    let replica_count = replica_count.min(candidates.len());
    let (replicas, others) = candidates.split_at_mut(replica_count);
    replicas.sort_unstable_by(Candidate::order);
    let has_capacity = |candidate: &Candidate, utilization: f64| {
        let server = &servers[candidate.index];
        let slots = f64::from(server.record.slots);
        server.load.estimate(context.sending_instances, context.now) + 1.0
            <= (slots * utilization).max(1.0)
    };
    let wait_ms = |candidate: &Candidate| {
        let server = &servers[candidate.index];
        let slots = f64::from(server.record.slots.max(1));
        let waiting =
            (server.load.estimate(context.sending_instances, context.now) + 1.0 - slots).max(0.0);
        waiting / slots * context.response_ms
    };
    let is_warm = |candidate: &Candidate| is_warm(servers[candidate.index].incarnation_hash);
    let home_replicas = || replicas.iter().filter(|candidate| candidate.is_home());
    if context.is_hedge {
        // Another cold response under load would delay the requests of others.
        return home_replicas()
            .find(|candidate| {
                !candidate.is_deprioritized && has_capacity(candidate, SPILL_UTILIZATION)
            })
            .copied();
    }
    let max_wait_ms = context.max_wait.as_secs_f64() * 1_000.0;
    let earliest = |is_deprioritized: bool| {
        let matching = home_replicas()
            .enumerate()
            .filter(|(_, candidate)| candidate.is_deprioritized == is_deprioritized);
        let waits = matching.map(|(position, candidate)| (position, candidate, wait_ms(candidate)));
        let in_time = waits.filter(|(_, _, wait_ms)| *wait_ms <= max_wait_ms);
        let expected = in_time.map(|(position, candidate, wait_ms)| {
            let warm = position == 0 || is_warm(candidate);
            (candidate, wait_ms + if warm { 0.0 } else { context.cold_penalty_ms })
        });
        expected.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(candidate, _)| candidate)
    };
    let warm_holder = || {
        let all =
            replicas.iter().chain(others.iter()).filter(|candidate| !candidate.is_deprioritized);
        let allowed = all
            .filter(|candidate| (candidate.is_home() || context.may_spill) && is_warm(candidate));
        let in_time = allowed
            .map(|candidate| (candidate, wait_ms(candidate)))
            .filter(|(_, wait)| *wait <= max_wait_ms);
        let nearest = |a: &(&Candidate, f64), b: &(&Candidate, f64)| {
            a.0.tier.cmp(&b.0.tier).then(a.1.total_cmp(&b.1))
        };
        in_time.min_by(nearest).map(|(candidate, _)| candidate)
    };
    let spill = || {
        let elsewhere = replicas
            .iter()
            .chain(others.iter())
            .filter(|candidate| !candidate.is_home() && !candidate.is_deprioritized);
        let with_capacity = elsewhere
            .filter(|candidate| context.may_spill && has_capacity(candidate, SPILL_UTILIZATION));
        with_capacity.min_by(|a, b| a.order(b))
    };
    earliest(false).or_else(warm_holder).or_else(|| earliest(true)).or_else(spill).copied()
}
