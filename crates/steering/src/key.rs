//! Idempotency keys and the incarnations that are their homes.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Hexadecimal digits of an incarnation.
const INCARNATION_DIGITS: usize = 16;

/// One life of one instance: drawn at random when the process starts, never used again.
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
        let digits = text.len() == INCARNATION_DIGITS;
        let all_hex = text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        match u64::from_str_radix(text, 16) {
            Ok(number) if digits && all_hex => Ok(Incarnation(number)),
            _ => Err(KeyError::Home),
        }
    }
}

/// An idempotency key: `HOME-REST`, where `HOME` is the incarnation that alone may run it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct IdempotencyKey {
    text: Arc<str>,
    home: Incarnation,
}

/// Why a text is not an idempotency key.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum KeyError {
    /// It is empty or too long.
    #[error("an idempotency key has 18 to {MAX_KEY_BYTES} bytes")]
    Length,
    /// It does not start with the prefix that a look-up gave.
    #[error("an idempotency key starts with the prefix that the look-up gave")]
    Home,
    /// It contains a byte that is not a visible ASCII character.
    #[error("an idempotency key holds visible ASCII characters only")]
    Character,
}

impl IdempotencyKey {
    /// Returns the incarnation that alone may run the request.
    pub fn home(&self) -> Incarnation {
        self.home
    }

    /// Returns the key as the caller wrote it.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns the prefix of all keys whose home is `incarnation`.
    pub fn prefix(incarnation: Incarnation) -> String {
        format!("{incarnation}-")
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        if text.len() < INCARNATION_DIGITS + 2 || text.len() > MAX_KEY_BYTES {
            return Err(KeyError::Length);
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(KeyError::Character);
        }
        let (home, _) = text.split_once('-').ok_or(KeyError::Home)?;
        Ok(Self { text: text.into(), home: home.parse()? })
    }
}
