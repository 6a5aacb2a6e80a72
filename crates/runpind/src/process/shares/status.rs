//! The shares as operators see them.

use super::ShareState;
use serde::Serialize;
use std::sync::Arc;
use steering::Time;
use steering::shares::ShareStatus;

/// Everything that operators can see of the shares of one instance.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SharesStatus {
    /// Number of this instance's slot; `None` while it has none.
    pub slot: Option<u32>,
    /// How long ago the platform or the session holder last answered, in milliseconds.
    pub contact_age_ms: Option<u64>,
    /// The session of the availability zone.
    pub session: SessionStatus,
    /// One entry for each link and each site that is capped.
    pub shares: Vec<ShareStatus>,
}

/// The session of the availability zone.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SessionStatus {
    /// Highest epoch known.
    pub epoch: u64,
    /// Name of the holder, as last seen.
    pub holder: Option<Arc<str>>,
    /// Whether this instance holds it.
    pub held: bool,
    /// How long this instance still holds it, in milliseconds.
    pub remaining_ms: u64,
    /// Instances that hold grants of this one.
    pub grantees: usize,
}

impl ShareState {
    /// Returns the shares and the session as they are at `now`.
    pub fn status(&self, now: Time) -> SharesStatus {
        let session = {
            let coordination = self.coordination.lock();
            let session = &coordination.session;
            let held = session.held_epoch(now).is_some();
            let holders = coordination.allocator.as_ref().map_or(0, |all| all.grantee_count(now));
            SessionStatus {
                epoch: session.known_epoch(),
                holder: session.holder_name().cloned(),
                held,
                remaining_ms: session.remaining(now).as_millis() as u64,
                grantees: if held { holders } else { 0 },
            }
        };
        let mut shares = self.shares.lock();
        SharesStatus {
            slot: shares.slot().map(|slot| slot.number),
            contact_age_ms: shares.contact_age_ms(now),
            session,
            shares: shares.status(now),
        }
    }

    /// Brings the gauges up to date.
    pub(super) fn set_gauges(&self, now: Time) {
        let status = self.status(now);
        self.metrics.set(&status);
    }

    pub(super) fn count_grant(&self, accepted: bool) {
        let result = if accepted { "accepted" } else { "refused" };
        self.metrics.grants.with_label_values(&[result]).inc();
    }
}
