//! Which other availability zones have lost their session for good.

use super::timing::{GRANT_DURATION, SESSION_DURATION, SLOT_HOLD, plus_drift};
use crate::Time;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Sessions of other zones, as this instance saw them.
#[derive(Debug, Default)]
pub struct ZoneSessions {
    /// The version of each zone's session object, and when it was first seen.
    seen: BTreeMap<Arc<str>, (Option<u64>, Time)>,
}

impl ZoneSessions {
    /// Takes in that a zone's session object was read at `now`; `None` for no object.
    pub fn on_read(&mut self, zone: Arc<str>, version: Option<u64>, now: Time) {
        let seen = self.seen.entry(zone).or_insert((version, now));
        if seen.0 != version {
            *seen = (version, now);
        }
    }

    /// Tells whether a zone's session, the grants under it, and the exchanges that took slots under
    /// them are over.
    ///
    /// The holder of a session changes its object with every renewal.  Promises of its own zone do
    /// not count here: they only let it go on with links, which no other zone has a share of.
    pub fn has_expired(&self, zone: &str, now: Time) -> bool {
        let over = plus_drift(SESSION_DURATION + GRANT_DURATION + SLOT_HOLD);
        self.seen.get(zone).is_some_and(|(_, since)| now >= *since + over)
    }
}
