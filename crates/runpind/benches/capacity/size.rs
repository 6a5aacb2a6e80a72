//! The deployment size that the users expect within two years.

/// A deployment's size.
pub(crate) struct Size {
    pub(crate) instances: f64,
    pub(crate) client_blocks: f64,
    pub(crate) sites: f64,
    pub(crate) lookups_per_s: f64,
    pub(crate) changes_per_day: f64,
}

impl Size {
    /// The size that the users specified for the next two years.
    pub(crate) const TWO_YEARS: Size = Size {
        instances: 3_900.0,
        client_blocks: 660_000.0,
        sites: 460.0,
        lookups_per_s: 3_600_000.0,
        changes_per_day: 5_100.0,
    };
}
