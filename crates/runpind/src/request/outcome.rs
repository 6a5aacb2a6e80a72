//! Whether a refused or failed request was run.

use std::fmt;

/// Name of the header that carries an [`Outcome`].
pub const OUTCOME_HEADER: &str = "runpin-outcome";

/// Whether a request that got no complete response was run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// It was not run and will not be.
    NotRun,
    /// It may have been run.
    Unknown,
    /// It was run.
    Ran,
}

impl Outcome {
    /// Returns the name used in headers, bodies and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::Ran => "ran",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Marks a response by which a backend server guarantees that it shed the request without running it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shed;
