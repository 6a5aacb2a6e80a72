//! Detects expired sessions of other availability zones.

use super::timing::{GRANT_DURATION, SESSION_DURATION, SLOT_HOLD, plus_drift};
use crate::Time;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Sessions of other availability zones, as this instance has observed them.
#[derive(Debug, Default)]
pub struct ZoneSessions {
    /// Version of each zone's session object, `None` for no object, and when it was first seen.
    observed: BTreeMap<Arc<str>, (Option<u64>, Time)>,
}

impl ZoneSessions {
    /// Records that a zone's session object was read at `now`; the version is `None` for no object.
    pub fn on_read(&mut self, zone: Arc<str>, version: Option<u64>, now: Time) {
        let observed = self.observed.entry(zone).or_insert((version, now));
        if observed.0 != version {
            *observed = (version, now);
        }
    }

    /// Returns whether a zone's session has expired, with its grants and the exchanges that took
    /// slots under them.
    ///
    /// The holder of a session changes its object with every renewal.  Promises that extend a
    /// session within its zone do not matter here: they only keep link shares in use, and no other
    /// zone has a share of those links.
    pub fn has_expired(&self, zone: &str, now: Time) -> bool {
        let expiry = plus_drift(SESSION_DURATION + GRANT_DURATION + SLOT_HOLD);
        self.observed.get(zone).is_some_and(|(_, since)| now >= *since + expiry)
    }
}
