//! How far an attempt has come: whether it may have reached a backend server, and by which path.

use crate::process::relays::Relay;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// How far an attempt has come; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct SentFlag(Rc<State>);

#[derive(Debug, Default)]
struct State {
    is_set: Cell<bool>,
    through: RefCell<Option<Relay>>,
}

impl SentFlag {
    /// Records that sending begins.
    pub(super) fn set(&self) {
        self.0.is_set.set(true);
    }

    /// Whether sending began.
    pub(super) fn is_set(&self) -> bool {
        self.0.is_set.get()
    }

    /// Records that the request goes through another instance.
    pub(super) fn set_through(&self, relay: &Relay) {
        self.0.through.replace(Some(relay.clone()));
    }

    /// The instance that the request goes through, if it does.
    pub(super) fn through(&self) -> Option<Relay> {
        self.0.through.borrow().clone()
    }
}
