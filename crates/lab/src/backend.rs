//! Stand-in of a backend server: slots, service times, and a record of what it ran.

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

/// How a backend server behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendOptions {
    /// Requests run at once; further ones wait.
    pub slots: u32,
    /// Mean of the exponentially distributed service time, in milliseconds.
    pub mean_service_ms: f64,
    /// Seed of its service times.
    pub seed: u64,
}

/// One request that a backend server ran.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Run {
    /// Idempotency key, or the id of a request without one.
    pub id: Arc<str>,
}

/// What all backend servers of an experiment ran.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    runs: Arc<Mutex<HashMap<Arc<str>, u32>>>,
}

impl RunRecord {
    /// Returns how often the request with this id was run.
    pub fn times_run(&self, id: &str) -> u32 {
        self.runs.lock().get(id).copied().unwrap_or(0)
    }

    fn add(&self, id: &str) {
        *self.runs.lock().entry(id.into()).or_default() += 1;
    }
}

/// A running backend server; it stops when dropped.
#[derive(Debug)]
pub struct BackendStandIn {
    /// Where it accepts requests.
    pub address: SocketAddr,
    state: Arc<State>,
    accepting: JoinHandle<()>,
}

#[derive(Debug)]
struct State {
    options: BackendOptions,
    slots: Semaphore,
    in_use: AtomicU32,
    peak_in_use: AtomicU32,
    random: Mutex<SmallRng>,
    record: RunRecord,
}

impl BackendStandIn {
    /// Starts a backend server on a free port of loopback.
    pub async fn start(options: BackendOptions, record: RunRecord) -> std::io::Result<Self> {
        Self::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), options, record).await
    }

    /// Starts a backend server on an address.
    pub async fn start_on(
        address: SocketAddr,
        options: BackendOptions,
        record: RunRecord,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            options,
            slots: Semaphore::new(options.slots as usize),
            in_use: AtomicU32::new(0),
            peak_in_use: AtomicU32::new(0),
            random: Mutex::new(SmallRng::seed_from_u64(options.seed)),
            record,
        });
        let accepting = tokio::spawn(accept(listener, state.clone()));
        Ok(Self { address, state, accepting })
    }

    /// Returns the greatest number of requests that were at this backend server at once.
    pub fn peak_in_use(&self) -> u32 {
        self.state.peak_in_use.load(Ordering::Relaxed)
    }
}

impl Drop for BackendStandIn {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(listener: TcpListener, state: Arc<State>) {
    while let Ok((stream, _)) = listener.accept().await {
        let state = state.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| run(state.clone(), request));
            // A broken connection is the other side's to notice.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Counts a request as present until dropped.
struct Presence(Arc<State>);

impl Presence {
    fn new(state: &Arc<State>) -> Self {
        let now = state.in_use.fetch_add(1, Ordering::Relaxed) + 1;
        state.peak_in_use.fetch_max(now, Ordering::Relaxed);
        Self(state.clone())
    }
}

impl Drop for Presence {
    fn drop(&mut self) {
        self.0.in_use.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn run(
    state: Arc<State>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let _presence = Presence::new(&state);
    let id = id_of(request.headers());
    let Ok(_slot) = state.slots.acquire().await else { return Ok(status(StatusCode::GONE)) };
    let Ok(body) = request.into_body().collect().await else {
        return Ok(status(StatusCode::BAD_REQUEST));
    };
    state.record.add(&id);
    tokio::time::sleep(service_time(&state)).await;
    let text = format!("{id} {}\n", body.to_bytes().len());
    Ok(Response::new(Full::new(text.into())))
}

fn service_time(state: &State) -> Duration {
    let uniform: f64 = state.random.lock().random();
    let milliseconds = -state.options.mean_service_ms * (1.0 - uniform).ln();
    Duration::from_secs_f64(milliseconds / 1_000.0)
}

/// Returns the idempotency key, else the id that the lab's callers give every request.
fn id_of(headers: &HeaderMap) -> String {
    ["idempotency-key", "lab-request-id"]
        .iter()
        .find_map(|name| headers.get(*name)?.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
