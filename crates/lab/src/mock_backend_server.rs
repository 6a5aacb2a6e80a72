//! Stand-in of a backend server: slots, shedding, cold start, drain, health and load that lag or
//! lie, deadlines, cancellation, and a record of what it ran.

use crate::record::{Presence, RunRecord};
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

/// What an experiment can switch on while a backend server runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendSwitches {
    /// It means to leave: refuses new requests with 503 and `Connection: close`, and says so in
    /// its health.
    pub draining: bool,
    /// Requests that may wait for a slot; further ones are shed with 503.  No limit when absent.
    pub queue_limit: Option<u32>,
    /// Its health and load always look good.
    pub lies: bool,
    /// Age of the load that it reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Number of requests after its start for which it is cold, that is, slower.
    pub cold_requests: u32,
    /// How many times slower it is for the first of them; the factor falls to 1 with the last.
    pub cold_factor: f64,
}

/// A running backend server; it stops when dropped, and its connections break.
#[derive(Debug)]
pub struct MockBackendServer {
    /// Where it accepts requests.
    pub address: SocketAddr,
    state: Arc<State>,
    ending: CancellationToken,
}

#[derive(Debug)]
struct State {
    address: SocketAddr,
    options: BackendOptions,
    switches: Mutex<BackendSwitches>,
    slots: Semaphore,
    in_use: AtomicU32,
    peak_in_use: AtomicU32,
    served: AtomicU32,
    reported: Mutex<(Instant, u32)>,
    random: Mutex<SmallRng>,
    record: RunRecord,
}

impl MockBackendServer {
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
            address,
            options,
            switches: Mutex::default(),
            slots: Semaphore::new(options.slots as usize),
            in_use: AtomicU32::new(0),
            peak_in_use: AtomicU32::new(0),
            served: AtomicU32::new(0),
            reported: Mutex::new((Instant::now(), 0)),
            random: Mutex::new(SmallRng::seed_from_u64(options.seed)),
            record,
        });
        let ending = CancellationToken::new();
        tokio::spawn(ending.clone().run_until_cancelled_owned(accept(
            listener,
            state.clone(),
            ending.clone(),
        )));
        Ok(Self { address, state, ending })
    }

    /// Returns the greatest number of requests that were at this backend server at once.
    pub fn peak_in_use(&self) -> u32 {
        self.state.peak_in_use.load(Ordering::Relaxed)
    }

    /// Changes what is switched on.
    pub fn switch(&self, change: impl FnOnce(&mut BackendSwitches)) {
        change(&mut self.state.switches.lock());
    }
}

impl Drop for MockBackendServer {
    fn drop(&mut self) {
        self.ending.cancel();
    }
}

async fn accept(listener: TcpListener, state: Arc<State>, ending: CancellationToken) {
    while let Ok((stream, peer)) = listener.accept().await {
        let state = state.clone();
        let service = service_fn(move |request| {
            let state = state.clone();
            async move { Ok::<_, Infallible>(answer(state, peer, request).await) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // A broken connection is the other side's to notice.
        tokio::spawn(ending.clone().run_until_cancelled_owned(connection));
    }
}

async fn answer(
    state: Arc<State>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match request.uri().path() {
        "/health" => health(&state),
        "/load" => load(&state),
        _ => run(&state, peer, request).await,
    }
}

fn health(state: &State) -> Response<Full<Bytes>> {
    let switches = *state.switches.lock();
    match switches.draining && !switches.lies {
        true => status(StatusCode::SERVICE_UNAVAILABLE),
        false => status(StatusCode::OK),
    }
}

/// Reports slots and requests present, as they were up to `load_lag_ms` ago.
fn load(state: &State) -> Response<Full<Bytes>> {
    let switches = *state.switches.lock();
    let mut reported = state.reported.lock();
    if reported.0.elapsed() >= Duration::from_millis(switches.load_lag_ms) {
        *reported = (Instant::now(), state.in_use.load(Ordering::Relaxed));
    }
    let in_use = if switches.lies { 0 } else { reported.1 };
    let body = serde_json::json!({ "slots": state.options.slots, "in_use": in_use });
    let mut response = Response::new(Full::new(body.to_string().into()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Counts a request as present until dropped.
struct InUse<'a>(&'a State);

impl<'a> InUse<'a> {
    fn new(state: &'a State) -> Self {
        let now = state.in_use.fetch_add(1, Ordering::Relaxed) + 1;
        state.peak_in_use.fetch_max(now, Ordering::Relaxed);
        Self(state)
    }
}

impl Drop for InUse<'_> {
    fn drop(&mut self) {
        self.0.in_use.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn run(state: &State, peer: SocketAddr, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let mut presence = state.record.arrive(state.address, peer);
    let switches = *state.switches.lock();
    let full = switches
        .queue_limit
        .is_some_and(|limit| state.in_use.load(Ordering::Relaxed) >= state.options.slots + limit);
    if switches.draining || full {
        return shed(switches.draining);
    }
    let _in_use = InUse::new(state);
    let Some(timeout_ms) = timeout_ms(request.headers()) else {
        return serve(state, &mut presence, request).await;
    };
    // What is not done by the deadline is given up, as the caller has.
    tokio::time::timeout(Duration::from_millis(timeout_ms), serve(state, &mut presence, request))
        .await
        .unwrap_or_else(|_| status(StatusCode::GATEWAY_TIMEOUT))
}

async fn serve(
    state: &State,
    presence: &mut Presence,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let id = id_of(request.headers());
    let Ok(_slot) = state.slots.acquire().await else { return status(StatusCode::GONE) };
    let Some(bytes) = count_bytes(request.into_body()).await else {
        return status(StatusCode::BAD_REQUEST);
    };
    presence.run(&id);
    let service_time = service_time(state);
    // Even a sleep of no length waits for the timer's next tick.
    if !service_time.is_zero() {
        tokio::time::sleep(service_time).await;
    }
    let text = format!("{id} {bytes}\n");
    Response::new(Full::new(text.into()))
}

/// Reads a body to its end without keeping it; `None` when it is cut short.
async fn count_bytes(mut body: Incoming) -> Option<usize> {
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        bytes += frame.ok()?.data_ref().map_or(0, Bytes::len);
    }
    Some(bytes)
}

fn shed(draining: bool) -> Response<Full<Bytes>> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    if draining {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn service_time(state: &State) -> Duration {
    let uniform: f64 = state.random.lock().random();
    let milliseconds = -state.options.mean_service_ms * (1.0 - uniform).ln();
    Duration::from_secs_f64(milliseconds * coldness(state) / 1_000.0)
}

/// Returns how many times slower the next request is for the server's being cold.
fn coldness(state: &State) -> f64 {
    let served = state.served.fetch_add(1, Ordering::Relaxed);
    let switches = *state.switches.lock();
    if served >= switches.cold_requests {
        return 1.0;
    }
    let warm = f64::from(served) / f64::from(switches.cold_requests);
    switches.cold_factor + (1.0 - switches.cold_factor) * warm
}

fn timeout_ms(headers: &HeaderMap) -> Option<u64> {
    headers.get("runpin-timeout-ms")?.to_str().ok()?.parse().ok()
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
