//! Which start of a backend server is meant.

use std::sync::Arc;

/// One start of a backend server.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Incarnation {
    /// Identity of the backend server.
    pub id: Arc<str>,
    /// Time of the start in milliseconds since the epoch; zero if it is not told.
    pub born_ms: u64,
}

/// Names a backend server: one start of it, or whichever is the latest.
#[derive(Clone, Copy, Debug)]
pub struct ServerRef<'a> {
    /// Its identity.
    pub id: &'a str,
    /// Time of the start that is meant; none for the latest.
    pub born_ms: Option<u64>,
}

impl<'a> From<&'a Incarnation> for ServerRef<'a> {
    fn from(Incarnation { id, born_ms }: &'a Incarnation) -> Self {
        Self { id, born_ms: Some(*born_ms) }
    }
}

impl<'a> From<&'a str> for ServerRef<'a> {
    fn from(id: &'a str) -> Self {
        Self { id, born_ms: None }
    }
}

impl<'a> From<&'a Arc<str>> for ServerRef<'a> {
    fn from(id: &'a Arc<str>) -> Self {
        Self { id, born_ms: None }
    }
}
