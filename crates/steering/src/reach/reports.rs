//! Reports of instances that reach no backend servers, which instances pass on to each other.
//!
//! Nothing is sent while all instances reach the servers.  An instance that does not says so with
//! each heartbeat, and says once that it does again.

use crate::gossip::{self, FRESH_FOR};
use crate::placement::peer_update::StartId;
use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Services that are reported one by one; with more, all count.
const MAX_SERVICES: usize = 16;

/// Backend servers that an instance does not reach.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Unreached {
    /// It reaches all services.
    #[default]
    None,
    /// Those of services, by the lower half of the hashes of their names.
    Services(Vec<u32>),
    /// All.
    All,
}

impl Unreached {
    /// Those of some services.
    pub fn of_services(services: Vec<u32>) -> Self {
        match services.len() {
            0 => Self::None,
            1..=MAX_SERVICES => Self::Services(services),
            _ => Self::All,
        }
    }

    /// Returns whether those of a service are among them; `None` asks for all.
    fn includes(&self, service: Option<u32>) -> bool {
        match self {
            Self::None => false,
            Self::Services(services) => service.is_some_and(|service| services.contains(&service)),
            Self::All => true,
        }
    }
}

#[derive(Debug, Deserialize, Serialize)]
struct Report {
    instance: StartId,
    /// Orders the reports of one instance.
    number: u32,
    unreached: Unreached,
}

#[derive(Debug)]
struct Known {
    number: u32,
    unreached: Unreached,
    received_at: Instant,
    changed_at: Instant,
}

/// The latest reports, this instance's own included.
#[derive(Debug)]
pub struct ReachReports {
    by_instance: HashMap<StartId, Known>,
    /// Time for which a report counts that is not repeated.
    ttl: Duration,
}

impl ReachReports {
    /// No reports; one that is not repeated counts for `ttl`.
    pub fn new(ttl: Duration) -> Self {
        Self { by_instance: HashMap::new(), ttl }
    }

    /// Sets what this instance does not reach; returns whether that is news.
    pub fn set_own(&mut self, own: StartId, unreached: Unreached, now: Instant) -> bool {
        let known = self.by_instance.get(&own);
        let before = known.map_or(&Unreached::None, |known| &known.unreached);
        let is_news = *before != unreached;
        if is_news {
            let number = known.map_or(1, |known| known.number.wrapping_add(1));
            let known = Known { number, unreached, received_at: now, changed_at: now };
            self.by_instance.insert(own, known);
        }
        is_news
    }

    /// Repeats this instance's own report, and forgets old ones.
    pub fn refresh(&mut self, own: StartId, now: Instant) {
        if let Some(known) = self.by_instance.get_mut(&own)
            && known.unreached != Unreached::None
        {
            known.number = known.number.wrapping_add(1);
            known.received_at = now;
        }
        let ttl = self.ttl;
        self.by_instance.retain(|_, known| match known.unreached {
            Unreached::None => now.duration_since(known.changed_at) < FRESH_FOR,
            _ => now.duration_since(known.received_at) < ttl,
        });
    }

    /// Returns whether there are changes that others may not have yet; `None` without reports.
    pub fn has_recent_changes(&self, now: Instant) -> Option<bool> {
        let is_recent = |known: &Known| now.duration_since(known.changed_at) < FRESH_FOR;
        (!self.by_instance.is_empty()).then(|| self.by_instance.values().any(is_recent))
    }

    /// Encodes reports for another instance; `None` without reports.
    ///
    /// They are in random order, so that each message has others if not all fit.
    pub fn encode(&self, random: &mut impl Rng) -> Option<Vec<u8>> {
        let mut reports: Vec<Report> = self
            .by_instance
            .iter()
            .map(|(instance, known)| Report {
                instance: *instance,
                number: known.number,
                unreached: known.unreached.clone(),
            })
            .collect();
        reports.shuffle(random);
        gossip::encode_items(reports.into_iter())
    }

    /// Merges a message of another instance, and returns how many instances' reach changed; `None` if
    /// it can't be decoded.  What it says of `own` is ignored.
    pub fn merge(&mut self, own: StartId, message: &[u8], now: Instant) -> Option<usize> {
        let reports: Vec<Report> = gossip::decode_items(message)?;
        let mut changes = 0;
        for Report { instance, number, unreached } in reports {
            let known = self.by_instance.get(&instance);
            // Numbers start anew with each start of an instance, whose identity differs.
            if instance == own || known.is_some_and(|known| known.number >= number) {
                continue;
            }
            let before = known.map_or(&Unreached::None, |known| &known.unreached);
            let is_change = *before != unreached;
            let changed_at = match known {
                Some(known) if !is_change => known.changed_at,
                _ => now,
            };
            changes += usize::from(is_change);
            let known = Known { number, unreached, received_at: now, changed_at };
            self.by_instance.insert(instance, known);
        }
        Some(changes)
    }

    /// Returns whether an instance reaches none of a service's backend servers; `None` asks for all
    /// backend servers.
    pub fn is_cut_off(&self, instance: StartId, service: Option<u32>, now: Instant) -> bool {
        self.by_instance.get(&instance).is_some_and(|known| {
            known.unreached.includes(service) && now.duration_since(known.received_at) < self.ttl
        })
    }

    /// Number of instances that reach no backend server.
    pub fn cut_off_count(&self, now: Instant) -> usize {
        let instances = self.by_instance.keys();
        instances.filter(|instance| self.is_cut_off(**instance, None, now)).count()
    }
}
