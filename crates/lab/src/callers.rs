//! Callers: they look up an instance, keep the answer for its TTL, and send requests.

use crate::experiment::Load;
use crate::report::Tally;
use bytes::Bytes;
use configuration::Class;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
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

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Callers of one availability zone with one load.
pub(crate) struct Callers {
    pub(crate) load: Load,
    pub(crate) address: IpAddr,
    pub(crate) instances: Vec<SocketAddr>,
    pub(crate) seed: u64,
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

/// What a caller saw of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Seen {
    Answered,
    NotRun,
    Unknown,
    Lost,
    CutOrWrong,
}

struct Session {
    callers: Callers,
    client: HttpClient,
    cached: Mutex<Option<(Instant, LookupAnswer)>>,
}

impl Callers {
    /// Sends requests at the load's rate until `end`, and waits for all their answers.
    pub(crate) async fn run(self, end: Instant) {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let mut random = SmallRng::seed_from_u64(self.seed);
        let rate = self.load.rate_per_s;
        let session = Arc::new(Session { callers: self, client, cached: Mutex::new(None) });
        let mut requests = JoinSet::new();
        let mut next = Instant::now();
        for number in 0_u64.. {
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
    async fn request(self: Arc<Self>, number: u64) {
        let started = Instant::now();
        let load = &self.callers.load;
        let (id, seen) = match self.look_up().await {
            Some(answer) => {
                let prefix = &answer.idempotency_key_prefix;
                let id = format!("{prefix}{:x}-{number}", self.callers.seed);
                let seen = tokio::time::timeout(CALLER_TIMEOUT, self.send(&answer, &id)).await;
                (id, seen.unwrap_or(Seen::Lost))
            }
            None => (String::new(), Seen::Lost),
        };
        let tally = &self.callers.tally;
        tally.count(load, seen, started.elapsed());
        if load.class != Class::Read && !id.is_empty() {
            tally.write(id, seen);
        }
    }

    /// Returns the cached answer while it is valid, else asks one instance after another.
    async fn look_up(&self) -> Option<LookupAnswer> {
        if let Some((until, answer)) = &*self.cached.lock()
            && Instant::now() < *until
        {
            return Some(answer.clone());
        }
        for instance in &self.callers.instances {
            if let Some(answer) = self.ask(*instance).await {
                let until = Instant::now() + Duration::from_millis(answer.ttl_ms);
                *self.cached.lock() = Some((until, answer.clone()));
                return Some(answer);
            }
        }
        None
    }

    async fn ask(&self, instance: SocketAddr) -> Option<LookupAnswer> {
        let uri = format!("http://{instance}/lookup?service={}", self.callers.load.service);
        let request = Request::get(uri)
            .header("runpin-caller-address", self.callers.address.to_string())
            .body(Full::default())
            .ok()?;
        let response = self.client.request(request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = response.into_body().collect().await.ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    }

    /// Sends the request to the first instance of the answer and judges what comes back.
    async fn send(&self, answer: &LookupAnswer, id: &str) -> Seen {
        let Some(instance) = answer.instances.first() else { return Seen::Lost };
        let load = &self.callers.load;
        let Ok(method) = load.method.parse::<Method>() else { return Seen::Lost };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{}", instance.address, load.path))
            .header("runpin-caller-address", self.callers.address.to_string())
            .header("idempotency-key", id)
            .body(Full::new(Bytes::from(vec![b'x'; load.body_bytes])));
        let Ok(request) = request else { return Seen::Lost };
        let Ok(response) = self.client.request(request).await else { return Seen::Lost };
        let status = response.status();
        let outcome = response.headers().get("runpin-outcome").cloned();
        let Ok(body) = response.into_body().collect().await else { return Seen::CutOrWrong };
        match outcome.as_ref().and_then(|outcome| outcome.to_str().ok()) {
            Some("not-run") => Seen::NotRun,
            Some(_) => Seen::Unknown,
            None if status != StatusCode::OK => Seen::CutOrWrong,
            None if body.to_bytes() == format!("{id} {}\n", load.body_bytes) => Seen::Answered,
            None => Seen::CutOrWrong,
        }
    }
}
