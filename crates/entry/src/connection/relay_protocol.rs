//! Headers between two instances for a request that one relays for the other.

use http::{HeaderMap, HeaderName, HeaderValue};
use std::net::SocketAddr;
use std::sync::Arc;
use steering::placement::Incarnation;

/// Request header that names the destination backend server.
const RELAY_TO: HeaderName = HeaderName::from_static("runpin-relay-to");

/// Response header with the outcome of relaying, in each response of a relaying instance.
const RELAYED: HeaderName = HeaderName::from_static("runpin-relayed");

/// Separates the parts of [`RELAY_TO`]. Backend servers whose identity contains it can't be relayed to.
const SEPARATOR: char = ' ';

/// The backend server that a request is to be relayed to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Destination {
    /// Its identity and start.
    pub(crate) server: Incarnation,
    /// Its address.
    pub(crate) address: SocketAddr,
}

impl Destination {
    /// Removes the destination from the headers of a request; `None` if there is no valid one.
    pub(crate) fn take_from(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(RELAY_TO)?;
        let mut parts = value.to_str().ok()?.split(SEPARATOR);
        let id: Arc<str> = parts.next()?.into();
        let started_ms = parts.next()?.parse().ok()?;
        let address = parts.next()?.parse().ok()?;
        Some(Self { server: Incarnation { id, started_ms }, address })
    }

    /// The destination as a header; `None` if it can't be encoded.
    pub(crate) fn to_header(&self) -> Option<(HeaderName, HeaderValue)> {
        let Self { server: Incarnation { id, started_ms }, address } = self;
        if id.contains(SEPARATOR) {
            return None;
        }
        let text = format!("{id}{SEPARATOR}{started_ms}{SEPARATOR}{address}");
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
        let all = [Self::Forwarded, Self::NotSent, Self::Expired, Self::Unreachable];
        let outcome = all
            .into_iter()
            .find(|outcome| value.as_ref().is_some_and(|value| value == outcome.as_str()));
        outcome.unwrap_or(Self::Broken)
    }
}
