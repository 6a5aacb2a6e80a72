//! Bodies of requests and responses.

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use thiserror::Error;

/// A body that is streamed from another connection, or one that was built in memory.
pub type Body = BoxBody<Bytes, BodyError>;

/// The reason why a body ended early; the connection that carries it is then closed abruptly.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection that the body came from failed.
    #[error("the body was cut short: {0}")]
    Truncated(#[from] hyper::Error),
    /// The request's timeout passed.
    #[error("the timeout passed before the body was whole")]
    Timeout,
    /// The caller did not go on, and the slot of its request was needed.
    #[error("the body stands still")]
    Stalled,
}

/// Returns a body with the given bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}
