//! Simulated operators, which change the configuration, and tracking of its activation on the
//! instances.

use crate::LabError;
use crate::testbed::{LAB_SECRET, Testbed};
use bytes::Bytes;
use http::Request;
use http::header::AUTHORIZATION;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use toml::{Table, Value};

/// Time for which an operator retries a change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Interval at which the active versions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug, Deserialize)]
struct Accepted {
    number: u64,
}

/// Changes one field of the configuration through the admin address of an instance.
pub(crate) async fn change_configuration(
    testbed: &Testbed,
    path: &[String],
    value: Value,
) -> Result<(), LabError> {
    let unknown_field = || LabError::UnknownField(path.join("."));
    let mut table: Table =
        testbed.configuration_text.lock().parse().map_err(|_| unknown_field())?;
    let field =
        path.iter().try_fold(Node::Table(&mut table), Node::child).ok_or_else(unknown_field)?;
    let Node::Value(field) = field else { return Err(unknown_field()) };
    *field = value;
    let text = toml::to_string(&table).map_err(|_| unknown_field())?;
    let sent = Instant::now();
    let number = apply(testbed, &text).await?;
    *testbed.configuration_text.lock() = text;
    let mut event_log = testbed.event_log.lock();
    event_log.config.accepted += 1;
    event_log.pending.push((number, sent));
    Ok(())
}

/// A node on the path to a field in the configuration.
enum Node<'a> {
    Table(&'a mut Table),
    Value(&'a mut Value),
}

impl<'a> Node<'a> {
    /// Returns the field `name` of a table, or the entry of an array that has this `name`.
    fn child(self, name: &String) -> Option<Self> {
        let value = match self {
            Node::Table(table) | Node::Value(Value::Table(table)) => table.get_mut(name)?,
            Node::Value(Value::Array(entries)) => entries
                .iter_mut()
                .find(|entry| entry.get("name").and_then(Value::as_str) == Some(name.as_str()))?,
            Node::Value(_) => return None,
        };
        Some(Node::Value(value))
    }
}

/// Sends the text to one instance after another until one accepts it; returns the version number.
async fn apply(testbed: &Testbed, text: &str) -> Result<u64, LabError> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let deadline = Instant::now() + APPLY_TIMEOUT;
    let mut last_error = "no instance".to_owned();
    for attempt in 0.. {
        let instances: Vec<SocketAddr> = {
            let instances = testbed.instances.lock();
            instances.iter().map(|instance| instance.daemon.admin_address()).collect()
        };
        if Instant::now() > deadline || instances.is_empty() {
            break;
        }
        let instance = instances[attempt % instances.len()];
        let uri = format!("http://{instance}/v1/configuration?author=lab");
        let request = Request::put(uri)
            .header(AUTHORIZATION, format!("Bearer {LAB_SECRET}"))
            .body(Full::from(text.to_owned()))
            .map_err(|error| LabError::ChangeRejected(error.to_string()))?;
        if let Ok(response) = client.request(request).await
            && let Ok(body) = response.into_body().collect().await
        {
            let body = body.to_bytes();
            match serde_json::from_slice::<Accepted>(&body) {
                Ok(accepted) => return Ok(accepted.number),
                Err(_) => last_error = String::from_utf8_lossy(&body).into_owned(),
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    Err(LabError::ChangeRejected(last_error))
}

/// Tracks the active version of each instance until the task is aborted.
pub(crate) async fn track_versions(testbed: Arc<Testbed>) {
    let mut last_versions = HashMap::new();
    loop {
        record_versions(&testbed, &mut last_versions);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Records version changes, reverts, and the activation time of changes that all instances have
/// activated.
fn record_versions(testbed: &Testbed, last_versions: &mut HashMap<Arc<str>, u64>) {
    let active_versions = active_versions(testbed);
    let min_version = active_versions.iter().map(|(_, number)| *number).min().unwrap_or(0);
    let mut event_log = testbed.event_log.lock();
    for (name, number) in active_versions {
        let previous = last_versions.insert(name, number);
        event_log.observed_version_changes += u64::from(previous != Some(number));
        event_log.config.reverts += u64::from(previous.is_some_and(|previous| previous > number));
    }
    let pending = std::mem::take(&mut event_log.pending);
    for (number, sent) in pending {
        if number > min_version {
            event_log.pending.push((number, sent));
            continue;
        }
        let activation_ms = sent.elapsed().as_millis() as u64;
        event_log.activation_ms.push(activation_ms);
        event_log.config.in_force_ms_max = event_log.config.in_force_ms_max.max(activation_ms);
    }
}

/// Returns the active version of each instance; instances without one, which do not serve yet,
/// are left out.
fn active_versions(testbed: &Testbed) -> Vec<(Arc<str>, u64)> {
    let instances = testbed.instances.lock();
    let active = instances.iter().filter_map(|instance| {
        let version = instance.daemon.process().version.load_full()?;
        Some((instance.name.clone(), version.number))
    });
    active.collect()
}
