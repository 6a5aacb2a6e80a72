//! Keys shared by all instances, which sign and verify handshakes.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt;
use thiserror::Error;

/// Maximum number of valid keys: the old and the new one during a key rotation.
const MAX_KEYS: usize = 2;

/// One or two shared keys: the first one signs, each one verifies.
#[derive(Clone)]
pub struct Keys {
    keys: Vec<Hmac<Sha256>>,
}

/// Error for a wrong number of keys.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
#[error("one or two keys are needed")]
pub struct KeysError;

impl Keys {
    /// Creates a key set from one or two keys; the first one signs.
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

    /// Returns the MAC of `parts` with the first key.
    pub(super) fn sign(&self, parts: &[&[u8]]) -> Vec<u8> {
        mac_of(&self.keys[0], parts).finalize().into_bytes().to_vec()
    }

    /// Returns whether `mac` is the MAC of `parts` with any key, in constant time for each key.
    pub(super) fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        self.keys.iter().any(|key| mac_of(key, parts).verify_slice(mac).is_ok())
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Keys({} hidden)", self.keys.len())
    }
}

/// Computes the MAC of `parts`, each prefixed with its length, so that different lists of parts
/// never result in the same input.
fn mac_of(key: &Hmac<Sha256>, parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = key.clone();
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}
