//! What two tries of the same request share.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// What two tries of the same request share, as a hash that callers can't choose.
///
/// Eight bytes of SHA-256: two of a million requests are alike once in 37 million such sets, and who
/// wants to be taken for another request has 2^64 to try.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint([u8; 8]);

impl Fingerprint {
    /// The fingerprint of these parts, in this order.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            // Its length keeps a part's end from being taken for the next one's beginning.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let whole = hash.finalize();
        let mut short = [0; 8];
        short.copy_from_slice(&whole[..8]);
        Self(short)
    }
}

/// What tries of one request share, whoever sends them, and if the same caller does.
///
/// What ends a backend server is what a request carries, and a caller may have several hosts; but one
/// target may do so for a single caller only, and be answered well for all others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fingerprints {
    /// Of what the request carries.
    pub content: Fingerprint,
    /// Of what it carries, and who sends it.
    pub with_caller: Fingerprint,
}

impl Fingerprints {
    /// The fingerprints of a request that carries these parts.
    pub fn new(caller: &[u8], content: &[&[u8]]) -> Self {
        let content = Fingerprint::of(content.iter().copied());
        Self { content, with_caller: Fingerprint::of([caller, &content.0]) }
    }

    pub(super) fn all(self) -> [Fingerprint; 2] {
        [self.content, self.with_caller]
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", u64::from_be_bytes(self.0))
    }
}
