//! Whether a version has the backend servers to run all requests of its service.

/// Minimum capacity of the version, as a fraction of the other versions' slots: once the version
/// gets all requests, the other backend servers are stopped, and it has to bear the peak load
/// alone.
const MIN_CAPACITY_RATIO: f64 = 0.5;

/// Slots of the usable backend servers, of the version that is rolled out and of all others.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VersionCapacity {
    /// Slots of the version that is rolled out.
    pub target: u64,
    /// Slots of all other versions.
    pub others: u64,
}

impl VersionCapacity {
    /// Returns whether the version has enough slots to run all requests.
    pub fn is_sufficient(self) -> bool {
        self.target > 0 && self.target as f64 >= MIN_CAPACITY_RATIO * self.others as f64
    }
}
