//! The instances that take part in rollouts, and their roles for each service.

use crate::hash::unit_interval;
use crate::placement::rank::name_hash;
use crate::quota::MemberId;

/// Judges per service: if one of them fails or is partitioned, the others continue.
const JUDGE_COUNT: usize = 3;

/// Instances per service that may write a rollout's outcome, in order of rank; some may not reach
/// the store.
const WRITER_COUNT: usize = 8;

/// The live instances that serve callers.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Each with whether it reaches the store, as far as that is known.
    all: Vec<(MemberId, bool)>,
    /// Number of instances, including those that are not known to be live yet.
    fleet_size: usize,
}

impl Members {
    /// Creates the list of live instances, each with whether it reaches the store.
    pub fn new(all: Vec<(MemberId, bool)>) -> Self {
        let fleet_size = all.len();
        Self { all, fleet_size }
    }

    /// Sets the number of instances, including those that are not known to be live yet.
    pub fn with_fleet_size(self, fleet_size: usize) -> Self {
        Self { fleet_size, ..self }
    }

    /// The number of instances.
    pub fn count(&self) -> usize {
        self.all.len()
    }

    /// The identifiers of all instances.
    pub fn ids(&self) -> impl Iterator<Item = MemberId> {
        self.all.iter().map(|(id, _)| *id)
    }

    /// The judges of a service, by rank.
    pub fn judges(&self, service: &str) -> Vec<MemberId> {
        self.highest_ranked(service, JUDGE_COUNT)
    }

    /// The rank of an instance among the writers of a service; none if it is not one.
    pub fn writer_rank(&self, service: &str, id: MemberId) -> Option<usize> {
        self.highest_ranked(service, WRITER_COUNT).iter().position(|member| *member == id)
    }

    /// The rank that an instance has on average among all instances, however few of them are known;
    /// none while not even their number is.
    pub(super) fn expected_rank(&self, service: &str, id: MemberId) -> Option<f64> {
        let position = unit_interval(id.rank(name_hash(service)));
        (self.fleet_size > 0).then_some(position * self.fleet_size as f64)
    }

    fn highest_ranked(&self, service: &str, count: usize) -> Vec<MemberId> {
        let hash = name_hash(service);
        let mut ranked: Vec<(bool, u64, MemberId)> = self
            .all
            .iter()
            .map(|(id, reaches_store)| (!reaches_store, id.rank(hash), *id))
            .collect();
        let count = count.min(ranked.len());
        if count < ranked.len() {
            ranked.select_nth_unstable(count);
            ranked.truncate(count);
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, _, id)| id).collect()
    }
}
