//! Keys shared by all instances.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt;
use thiserror::Error;

/// Most keys valid at once: the old one and the new one while keys are rotated.
const MAX_KEYS: usize = 2;

/// One or two shared keys: the first one signs, each one verifies.
#[derive(Clone)]
pub struct Keys {
    keys: Vec<Hmac<Sha256>>,
}

/// Why keys can't be used.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
#[error("one or two keys are needed")]
pub struct KeysError;

impl Keys {
    /// Takes one or two keys.
    pub fn new<'a>(keys: impl IntoIterator<Item = &'a [u8]>) -> Result<Self, KeysError> {
        let keys: Vec<_> = keys
            .into_iter()
            .map(|key| Hmac::<Sha256>::new_from_slice(key).map_err(|_| KeysError))
            .collect::<Result<_, _>>()?;
        if keys.is_empty() || keys.len() > MAX_KEYS {
            return Err(KeysError);
        }
        Ok(Self { keys })
    }

    /// Returns the code of `parts` by the first key.
    pub(super) fn sign(&self, parts: &[&[u8]]) -> Vec<u8> {
        code(&self.keys[0], parts).finalize().into_bytes().to_vec()
    }

    /// Tells whether `mac` is the code of `parts` by any key, in constant time for each key.
    pub(super) fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        self.keys.iter().any(|key| code(key, parts).verify_slice(mac).is_ok())
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Keys({} hidden)", self.keys.len())
    }
}

/// Adds each part with its length, so that no two lists of parts have one code.
fn code(key: &Hmac<Sha256>, parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut code = key.clone();
    for part in parts {
        code.update(&(part.len() as u64).to_be_bytes());
        code.update(part);
    }
    code
}
