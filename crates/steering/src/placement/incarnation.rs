//! Identification of one start of a backend server.

use std::sync::Arc;

/// One start of a backend server.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Incarnation {
    /// Identity of the backend server.
    pub id: Arc<str>,
    /// Start time in milliseconds since the epoch; zero if unknown.
    pub started_ms: u64,
}

/// Refers to a backend server: one incarnation, or the latest.
#[derive(Clone, Copy, Debug)]
pub struct ServerRef<'a> {
    /// Identity of the backend server.
    pub id: &'a str,
    /// Start time of the incarnation; `None` for the latest.
    pub started_ms: Option<u64>,
}

impl<'a> From<&'a Incarnation> for ServerRef<'a> {
    fn from(Incarnation { id, started_ms }: &'a Incarnation) -> Self {
        Self { id, started_ms: Some(*started_ms) }
    }
}

impl<'a> From<&'a str> for ServerRef<'a> {
    fn from(id: &'a str) -> Self {
        Self { id, started_ms: None }
    }
}

impl<'a> From<&'a Arc<str>> for ServerRef<'a> {
    fn from(id: &'a Arc<str>) -> Self {
        Self { id, started_ms: None }
    }
}
