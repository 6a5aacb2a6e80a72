//! Idempotency keys and their home incarnations.

use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Hexadecimal digits of an incarnation.
const INCARNATION_DIGITS: usize = 16;

/// Shortest idempotency key, in bytes: home, one digit for the time of issue and one character,
/// with two hyphens.
const MIN_KEY_BYTES: usize = INCARNATION_DIGITS + 4;

/// Base of the numbers in a key.
const HEXADECIMAL: u32 = 16;

/// Identifier of one run of an instance: random, drawn when the process starts, never reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        match parse_hexadecimal(text) {
            Some(number) if text.len() == INCARNATION_DIGITS => Ok(Incarnation(number)),
            _ => Err(KeyError::Prefix),
        }
    }
}

/// An idempotency key: `HOME-ISSUED-REST`.
///
/// `HOME` is the only incarnation that may run the request, `ISSUED` the time at which a look-up
/// returned the prefix `HOME-ISSUED-`, in hexadecimal milliseconds since the Unix epoch, and `REST`
/// is chosen by the caller.
#[derive(Clone, Debug, Eq)]
pub struct IdempotencyKey {
    text: Arc<str>,
    home: Incarnation,
    issued_ms: u64,
}

/// Why a text is not an idempotency key.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum KeyError {
    /// It is too short or too long.
    #[error("an idempotency key has {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes")]
    Length,
    /// It does not start with a prefix as a look-up returns it.
    #[error("an idempotency key starts with the prefix that the look-up gave")]
    Prefix,
    /// It contains a byte that is not a visible ASCII character.
    #[error("an idempotency key holds visible ASCII characters only")]
    Character,
}

impl IdempotencyKey {
    /// Returns the only incarnation that may run the request.
    pub fn home(&self) -> Incarnation {
        self.home
    }

    /// Returns the key as the caller wrote it.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns when the prefix was issued, in milliseconds since the Unix epoch, by the clock of
    /// the instance that answered the look-up.
    pub fn issued_ms(&self) -> u64 {
        self.issued_ms
    }

    /// Returns the prefix of keys whose home is `home`, issued at `issued_ms`.
    pub fn prefix(home: Incarnation, issued_ms: u64) -> String {
        format!("{home}-{issued_ms:x}-")
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        if text.len() < MIN_KEY_BYTES || text.len() > MAX_KEY_BYTES {
            return Err(KeyError::Length);
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(KeyError::Character);
        }
        let mut fields = text.splitn(3, '-');
        let home = fields.next().ok_or(KeyError::Prefix)?.parse()?;
        let issued_ms = fields.next().and_then(parse_hexadecimal).ok_or(KeyError::Prefix)?;
        fields.next().filter(|rest| !rest.is_empty()).ok_or(KeyError::Prefix)?;
        Ok(Self { text: text.into(), home, issued_ms })
    }
}

// Only the text is compared: the other fields are parsed from it.
impl PartialEq for IdempotencyKey {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl PartialOrd for IdempotencyKey {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for IdempotencyKey {
    fn cmp(&self, other: &Self) -> Ordering {
        self.text.cmp(&other.text)
    }
}

impl Hash for IdempotencyKey {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.text.hash(state);
    }
}

/// Parses lower-case hexadecimal digits, without the sign that the standard library accepts.
fn parse_hexadecimal(digits: &str) -> Option<u64> {
    let lower_hex = |byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    match digits.bytes().all(lower_hex) {
        true => u64::from_str_radix(digits, HEXADECIMAL).ok(),
        false => None,
    }
}
