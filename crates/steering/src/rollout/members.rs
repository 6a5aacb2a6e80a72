//! The instances that take part in roll-outs, and what each of them is for a service.

use crate::placement::rank::name_hash;
use crate::quota::MemberId;

/// Instances that judge the versions of a service: with one of them gone or cut off, the others go on.
const JUDGES: usize = 3;

/// Instances that may write how a roll-out ended, one after another; some don't reach the store.
const WRITERS: usize = 8;

/// The living instances that serve callers.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Each with whether it reaches the store, as far as that is known.
    all: Vec<(MemberId, bool)>,
}

impl Members {
    /// Takes over who lives, and who reaches the store.
    pub fn new(all: Vec<(MemberId, bool)>) -> Self {
        Self { all }
    }

    /// Their number.
    pub fn count(&self) -> usize {
        self.all.len()
    }

    /// All of them.
    pub fn ids(&self) -> impl Iterator<Item = MemberId> {
        self.all.iter().map(|(id, _)| *id)
    }

    /// The judges of a service, first by rank.
    pub fn judges(&self, service: &str) -> Vec<MemberId> {
        self.first(service, JUDGES)
    }

    /// The place of an instance among those that write for a service; none if it does not.
    pub fn writer_rank(&self, service: &str, id: MemberId) -> Option<usize> {
        self.first(service, WRITERS).iter().position(|it| *it == id)
    }

    fn first(&self, service: &str, count: usize) -> Vec<MemberId> {
        let hash = name_hash(service);
        let mut ranked: Vec<(bool, u64, MemberId)> =
            self.all.iter().map(|(id, reaches)| (!reaches, id.rank(hash), *id)).collect();
        let count = count.min(ranked.len());
        if count < ranked.len() {
            ranked.select_nth_unstable(count);
            ranked.truncate(count);
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, _, id)| id).collect()
    }
}
