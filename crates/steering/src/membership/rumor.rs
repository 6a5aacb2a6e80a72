//! News that are still to be passed on, each a limited number of times.

use super::DescriptionVersion;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Times that news are passed on, for each doubling of the number of receivers.
const SENDS_PER_DOUBLING: u32 = 3;

/// How often news are still to be passed on.
#[derive(Clone, Copy, Debug, Default)]
struct Rumor {
    urgent: bool,
    sent_inside: u32,
    sent_between: u32,
    version: DescriptionVersion,
}

/// News about instances, by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Rumors {
    rumors: BTreeMap<Arc<str>, Rumor>,
}

/// Which way news go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Way {
    /// To an instance of our own availability zone.
    Inside,
    /// To an instance of another availability zone.
    Between,
}

impl Rumors {
    /// Adds news, in place of older ones of the same name.
    pub(super) fn add(&mut self, name: Arc<str>, version: DescriptionVersion, urgent: bool) {
        let rumor = self.rumors.entry(name).or_default();
        if rumor.urgent && !urgent {
            // The urgent news are in the later description too, and are passed on as before.
            rumor.version = version;
        } else {
            *rumor = Rumor { urgent, version, ..Rumor::default() };
        }
    }

    /// Returns the names with news for `way`, the least passed on first.
    pub(super) fn pending(&self, way: Way, receivers: usize, urgent: bool) -> Vec<Arc<str>> {
        let limit = send_limit(receivers);
        let mut pending: Vec<_> = self
            .rumors
            .iter()
            .filter(|(_, rumor)| rumor.urgent == urgent && rumor.sent(way) < limit)
            .map(|(name, rumor)| (rumor.sent(way), name))
            .collect();
        pending.sort();
        pending.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Returns the version that the news of a name are about.
    pub(super) fn version(&self, name: &str) -> Option<DescriptionVersion> {
        self.rumors.get(name).map(|rumor| rumor.version)
    }

    /// Takes note that news were passed on.
    pub(super) fn sent(&mut self, name: &str, way: Way) {
        if let Some(rumor) = self.rumors.get_mut(name) {
            match way {
                Way::Inside => rumor.sent_inside += 1,
                Way::Between => rumor.sent_between += 1,
            }
        }
    }

    /// Drops news that were passed on often enough: inside the availability zone, and if they are
    /// urgent and this instance is a representative, between availability zones too.
    pub(super) fn expire(&mut self, inside: usize, between: Option<usize>) {
        let inside = send_limit(inside);
        let between = between.map_or(0, send_limit);
        self.rumors.retain(|_, rumor| {
            let is_pending_between = rumor.urgent && rumor.sent_between < between;
            rumor.sent_inside < inside || is_pending_between
        });
    }

    /// Drops the news of a name.
    pub(super) fn remove(&mut self, name: &str) {
        self.rumors.remove(name);
    }
}

impl Rumor {
    fn sent(&self, way: Way) -> u32 {
        match way {
            Way::Inside => self.sent_inside,
            Way::Between => self.sent_between,
        }
    }
}

/// Returns how often news are passed on so that nearly all of `receivers` get them.
fn send_limit(receivers: usize) -> u32 {
    if receivers == 0 { 0 } else { SENDS_PER_DOUBLING * (receivers.ilog2() + 1) }
}
