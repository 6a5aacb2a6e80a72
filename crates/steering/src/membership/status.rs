//! The membership as operators see it.

use super::{MemberState, Membership};
use crate::Time;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The membership as one instance sees it.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipStatus {
    /// Number of instances in each state, our own included.
    pub by_state: BTreeMap<MemberState, usize>,
    /// Availability zones that can't be reached from here.
    pub unreachable_zones: Vec<Arc<str>>,
    /// Whether this instance exchanges with other availability zones.
    pub is_representative: bool,
    /// Every instance, in the order of the names.
    pub members: Vec<MemberStatus>,
}

/// One instance.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Name that the platform gave it.
    pub name: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Its state.
    pub state: MemberState,
    /// Its incarnation, once it is known.
    pub incarnation: Option<String>,
    /// Time since it described itself last, as far as known, in milliseconds.
    pub age_ms: Option<u64>,
}

impl<P> Membership<P> {
    /// Returns the membership as operators see it.
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
                incarnation: description.map(|known| known.incarnation.to_string()),
                age_ms: description
                    .map(|_| u64::try_from(member.age.as_millis()).unwrap_or(u64::MAX)),
            }
        });
        MembershipStatus {
            by_state,
            unreachable_zones: zones
                .into_iter()
                .filter(|zone| self.zones.is_lost(now, zone))
                .collect(),
            is_representative: self.is_representative(now),
            members: members.collect(),
        }
    }
}
