//! Mock backend server with slots, load shedding, cold start, drain, health and load reports that
//! can be stale or false, request deadlines, cancellation, and a record of the requests it ran.

use crate::record::{ActiveRequest, RunRecord};
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Properties of a backend server that are fixed at its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendOptions {
    /// Requests that run concurrently; further ones wait.
    pub slots: u32,
    /// Mean of the exponentially distributed service time, in milliseconds.
    pub mean_service_ms: f64,
    /// Seed of the random service times.
    pub seed: u64,
}

/// Behavior that an experiment can change while a backend server runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendBehavior {
    /// The server rejects new requests with 503 and `Connection: close`, and its health check
    /// fails with 503.
    pub draining: bool,
    /// Requests that may wait for a slot; further ones are shed with 503. `None` means no limit.
    pub queue_limit: Option<u32>,
    /// The health check always succeeds and the reported load is always 0.
    pub reports_false_health: bool,
    /// Maximum age of the reported load, in milliseconds.
    pub load_lag_ms: u64,
    /// Number of requests after the start that are slower because the server is cold.
    pub cold_requests: u32,
    /// Factor on the service time of the first cold request; it falls linearly to 1 after the
    /// last.
    pub cold_factor: f64,
}

/// A running backend server. Dropping it stops the server and closes its connections.
#[derive(Debug)]
pub struct MockBackendServer {
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    state: Arc<State>,
    shutdown: CancellationToken,
}

#[derive(Debug)]
struct State {
    address: SocketAddr,
    options: BackendOptions,
    behavior: Mutex<BackendBehavior>,
    slots: Semaphore,
    in_use: AtomicU32,
    peak_in_use: AtomicU32,
    served: AtomicU32,
    reported_load: Mutex<(Instant, u32)>,
    random: Mutex<SmallRng>,
    record: RunRecord,
}

impl MockBackendServer {
    /// Starts a backend server on a free loopback port.
    pub async fn start(options: BackendOptions, record: RunRecord) -> std::io::Result<Self> {
        Self::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), options, record).await
    }

    /// Starts a backend server on the given address.
    pub async fn start_on(
        address: SocketAddr,
        options: BackendOptions,
        record: RunRecord,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            address,
            options,
            behavior: Mutex::default(),
            slots: Semaphore::new(options.slots as usize),
            in_use: AtomicU32::new(0),
            peak_in_use: AtomicU32::new(0),
            served: AtomicU32::new(0),
            reported_load: Mutex::new((Instant::now(), 0)),
            random: Mutex::new(SmallRng::seed_from_u64(options.seed)),
            record,
        });
        let shutdown = CancellationToken::new();
        tokio::spawn(shutdown.clone().run_until_cancelled_owned(accept_connections(
            listener,
            state.clone(),
            shutdown.clone(),
        )));
        Ok(Self { address, state, shutdown })
    }

    /// Returns the highest number of concurrent requests, running or waiting, so far.
    pub fn peak_in_use(&self) -> u32 {
        self.state.peak_in_use.load(Ordering::Relaxed)
    }

    /// Changes the current behavior.
    pub fn update_behavior(&self, change: impl FnOnce(&mut BackendBehavior)) {
        change(&mut self.state.behavior.lock());
    }
}

impl Drop for MockBackendServer {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

async fn accept_connections(listener: TcpListener, state: Arc<State>, shutdown: CancellationToken) {
    while let Ok((stream, peer)) = listener.accept().await {
        let state = state.clone();
        let service = service_fn(move |request| {
            let state = state.clone();
            async move { Ok::<_, Infallible>(handle(state, peer, request).await) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // Connection errors are ignored: the client sees them too.
        tokio::spawn(shutdown.clone().run_until_cancelled_owned(connection));
    }
}

async fn handle(
    state: Arc<State>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match request.uri().path() {
        "/health" => health_response(&state),
        "/load" => load_response(&state),
        _ => run_request(&state, peer, request).await,
    }
}

fn health_response(state: &State) -> Response<Full<Bytes>> {
    let behavior = *state.behavior.lock();
    match behavior.draining && !behavior.reports_false_health {
        true => status_response(StatusCode::SERVICE_UNAVAILABLE),
        false => status_response(StatusCode::OK),
    }
}

/// Returns the slots and the number of concurrent requests as JSON; the number is up to
/// `load_lag_ms` old.
fn load_response(state: &State) -> Response<Full<Bytes>> {
    let behavior = *state.behavior.lock();
    let mut reported_load = state.reported_load.lock();
    if reported_load.0.elapsed() >= Duration::from_millis(behavior.load_lag_ms) {
        *reported_load = (Instant::now(), state.in_use.load(Ordering::Relaxed));
    }
    let in_use = if behavior.reports_false_health { 0 } else { reported_load.1 };
    let body = serde_json::json!({ "slots": state.options.slots, "in_use": in_use });
    let mut response = Response::new(Full::new(body.to_string().into()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Counts a request as in use until dropped.
struct InUseGuard<'a>(&'a State);

impl<'a> InUseGuard<'a> {
    fn new(state: &'a State) -> Self {
        let now = state.in_use.fetch_add(1, Ordering::Relaxed) + 1;
        state.peak_in_use.fetch_max(now, Ordering::Relaxed);
        Self(state)
    }
}

impl Drop for InUseGuard<'_> {
    fn drop(&mut self) {
        self.0.in_use.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn run_request(
    state: &State,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let mut active_request = state.record.begin_request(state.address, peer);
    let behavior = *state.behavior.lock();
    let queue_full = behavior
        .queue_limit
        .is_some_and(|limit| state.in_use.load(Ordering::Relaxed) >= state.options.slots + limit);
    if behavior.draining || queue_full {
        return shed_response(behavior.draining);
    }
    let _in_use = InUseGuard::new(state);
    let Some(timeout_ms) = timeout_ms(request.headers()) else {
        return execute(state, &mut active_request, request).await;
    };
    // A request past its deadline is canceled, since its caller no longer waits.
    tokio::time::timeout(
        Duration::from_millis(timeout_ms),
        execute(state, &mut active_request, request),
    )
    .await
    .unwrap_or_else(|_| status_response(StatusCode::GATEWAY_TIMEOUT))
}

async fn execute(
    state: &State,
    active_request: &mut ActiveRequest,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let id = request_id(request.headers());
    let Ok(_slot) = state.slots.acquire().await else { return status_response(StatusCode::GONE) };
    let Some(bytes) = count_bytes(request.into_body()).await else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    active_request.record_run(&id);
    let service_time = service_time(state);
    // A sleep of zero length would still wait for the next tick of the timer.
    if !service_time.is_zero() {
        tokio::time::sleep(service_time).await;
    }
    let text = format!("{id} {bytes}\n");
    Response::new(Full::new(text.into()))
}

/// Reads a body to its end and returns its length in bytes; `None` when it is truncated.
async fn count_bytes(mut body: Incoming) -> Option<usize> {
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        bytes += frame.ok()?.data_ref().map_or(0, Bytes::len);
    }
    Some(bytes)
}

fn shed_response(draining: bool) -> Response<Full<Bytes>> {
    let mut response = status_response(StatusCode::SERVICE_UNAVAILABLE);
    if draining {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn service_time(state: &State) -> Duration {
    let uniform: f64 = state.random.lock().random();
    let milliseconds = -state.options.mean_service_ms * (1.0 - uniform).ln();
    Duration::from_secs_f64(milliseconds * cold_start_factor(state) / 1_000.0)
}

/// Counts a request and returns the factor that a cold start puts on its service time.
fn cold_start_factor(state: &State) -> f64 {
    let served = state.served.fetch_add(1, Ordering::Relaxed);
    let behavior = *state.behavior.lock();
    if served >= behavior.cold_requests {
        return 1.0;
    }
    let progress = f64::from(served) / f64::from(behavior.cold_requests);
    behavior.cold_factor + (1.0 - behavior.cold_factor) * progress
}

fn timeout_ms(headers: &HeaderMap) -> Option<u64> {
    headers.get("runpin-timeout-ms")?.to_str().ok()?.parse().ok()
}

/// Returns the idempotency key, or else the request id that the lab's callers send with reads.
fn request_id(headers: &HeaderMap) -> String {
    ["idempotency-key", "lab-request-id"]
        .iter()
        .find_map(|name| headers.get(*name)?.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

fn status_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
