//! Terms that can't be kept together.

use super::timings::{MAX_SENDERS, MIN_RECONNECTION, Timings};
use super::{Propagation, Terms};
use std::time::Duration;

/// Shortest time in which a change can be in force at all instances: the response of the store, a
/// connection to another region, and an update over it.
const MIN_PROPAGATION: Duration = Duration::from_millis(500);

/// A term that can't be kept, or not together with another.
///
/// It is reported, and never a reason not to start: callers are better served by an instance that
/// misses a term than by none.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Conflict {
    /// A change can't be in force this soon.
    #[error("{field}: a change takes at least {min:?} to be in force, {value:?} is shorter")]
    Propagation {
        /// Name of the field in the settings.
        field: &'static str,
        /// The term.
        value: Duration,
        /// Shortest time that can be kept.
        min: Duration,
    },
    /// A lost instance can't be detected this soon, as heartbeats don't get more frequent.
    #[error(
        "reconnection_s: lost instances are detected as if it were {min:?}, {value:?} is shorter"
    )]
    Detection {
        /// The term.
        value: Duration,
        /// Shortest term that is followed.
        min: Duration,
    },
    /// One term is shorter than another that has to be met first.
    #[error("{shorter}: {value:?} is shorter than {longer}, {other:?}")]
    Order {
        /// Field of the term that is too short.
        shorter: &'static str,
        /// Its value.
        value: Duration,
        /// Field of the term that it can't be shorter than.
        longer: &'static str,
        /// Its value.
        other: Duration,
    },
    /// The senders to a cold backend server may each send one request at once.
    #[error("cold_slack: {max} instances may send one request each at once, {value} is less")]
    ColdSlack {
        /// The term, in requests.
        value: f64,
        /// Number of senders while instances disagree on the membership.
        max: f64,
    },
    /// A watch may end after the changes that it has to report were removed.
    #[error("store.history_s: a watch waits up to {wait:?}, longer than the history of {value:?}")]
    History {
        /// The term.
        value: Duration,
        /// Longest wait of a watch whose subject has a term.
        wait: Duration,
    },
}

impl Conflict {
    /// Finds all conflicts between terms.
    pub fn find(terms: &Terms) -> Vec<Self> {
        let timings = Timings::from(terms);
        let mut conflicts: Vec<Self> = propagation(&terms.propagation).collect();
        conflicts.extend(detection(terms));
        conflicts.extend(order(terms));
        conflicts.extend(cold_slack(terms));
        conflicts.extend(history(terms, &timings));
        conflicts
    }
}

fn propagation(terms: &Propagation) -> impl Iterator<Item = Conflict> {
    let bounds = [
        ("configuration_s", terms.configuration),
        ("server_drain_s", terms.server_drain),
        ("evacuation_s", terms.evacuation),
        ("key_revocation_s", terms.key_revocation),
    ];
    bounds.into_iter().filter_map(|(field, bound)| {
        let value = bound.filter(|bound| *bound < MIN_PROPAGATION)?;
        Some(Conflict::Propagation { field, value, min: MIN_PROPAGATION })
    })
}

fn detection(terms: &Terms) -> Option<Conflict> {
    let value = terms.reconnection.filter(|term| *term < MIN_RECONNECTION)?;
    Some(Conflict::Detection { value, min: MIN_RECONNECTION })
}

fn order(terms: &Terms) -> Option<Conflict> {
    let (value, other) = (terms.recovery?, terms.reconnection?);
    (value < other).then_some(Conflict::Order {
        shorter: "recovery_s",
        value,
        longer: "reconnection_s",
        other,
    })
}

fn cold_slack(terms: &Terms) -> Option<Conflict> {
    let value = terms.cold_start.slack.filter(|slack| *slack < MAX_SENDERS)?;
    Some(Conflict::ColdSlack { value, max: MAX_SENDERS })
}

fn history(terms: &Terms, timings: &Timings) -> Option<Conflict> {
    let watches = timings.watches;
    let wait = watches.configuration.max.max(watches.servers.max).max(watches.evacuations.max);
    let value = terms.store.history.filter(|history| *history < wait)?;
    Some(Conflict::History { value, wait })
}
