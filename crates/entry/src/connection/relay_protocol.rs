//! What two instances say to each other about a request that one passes on for the other.

use http::{HeaderMap, HeaderName, HeaderValue};
use std::net::SocketAddr;
use std::sync::Arc;
use steering::placement::Incarnation;

/// Header that names the backend server which a request is meant for.
const RELAY_TO: HeaderName = HeaderName::from_static("runpin-relay-to");

/// Header of each answer of an instance that was to pass a request on.
const RELAYED: HeaderName = HeaderName::from_static("runpin-relayed");

/// Separates the parts of [`RELAY_TO`]; no identity of a backend server that is relayed to holds it.
const SEPARATOR: char = ' ';

/// The backend server that a request is meant for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Destination {
    /// The start of it that is meant.
    pub(crate) server: Incarnation,
    /// Its address.
    pub(crate) address: SocketAddr,
}

impl Destination {
    /// Takes the destination out of the head of a request; none if it is for this instance itself.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(RELAY_TO)?;
        let mut parts = value.to_str().ok()?.split(SEPARATOR);
        let id: Arc<str> = parts.next()?.into();
        let born_ms = parts.next()?.parse().ok()?;
        let address = parts.next()?.parse().ok()?;
        Some(Self { server: Incarnation { id, born_ms }, address })
    }

    /// The destination as a header; none if no header can hold it.
    pub(crate) fn header(&self) -> Option<(HeaderName, HeaderValue)> {
        let Self { server: Incarnation { id, born_ms }, address } = self;
        if id.contains(SEPARATOR) {
            return None;
        }
        let text = format!("{id}{SEPARATOR}{born_ms}{SEPARATOR}{address}");
        Some((RELAY_TO, HeaderValue::try_from(text).ok()?))
    }
}

/// What became of a request that was to be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Relayed {
    /// The answer is that of the backend server.
    PassedOn,
    /// Nothing of it was sent, and this says nothing of the backend server.
    NotSent,
    /// Nothing of it was sent, as no connection to the backend server came up.
    Unreachable,
    /// It was sent, and no answer came that can be used.
    Broken,
}

impl Relayed {
    /// Its name in headers, metrics and logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::PassedOn => "passed-on",
            Self::NotSent => "not-sent",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
        }
    }

    /// Writes it into the head of an answer, in place of what stands there.
    pub(crate) fn write(self, headers: &mut HeaderMap) {
        headers.insert(RELAYED, HeaderValue::from_static(self.as_str()));
    }

    /// Takes it out of the head of an answer.  An answer that does not say it is none of an instance's
    /// own, so nothing is known of the request.
    pub(crate) fn take(headers: &mut HeaderMap) -> Self {
        let value = headers.remove(RELAYED);
        let all = [Self::PassedOn, Self::NotSent, Self::Unreachable];
        let told = all.into_iter().find(|it| value.as_ref().is_some_and(|v| v == it.as_str()));
        told.unwrap_or(Self::Broken)
    }
}
