//! Leases of quota fractions that instances give to a broker.

use super::super::fleet::MemberId;
use super::super::message::LeaseRenewal;
use super::outbox::SEQUENCE_BITS;
use crate::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Validity of a lease after it was received: it expires after two lost renewals in a row.
const LEASE_DURATION: Duration = Duration::from_millis(1_000);

#[derive(Debug)]
struct Lease {
    brokers: Vec<MemberId>,
    /// The instance's fraction of every quota.
    fraction: f64,
    sequence: u64,
    until: Time,
}

/// Totals of all leases that were given to the same set of brokers, while any of them is valid.
#[derive(Clone, Debug)]
pub(super) struct LeaseGroup {
    /// Distinguishes it from earlier groups with the same brokers.
    pub(super) id: u64,
    /// The brokers of these leases.
    pub(super) brokers: Vec<MemberId>,
    /// Fraction of every quota that is leased now.
    pub(super) fraction: f64,
    /// Integral of the leased fraction over time, in seconds.
    pub(super) fraction_s: f64,
}

/// The leases that one broker holds, at most one from each instance.
#[derive(Debug, Default)]
pub(super) struct Leases {
    by_member: BTreeMap<MemberId, Lease>,
    groups: Vec<LeaseGroup>,
    next_id: u64,
    updated_at: Time,
}

impl Leases {
    /// Records a lease unless a later one from the instance is known. Returns whether the instance
    /// has just started and this is its first lease since then.
    pub(super) fn renew(
        &mut self,
        from: MemberId,
        sequence: u64,
        renewal: LeaseRenewal,
        now: Time,
    ) -> bool {
        let previous = self.by_member.get(&from);
        if previous.is_some_and(|lease| sequence <= lease.sequence) {
            return false;
        }
        let is_new_instance = renewal.is_new_instance
            && previous
                .is_none_or(|lease| lease.sequence >> SEQUENCE_BITS != sequence >> SEQUENCE_BITS);
        let fraction = renewal.fraction();
        let LeaseRenewal { brokers, .. } = renewal;
        self.by_member
            .insert(from, Lease { brokers, fraction, sequence, until: now + LEASE_DURATION });
        is_new_instance
    }

    /// Updates the totals to the given time and removes expired leases.
    pub(super) fn update(&mut self, now: Time) {
        let since = std::mem::replace(&mut self.updated_at, now);
        self.groups.iter_mut().for_each(|group| group.fraction = 0.0);
        for lease in self.by_member.values() {
            let position = self.groups.iter().position(|group| group.brokers == lease.brokers);
            let position = position.unwrap_or_else(|| {
                self.next_id += 1;
                let brokers = lease.brokers.clone();
                self.groups.push(LeaseGroup {
                    id: self.next_id,
                    brokers,
                    fraction: 0.0,
                    fraction_s: 0.0,
                });
                self.groups.len() - 1
            });
            let group = &mut self.groups[position];
            group.fraction_s += lease.fraction * lease.until.min(now).since(since).as_secs_f64();
            if lease.until > now {
                group.fraction += lease.fraction;
            }
        }
        self.by_member.retain(|_, lease| lease.until > now);
        self.groups.retain(|group| group.fraction > 0.0);
    }

    /// The totals as of the last update.
    pub(super) fn groups(&self) -> &[LeaseGroup] {
        &self.groups
    }

    /// Fraction of every quota that is leased to this broker now.
    pub(super) fn fraction(&self, now: Time) -> f64 {
        self.by_member.values().filter(|lease| lease.until > now).map(|lease| lease.fraction).sum()
    }
}
