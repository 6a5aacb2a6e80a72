//! The progress of the rollout in the simulated store.

use super::setup::Defect;
use super::world::{START, World};
use rand::Rng;
use steering::Time;
use steering::rollout::{ProgressSync, RolloutProgress};

/// Largest difference of a machine's time of day from the true one, in milliseconds.
const MAX_CLOCK_ERROR_MS: u64 = 300;

/// The object in the store.
#[derive(Default)]
pub(super) struct ProgressObject {
    progress: Option<RolloutProgress>,
    revision: u64,
}

/// A write on its way to the store.
pub(super) struct ProgressWrite {
    number: usize,
    start_count: u64,
    sync: ProgressSync,
    progress: RolloutProgress,
    revision: u64,
}

impl World {
    /// Reads the progress, resumes from it, and sends what has to be written.
    pub(super) fn sync_progress(&mut self, number: usize, sync: ProgressSync) {
        let defect = self.setup.defect;
        if defect == Defect::NeverSyncs {
            return;
        }
        let now_ms = self.now.as_ns() / 1_000_000;
        let unix_ms = now_ms + number as u64 * 97 % MAX_CLOCK_ERROR_MS;
        let mut stored = self.object.progress.clone();
        match (&mut stored, defect) {
            (_, Defect::ForgetsProgress) => stored = None,
            (Some(progress), Defect::BeginsAnew) => progress.first_seen_ms = unix_ms,
            (Some(progress), Defect::ForgetsOutcome) => progress.outcome = None,
            (_, Defect::IgnoresRollback) => stored = None,
            (Some(progress), Defect::ForgetsResponses) => progress.routes.clear(),
            _ => {}
        }
        let node = &mut self.nodes[number];
        node.is_informed = true;
        let (progress, change) = node.table.resume(&sync, stored.as_ref(), unix_ms, self.now);
        let start_count = node.start_count;
        if change.is_some() {
            self.gossip(number, steering::gossip::FANOUT);
        }
        let Some(progress) = progress else {
            self.nodes[number].table.set_synced(&sync);
            return;
        };
        let delay = self.setup.write_delay.mul_f64(self.store_random.random());
        let revision = self.object.revision;
        let write = ProgressWrite { number, start_count, sync, progress, revision };
        self.writes.entry((self.now + delay).as_ns()).or_default().push(write);
    }

    /// Applies the writes that reach the store now; some of its responses are lost.
    pub(super) fn apply_progress_writes(&mut self) {
        while let Some(entry) =
            self.writes.first_entry().filter(|entry| *entry.key() <= self.now.as_ns())
        {
            for write in entry.remove() {
                self.apply_progress_write(write);
            }
        }
    }

    fn apply_progress_write(&mut self, write: ProgressWrite) {
        let ProgressWrite { number, start_count, sync, progress, revision } = write;
        if revision != self.object.revision && self.setup.defect != Defect::WritesBlindly {
            return;
        }
        if let Some(previous) = &self.object.progress {
            let mut merged = progress.clone();
            merged.merge(previous);
            self.outcome.regressions += u64::from(merged != progress);
        }
        if progress.outcome == Some(steering::deployment::RolloutOutcome::RolledBack) {
            self.rolled_back_at.get_or_insert(self.now);
        }
        let seen = Time::from_ms(progress.first_seen_ms);
        self.outcome.seen_after = seen.since(START);
        self.object.progress = Some(progress);
        self.object.revision += 1;
        let is_response_lost = self.store_random.random_bool(self.setup.lost_responses);
        let node = &mut self.nodes[number];
        if node.start_count == start_count && !is_response_lost {
            node.table.set_synced(&sync);
        }
    }
}
