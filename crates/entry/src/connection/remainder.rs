//! What follows the last response of a connection.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// What each response begins with.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// Whether a connection held bytes of no response after its last one, known once hyper has ended it because of
/// them.
///
/// They are the rest of a body if the length was too short. hyper sees those that arrive together with the end
/// of the body before the body's reader does.
#[derive(Clone, Debug, Default)]
pub struct Remainder(Arc<AtomicBool>);

impl Remainder {
    /// Records what was left when the connection ended.
    pub fn record(&self, unread: &Bytes) {
        let compared = unread.len().min(RESPONSE_START.len());
        // A surplus response belongs to no request, and says nothing of the one before it.
        let is_foreign = unread[..compared] != RESPONSE_START[..compared];
        self.0.store(is_foreign, Ordering::Release);
    }

    /// Whether there were bytes of no response.
    pub fn is_foreign(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}
