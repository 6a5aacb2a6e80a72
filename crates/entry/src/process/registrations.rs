//! The instances that are registered in the store.

use crate::platform_api::Registration;
use std::cell::RefCell;
use std::sync::Arc;

/// The registered instances of the store's last response; none before the first response.
#[derive(Debug, Default)]
pub struct Registrations(RefCell<Option<Vec<Registration>>>);

impl Registrations {
    /// Replaces them by those of a response.
    pub(super) fn replace(&self, all: Vec<Registration>) {
        self.0.replace(Some(all));
    }

    /// Returns whether an instance is registered.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.0.borrow().iter().flatten().any(|registered| *registered.name == *name)
    }

    /// Number of instances other than `own`; `None` before the first response.
    pub(super) fn count_of_others(&self, own: &str) -> Option<usize> {
        let registered = self.0.borrow();
        let others =
            |all: &Vec<Registration>| all.iter().filter(|other| *other.name != *own).count();
        registered.as_ref().map(others)
    }

    /// Names of the instances of a region.
    pub(super) fn names_in(&self, region: &str) -> Vec<Arc<str>> {
        let registered = self.0.borrow();
        let in_region = registered.iter().flatten().filter(|other| *other.region == *region);
        in_region.map(|other| other.name.clone()).collect()
    }
}
