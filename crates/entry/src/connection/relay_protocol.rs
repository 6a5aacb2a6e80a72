//! Headers between two instances for a request that one relays for the other.

use http::{HeaderMap, HeaderName, HeaderValue};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use steering::placement::Incarnation;

/// Request header that names the destination backend server.
const RELAY_TO: HeaderName = HeaderName::from_static("runpin-relay-to");

/// Response header with the outcome of relaying, in each response of a relaying instance.
const RELAYED: HeaderName = HeaderName::from_static("runpin-relayed");

/// Response headers, one for each backend server that asked the relay for a backoff, with its identity,
/// its start and the remaining milliseconds.
const BACKOFF: HeaderName = HeaderName::from_static("runpin-backoff");

/// Separates the parts of [`RELAY_TO`] and [`BACKOFF`]. Backend servers whose identity contains it can't
/// be relayed to.
const SEPARATOR: char = ' ';

/// Last part of [`RELAY_TO`] from a sender that knows [`RelayOutcome::BackingOff`].
const KNOWS_BACKOFFS: &str = "backoffs";

/// The backend server that a request is to be relayed to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Destination {
    /// Its identity and start.
    pub(crate) server: Incarnation,
    /// Its address.
    pub(crate) address: SocketAddr,
    /// Whether the sender knows [`RelayOutcome::BackingOff`].
    pub(crate) knows_backoffs: bool,
}

impl Destination {
    /// Removes the destination from the headers of a request; `None` if there is no valid one.
    pub(crate) fn take_from(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(RELAY_TO)?;
        let mut parts = value.to_str().ok()?.split(SEPARATOR);
        let id: Arc<str> = parts.next()?.into();
        let started_ms = parts.next()?.parse().ok()?;
        let address = parts.next()?.parse().ok()?;
        let knows_backoffs = parts.next() == Some(KNOWS_BACKOFFS);
        Some(Self { server: Incarnation { id, started_ms }, address, knows_backoffs })
    }

    /// The destination as a header; `None` if it can't be encoded.
    pub(crate) fn to_header(&self) -> Option<(HeaderName, HeaderValue)> {
        let Self { server: Incarnation { id, started_ms }, address, knows_backoffs } = self;
        if id.contains(SEPARATOR) {
            return None;
        }
        let mut text = format!("{id}{SEPARATOR}{started_ms}{SEPARATOR}{address}");
        if *knows_backoffs {
            text.push(SEPARATOR);
            text.push_str(KNOWS_BACKOFFS);
        }
        Some((RELAY_TO, HeaderValue::try_from(text).ok()?))
    }
}

/// Outcome of relaying a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RelayOutcome {
    /// The response is that of the backend server.
    Forwarded,
    /// Nothing of the request was sent, for a reason that does not concern the backend server.
    NotSent,
    /// Nothing of the request was sent, as its time was over before the relay read it.
    Expired,
    /// Nothing of the request was sent, as connecting to the backend server failed.
    Unreachable,
    /// Nothing of the request was sent, as the backend server asked the relay for a backoff.
    BackingOff,
    /// The request was sent, and there is no usable response.
    Broken,
}

impl RelayOutcome {
    /// Name in headers, metrics and logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Forwarded => "passed-on",
            Self::NotSent => "not-sent",
            Self::Expired => "expired",
            Self::Unreachable => "unreachable",
            Self::BackingOff => "backing-off",
            Self::Broken => "broken",
        }
    }

    /// Sets the outcome in the headers of a response, replacing any other.
    pub(crate) fn write_to(self, headers: &mut HeaderMap) {
        headers.insert(RELAYED, HeaderValue::from_static(self.as_str()));
    }

    /// Removes the outcome from the headers of a response.
    ///
    /// A response without a valid outcome did not come from a relay, so the request may have run.
    pub(crate) fn take_from(headers: &mut HeaderMap) -> Self {
        let value = headers.remove(RELAYED);
        let all =
            [Self::Forwarded, Self::NotSent, Self::Expired, Self::Unreachable, Self::BackingOff];
        let outcome = all
            .into_iter()
            .find(|outcome| value.as_ref().is_some_and(|value| value == outcome.as_str()));
        outcome.unwrap_or(Self::Broken)
    }
}

/// The remaining backoff of a backend server.
pub(crate) type RemainingBackoff = (Incarnation, Duration);

/// Most bytes of backoffs in the head of a response, a quarter of the longest head that is read.
const MAX_BACKOFF_BYTES: usize = 8 * 1024;

/// Adds the backoffs that a relay knows to the headers of a response; those that can't be encoded, and those
/// after [`MAX_BACKOFF_BYTES`], are left out.
pub(crate) fn write_backoffs(headers: &mut HeaderMap, backoffs: &[RemainingBackoff]) {
    let mut bytes = 0;
    for (Incarnation { id, started_ms }, left) in backoffs {
        let text = format!("{id}{SEPARATOR}{started_ms}{SEPARATOR}{}", left.as_millis());
        bytes += BACKOFF.as_str().len() + text.len();
        if bytes > MAX_BACKOFF_BYTES {
            return;
        }
        if let Ok(value) = HeaderValue::try_from(text) {
            headers.append(BACKOFF, value);
        }
    }
}

/// Decodes the backoffs in the headers of a relay's response, without those that are invalid.
pub(crate) fn read_backoffs(headers: &HeaderMap) -> Vec<RemainingBackoff> {
    let backoff = |value: &HeaderValue| {
        let mut parts = value.to_str().ok()?.split(SEPARATOR);
        let id: Arc<str> = parts.next()?.into();
        let started_ms = parts.next()?.parse().ok()?;
        let left = Duration::from_millis(parts.next()?.parse().ok()?);
        Some((Incarnation { id, started_ms }, left))
    };
    headers.get_all(BACKOFF).iter().filter_map(backoff).collect()
}
