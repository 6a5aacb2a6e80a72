//! Matching a request to its service and class.

use crate::{Class, Configuration, ServiceIndex};
use std::sync::Arc;

/// A rule that gives matching requests a class.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Method in upper case, or `*` for any.
    pub method: Arc<str>,
    /// Leading part of the request's path.
    pub path_prefix: Arc<str>,
    /// Class of the requests that match.
    pub class: Class,
}

impl Route {
    fn matches(&self, method: &str, path: &str) -> bool {
        (&*self.method == "*" || &*self.method == method) && has_prefix(path, &self.path_prefix)
    }
}

impl Configuration {
    /// Finds the service of a request: the longest matching path prefix among the services whose
    /// host matches, services without a host coming last.
    pub fn service_for(&self, host: Option<&str>, path: &str) -> Option<ServiceIndex> {
        self.services
            .iter()
            .enumerate()
            .filter(|(_, service)| has_prefix(path, &service.path_prefix))
            .filter(|(_, service)| service.host.is_none() || service.host.as_deref() == host)
            .max_by_key(|(_, service)| (service.host.is_some(), service.path_prefix.len()))
            .map(|(position, _)| ServiceIndex::from(position))
    }

    /// Returns the class of a request: that of its service's first matching route, or
    /// [`Class::Write`].
    pub fn class_of(&self, service: ServiceIndex, method: &str, path: &str) -> Class {
        self.services[service.get()]
            .routes
            .iter()
            .find(|route| route.matches(method, path))
            .map_or(Class::Write, |route| route.class)
    }
}

/// Tells whether `path` starts with `prefix` at a boundary of path segments.
fn has_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'))
}
