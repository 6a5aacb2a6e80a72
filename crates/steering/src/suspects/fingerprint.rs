//! Fingerprints, which are the same for each attempt of a request.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Hash that is the same for each attempt of a request, and that callers can't forge.
///
/// Eight bytes of SHA-256: among a million requests two collide once in 37 million such sets, and a
/// caller that wants its request to be taken for another one has 2^64 values to try.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint([u8; 8]);

impl Fingerprint {
    /// Hashes the parts in this order.
    pub fn from_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            // The length prefix keeps apart lists whose concatenation is equal.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&digest[..8]);
        Self(prefix)
    }
}

/// Fingerprints of a request, with and without its caller.
///
/// The content of a request makes a backend server crash, and a caller may use several hosts; but a
/// target may crash servers for a single caller only, and succeed for all others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fingerprints {
    /// Fingerprint of the content.
    pub content: Fingerprint,
    /// Fingerprint of the content and the caller.
    pub with_caller: Fingerprint,
}

impl Fingerprints {
    /// Returns the fingerprints of a request with these parts.
    pub fn new(caller: &[u8], content: &[&[u8]]) -> Self {
        let content = Fingerprint::from_parts(content.iter().copied());
        Self { content, with_caller: Fingerprint::from_parts([caller, &content.0]) }
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
