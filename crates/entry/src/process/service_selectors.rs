//! Selection of the service that runs the requests of a route with several.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
use steering::deployment::Route;
use steering::placement::WeightedRoundRobin;

/// Selectors, by route.
#[derive(Debug, Default)]
pub struct ServiceSelectors(RefCell<HashMap<Arc<str>, WeightedRoundRobin>>);

impl ServiceSelectors {
    /// Selects the service that runs the next request of a route.
    pub(crate) fn select(&self, route: &Route) -> Option<Arc<str>> {
        if let [only] = route.weighted_services.as_slice() {
            return Some(only.service.clone());
        }
        let mut selectors = self.0.borrow_mut();
        let selector = selectors.entry(route.name.clone()).or_default();
        selector.next(&route.weighted_services).map(|weighted| weighted.service.clone())
    }
}
