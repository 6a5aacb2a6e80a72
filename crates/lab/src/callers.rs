//! Simulated callers, which look up instances, cache the look-up for its TTL, and send requests.
//!
//! After an attempt without a complete response or with an unknown outcome, a caller retries at the
//! next instance of its look-up, with the same idempotency key for a write. It honors `Retry-After`.

use crate::experiment::Load;
use crate::tally::{Attempt, Outcome, Tally};
use crate::testbed::Testbed;
use bytes::Bytes;
use configuration::Class;
use http::header::RETRY_AFTER;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Timeout of a caller for a complete response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause before the next look-up after one that no instance answered.
const LOOKUP_PAUSE: Duration = Duration::from_millis(200);

/// Maximum attempts per request, failed look-ups included.
const MAX_ATTEMPTS: usize = 3;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// The callers of one load in one availability zone.
pub(crate) struct Callers {
    pub(crate) load: Load,
    pub(crate) zone: Arc<str>,
    /// Address of each caller.
    pub(crate) addresses: Vec<IpAddr>,
    pub(crate) seed: u64,
    pub(crate) testbed: Arc<Testbed>,
    pub(crate) tally: Arc<Tally>,
}

#[derive(Clone, Debug, Deserialize)]
struct LookupResponse {
    instances: Vec<LookupInstance>,
    ttl_ms: u64,
    idempotency_key_prefix: String,
}

#[derive(Clone, Debug, Deserialize)]
struct LookupInstance {
    address: SocketAddr,
}

struct Session {
    callers: Callers,
    client: HttpClient,
    cached_lookups: Mutex<Vec<Option<(Instant, LookupResponse)>>>,
}

impl Callers {
    /// Sends requests at the load's rate until `end`, and waits until all have finished.
    pub(crate) async fn run(self, end: Instant) {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let mut random = SmallRng::seed_from_u64(self.seed);
        let rate = self.load.rate_per_s;
        let cached_lookups = Mutex::new(vec![None; self.addresses.len()]);
        let session = Arc::new(Session { callers: self, client, cached_lookups });
        let mut requests = JoinSet::new();
        let mut next = Instant::now();
        for number in 0_usize.. {
            let uniform: f64 = random.random();
            next += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
            if next >= end {
                break;
            }
            tokio::time::sleep_until(next).await;
            requests.spawn(session.clone().request(number));
        }
        while requests.join_next().await.is_some() {}
    }
}

impl Session {
    /// Sends one request until its outcome is final or the attempts are used up.
    async fn request(self: Arc<Self>, number: usize) {
        let started = Instant::now();
        let load = &self.callers.load;
        let tally = &self.callers.tally;
        let caller = number % self.callers.addresses.len();
        let mut idempotency_key = None;
        let mut last_attempt = Attempt::from(Outcome::NoResponse);
        let mut failures = 0;
        for attempt in 0..MAX_ATTEMPTS {
            let Some(lookup) = self.look_up(caller).await else {
                tokio::time::sleep(LOOKUP_PAUSE).await;
                continue;
            };
            let prefix = &lookup.idempotency_key_prefix;
            let idempotency_key =
                idempotency_key.get_or_insert_with(|| self.new_key(prefix, number));
            // Retries of a read get their own id; retries of a write keep the idempotency key.
            let id = match load.class {
                Class::Read => format!("{idempotency_key}-{attempt}"),
                Class::Write | Class::Upload => idempotency_key.clone(),
            };
            let Some(instance) = lookup.instances.get(failures % lookup.instances.len().max(1))
            else {
                continue;
            };
            last_attempt = self.send_with_timeout(caller, instance.address, &id).await;
            tally.record_attempt(load.class, &id, last_attempt.outcome);
            match (last_attempt.outcome, last_attempt.retry_after) {
                (Outcome::Answered | Outcome::Wrong | Outcome::NotRun, None) => break,
                (_, Some(pause)) => tokio::time::sleep(pause).await,
                _ => {
                    failures += 1;
                    self.cached_lookups.lock()[caller] = None;
                }
            }
        }
        tally.record_request(load, &last_attempt, started.elapsed());
        if let (Some(idempotency_key), Class::Write | Class::Upload) = (idempotency_key, load.class)
        {
            tally.record_write_key(idempotency_key);
        }
    }

    fn new_key(&self, prefix: &str, number: usize) -> String {
        format!("{prefix}{:x}-{number}", self.callers.seed)
    }

    /// Returns the cached look-up while it is valid, or else queries one instance after another.
    async fn look_up(&self, caller: usize) -> Option<LookupResponse> {
        if let Some((expires_at, lookup)) = &self.cached_lookups.lock()[caller]
            && Instant::now() < *expires_at
        {
            return Some(lookup.clone());
        }
        for instance in self.callers.testbed.instances_from(&self.callers.zone) {
            if let Some(lookup) = self.fetch_lookup(caller, instance).await {
                let expires_at = Instant::now() + Duration::from_millis(lookup.ttl_ms);
                self.cached_lookups.lock()[caller] = Some((expires_at, lookup.clone()));
                return Some(lookup);
            }
        }
        None
    }

    async fn fetch_lookup(&self, caller: usize, instance: SocketAddr) -> Option<LookupResponse> {
        let uri = format!("http://{instance}/lookup?service={}", self.callers.load.service);
        let request = Request::get(uri)
            .header("runpin-caller-address", self.callers.addresses[caller].to_string())
            .body(Full::default())
            .ok()?;
        let response = self.client.request(request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = response.into_body().collect().await.ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    }

    /// Sends the request to an instance and classifies the response.
    async fn send_with_timeout(&self, caller: usize, instance: SocketAddr, id: &str) -> Attempt {
        let started_at = Instant::now();
        let sending = tokio::time::timeout(CALLER_TIMEOUT, self.send(caller, instance, id));
        let attempt = sending.await.unwrap_or(Attempt::from(Outcome::NoResponse));
        if matches!(attempt.outcome, Outcome::NoResponse | Outcome::Truncated) {
            self.callers.tally.record_broken_attempt(instance, started_at, Instant::now());
        }
        attempt
    }

    async fn send(&self, caller: usize, instance: SocketAddr, id: &str) -> Attempt {
        let Some(request) = self.build_request(caller, instance, id) else {
            return Outcome::Wrong.into();
        };
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Outcome::ConnectFailed.into(),
            Err(_) => return Outcome::NoResponse.into(),
        };
        self.classify_response(response, id).await
    }

    fn build_request(
        &self,
        caller: usize,
        instance: SocketAddr,
        id: &str,
    ) -> Option<Request<Full<Bytes>>> {
        let load = &self.callers.load;
        let id_header = match load.class {
            Class::Read => "lab-request-id",
            Class::Write | Class::Upload => "idempotency-key",
        };
        let mut request = Request::builder()
            .method(load.method.parse::<Method>().ok()?)
            .uri(format!("http://{instance}{}", load.path))
            .header("runpin-caller-address", self.callers.addresses[caller].to_string())
            .header(id_header, id);
        if let Some(tenant) = &load.tenant {
            request = request.header("runpin-tenant", tenant);
        }
        request.body(Full::new(Bytes::from(vec![b'x'; load.body_bytes]))).ok()
    }

    async fn classify_response(&self, response: Response<Incoming>, id: &str) -> Attempt {
        let status = response.status();
        let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
        let outcome_header = header("runpin-outcome");
        let arm = header("runpin-arm");
        let retry_after_s = header(RETRY_AFTER.as_str()).and_then(|text| text.parse().ok());
        let Ok(body) = response.into_body().collect().await else {
            return Outcome::Truncated.into();
        };
        let expected = format!("{id} {}\n", self.callers.load.body_bytes);
        let outcome = match outcome_header.as_deref() {
            Some("not-run") => Outcome::NotRun,
            Some(_) => Outcome::Unknown,
            // An error response from the backend server itself.
            None if status.is_server_error() => Outcome::Unknown,
            None if status == StatusCode::OK && body.to_bytes() == expected => Outcome::Answered,
            None => Outcome::Wrong,
        };
        let retry_after = match outcome {
            Outcome::NotRun => retry_after_s.map(Duration::from_secs),
            _ => None,
        };
        Attempt { outcome, retry_after, arm }
    }
}
