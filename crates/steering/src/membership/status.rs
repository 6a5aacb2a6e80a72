//! Membership status for operators.

use super::{MemberState, Membership};
use crate::Time;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Membership as seen by one instance.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipStatus {
    /// Number of instances in each state, including the own one.
    pub by_state: BTreeMap<MemberState, usize>,
    /// Availability zones that can't be reached from this instance.
    pub unreachable_zones: Vec<Arc<str>>,
    /// Whether this instance gossips with other availability zones.
    pub is_representative: bool,
    /// All instances, sorted by name.
    pub members: Vec<MemberStatus>,
}

/// Status of one instance.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Name assigned by the platform.
    pub name: Arc<str>,
    /// Availability zone of the instance.
    pub availability_zone: Arc<str>,
    /// State of the instance.
    pub state: MemberState,
    /// Incarnation of the instance, if known.
    pub incarnation: Option<String>,
    /// Estimated age of its last description, in milliseconds; `None` without a description.
    pub age_ms: Option<u64>,
}

impl<P> Membership<P> {
    /// Returns the membership status at `now`.
    pub fn status(&self, now: Time) -> MembershipStatus {
        let view = self.view(now);
        let mut by_state = BTreeMap::new();
        for member in &view {
            *by_state.entry(member.state).or_insert(0) += 1;
        }
        let zones = self.other_zones();
        let members = view.into_iter().map(|member| {
            let description = member.description.as_ref();
            MemberStatus {
                name: member.name,
                availability_zone: member.availability_zone,
                state: member.state,
                incarnation: description.map(|description| description.incarnation.to_string()),
                age_ms: description
                    .map(|_| u64::try_from(member.age.as_millis()).unwrap_or(u64::MAX)),
            }
        });
        MembershipStatus {
            by_state,
            unreachable_zones: zones
                .into_iter()
                .filter(|zone| self.zones.is_partitioned(now, zone))
                .collect(),
            is_representative: self.is_representative(now),
            members: members.collect(),
        }
    }
}
