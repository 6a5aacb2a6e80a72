//! Callers: they look up an instance, keep the answer for its TTL, and send requests.
//!
//! A caller that got no answer, or none that settles the matter, goes on to the next instance of
//! its look-up, with the same idempotency key for a write; one that was told when to come back
//! does so.

use crate::experiment::Load;
use crate::tally::{Attempt, Seen, Tally};
use crate::testbed::Laboratory;
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

/// How long a caller waits for a whole answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause before a caller that found no instance asks again.
const LOOKUP_PAUSE: Duration = Duration::from_millis(200);

/// How often a caller sends one request before it gives up.
const MAX_ATTEMPTS: usize = 3;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Callers of one availability zone with one load.
pub(crate) struct Callers {
    pub(crate) load: Load,
    pub(crate) zone: Arc<str>,
    /// One for each caller.
    pub(crate) addresses: Vec<IpAddr>,
    pub(crate) seed: u64,
    pub(crate) laboratory: Arc<Laboratory>,
    pub(crate) tally: Arc<Tally>,
}

#[derive(Clone, Debug, Deserialize)]
struct LookupAnswer {
    instances: Vec<InstanceAnswer>,
    ttl_ms: u64,
    idempotency_key_prefix: String,
}

#[derive(Clone, Debug, Deserialize)]
struct InstanceAnswer {
    address: SocketAddr,
}

struct Session {
    callers: Callers,
    client: HttpClient,
    cached: Mutex<Vec<Option<(Instant, LookupAnswer)>>>,
}

impl Callers {
    /// Sends requests at the load's rate until `end`, and waits for all their answers.
    pub(crate) async fn run(self, end: Instant) {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let mut random = SmallRng::seed_from_u64(self.seed);
        let rate = self.load.rate_per_s;
        let cached = Mutex::new(vec![None; self.addresses.len()]);
        let session = Arc::new(Session { callers: self, client, cached });
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
    /// Sends one request until it has an answer that settles it, or the caller gives up.
    async fn request(self: Arc<Self>, number: usize) {
        let started = Instant::now();
        let load = &self.callers.load;
        let tally = &self.callers.tally;
        let caller = number % self.callers.addresses.len();
        let mut key = None;
        let mut last = Attempt::from(Seen::Lost);
        let mut failed = 0;
        for attempt in 0..MAX_ATTEMPTS {
            let Some(answer) = self.look_up(caller).await else {
                tokio::time::sleep(LOOKUP_PAUSE).await;
                continue;
            };
            let prefix = &answer.idempotency_key_prefix;
            let key = key.get_or_insert_with(|| self.new_key(prefix, number));
            // A read sent again is another request; a write sent again is the same one.
            let id = match load.class {
                Class::Read => format!("{key}-{attempt}"),
                Class::Write | Class::Upload => key.clone(),
            };
            let Some(instance) = answer.instances.get(failed % answer.instances.len().max(1))
            else {
                continue;
            };
            last = self.attempt(caller, instance.address, &id).await;
            tally.told(load.class, &id, last.seen);
            match (last.seen, last.retry_after) {
                (Seen::Answered | Seen::Wrong | Seen::NotRun, None) => break,
                (_, Some(pause)) => tokio::time::sleep(pause).await,
                _ => {
                    failed += 1;
                    self.cached.lock()[caller] = None;
                }
            }
        }
        tally.count(load, &last, started.elapsed());
        if let (Some(key), Class::Write | Class::Upload) = (key, load.class) {
            tally.write(key);
        }
    }

    fn new_key(&self, prefix: &str, number: usize) -> String {
        format!("{prefix}{:x}-{number}", self.callers.seed)
    }

    /// Returns the cached answer while it is valid, else asks one instance after another.
    async fn look_up(&self, caller: usize) -> Option<LookupAnswer> {
        if let Some((until, answer)) = &self.cached.lock()[caller]
            && Instant::now() < *until
        {
            return Some(answer.clone());
        }
        for instance in self.callers.laboratory.instances_from(&self.callers.zone) {
            if let Some(answer) = self.ask(caller, instance).await {
                let until = Instant::now() + Duration::from_millis(answer.ttl_ms);
                self.cached.lock()[caller] = Some((until, answer.clone()));
                return Some(answer);
            }
        }
        None
    }

    async fn ask(&self, caller: usize, instance: SocketAddr) -> Option<LookupAnswer> {
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

    /// Sends the request to an instance and judges what comes back.
    async fn attempt(&self, caller: usize, instance: SocketAddr, id: &str) -> Attempt {
        let began = Instant::now();
        let sending = tokio::time::timeout(CALLER_TIMEOUT, self.send(caller, instance, id));
        let attempt = sending.await.unwrap_or(Attempt::from(Seen::Lost));
        if matches!(attempt.seen, Seen::Lost | Seen::Cut) {
            self.callers.tally.broken(instance, began, Instant::now());
        }
        attempt
    }

    async fn send(&self, caller: usize, instance: SocketAddr, id: &str) -> Attempt {
        let Some(request) = self.build(caller, instance, id) else { return Seen::Wrong.into() };
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Seen::NotReached.into(),
            Err(_) => return Seen::Lost.into(),
        };
        self.judge(response, id).await
    }

    fn build(&self, caller: usize, instance: SocketAddr, id: &str) -> Option<Request<Full<Bytes>>> {
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

    async fn judge(&self, response: Response<Incoming>, id: &str) -> Attempt {
        let status = response.status();
        let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
        let outcome = header("runpin-outcome");
        let arm = header("runpin-arm");
        let retry_after_s = header(RETRY_AFTER.as_str()).and_then(|text| text.parse().ok());
        let Ok(body) = response.into_body().collect().await else { return Seen::Cut.into() };
        let whole = format!("{id} {}\n", self.callers.load.body_bytes);
        let seen = match outcome.as_deref() {
            Some("not-run") => Seen::NotRun,
            Some(_) => Seen::Unknown,
            // The backend server's own refusal.
            None if status.is_server_error() => Seen::Unknown,
            None if status == StatusCode::OK && body.to_bytes() == whole => Seen::Answered,
            None => Seen::Wrong,
        };
        let retry_after = match seen {
            Seen::NotRun => retry_after_s.map(Duration::from_secs),
            _ => None,
        };
        Attempt { seen, retry_after, arm }
    }
}
