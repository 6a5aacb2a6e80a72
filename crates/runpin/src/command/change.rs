//! Sends changes of the configuration to an instance.

use crate::client::Client;
use crate::error::CommandError;
use crate::output::Output;
use bytes::Bytes;
use hyper::Method;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Author of a change if the environment does not name the user.
const UNKNOWN_AUTHOR: &str = "unknown";

/// Options that all changes share.
#[derive(Clone, Debug)]
pub(super) struct ChangeOptions {
    /// Operator addresses of the instances; empty for those of the environment.
    pub(super) instances: Vec<SocketAddr>,
    /// Number of the version that the change replaces; `None` for any version.
    pub(super) expect_version: Option<u64>,
    /// Whether to only check the change.
    pub(super) dry_run: bool,
    /// Output format.
    pub(super) output: Output,
}

/// Response to a change.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct ChangeResponse {
    /// Number of the version that the change created, or would create without the dry run.
    pub(super) number: u64,
    /// Whether the change was only checked.
    pub(super) dry_run: bool,
}

impl ChangeOptions {
    /// Sends the change and prints the number of the new version.
    pub(super) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<ChangeResponse, CommandError> {
        let client = Client::for_changes(&self.instances)?;
        let mut path = format!("{path}?author={}&dry_run={}", author(), self.dry_run);
        if let Some(number) = self.expect_version {
            path.push_str(&format!("&expect_version={number}"));
        }
        let response: ChangeResponse = client.change(method, &path, body).await?;
        let text = match response.dry_run {
            true => format!("it would be version {}; nothing was changed", response.number),
            false => format!("version {} is accepted", response.number),
        };
        self.output.show(&response, text)?;
        Ok(response)
    }
}

/// Returns the name of the user, without characters that would need escaping in a query string.
fn author() -> String {
    let allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '@');
    let name: String = std::env::var("USER").unwrap_or_default().chars().filter(allowed).collect();
    if name.is_empty() { UNKNOWN_AUTHOR.to_owned() } else { name }
}
