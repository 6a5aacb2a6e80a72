//! How instances pass on what they learned, beside heartbeats: to a few others at once, and for as
//! long as it is new or matters with each heartbeat.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Instances that are told at once of what is new, and each heartbeat for as long as it is fresh.
pub const FANOUT: usize = 6;

/// Instances that are told each heartbeat of what matters while nothing is fresh: one that starts, or
/// wakes up, is told by two of the others each heartbeat on average, and misses all of four
/// heartbeats once in 3,000 times.
pub const STEADY_FANOUT: usize = 2;

/// Time for which something new is told by everyone: it reaches hundreds of instances in four
/// heartbeats, and one heartbeat of 30 may be lost to each.
pub const FRESH_FOR: Duration = Duration::from_secs(5);

/// Largest message in bytes, below what every link carries in one piece.
pub const MESSAGE_BYTES: usize = 1_300;

/// Parts of a second in which ages are told; below what a message takes between regions, and a
/// request is sent in 60 ms at the soonest after what makes it seem later.
const AGE_PARTS_PER_S: f64 = 20.0;

/// Longest way of a message between instances; the shortest time between two events whose order matters
/// is longer.
const LONGEST_WAY: Duration = Duration::from_millis(100);

/// Time since something happened, as instances tell it: their clocks differ, ages don't.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Age(u32);

impl From<Duration> for Age {
    fn from(age: Duration) -> Self {
        Self((age.as_secs_f64() * AGE_PARTS_PER_S).round() as u32)
    }
}

impl Age {
    /// The most time that may have passed since, with the way of the message.
    ///
    /// What must not seem later from one instance to the next goes by this: told on often enough, it
    /// would come to lie after what came after it.
    pub fn most(self) -> Duration {
        Duration::from(self) + Duration::from_secs_f64(0.5 / AGE_PARTS_PER_S) + LONGEST_WAY
    }
}

impl From<Age> for Duration {
    fn from(Age(parts): Age) -> Self {
        Self::from_secs_f64(f64::from(parts) / AGE_PARTS_PER_S)
    }
}

/// Writes a message of as many items as there is room for; none if there are no items.
pub fn write(items: impl Iterator<Item = impl Serialize>) -> Option<Vec<u8>> {
    let mut message = Vec::new();
    for item in items {
        // What is written into memory can't fail; an empty item would be read by nobody.
        let bytes = postcard::to_allocvec(&item).unwrap_or_default();
        if message.len() + bytes.len() > MESSAGE_BYTES {
            break;
        }
        message.extend(bytes);
    }
    (!message.is_empty()).then_some(message)
}

/// Reads the items of a message; none if one of them can't be read.
pub fn read<T: DeserializeOwned>(message: &[u8]) -> Option<Vec<T>> {
    let mut rest = message;
    let mut items = Vec::new();
    while !rest.is_empty() {
        let (item, left) = postcard::take_from_bytes(rest).ok()?;
        rest = left;
        items.push(item);
    }
    Some(items)
}
