//! A subject's content and how new it is.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A subject's content and how new it is.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Known<T> {
    /// Revision of the store up to which the content holds; zero if nothing is known.
    pub as_of: u64,
    /// Revision at which the content changed last.
    pub changed_at: u64,
    /// The content.
    pub content: Arc<T>,
}

impl<T> Known<T> {
    /// Takes over newer content.
    pub(super) fn replace(&mut self, content: T, as_of: u64, changed_at: u64) {
        *self =
            Self { as_of, changed_at: changed_at.max(self.changed_at), content: Arc::new(content) };
    }
}
