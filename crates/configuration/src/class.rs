//! Request classes, which decide whether a request may be repeated.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What a request does, as declared by its route.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A look-up that may be repeated and hedged.
    Read,
    /// A change that runs at most once; the class of anything that no route names.
    #[default]
    Write,
    /// A change with a large body that runs at most once.
    Upload,
}

impl Class {
    /// Every class, in the order used by tables and metrics.
    pub const ALL: [Class; 3] = [Class::Read, Class::Write, Class::Upload];

    /// Returns the name used in configuration, metrics and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Read => "read",
            Class::Write => "write",
            Class::Upload => "upload",
        }
    }

    /// Tells whether sending the request a second time is harmless.
    pub fn is_repeatable(self) -> bool {
        self == Class::Read
    }
}

impl fmt::Display for Class {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
