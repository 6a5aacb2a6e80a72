//! Request classes, which determine whether a request may be repeated.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Effect of a request, as declared by its route.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A read, which may be repeated and hedged.
    Read,
    /// A change that runs at most once; the class of requests that match no route.
    #[default]
    Write,
    /// A change with a large body that runs at most once.
    Upload,
}

impl Class {
    /// All classes, in the order used by tables and metrics.
    pub const ALL: [Class; 3] = [Class::Read, Class::Write, Class::Upload];

    /// Returns the name used in configurations, metrics and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Read => "read",
            Class::Write => "write",
            Class::Upload => "upload",
        }
    }

    /// Returns whether the request may be sent more than once.
    pub fn is_repeatable(self) -> bool {
        self == Class::Read
    }
}

impl fmt::Display for Class {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
