//! Stand-in of the platform: objects with versions, conditional updates and watches, and a list
//! of instances, in memory, with switches for its failures.

use ::platform::wire::{
    BatchBody, ConflictBody, INSTANCES_PATH, InstancesBody, OBJECTS_PATH, ObjectBody, VersionBody,
};
use ::platform::{
    Expected, InstanceDirectory, InstanceEntry, Object, ObjectStore, StoreError, UnavailableCause,
    Version, WatchBatch,
};
use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Largest value, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Failures that an experiment can switch on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlatformSwitches {
    /// Every call fails and has no effect.
    pub outage: bool,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// Every write takes effect but its answer is lost.
    pub lose_write_answers: bool,
}

/// The platform, in memory.
#[derive(Debug)]
pub struct PlatformStandIn {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    switches: Mutex<PlatformSwitches>,
    calls: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<Arc<str>, Object>,
    deleted: BTreeMap<Arc<str>, Version>,
    entry_instances: Vec<InstanceEntry>,
    leaving_backend_servers: Vec<SocketAddr>,
}

impl Default for PlatformStandIn {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            switches: Mutex::default(),
            calls: AtomicU64::new(0),
        }
    }
}

impl PlatformStandIn {
    /// Sets the failures.
    pub fn set_switches(&self, switches: PlatformSwitches) {
        *self.switches.lock() = switches;
    }

    /// Returns the number of calls so far; a waiting watch counts as one.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Replaces the list of entry instances.
    pub fn set_entry_instances(&self, entries: Vec<InstanceEntry>) {
        self.state.lock().entry_instances = entries;
    }

    /// Replaces the list of leaving backend servers.
    pub fn set_leaving_backend_servers(&self, leaving: Vec<SocketAddr>) {
        self.state.lock().leaving_backend_servers = leaving;
    }

    async fn admit(&self) -> Result<PlatformSwitches, StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let switches = *self.switches.lock();
        tokio::time::sleep(Duration::from_millis(switches.slow_ms)).await;
        if switches.outage {
            return Err(StoreError::Unavailable(UnavailableCause::Status(503)));
        }
        Ok(switches)
    }

    fn changes(&self, prefix: &str, after: Version) -> WatchBatch {
        let state = self.state.lock();
        let under = |key: &Arc<str>| key.starts_with(prefix);
        WatchBatch {
            revision: Version(state.revision),
            changed: state
                .objects
                .values()
                .filter(|object| under(&object.key) && object.version > after)
                .cloned()
                .collect(),
            deleted: state
                .deleted
                .iter()
                .filter(|(key, version)| under(key) && **version > after)
                .map(|(key, _)| key.clone())
                .collect(),
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: Bytes, expected: Expected) -> Result<Version, StoreError> {
        let current = self.objects.get(key).map(|object| object.version);
        let wanted = match expected {
            Expected::Absent => None,
            Expected::Version(version) => Some(version),
        };
        if current != wanted {
            return Err(StoreError::Conflict { current });
        }
        self.revision += 1;
        let version = Version(self.revision);
        let key: Arc<str> = key.into();
        self.deleted.remove(&key);
        self.objects.insert(key.clone(), Object { key, version, value });
        Ok(version)
    }

    fn delete(&mut self, key: &str, expected: Version) -> Result<(), StoreError> {
        let current = self.objects.get(key).map(|object| object.version);
        if current != Some(expected) {
            return Err(StoreError::Conflict { current });
        }
        self.revision += 1;
        self.objects.remove(key);
        self.deleted.insert(key.into(), Version(self.revision));
        Ok(())
    }
}

#[async_trait]
impl ObjectStore for PlatformStandIn {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.admit().await?;
        Ok(self.state.lock().objects.get(key).cloned())
    }

    async fn list(&self, prefix: &str) -> Result<WatchBatch, StoreError> {
        self.admit().await?;
        Ok(self.changes(prefix, Version(0)))
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expected: Expected,
    ) -> Result<Version, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge { bytes: value.len(), limit: MAX_VALUE_BYTES });
        }
        let switches = self.admit().await?;
        let version = self.state.lock().put(key, value, expected)?;
        self.changed.send_replace(version.0);
        if switches.lose_write_answers { Err(StoreError::Unsure) } else { Ok(version) }
    }

    async fn delete(&self, key: &str, expected: Version) -> Result<(), StoreError> {
        let switches = self.admit().await?;
        self.state.lock().delete(key, expected)?;
        self.changed.send_modify(|_| {});
        if switches.lose_write_answers { Err(StoreError::Unsure) } else { Ok(()) }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        self.admit().await?;
        let mut changed = self.changed.subscribe();
        let found = async {
            loop {
                changed.mark_unchanged();
                let batch = self.changes(prefix, after);
                if !batch.changed.is_empty() || !batch.deleted.is_empty() {
                    return batch;
                }
                // The sender lives as long as `self`.
                let _ = changed.changed().await;
            }
        };
        match tokio::time::timeout(wait, found).await {
            Ok(batch) if self.switches.lock().outage => {
                drop(batch);
                Err(StoreError::Unavailable(UnavailableCause::Status(503)))
            }
            Ok(batch) => Ok(batch),
            Err(_) => Ok(self.changes(prefix, after)),
        }
    }
}

#[async_trait]
impl InstanceDirectory for PlatformStandIn {
    async fn entry_instances(&self) -> Result<Vec<InstanceEntry>, StoreError> {
        self.admit().await?;
        Ok(self.state.lock().entry_instances.clone())
    }

    async fn leaving_backend_servers(&self) -> Result<Vec<SocketAddr>, StoreError> {
        self.admit().await?;
        Ok(self.state.lock().leaving_backend_servers.clone())
    }
}

/// Serves the platform's HTTP/JSON protocol until the task is dropped.
pub async fn serve(listener: TcpListener, platform: Arc<PlatformStandIn>) {
    while let Ok((stream, _)) = listener.accept().await {
        let platform = platform.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let platform = platform.clone();
                async move { Ok::<_, Infallible>(answer(&platform, request).await) }
            });
            // A broken connection is the client's to notice.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn answer(platform: &PlatformStandIn, request: Request<Incoming>) -> Response<Full<Bytes>> {
    match try_answer(platform, request).await {
        Ok(response) => response,
        Err(StoreError::Conflict { current }) => {
            let body = ConflictBody { current: current.map(|version| version.0) };
            json(StatusCode::CONFLICT, &body)
        }
        Err(StoreError::TooLarge { .. }) => empty(StatusCode::PAYLOAD_TOO_LARGE),
        Err(StoreError::Unsure) => empty(StatusCode::INTERNAL_SERVER_ERROR),
        Err(_) => empty(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn try_answer(
    platform: &PlatformStandIn,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, StoreError> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    if path == INSTANCES_PATH && method == Method::GET {
        let body = InstancesBody {
            entry: platform.entry_instances().await?,
            leaving_backend_servers: platform.state.lock().leaving_backend_servers.clone(),
        };
        return Ok(json(StatusCode::OK, &body));
    }
    if path == OBJECTS_PATH && method == Method::GET {
        let prefix = parameter(&query, "prefix").unwrap_or_default();
        let batch = match number(&query, "after") {
            Some(after) => {
                let wait_ms = number(&query, "wait_ms").unwrap_or(0);
                platform.watch(prefix, Version(after), Duration::from_millis(wait_ms)).await?
            }
            None => platform.list(prefix).await?,
        };
        return Ok(json(StatusCode::OK, &batch_body(batch)));
    }
    let Some(key) = path.strip_prefix("/objects/") else {
        return Ok(empty(StatusCode::NOT_FOUND));
    };
    let if_version = number(&query, "if_version").unwrap_or(0);
    match method {
        Method::GET => Ok(match platform.get(key).await? {
            Some(object) => json(StatusCode::OK, &object_body(object)),
            None => empty(StatusCode::NOT_FOUND),
        }),
        Method::PUT => {
            let too_large = |_| StoreError::TooLarge { bytes: 0, limit: MAX_VALUE_BYTES };
            let body = Limited::new(request.into_body(), MAX_VALUE_BYTES);
            let value = body.collect().await.map_err(too_large)?.to_bytes();
            let expected = match if_version {
                0 => Expected::Absent,
                version => Expected::Version(Version(version)),
            };
            let version = platform.put(key, value, expected).await?.0;
            Ok(json(StatusCode::OK, &VersionBody { version }))
        }
        Method::DELETE => {
            platform.delete(key, Version(if_version)).await?;
            Ok(empty(StatusCode::OK))
        }
        _ => Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn number(query: &str, name: &str) -> Option<u64> {
    parameter(query, name)?.parse().ok()
}

fn object_body(object: Object) -> ObjectBody {
    let value = String::from_utf8_lossy(&object.value).into();
    ObjectBody { key: object.key, version: object.version.0, value }
}

fn batch_body(batch: WatchBatch) -> BatchBody {
    BatchBody {
        revision: batch.revision.0,
        objects: batch.changed.into_iter().map(object_body).collect(),
        deleted: batch.deleted,
    }
}

fn json<T: serde::Serialize>(status: StatusCode, body: &T) -> Response<Full<Bytes>> {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
