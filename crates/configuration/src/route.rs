//! Matching of requests to services and classes.

use crate::{Class, Configuration, ServiceIndex};
use std::sync::Arc;

/// A rule that assigns a class to matching requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// HTTP method in upper case, or `*` for any.
    pub method: Arc<str>,
    /// Prefix of the request path.
    pub path_prefix: Arc<str>,
    /// Class of matching requests.
    pub class: Class,
}

impl Route {
    fn matches(&self, method: &str, path: &str) -> bool {
        (&*self.method == "*" || &*self.method == method) && has_prefix(path, &self.path_prefix)
    }
}

impl Configuration {
    /// Finds the service of a request: the one with the longest matching path prefix among the
    /// services with its host, otherwise among the services without a host.
    pub fn service_for(&self, host: Option<&str>, path: &str) -> Option<ServiceIndex> {
        self.services
            .iter()
            .enumerate()
            .filter(|(_, service)| has_prefix(path, &service.path_prefix))
            .filter(|(_, service)| service.host.is_none() || service.host.as_deref() == host)
            .max_by_key(|(_, service)| (service.host.is_some(), service.path_prefix.len()))
            .map(|(position, _)| ServiceIndex::from(position))
    }

    /// Returns the class of a request: that of the first matching route of its service, or
    /// [`Class::Write`] when none matches.
    pub fn class_of(&self, service: ServiceIndex, method: &str, path: &str) -> Class {
        self.services[service.get()]
            .routes
            .iter()
            .find(|route| route.matches(method, path))
            .map_or(Class::Write, |route| route.class)
    }
}

/// Returns whether `path` starts with `prefix`, and `prefix` ends at a segment boundary of `path`.
fn has_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'))
}
