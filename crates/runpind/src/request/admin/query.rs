//! Query parameters of the admin API.

use super::error::AdminError;
use http::Request;
use std::net::IpAddr;

/// The query string of a request.
pub(super) struct Query(String);

impl Query {
    /// Copies the query string of a request.
    pub(super) fn from_request<B>(request: &Request<B>) -> Self {
        Self(request.uri().query().unwrap_or_default().to_owned())
    }

    /// Returns a parameter's value; `None` when absent or empty.
    pub(super) fn get(&self, name: &str) -> Option<&str> {
        self.0
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
            .filter(|value| !value.is_empty())
    }

    /// Returns the value of a required parameter.
    pub(super) fn required(&self, name: &'static str) -> Result<&str, AdminError> {
        self.get(name).ok_or(AdminError::MissingParameter(name))
    }

    /// Returns the value of a numeric parameter; `None` when absent.
    pub(super) fn number(&self, name: &'static str) -> Result<Option<u64>, AdminError> {
        let invalid = |_| AdminError::BadParameter { name, expected: "a number" };
        self.get(name).map(str::parse).transpose().map_err(invalid)
    }

    /// Returns the value of a boolean parameter; `false` when absent.
    pub(super) fn flag(&self, name: &'static str) -> Result<bool, AdminError> {
        let invalid = |_| AdminError::BadParameter { name, expected: "`true` or `false`" };
        self.get(name).map_or(Ok(false), |value| value.parse().map_err(invalid))
    }

    /// Returns the value of an IP address parameter; `None` when absent.
    pub(super) fn address(&self, name: &'static str) -> Result<Option<IpAddr>, AdminError> {
        let invalid = |_| AdminError::BadParameter { name, expected: "an IP address" };
        self.get(name).map(str::parse).transpose().map_err(invalid)
    }
}
