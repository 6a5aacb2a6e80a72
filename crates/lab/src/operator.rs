//! Operators: they change the configuration, and the lab watches until it is in force.

use crate::LabError;
use crate::testbed::{LAB_SECRET, Laboratory};
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

/// How long an operator tries to have a change accepted.
const PATIENCE: Duration = Duration::from_secs(20);

/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time between two looks at the versions in force.
const WATCH_PERIOD: Duration = Duration::from_millis(20);

#[derive(Debug, Deserialize)]
struct Accepted {
    number: u64,
}

/// Changes one field of the configuration through an instance's address for operators.
pub(crate) async fn change(
    laboratory: &Laboratory,
    path: &[String],
    value: Value,
) -> Result<(), LabError> {
    let unknown = || LabError::Field(path.join("."));
    let mut table: Table = laboratory.text.lock().parse().map_err(|_| unknown())?;
    let field = path.iter().try_fold(Place::Table(&mut table), Place::enter).ok_or_else(unknown)?;
    let Place::Value(field) = field else { return Err(unknown()) };
    *field = value;
    let text = toml::to_string(&table).map_err(|_| unknown())?;
    let sent = Instant::now();
    let number = apply(laboratory, &text).await?;
    *laboratory.text.lock() = text;
    let mut journal = laboratory.journal.lock();
    journal.config.accepted += 1;
    journal.pending.push((number, sent));
    Ok(())
}

/// A place in the configuration on the way to a field.
enum Place<'a> {
    Table(&'a mut Table),
    Value(&'a mut Value),
}

impl<'a> Place<'a> {
    /// Goes into a table's field, or into the entry of a list that has this `name`.
    fn enter(self, name: &String) -> Option<Self> {
        let value = match self {
            Place::Table(table) | Place::Value(Value::Table(table)) => table.get_mut(name)?,
            Place::Value(Value::Array(entries)) => entries
                .iter_mut()
                .find(|entry| entry.get("name").and_then(Value::as_str) == Some(name.as_str()))?,
            Place::Value(_) => return None,
        };
        Some(Place::Value(value))
    }
}

/// Sends the text to one instance after another until one says that it is accepted.
async fn apply(laboratory: &Laboratory, text: &str) -> Result<u64, LabError> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let until = Instant::now() + PATIENCE;
    let mut refusal = "no instance".to_owned();
    for try_number in 0.. {
        let instances: Vec<SocketAddr> = {
            let instances = laboratory.instances.lock();
            instances.iter().map(|instance| instance.daemon.admin_address()).collect()
        };
        if Instant::now() > until || instances.is_empty() {
            break;
        }
        let instance = instances[try_number % instances.len()];
        let uri = format!("http://{instance}/v1/configuration?author=lab");
        let request = Request::put(uri)
            .header(AUTHORIZATION, format!("Bearer {LAB_SECRET}"))
            .body(Full::from(text.to_owned()))
            .map_err(|error| LabError::Refused(error.to_string()))?;
        if let Ok(response) = client.request(request).await
            && let Ok(body) = response.into_body().collect().await
        {
            let body = body.to_bytes();
            match serde_json::from_slice::<Accepted>(&body) {
                Ok(accepted) => return Ok(accepted.number),
                Err(_) => refusal = String::from_utf8_lossy(&body).into_owned(),
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    Err(LabError::Refused(refusal))
}

/// Watches which version each instance has in force, for ever.
pub(crate) async fn watch(laboratory: Arc<Laboratory>) {
    let mut seen = HashMap::new();
    loop {
        observe(&laboratory, &mut seen);
        tokio::time::sleep(WATCH_PERIOD).await;
    }
}

/// Notes reverts and the changes that are in force everywhere.
fn observe(laboratory: &Laboratory, seen: &mut HashMap<Arc<str>, u64>) {
    let versions = versions(laboratory);
    let lowest = versions.iter().map(|(_, number)| *number).min().unwrap_or(0);
    let mut journal = laboratory.journal.lock();
    for (name, number) in versions {
        let before = seen.insert(name, number);
        journal.versions_seen += u64::from(before != Some(number));
        journal.config.reverts += u64::from(before.is_some_and(|before| before > number));
    }
    let pending = std::mem::take(&mut journal.pending);
    for (number, sent) in pending {
        if number > lowest {
            journal.pending.push((number, sent));
            continue;
        }
        let in_force_ms = sent.elapsed().as_millis() as u64;
        journal.in_force_ms.push(in_force_ms);
        journal.config.in_force_ms_max = journal.config.in_force_ms_max.max(in_force_ms);
    }
}

/// Returns the version that each instance has in force; one without any does not serve yet.
fn versions(laboratory: &Laboratory) -> Vec<(Arc<str>, u64)> {
    let instances = laboratory.instances.lock();
    let with_version = instances.iter().filter_map(|instance| {
        let version = instance.daemon.process().version.load_full()?;
        Some((instance.name.clone(), version.number))
    });
    with_version.collect()
}
