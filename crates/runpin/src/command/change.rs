//! What all changes share: the version they expect, a dry run, and the answer.

use crate::client::Client;
use crate::error::CommandError;
use crate::output::Output;
use bytes::Bytes;
use hyper::Method;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Author of changes where the environment does not say who runs the command.
const UNKNOWN_AUTHOR: &str = "unknown";

/// How a change is made.
#[derive(Clone, Debug)]
pub(super) struct ChangeOptions {
    /// Addresses for operators, of instances to ask.
    pub(super) instances: Vec<SocketAddr>,
    /// Number of the version that it replaces; `None` for whichever is in force.
    pub(super) expect_version: Option<u64>,
    /// Whether to check only.
    pub(super) dry_run: bool,
    /// Form of the result.
    pub(super) output: Output,
}

/// Answer to a change.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct Accepted {
    /// Number of the version that the change made, or in a dry run would make.
    pub(super) number: u64,
    /// Whether nothing was accepted, only checked.
    pub(super) dry_run: bool,
}

impl ChangeOptions {
    /// Sends the change and shows which version it became.
    pub(super) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Accepted, CommandError> {
        let client = Client::for_changes(&self.instances)?;
        let mut path = format!("{path}?author={}&dry_run={}", author(), self.dry_run);
        if let Some(number) = self.expect_version {
            path.push_str(&format!("&expect_version={number}"));
        }
        let accepted: Accepted = client.change(method, &path, body).await?;
        let text = match accepted.dry_run {
            true => format!("it would be version {}; nothing was changed", accepted.number),
            false => format!("version {} is accepted", accepted.number),
        };
        self.output.show(&accepted, text)?;
        Ok(accepted)
    }
}

/// Returns the user's name, without what a query can't hold.
fn author() -> String {
    let allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '@');
    let name: String = std::env::var("USER").unwrap_or_default().chars().filter(allowed).collect();
    if name.is_empty() { UNKNOWN_AUTHOR.to_owned() } else { name }
}
