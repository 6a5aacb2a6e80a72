//! The session of an availability zone: the lease under which all grants of that zone are issued.
//!
//! The record is one object in the platform, changed by conditional updates only.  The holder
//! counts the lease from before it sent the write; all others wait from when they first observed
//! the write, so no two instances ever hold the session at once.

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
    /// Increases with each change of the holder.
    pub epoch: u64,
    /// Incarnation of the holder; `None` once it released the session.
    pub holder: Option<u64>,
    /// Name of the holder.
    pub holder_name: Arc<str>,
    /// How long the session is valid, in milliseconds.
    #[serde(rename = "lasts_ms")]
    pub duration_ms: u64,
    /// Names of the instances that may claim the session when it expires.
    pub electors: BTreeSet<Arc<str>>,
    /// Unique id of this write.
    pub write: WriteId,
}

/// A record and the version that the platform gave it; the version is `None` for no object.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ObservedRecord {
    /// The record, if there is one.
    pub record: Option<SessionRecord>,
    /// Version of the object.
    pub version: Option<u64>,
    /// When this version was first observed.
    first_seen: Time,
}

/// A conditional update to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SessionWrite {
    /// What to write.
    pub record: SessionRecord,
    /// Version that the object must have; `None` for no object.
    pub expected: Option<u64>,
    /// Time before the write is sent.
    pub sent_at: Time,
}

/// The session that this instance holds.
#[derive(Clone, Debug)]
struct HeldSession {
    epoch: u64,
    confirmed_sent_at: Time,
    lease_expires_at: Time,
    /// All instances that may claim the session, including those of a write whose response was
    /// lost.
    electors: BTreeSet<Arc<str>>,
    /// Number of the write that started the lease; renewals without a gap keep it.
    lease_generation: u64,
    /// Until when each elector has promised not to claim the session.
    promised_until: BTreeMap<Arc<str>, Time>,
}

/// Writes with an unknown outcome; none can take effect once the object has a higher version.
#[derive(Debug, Default)]
struct UnresolvedWrites {
    expected: Option<u64>,
    count: u32,
}

/// One instance's view of its availability zone's session.
#[derive(Debug)]
pub struct Session {
    own_incarnation: Incarnation,
    own_name: Arc<str>,
    started_at: Time,
    observed: Option<ObservedRecord>,
    held: Option<HeldSession>,
    /// The last write that was sent, while its outcome is unknown.
    pending: Option<SessionWrite>,
    /// Writes that may still take effect.
    unresolved: UnresolvedWrites,
    known_epoch: u64,
    /// Until when this instance has promised not to claim the session.
    promised_until: Time,
    write_count: u64,
}

impl Session {
    /// Creates a view in which nothing is known.
    pub fn new(own_incarnation: Incarnation, own_name: Arc<str>, started_at: Time) -> Self {
        Self {
            own_incarnation,
            own_name,
            started_at,
            observed: None,
            held: None,
            pending: None,
            unresolved: UnresolvedWrites::default(),
            known_epoch: 0,
            promised_until: Time::default(),
            write_count: 0,
        }
    }

    /// Returns the epoch of the session if this instance holds it.
    pub fn held_epoch(&self, now: Time) -> Option<u64> {
        let held = self.held.as_ref()?;
        (now < self.held_until(held)).then_some(held.epoch)
    }

    /// Returns for how long this instance still holds the session.
    pub fn remaining(&self, now: Time) -> Duration {
        self.held.as_ref().map_or(Duration::ZERO, |held| self.held_until(held).since(now))
    }

    /// Returns the generation of the lease: a number that changes with every gap in the lease.
    ///
    /// `None` if the lease has expired, also while promises extend the session.
    pub fn lease_generation(&self, now: Time) -> Option<u64> {
        self.held
            .as_ref()
            .filter(|held| now < held.lease_expires_at)
            .map(|held| held.lease_generation)
    }

    /// Returns the highest epoch known.
    pub fn known_epoch(&self) -> u64 {
        self.known_epoch
    }

    /// Returns the holder's name according to the latest record observed.
    pub fn holder_name(&self) -> Option<&Arc<str>> {
        let record = self.observed.as_ref()?.record.as_ref()?;
        record.holder.map(|_| &record.holder_name)
    }

    /// Returns whether this is the zone's first epoch.
    pub fn is_first_epoch(&self) -> bool {
        self.known_epoch == 1
    }

    /// Records a read of the object that was answered at `now`.
    pub fn on_read(&mut self, now: Time, version: Option<u64>, record: Option<SessionRecord>) {
        self.known_epoch = self.known_epoch.max(record.as_ref().map_or(0, |record| record.epoch));
        self.resolve_pending(version, record.as_ref());
        if record.as_ref().is_none_or(|record| record.holder != Some(self.own_incarnation.0)) {
            self.held = None;
        }
        if self.observed.as_ref().is_none_or(|observed| observed.version < version) {
            self.observed = Some(ObservedRecord { record, version, first_seen: now });
        }
    }

    /// Records an epoch that another instance reported.
    pub fn on_epoch(&mut self, epoch: u64) {
        self.known_epoch = self.known_epoch.max(epoch);
    }

    /// Returns the write that claims or renews the session, if one is due.
    ///
    /// `electors` are the names of the instances known to have a numbered slot.
    pub fn next_write(&mut self, now: Time, electors: &BTreeSet<Arc<str>>) -> Option<SessionWrite> {
        let observed = self.observed.as_ref()?;
        let is_holder = observed
            .record
            .as_ref()
            .is_some_and(|record| record.holder == Some(self.own_incarnation.0));
        if !is_holder && !self.may_claim(now, observed) {
            return None;
        }
        let last_epoch = observed.record.as_ref().map_or(0, |record| record.epoch);
        let epoch = if is_holder { last_epoch } else { last_epoch.max(self.known_epoch) + 1 };
        let expected = observed.version;
        let mut electors = electors.clone();
        electors.insert(self.own_name.clone());
        Some(self.prepare_write(now, epoch, Some(self.own_incarnation.0), electors, expected))
    }

    /// Stops holding the session, and returns the write that releases it.
    pub fn release(&mut self, now: Time) -> Option<SessionWrite> {
        let held = self.held.take()?;
        let expected = self.observed.as_ref()?.version;
        Some(self.prepare_write(now, held.epoch, None, held.electors, expected))
    }

    /// Returns whether `write` is the pending one.
    pub fn is_pending(&self, write: &SessionWrite) -> bool {
        self.pending.as_ref() == Some(write)
    }

    /// Records that the pending write took effect and created `version` of the object.
    pub fn on_written(&mut self, now: Time, version: u64) {
        let Some(write) = self.pending.take() else { return };
        self.unresolved.count = 0;
        self.apply_write(&write);
        self.known_epoch = self.known_epoch.max(write.record.epoch);
        let version = Some(version);
        self.observed =
            Some(ObservedRecord { record: Some(write.record), version, first_seen: now });
    }

    /// Records that the pending write did not reach the platform; earlier writes still may.
    ///
    /// Must not be called after any other failure, such as a conflict: a write that was duplicated
    /// in transit conflicts with itself.  The next read resolves its outcome.
    pub fn on_not_sent(&mut self) {
        self.pending = None;
        self.unresolved.count = self.unresolved.count.saturating_sub(1);
    }

    /// Promises not to claim the session for `duration`; returns false if that is not allowed.
    pub fn promise(&mut self, now: Time, epoch: u64, duration: Duration) -> bool {
        let allowed = self.unresolved.count == 0
            && self.held.is_none()
            && epoch >= self.known_epoch
            && duration <= PROMISE_DURATION;
        if allowed {
            self.known_epoch = epoch;
            self.promised_until = self.promised_until.max(now + plus_drift(duration));
        }
        allowed
    }

    /// Returns the epoch of the session taken by this instance, if less than `within` of it
    /// remains.
    ///
    /// Promises of all other electors can extend that session.
    pub fn expiring_epoch(&self, now: Time, within: Duration) -> Option<u64> {
        let held = self.held.as_ref()?;
        (self.remaining(now) < within).then_some(held.epoch)
    }

    /// Returns the instances whose promises are needed to extend the session without the platform.
    pub fn other_electors(&self) -> Vec<Arc<str>> {
        let held = self.held.iter();
        held.flat_map(|held| {
            held.electors.iter().filter(|elector| **elector != self.own_name).cloned()
        })
        .collect()
    }

    /// Records that `elector` gave the promise that was requested at `sent_at` under `epoch`.
    pub fn on_promise(
        &mut self,
        elector: &Arc<str>,
        epoch: u64,
        sent_at: Time,
        duration: Duration,
    ) {
        if let Some(held) = self.held.as_mut().filter(|held| held.epoch == epoch) {
            let until = sent_at + minus_drift(duration);
            let known_until = held.promised_until.entry(elector.clone()).or_default();
            *known_until = until.max(*known_until);
        }
    }

    /// Returns the end of the lease, or a later time until which all other electors promised.
    fn held_until(&self, held: &HeldSession) -> Time {
        let others = held.electors.iter().filter(|elector| **elector != self.own_name);
        let promised = others
            .map(|elector| held.promised_until.get(elector).copied().unwrap_or_default())
            .min()
            .unwrap_or_default();
        // An instance that is not an elector may claim the session after the fence timeout.
        let fenced_at = held.confirmed_sent_at + minus_drift(FENCE_TIMEOUT);
        held.lease_expires_at.max(promised.min(fenced_at))
    }

    fn may_claim(&self, now: Time, observed: &ObservedRecord) -> bool {
        if now < self.promised_until {
            return false;
        }
        let Some(record) = &observed.record else { return true };
        if record.holder.is_none() {
            return true;
        }
        let expired_at =
            observed.first_seen + plus_drift(Duration::from_millis(record.duration_ms));
        // A previous process of the same name may have promised before this one started.
        let promises_expired_at = self.started_at + plus_drift(PROMISE_DURATION);
        let may_claim_as_elector =
            record.electors.contains(&self.own_name) && now >= expired_at.max(promises_expired_at);
        may_claim_as_elector || now >= observed.first_seen + plus_drift(FENCE_TIMEOUT)
    }

    fn prepare_write(
        &mut self,
        now: Time,
        epoch: u64,
        holder: Option<u64>,
        electors: BTreeSet<Arc<str>>,
        expected: Option<u64>,
    ) -> SessionWrite {
        self.write_count += 1;
        if let Some(held) = &mut self.held {
            held.electors.extend(electors.iter().cloned());
        }
        let record = SessionRecord {
            epoch,
            holder,
            holder_name: self.own_name.clone(),
            duration_ms: SESSION_DURATION.as_millis() as u64,
            electors,
            write: WriteId { writer: self.own_incarnation.0, number: self.write_count },
        };
        let write = SessionWrite { record, expected, sent_at: now };
        self.pending = Some(write.clone());
        if self.unresolved.expected != expected {
            self.unresolved.count = 0;
        }
        self.unresolved = UnresolvedWrites { expected, count: self.unresolved.count + 1 };
        write
    }

    /// Resolves the outcome of writes whose responses were lost, from a read of the object.
    fn resolve_pending(&mut self, version: Option<u64>, record: Option<&SessionRecord>) {
        if let Some(write) = self.pending.take_if(|write| Some(&write.record) == record) {
            self.apply_write(&write);
        }
        if version > self.unresolved.expected {
            self.unresolved.count = 0;
            self.pending = None;
        }
    }

    fn apply_write(&mut self, write: &SessionWrite) {
        if write.record.holder != Some(self.own_incarnation.0) {
            self.held = None;
            return;
        }
        let duration = Duration::from_millis(write.record.duration_ms);
        let previous = self.held.as_ref().filter(|held| write.sent_at < held.lease_expires_at);
        let lease_generation =
            previous.map_or(write.record.write.number, |held| held.lease_generation);
        self.held = Some(HeldSession {
            epoch: write.record.epoch,
            confirmed_sent_at: write.sent_at,
            lease_expires_at: write.sent_at + minus_drift(duration),
            electors: write.record.electors.clone(),
            lease_generation,
            promised_until: BTreeMap::new(),
        });
    }
}
