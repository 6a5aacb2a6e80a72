//! Bodies of requests and answers.

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use thiserror::Error;

/// A body that is passed on as it comes, or one that is made here.
pub type Body = BoxBody<Bytes, BodyError>;

/// Why a body ended before it was whole; the connection that carries it ends uncleanly.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection that it came from broke.
    #[error("the body was cut short: {0}")]
    Cut(#[from] hyper::Error),
    /// The request's timeout passed.
    #[error("the timeout passed before the body was whole")]
    Timeout,
}

/// Makes a body of known bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}
