//! Gossip between instances about requests during which backend servers crashed.

use super::crash::{Crash, ServerHash, Suspect};
use super::fingerprint::Fingerprint;
use super::table::{Changes, MAX_CRASHES, QUARANTINE_THRESHOLD, Suspects};
use crate::Time;
use crate::gossip::{self, Age, FRESH_FOR};
use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The record of one request in a message.
#[derive(Debug, Deserialize, Serialize)]
struct SuspectReport {
    request: Fingerprint,
    crashes: Vec<(ServerHash, Age)>,
    last_seen: Age,
    last_success: Option<Age>,
}

impl SuspectReport {
    fn new(request: Fingerprint, suspect: &Suspect, now: Time) -> Self {
        let age = |at: Time| Age::from(now.since(at));
        Self {
            request,
            crashes: suspect
                .crashes
                .iter()
                .map(|crash| (crash.server, age(crash.detected_at)))
                .collect(),
            last_seen: age(suspect.last_seen_at),
            last_success: suspect.last_success_at.map(age),
        }
    }
}

impl Suspects {
    /// Returns whether a record changed recently, so that other instances may not have the change.
    pub fn has_recent_changes(&self, now: Time) -> bool {
        self.by_request.values().any(|suspect| is_fresh(suspect, now))
    }

    /// Encodes a message for another instance; none if there is nothing to report.
    ///
    /// Recent changes come first, and of these the requests with more crashes up to the threshold,
    /// as the crashes at several instances together may reach it; equal ones are in random order.
    pub fn encode_message(&self, random: &mut impl Rng, now: Time) -> Option<Vec<u8>> {
        let mut suspects: Vec<(&Fingerprint, &Suspect)> = self.by_request.iter().collect();
        suspects.retain(|(_, suspect)| {
            is_fresh(suspect, now) || suspect.crashes.len() >= QUARANTINE_THRESHOLD
        });
        suspects.shuffle(random);
        suspects.sort_by_key(|(_, suspect)| {
            (!is_fresh(suspect, now), usize::MAX - suspect.crashes.len().min(QUARANTINE_THRESHOLD))
        });
        gossip::encode_items(
            suspects
                .into_iter()
                .map(|(request, suspect)| SuspectReport::new(*request, suspect, now)),
        )
    }

    /// Merges a message of another instance; none if it can't be decoded.
    pub fn merge_message(&mut self, message: &[u8], now: Time) -> Option<Changes> {
        let reports: Vec<SuspectReport> = gossip::decode_items(message)?;
        let mut is_urgent = false;
        for report in reports {
            is_urgent |= self.merge_report(report, now);
        }
        let mut changes = self.update_quarantine();
        // Requests that are quarantined already are forwarded with the heartbeats.
        changes.is_urgent =
            is_urgent || !changes.quarantined.is_empty() || !changes.released.is_empty();
        Some(changes)
    }

    /// Merges the report of one request; returns whether one more crash elsewhere may quarantine
    /// it.
    fn merge_report(&mut self, report: SuspectReport, now: Time) -> bool {
        let at = |age: Age| now - Duration::from(age);
        let suspect = self.entry(report.request, now);
        suspect.last_seen_at = suspect.last_seen_at.max(now - report.last_seen.upper_bound());
        if let Some(last_success) = report.last_success {
            // A success that seemed later with each hop would remove crashes that came after it.
            suspect.record_success(now - last_success.upper_bound(), now);
        }
        let before = suspect.crashes.len();
        for (server, age) in report.crashes {
            suspect.add_crash(Crash { server, detected_at: at(age) }, MAX_CRASHES, now);
        }
        let after = suspect.crashes.len();
        before < after && before < QUARANTINE_THRESHOLD && after + 1 >= QUARANTINE_THRESHOLD
    }
}

fn is_fresh(suspect: &Suspect, now: Time) -> bool {
    now.since(suspect.changed_at) < FRESH_FOR
}
