//! Size limits of a ledger.

/// Size limits of a ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Maximum memory of keys and responses, in bytes.
    pub max_bytes: usize,
    /// Part of `max_bytes` that response bodies must leave free for keys.
    pub reserved_for_keys_bytes: usize,
    /// Maximum number of records in one part of a hand-over.
    pub max_part_records: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_keys: 100_000,
            max_bytes: 80 << 20,
            reserved_for_keys_bytes: 48 << 20,
            max_part_records: 500,
        }
    }
}

/// Current size of a ledger, with its limits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    pub(super) limits: Limits,
    pub(super) keys: usize,
    pub(super) bytes: usize,
}

impl Usage {
    pub(super) fn new(limits: Limits) -> Self {
        Self { limits, keys: 0, bytes: 0 }
    }

    pub(super) fn has_capacity(&self, keys: usize, bytes: usize) -> bool {
        self.keys + keys <= self.limits.max_keys && self.bytes + bytes <= self.limits.max_bytes
    }

    pub(super) fn has_capacity_for_body(&self, bytes: usize) -> bool {
        let reserved = self.limits.reserved_for_keys_bytes;
        bytes == 0 || self.bytes + bytes <= self.limits.max_bytes.saturating_sub(reserved)
    }

    pub(super) fn add(&mut self, bytes: usize) {
        self.keys += 1;
        self.bytes += bytes;
    }

    pub(super) fn remove(&mut self, bytes: usize) {
        self.keys -= 1;
        self.bytes -= bytes;
    }
}
