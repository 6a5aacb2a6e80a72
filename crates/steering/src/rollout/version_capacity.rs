//! Whether a version has the backend servers to run all requests of its service.

/// Part of the other versions' slots that the version must have at least: those of a version that is
/// given all requests are stopped, and what is left has to bear the peak.
const LEAST_PART: f64 = 0.5;

/// Slots of the backend servers that may get requests, of the version that is brought in and of all others.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VersionCapacity {
    /// Those of the version that is brought in.
    pub target: u64,
    /// Those of all other versions.
    pub others: u64,
}

impl VersionCapacity {
    /// Tells whether the version can do without the others.
    pub fn is_sufficient(self) -> bool {
        self.target > 0 && self.target as f64 >= LEAST_PART * self.others as f64
    }
}
