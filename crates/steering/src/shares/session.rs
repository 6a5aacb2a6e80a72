//! The session of an availability zone: the lease behind all grants of that zone.
//!
//! The record is one object in the platform, changed by conditional updates only.  Its holder
//! counts the lease from before it sent the write; all others wait from when they first saw the
//! write, so that no two ever hold it at once.

use super::slots::WriteId;
use super::timing::{FENCE_TIMEOUT, PROMISE_DURATION, SESSION_DURATION, minus_drift, plus_drift};
use crate::{Incarnation, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The session as the platform stores it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SessionRecord {
    /// Grows with each change of the holder.
    pub epoch: u64,
    /// Incarnation of the holder; `None` once it gave the session back.
    pub holder: Option<u64>,
    /// Name of the holder.
    pub holder_name: Arc<str>,
    /// How long the session lasts, in milliseconds.
    pub lasts_ms: u64,
    /// Names of the instances that may claim the session when it lapses.
    pub electors: BTreeSet<Arc<str>>,
    /// Tells this write from every other one.
    pub write: WriteId,
}

/// A record and the version that the platform gave it; the version is `None` for no object.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ObservedRecord {
    /// The record, if there is one.
    pub record: Option<SessionRecord>,
    /// Version of the object.
    pub version: Option<u64>,
    /// When this version was first seen.
    first_seen: Time,
}

/// A conditional update to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SessionWrite {
    /// What to write.
    pub record: SessionRecord,
    /// Version that the object must have; `None` for no object.
    pub expected: Option<u64>,
    /// When it is sent, at the earliest.
    pub sent_at: Time,
}

/// The session that this instance holds.
#[derive(Clone, Debug)]
struct Held {
    epoch: u64,
    confirmed_sent_at: Time,
    lease_ends: Time,
    /// Everybody who may claim it, now or by a write whose answer was lost.
    electors: BTreeSet<Arc<str>>,
    /// Number of the write with which the lease began that has had no gap since.
    run: u64,
    /// Until when each elector promised not to.
    promised_until: BTreeMap<Arc<str>, Time>,
}

/// Writes without a known outcome; none takes effect once the object has a higher version.
#[derive(Debug, Default)]
struct Unsettled {
    expected: Option<u64>,
    count: u32,
}

/// What one instance knows of its availability zone's session.
#[derive(Debug)]
pub struct Session {
    me: Incarnation,
    my_name: Arc<str>,
    started_at: Time,
    observed: Option<ObservedRecord>,
    held: Option<Held>,
    /// The last write that was sent and whose outcome is not known.
    pending: Option<SessionWrite>,
    /// Writes that may still take effect, as far as is known.
    unsettled: Unsettled,
    known_epoch: u64,
    promised_until: Time,
    writes: u64,
}

impl Session {
    /// Starts with nothing known.
    pub fn new(me: Incarnation, my_name: Arc<str>, started_at: Time) -> Self {
        Self {
            me,
            my_name,
            started_at,
            observed: None,
            held: None,
            pending: None,
            unsettled: Unsettled::default(),
            known_epoch: 0,
            promised_until: Time::default(),
            writes: 0,
        }
    }

    /// Returns the epoch of the session that this instance holds now.
    pub fn held_epoch(&self, now: Time) -> Option<u64> {
        let held = self.held.as_ref()?;
        (now < self.held_until(held)).then_some(held.epoch)
    }

    /// Returns how long this instance still holds the session.
    pub fn remaining(&self, now: Time) -> Duration {
        self.held.as_ref().map_or(Duration::ZERO, |held| self.held_until(held).since(now))
    }

    /// Returns the run of the lease: a number that changes with every gap in it.
    ///
    /// `None` while only promises, and not the platform, let the session go on.
    pub fn lease_generation(&self, now: Time) -> Option<u64> {
        self.held.as_ref().filter(|held| now < held.lease_ends).map(|held| held.run)
    }

    /// Returns the highest epoch known.
    pub fn known_epoch(&self) -> u64 {
        self.known_epoch
    }

    /// Returns the holder's name according to the newest record seen.
    pub fn holder_name(&self) -> Option<&Arc<str>> {
        let record = self.observed.as_ref()?.record.as_ref()?;
        record.holder.map(|_| &record.holder_name)
    }

    /// Tells whether the write before this instance's claim was the zone's first.
    pub fn is_first_epoch(&self) -> bool {
        self.known_epoch == 1
    }

    /// Takes in a read of the object that was answered at `now`.
    pub fn on_read(&mut self, now: Time, version: Option<u64>, record: Option<SessionRecord>) {
        self.known_epoch = self.known_epoch.max(record.as_ref().map_or(0, |r| r.epoch));
        self.settle(version, record.as_ref());
        if record.as_ref().is_none_or(|record| record.holder != Some(self.me.0)) {
            self.held = None;
        }
        if self.observed.as_ref().is_none_or(|seen| seen.version < version) {
            self.observed = Some(ObservedRecord { record, version, first_seen: now });
        }
    }

    /// Learns of an epoch from another instance.
    pub fn on_epoch(&mut self, epoch: u64) {
        self.known_epoch = self.known_epoch.max(epoch);
    }

    /// Returns the write that claims or renews the session, where one is due.
    ///
    /// `electors` are the names of those that have a numbered slot, as far as this instance knows.
    pub fn next_write(&mut self, now: Time, electors: &BTreeSet<Arc<str>>) -> Option<SessionWrite> {
        let observed = self.observed.as_ref()?;
        let mine = observed.record.as_ref().is_some_and(|r| r.holder == Some(self.me.0));
        if !mine && !self.may_claim(now, observed) {
            return None;
        }
        let last_epoch = observed.record.as_ref().map_or(0, |record| record.epoch);
        let epoch = if mine { last_epoch } else { last_epoch.max(self.known_epoch) + 1 };
        let expected = observed.version;
        let mut electors = electors.clone();
        electors.insert(self.my_name.clone());
        Some(self.send(now, epoch, Some(self.me.0), electors, expected))
    }

    /// Returns the write that gives the session back, and stops holding it.
    pub fn release(&mut self, now: Time) -> Option<SessionWrite> {
        let held = self.held.take()?;
        let expected = self.observed.as_ref()?.version;
        Some(self.send(now, held.epoch, None, held.electors, expected))
    }

    /// Tells whether `write` is the one whose answer is waited for.
    pub fn is_pending(&self, write: &SessionWrite) -> bool {
        self.pending.as_ref() == Some(write)
    }

    /// Takes in that the pending write took effect and made the object's `version`.
    pub fn on_written(&mut self, now: Time, version: u64) {
        let Some(write) = self.pending.take() else { return };
        self.unsettled.count = 0;
        self.take_effect(&write);
        self.known_epoch = self.known_epoch.max(write.record.epoch);
        let version = Some(version);
        self.observed =
            Some(ObservedRecord { record: Some(write.record), version, first_seen: now });
    }

    /// Takes in that the pending write did not reach the platform; one sent before may yet.
    ///
    /// After any other failure, a conflict included, the next read tells: a write that was sent
    /// twice on its way conflicts with itself.
    pub fn on_not_sent(&mut self) {
        self.pending = None;
        self.unsettled.count = self.unsettled.count.saturating_sub(1);
    }

    /// Answers whether this instance promises, for `lasts`, not to claim the session.
    pub fn promise(&mut self, now: Time, epoch: u64, lasts: Duration) -> bool {
        let allowed = self.unsettled.count == 0
            && self.held.is_none()
            && epoch >= self.known_epoch
            && lasts <= PROMISE_DURATION;
        if allowed {
            self.known_epoch = epoch;
            self.promised_until = self.promised_until.max(now + plus_drift(lasts));
        }
        allowed
    }

    /// Returns the epoch of a session that this instance can go on with on promises, of
    /// which less than `below` is left.
    pub fn expiring_epoch(&self, now: Time, below: Duration) -> Option<u64> {
        let held = self.held.as_ref()?;
        (self.remaining(now) < below).then_some(held.epoch)
    }

    /// Returns from whom promises are needed to go on without the platform.
    pub fn other_electors(&self) -> Vec<Arc<str>> {
        let held = self.held.iter();
        held.flat_map(|held| held.electors.iter().filter(|e| **e != self.my_name).cloned())
            .collect()
    }

    /// Takes in that `elector` gave the promise that was asked for at `sent_at` under `epoch`.
    pub fn on_promise(&mut self, elector: &Arc<str>, epoch: u64, sent_at: Time, lasts: Duration) {
        if let Some(held) = self.held.as_mut().filter(|held| held.epoch == epoch) {
            let until = sent_at + minus_drift(lasts);
            let known = held.promised_until.entry(elector.clone()).or_default();
            *known = until.max(*known);
        }
    }

    /// Until when the session is held: to the end of the lease, or longer if every elector promised.
    fn held_until(&self, held: &Held) -> Time {
        let others = held.electors.iter().filter(|elector| **elector != self.my_name);
        let promised = others
            .map(|elector| held.promised_until.get(elector).copied().unwrap_or_default())
            .min()
            .unwrap_or_default();
        // Whoever is no elector may claim it after the fence time.
        let fence = held.confirmed_sent_at + minus_drift(FENCE_TIMEOUT);
        held.lease_ends.max(promised.min(fence))
    }

    fn may_claim(&self, now: Time, observed: &ObservedRecord) -> bool {
        if now < self.promised_until {
            return false;
        }
        let Some(record) = &observed.record else { return true };
        if record.holder.is_none() {
            return true;
        }
        let lapsed = observed.first_seen + plus_drift(Duration::from_millis(record.lasts_ms));
        // One that restarted under the same name may have promised before.
        let settled = self.started_at + plus_drift(PROMISE_DURATION);
        let elected = record.electors.contains(&self.my_name) && now >= lapsed.max(settled);
        elected || now >= observed.first_seen + plus_drift(FENCE_TIMEOUT)
    }

    fn send(
        &mut self,
        now: Time,
        epoch: u64,
        holder: Option<u64>,
        electors: BTreeSet<Arc<str>>,
        expected: Option<u64>,
    ) -> SessionWrite {
        self.writes += 1;
        if let Some(held) = &mut self.held {
            held.electors.extend(electors.iter().cloned());
        }
        let record = SessionRecord {
            epoch,
            holder,
            holder_name: self.my_name.clone(),
            lasts_ms: SESSION_DURATION.as_millis() as u64,
            electors,
            write: WriteId { writer: self.me.0, number: self.writes },
        };
        let write = SessionWrite { record, expected, sent_at: now };
        self.pending = Some(write.clone());
        if self.unsettled.expected != expected {
            self.unsettled.count = 0;
        }
        self.unsettled = Unsettled { expected, count: self.unsettled.count + 1 };
        write
    }

    /// Finds out what became of writes whose answers were lost.
    fn settle(&mut self, version: Option<u64>, record: Option<&SessionRecord>) {
        if let Some(write) = self.pending.take_if(|write| Some(&write.record) == record) {
            self.take_effect(&write);
        }
        if version > self.unsettled.expected {
            self.unsettled.count = 0;
            self.pending = None;
        }
    }

    fn take_effect(&mut self, write: &SessionWrite) {
        if write.record.holder != Some(self.me.0) {
            self.held = None;
            return;
        }
        let lasts = Duration::from_millis(write.record.lasts_ms);
        let before = self.held.as_ref().filter(|held| write.sent_at < held.lease_ends);
        let run = before.map_or(write.record.write.number, |held| held.run);
        self.held = Some(Held {
            epoch: write.record.epoch,
            confirmed_sent_at: write.sent_at,
            lease_ends: write.sent_at + minus_drift(lasts),
            electors: write.record.electors.clone(),
            run,
            promised_until: BTreeMap::new(),
        });
    }
}
