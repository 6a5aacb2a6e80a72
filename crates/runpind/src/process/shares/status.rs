//! Status of shares for operators.

use super::ShareState;
use serde::Serialize;
use std::sync::Arc;
use steering::Time;
use steering::shares::ShareStatus;

/// Status of the shares of one instance, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SharesStatus {
    /// Number of this instance's slot; `None` if it has none.
    pub slot: Option<u32>,
    /// Time since the last response of the platform or the session holder, in milliseconds.
    pub contact_age_ms: Option<u64>,
    /// Session of the availability zone.
    pub session: SessionStatus,
    /// One entry per capped link and site.
    pub shares: Vec<ShareStatus>,
}

/// Status of the availability zone's session.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SessionStatus {
    /// Highest known epoch.
    pub epoch: u64,
    /// Name of the last known holder.
    pub holder: Option<Arc<str>>,
    /// Whether this instance holds the session.
    pub held: bool,
    /// Remaining time for which this instance holds the session, in milliseconds.
    pub remaining_ms: u64,
    /// Number of instances with grants from this one.
    pub grantees: usize,
}

impl ShareState {
    /// Returns the status of the shares and the session at `now`.
    pub fn status(&self, now: Time) -> SharesStatus {
        let session = {
            let coordination = self.coordination.lock();
            let session = &coordination.session;
            let held = session.held_epoch(now).is_some();
            let grantees =
                coordination.allocator.as_ref().map_or(0, |allocator| allocator.grantee_count(now));
            SessionStatus {
                epoch: session.known_epoch(),
                holder: session.holder_name().cloned(),
                held,
                remaining_ms: session.remaining(now).as_millis() as u64,
                grantees: if held { grantees } else { 0 },
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

    /// Updates the gauges.
    pub(super) fn set_gauges(&self, now: Time) {
        let status = self.status(now);
        self.metrics.set(&status);
    }

    pub(super) fn count_grant(&self, accepted: bool) {
        let result = if accepted { "accepted" } else { "refused" };
        self.metrics.grants.with_label_values(&[result]).inc();
    }
}
