//! Which backend servers ended together.

use super::crash::{ServerHash, Suspect};
use crate::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Time within which servers end together: power and links take those of a zone within a tenth of a
/// second, and each end is found out by one more connection, a round trip of 0.11 s later at most.  What
/// others tell seems later by each way it took; with twice the time, unrelated ends 0.6 s apart seemed
/// to be one loss, and 85 instances took 3.3 s to agree.
const TOGETHER: Duration = Duration::from_millis(250);

/// What an end counts that came together with the end of a server which did not have the request: a
/// sound one that is repeated at once loses a server in each of several losses within seconds, and one
/// that ends servers beside another such one has as many ends in a second.
const AMONG_OTHERS: f64 = 0.5;

/// The backend servers that ended, and when.
pub(super) struct Losses {
    at: HashMap<ServerHash, Time>,
}

impl Losses {
    /// Those that ended under any of these requests.
    pub(super) fn of<'a>(suspects: impl Iterator<Item = &'a Suspect>) -> Self {
        let mut at = HashMap::new();
        for end in suspects.flat_map(|suspect| &suspect.ends) {
            let first = at.entry(end.server).or_insert(end.at);
            *first = end.at.min(*first);
        }
        Self { at }
    }

    /// What the ends of a request weigh as evidence against it.
    pub(super) fn weight(&self, suspect: &Suspect) -> f64 {
        let weight_at = |at: Time| match self.others_ended(suspect, at, at) {
            true => AMONG_OTHERS,
            false => 1.0,
        };
        suspect.ends.iter().map(|end| weight_at(end.at)).sum()
    }

    /// Tells whether its servers all ended together, and others with them that did not have it.
    pub(super) fn is_one(&self, suspect: &Suspect) -> bool {
        let Some((first, last)) = suspect.span() else { return false };
        last.since(first) <= TOGETHER && self.others_ended(suspect, first, last)
    }

    /// Tells whether a server that did not have the request ended within [`TOGETHER`] of a time.
    fn others_ended(&self, suspect: &Suspect, first: Time, last: Time) -> bool {
        let is_near = |at: Time| first <= at + TOGETHER && at <= last + TOGETHER;
        self.at.iter().any(|(server, at)| is_near(*at) && !suspect.has(*server))
    }
}
