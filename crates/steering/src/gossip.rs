//! Fan-out, message size and encoding of gossip that is sent beside the heartbeats.
//!
//! An instance sends new information to a few others at once, and repeats it with each heartbeat
//! for as long as it is new or still relevant.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Instances that get new information at once, and with each heartbeat while it is fresh.
pub const FANOUT: usize = 6;

/// Instances that get relevant information with each heartbeat while none is fresh: an instance
/// that starts or resumes gets it from two others per heartbeat on average, and from none during
/// four heartbeats once in 3,000 times.
pub const STEADY_FANOUT: usize = 2;

/// Time for which all instances forward new information: it reaches hundreds of instances in four
/// heartbeats, and each may lose one heartbeat of 30.
pub const FRESH_FOR: Duration = Duration::from_secs(5);

/// Largest message in bytes, which no link has to fragment.
pub const MAX_MESSAGE_BYTES: usize = 1_300;

/// Resolution of ages, in ticks per second: a tick is shorter than the delay of a message between
/// regions, and than the 60 ms after which a request follows, at the earliest, an event that must
/// not seem later than it.
const AGE_TICKS_PER_S: f64 = 20.0;

/// Largest one-way delay of a message between instances; two events whose order matters are further
/// apart.
const MAX_ONE_WAY_DELAY: Duration = Duration::from_millis(100);

/// Time since an event, in ticks of 1/20 s.  Messages carry ages because the instances' clocks
/// differ.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Age(u32);

impl From<Duration> for Age {
    fn from(age: Duration) -> Self {
        Self((age.as_secs_f64() * AGE_TICKS_PER_S).round() as u32)
    }
}

impl Age {
    /// Returns the largest age that the event may have on receipt, with rounding and the delay of
    /// the message.
    ///
    /// For events that must not seem later with each hop: forwarded often enough, such an event
    /// would seem to follow later ones.
    pub fn upper_bound(self) -> Duration {
        Duration::from(self) + Duration::from_secs_f64(0.5 / AGE_TICKS_PER_S) + MAX_ONE_WAY_DELAY
    }
}

impl From<Age> for Duration {
    fn from(Age(ticks): Age) -> Self {
        Self::from_secs_f64(f64::from(ticks) / AGE_TICKS_PER_S)
    }
}

/// Encodes as many of the items as fit into a message, in order; none if there are no items.
pub fn encode_items(items: impl Iterator<Item = impl Serialize>) -> Option<Vec<u8>> {
    let mut message = Vec::new();
    for item in items {
        // Encoding into memory can't fail; receivers would skip an empty item.
        let bytes = postcard::to_allocvec(&item).unwrap_or_default();
        if message.len() + bytes.len() > MAX_MESSAGE_BYTES {
            break;
        }
        message.extend(bytes);
    }
    (!message.is_empty()).then_some(message)
}

/// Decodes the items of a message; none if one of them is invalid.
pub fn decode_items<T: DeserializeOwned>(message: &[u8]) -> Option<Vec<T>> {
    let mut remaining = message;
    let mut items = Vec::new();
    while !remaining.is_empty() {
        let (item, left) = postcard::take_from_bytes(remaining).ok()?;
        remaining = left;
        items.push(item);
    }
    Some(items)
}
