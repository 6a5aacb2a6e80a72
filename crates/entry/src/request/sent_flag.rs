//! Whether an attempt may have reached a backend server.

use std::cell::Cell;
use std::rc::Rc;

/// Whether sending the request began in an attempt; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct SentFlag(Rc<Cell<bool>>);

impl SentFlag {
    /// Records that sending begins.
    pub(super) fn set(&self) {
        self.0.set(true);
    }

    /// Whether sending began.
    pub(super) fn is_set(&self) -> bool {
        self.0.get()
    }
}
