//! Query parameters of the admin API.

use super::error::AdminError;
use http::Request;
use std::net::IpAddr;

/// The query of a request.
pub(super) struct Query(String);

impl Query {
    /// Takes the query of a request.
    pub(super) fn of<B>(request: &Request<B>) -> Self {
        Self(request.uri().query().unwrap_or_default().to_owned())
    }

    /// Returns a parameter's value.
    pub(super) fn get(&self, name: &str) -> Option<&str> {
        self.0
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
            .filter(|value| !value.is_empty())
    }

    /// Returns the value of a parameter that must be there.
    pub(super) fn required(&self, name: &'static str) -> Result<&str, AdminError> {
        self.get(name).ok_or(AdminError::MissingParameter(name))
    }

    /// Returns a number.
    pub(super) fn number(&self, name: &'static str) -> Result<Option<u64>, AdminError> {
        let wrong = |_| AdminError::BadParameter { name, expected: "a number" };
        self.get(name).map(str::parse).transpose().map_err(wrong)
    }

    /// Returns `true` or `false`; `false` when absent.
    pub(super) fn flag(&self, name: &'static str) -> Result<bool, AdminError> {
        let wrong = |_| AdminError::BadParameter { name, expected: "`true` or `false`" };
        self.get(name).map_or(Ok(false), |value| value.parse().map_err(wrong))
    }

    /// Returns an IP address.
    pub(super) fn address(&self, name: &'static str) -> Result<Option<IpAddr>, AdminError> {
        let wrong = |_| AdminError::BadParameter { name, expected: "an IP address" };
        self.get(name).map(str::parse).transpose().map_err(wrong)
    }
}
