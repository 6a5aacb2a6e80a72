//! Updates still to be gossiped, each a limited number of times.

use super::DescriptionVersion;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of times that an update is sent, per doubling of the number of receivers.
const SENDS_PER_DOUBLING: u32 = 3;

/// An update and how often it has been sent.
#[derive(Clone, Copy, Debug, Default)]
struct Rumor {
    urgent: bool,
    sent_within_zone: u32,
    sent_across_zones: u32,
    version: DescriptionVersion,
}

/// Pending updates about instances, by instance name.
#[derive(Clone, Debug, Default)]
pub(super) struct Rumors {
    rumors: BTreeMap<Arc<str>, Rumor>,
}

/// Whether a message stays within the own availability zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum GossipScope {
    /// To an instance of the own availability zone.
    WithinZone,
    /// To an instance of another availability zone.
    CrossZone,
}

impl Rumors {
    /// Adds an update, replacing an older one about the same instance.
    pub(super) fn add(&mut self, name: Arc<str>, version: DescriptionVersion, urgent: bool) {
        let rumor = self.rumors.entry(name).or_default();
        if rumor.urgent && !urgent {
            // The newer description contains the urgent change too, so its send counts stay.
            rumor.version = version;
        } else {
            *rumor = Rumor { urgent, version, ..Rumor::default() };
        }
    }

    /// Returns the names with updates still to be sent in `scope`, the least often sent first.
    pub(super) fn pending(
        &self,
        scope: GossipScope,
        receivers: usize,
        urgent: bool,
    ) -> Vec<Arc<str>> {
        let limit = send_limit(receivers);
        let mut pending: Vec<_> = self
            .rumors
            .iter()
            .filter(|(_, rumor)| rumor.urgent == urgent && rumor.send_count(scope) < limit)
            .map(|(name, rumor)| (rumor.send_count(scope), name))
            .collect();
        pending.sort();
        pending.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Returns the description version of the update about an instance.
    pub(super) fn version(&self, name: &str) -> Option<DescriptionVersion> {
        self.rumors.get(name).map(|rumor| rumor.version)
    }

    /// Records that the update about an instance was sent.
    pub(super) fn record_send(&mut self, name: &str, scope: GossipScope) {
        if let Some(rumor) = self.rumors.get_mut(name) {
            match scope {
                GossipScope::WithinZone => rumor.sent_within_zone += 1,
                GossipScope::CrossZone => rumor.sent_across_zones += 1,
            }
        }
    }

    /// Drops updates that were sent often enough: within the own availability zone and, for urgent
    /// ones, also across availability zones.
    ///
    /// `within_zone` and `across_zones` are the numbers of receivers; `across_zones` is `None` if
    /// this instance isn't a representative of its availability zone.
    pub(super) fn expire(&mut self, within_zone: usize, across_zones: Option<usize>) {
        let within_zone = send_limit(within_zone);
        let across_zones = across_zones.map_or(0, send_limit);
        self.rumors.retain(|_, rumor| {
            let is_pending_across_zones = rumor.urgent && rumor.sent_across_zones < across_zones;
            rumor.sent_within_zone < within_zone || is_pending_across_zones
        });
    }

    /// Drops the update about an instance.
    pub(super) fn remove(&mut self, name: &str) {
        self.rumors.remove(name);
    }
}

impl Rumor {
    fn send_count(&self, scope: GossipScope) -> u32 {
        match scope {
            GossipScope::WithinZone => self.sent_within_zone,
            GossipScope::CrossZone => self.sent_across_zones,
        }
    }
}

/// Returns how often an update must be sent so that it reaches nearly all `receivers`.
fn send_limit(receivers: usize) -> u32 {
    if receivers == 0 { 0 } else { SENDS_PER_DOUBLING * (receivers.ilog2() + 1) }
}
