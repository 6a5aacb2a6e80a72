//! How much tighter or looser than usual a term is.

use crate::terms::Propagation;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Usual times within which a configuration or the drain of a backend server is in force.
pub(super) const USUAL_PROPAGATION: RangeInclusive<Duration> =
    Duration::from_millis(2500)..=Duration::from_secs(5);

/// Usual times within which the evacuation of an availability zone or the revocation of a key is in
/// force.
pub(super) const USUAL_ORDER_PROPAGATION: RangeInclusive<Duration> =
    Duration::from_secs(5)..=Duration::from_secs(6);

/// Usual times after a disruption within which instances work as if there had been none.
pub(super) const USUAL_RECONNECTION: RangeInclusive<Duration> =
    Duration::from_secs(3)..=Duration::from_secs(5);

/// Ratio of a term to its usual range: below 1 if it is tighter, above 1 if it is looser.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct Ratio(f64);

impl Ratio {
    /// The ratio of a usual term, or of one that is not agreed.
    pub(super) const USUAL: Self = Self(1.0);

    /// The ratio of a term to its usual range.
    pub(super) fn new(term: Option<Duration>, usual: &RangeInclusive<Duration>) -> Self {
        let Some(term) = term else { return Self::USUAL };
        let (shortest, longest) = (usual.start().as_secs_f64(), usual.end().as_secs_f64());
        let term = term.as_secs_f64();
        Self(if term < shortest { term / shortest } else { (term / longest).max(1.0) })
    }

    /// The ratio of the tightest of the terms that bound the propagation of changes.
    pub(super) fn of_propagation(terms: &Propagation) -> Self {
        let changes = [terms.configuration, terms.server_drain];
        let orders = [terms.evacuation, terms.key_revocation];
        let changes = changes.into_iter().map(|term| Self::new(term, &USUAL_PROPAGATION));
        let orders = orders.into_iter().map(|term| Self::new(term, &USUAL_ORDER_PROPAGATION));
        changes.chain(orders).fold(Self::USUAL, Self::tighter)
    }

    /// The smaller of two ratios.
    pub(super) fn tighter(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }

    /// Shortens a timing if the term is tighter than usual, but not below `min`.
    pub(super) fn shorten(self, timing: Duration, min: Duration) -> Duration {
        timing.mul_f64(self.0.min(1.0)).max(min)
    }

    /// Scales a timing within `min..=max`.
    pub(super) fn scale(self, timing: Duration, min: Duration, max: Duration) -> Duration {
        timing.mul_f64(self.0.min(max.as_secs_f64() / timing.as_secs_f64())).max(min)
    }
}
