//! The content of a subject with the revisions at which it holds and changed.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The content of a subject with the revisions at which it holds and changed.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Versioned<T> {
    /// Revision of the store up to which the content holds; 0 if there is none yet.
    pub as_of: u64,
    /// Revision at which the content changed last.
    pub changed_at: u64,
    /// The content.
    pub content: Arc<T>,
}

impl<T> Versioned<T> {
    /// Replaces the content by newer content.
    pub(super) fn replace(&mut self, content: T, as_of: u64, changed_at: u64) {
        *self =
            Self { as_of, changed_at: changed_at.max(self.changed_at), content: Arc::new(content) };
    }

    /// The content if it changed after a revision; none otherwise.
    ///
    /// Content that was listed and found empty is also sent to an instance that has none (revision 0).
    pub(super) fn newer_than(&self, as_of: u64) -> Option<Self> {
        let is_newer = self.changed_at > as_of || as_of == 0 && self.as_of > 0;
        is_newer.then(|| Self { content: self.content.clone(), ..*self })
    }
}
