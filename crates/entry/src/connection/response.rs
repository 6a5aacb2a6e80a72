//! Responses whose status and framing have been checked, whoever sent them.
//!
//! hyper reads a body until the connection ends if it does not know the last transfer coding, and keeps what
//! the head says of its length. A head that was spoilt there would turn the framing into a part of the body.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};

/// The only transfer coding that hyper decodes.
const CHUNKED: &[u8] = b"chunked";

/// Why the bytes of a connection are no response that may be used.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// The status is not one of a final response (RFC 9110, section 15).
    #[error("status {0} is not that of a final response")]
    Status(StatusCode),
    /// The transfer coding is not `chunked` alone.
    #[error("the transfer coding is not `chunked` alone, but {0:?}")]
    Coding(HeaderValue),
    /// There is a length beside the transfer coding, so the two ends of the body may differ.
    #[error("length {0:?} beside a transfer coding")]
    LengthBesideCoding(HeaderValue),
    /// The length is not a number of bytes, or there are several that differ.
    #[error("length {0:?} is not one number of bytes")]
    Length(HeaderValue),
    /// More bytes follow the stated length, and they are no other response.
    #[error("the body goes on after its length")]
    BodyAfterLength,
    /// There is no length, and a field whose name is almost that of a length or a transfer coding.
    #[error("no length, and a field {0:?}")]
    MisspeltFraming(HeaderName),
    /// A body without a length consists of chunks.
    #[error("the body has chunks, and the head does not say so")]
    UndeclaredChunks,
    /// A body without a length begins with fields that belong to the head.
    #[error("the body begins with a part of the head")]
    HeadInBody,
}

/// What tells where the body of a response ends (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// A number of bytes.
    Length(u64),
    /// The last chunk.
    Chunked,
    /// The end of the connection, which a truncated body has as well.
    UntilClose,
}

impl TryFrom<&HeaderMap> for Framing {
    type Error = ResponseError;

    fn try_from(headers: &HeaderMap) -> Result<Self, ResponseError> {
        let is_chunked = is_chunked(headers)?;
        match headers.get(CONTENT_LENGTH) {
            Some(length) if is_chunked => Err(ResponseError::LengthBesideCoding(length.clone())),
            Some(first) => {
                let length = common_length(headers);
                length.map(Self::Length).ok_or_else(|| ResponseError::Length(first.clone()))
            }
            None if is_chunked => Ok(Self::Chunked),
            None => match headers.keys().find(|name| resembles_framing(name.as_str())) {
                Some(misspelt) => Err(ResponseError::MisspeltFraming(misspelt.clone())),
                None => Ok(Self::UntilClose),
            },
        }
    }
}

/// Returns whether a message has the transfer coding `chunked`.
///
/// # Errors
///
/// Fails if it has another one, alone or besides.
pub(crate) fn is_chunked(headers: &HeaderMap) -> Result<bool, ResponseError> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.as_bytes().trim_ascii().eq_ignore_ascii_case(CHUNKED) => {
            Ok(true)
        }
        (Some(coding), _) => Err(ResponseError::Coding(coding.clone())),
    }
}

/// The length that all values agree on; several equal ones count as one (RFC 9110, section 8.6).
fn common_length(headers: &HeaderMap) -> Option<u64> {
    let values = headers.get_all(CONTENT_LENGTH).iter();
    let mut lengths = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    let first = parse_length(lengths.next()?)?;
    lengths.all(|other| parse_length(other) == Some(first)).then_some(first)
}

fn parse_length(text: &[u8]) -> Option<u64> {
    let digits = text.trim_ascii();
    // `parse` alone would accept a sign.
    let is_number = digits.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(digits).ok().filter(|_| is_number)?.parse().ok()
}

/// Edits by which a name may differ from another one that it is taken for.
const MAX_EDITS: usize = 3;

/// Returns whether a name is that of a length or a transfer coding, or one of them with a few edits; one that has
/// further words is another field.
pub(crate) fn resembles_framing(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|framing| {
        let framing = framing.as_str();
        let before = name.strip_suffix(framing).is_some_and(|words| words.ends_with('-'));
        let after = name.strip_prefix(framing).is_some_and(|words| words.starts_with('-'));
        !before && !after && strsim::osa_distance(&name, framing) <= MAX_EDITS
    })
}

/// A response with the status of a final one and a framing that only means one thing.
#[derive(Debug)]
pub struct CheckedResponse<B> {
    /// Status and headers; a length is stated once.
    pub parts: Parts,
    /// What tells where the body ends, if there is one.
    pub framing: Framing,
    /// The body as hyper decodes it.
    pub body: B,
}

impl<B> TryFrom<Response<B>> for CheckedResponse<B> {
    type Error = ResponseError;

    fn try_from(response: Response<B>) -> Result<Self, ResponseError> {
        let (mut parts, body) = response.into_parts();
        // An upgrade was never asked for, so 101 is none either.
        if !(200..=599).contains(&parts.status.as_u16()) {
            return Err(ResponseError::Status(parts.status));
        }
        let framing = Framing::try_from(&parts.headers)?;
        if let Framing::Length(length) = framing {
            parts.headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        Ok(Self { parts, framing, body })
    }
}
