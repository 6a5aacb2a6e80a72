//! Carrying a request to a backend server and its answer back.

use super::body::{Body, BodyError};
use super::exchange::{AnswerBody, ExchangeConnection, Measurement, Slot};
use super::headers::{TIMEOUT_HEADER, closes_connection, remove_hop_by_hop};
use super::problem::Problem;
use super::{deadline, lookup};
use crate::connection::dialer::Endpoint;
use crate::connection::pool::PooledConnection;
use crate::process::{InFlight, Process};
use crate::version::Version;
use configuration::{Class, Service, ServiceIndex, Site, ZoneIndex};
use http::header::HOST;
use http::{HeaderValue, Request, Response, Uri, Version as HttpVersion};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;

/// Arm of requests when the configuration names none.
const BUILT_IN_ARM: &str = "built-in";

/// What is known of a request once its head was read.
struct Exchange {
    process: Arc<Process>,
    version: Arc<Version>,
    service: ServiceIndex,
    class: Class,
    deadline: Instant,
    started: Instant,
    in_flight: InFlight,
}

/// How an attempt to send the request ended.
enum Attempt {
    /// The backend server answered.
    Answered(Response<Incoming>, PooledConnection),
    /// The request was not sent, and is returned.
    NotSent(Request<Body>),
    /// The request was sent, wholly or in part, and no answer came.
    Broken,
}

/// Answers a caller's request with that of a backend server, or says why it can't.
pub(super) async fn answer(
    process: Arc<Process>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    let in_flight = process.enter();
    match Exchange::new(process, peer, &request, in_flight) {
        Ok(exchange) => exchange.run(request).await,
        Err(problem) => problem.response(),
    }
}

impl Exchange {
    fn new(
        process: Arc<Process>,
        peer: SocketAddr,
        request: &Request<Incoming>,
        in_flight: InFlight,
    ) -> Result<Self, Problem> {
        let version = process.version.load_full().ok_or(Problem::NoConfiguration)?;
        let path = request.uri().path();
        let host = request
            .uri()
            .host()
            .or_else(|| request.headers().get(HOST).and_then(|host| host.to_str().ok()));
        let service = version
            .configuration
            .service_for(host, path)
            .ok_or_else(|| Problem::UnknownService(path.to_owned()))?;
        let class = version.configuration.class_of(service, request.method().as_str(), path);
        lookup::caller_address(&process, peer, request.headers())?;
        let timeout_ms = version.configuration.overload.default_timeout_ms;
        let deadline = deadline::of_request(request.headers(), class, timeout_ms)?;
        let started = Instant::now();
        Ok(Self { process, version, service, class, deadline, started, in_flight })
    }

    fn service(&self) -> &Service {
        &self.version.configuration.services[self.service.get()]
    }

    async fn run(self, request: Request<Incoming>) -> Response<Body> {
        let process = self.process.clone();
        let service = self.service().name.clone();
        let class = self.class;
        let answered = self.send(request).await;
        let outcome = match &answered {
            Ok(_) => "answered",
            Err(problem) => problem.outcome().as_str(),
        };
        process.metrics.count_request(&service, class, outcome);
        answered.unwrap_or_else(|problem| problem.response())
    }

    /// Offers the request to one backend server after another until one has been sent it.
    async fn send(self, request: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let mut request = prepare(request);
        for zone in self.zones_by_delay() {
            let Some(site) = self.site_in(zone) else { continue };
            let Some((slot, endpoint)) = self.take_slot(site) else { continue };
            self.set_timeout(&mut request)?;
            match self.attempt(&endpoint, request).await? {
                Attempt::Answered(response, connection) => {
                    return Ok(self.pass_on(response, connection, slot));
                }
                Attempt::NotSent(returned) => request = returned,
                Attempt::Broken => return Err(Problem::Broken),
            }
        }
        Err(Problem::NoCapacity)
    }

    fn zones_by_delay(&self) -> Vec<ZoneIndex> {
        let configuration = &self.version.configuration;
        let own = self.version.own_zone.unwrap_or(ZoneIndex(0));
        let mut zones: Vec<_> =
            (0..configuration.availability_zones.len()).map(ZoneIndex::from).collect();
        zones.sort_by(|a, b| {
            configuration.delay_ms(own, *a).total_cmp(&configuration.delay_ms(own, *b))
        });
        zones
    }

    fn site_in(&self, zone: ZoneIndex) -> Option<&Site> {
        let site = self.version.configuration.site(self.service, zone)?;
        Some(&self.service().sites[site.get()])
    }

    fn take_slot(&self, site: &Site) -> Option<(Slot, Endpoint)> {
        let slots = self.service().slots_per_server;
        let address = self.process.servers.lock().take(&site.backend_servers, slots)?;
        let zones = &self.version.configuration.availability_zones;
        let availability_zone = zones[site.availability_zone.get()].name.clone();
        let endpoint = Endpoint { address, availability_zone };
        Some((Slot::taken(self.process.clone(), address), endpoint))
    }

    fn set_timeout(&self, request: &mut Request<Body>) -> Result<(), Problem> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        if left_ms == 0 {
            return Err(Problem::TimeoutBeforeSend);
        }
        request.headers_mut().insert(TIMEOUT_HEADER, HeaderValue::from(left_ms));
        Ok(())
    }

    async fn attempt(
        &self,
        endpoint: &Endpoint,
        request: Request<Body>,
    ) -> Result<Attempt, Problem> {
        let process = &self.process;
        let limit = self.service().connections_per_server;
        let connecting = process.pools.connect(&*process.dialer, endpoint, limit);
        let connected = tokio::time::timeout_at(self.deadline, connecting).await;
        let mut connection = match connected {
            Ok(Ok(connection)) => connection,
            Ok(Err(_)) => return Ok(Attempt::NotSent(request)),
            Err(_) => return Err(Problem::TimeoutBeforeSend),
        };
        let Some(sender) = connection.sender.as_mut() else {
            return Ok(Attempt::NotSent(request));
        };
        let sent = tokio::time::timeout_at(self.deadline, sender.try_send_request(request)).await;
        match sent {
            Ok(Ok(response)) => Ok(Attempt::Answered(response, connection)),
            Ok(Err(mut error)) => {
                Ok(error.take_message().map_or(Attempt::Broken, Attempt::NotSent))
            }
            Err(_) => Err(Problem::TimeoutAfterSend),
        }
    }

    fn pass_on(
        self,
        response: Response<Incoming>,
        connection: PooledConnection,
        slot: Slot,
    ) -> Response<Body> {
        let (mut parts, incoming) = response.into_parts();
        let reusable = !closes_connection(&parts.headers);
        remove_hop_by_hop(&mut parts.headers);
        parts.version = HttpVersion::default();
        let measurement = Measurement {
            process: self.process.clone(),
            service: self.service().name.clone(),
            class: self.class,
            arm: BUILT_IN_ARM.into(),
            started: self.started,
        };
        let connection = ExchangeConnection { connection, reusable };
        let body =
            AnswerBody::new(incoming, self.deadline, connection, measurement, slot, self.in_flight);
        Response::from_parts(parts, BodyExt::boxed(body))
    }
}

/// Makes the request that is sent on: origin form, HTTP/1.1, no hop-by-hop headers.
fn prepare(request: Request<Incoming>) -> Request<Body> {
    let (mut parts, body) = request.into_parts();
    remove_hop_by_hop(&mut parts.headers);
    if let (false, Some(authority)) = (parts.headers.contains_key(HOST), parts.uri.authority())
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        parts.headers.insert(HOST, host);
    }
    if let Some(path) = parts.uri.path_and_query() {
        parts.uri = Uri::from(path.clone());
    }
    parts.version = HttpVersion::HTTP_11;
    Request::from_parts(parts, body.map_err(BodyError::Cut).boxed())
}
