//! One exchange with a backend server: its slot, its connection and the body of its answer.

use super::body::BodyError;
use super::headers::closes_connection;
use super::reserve::Reservation;
use super::state::Exchange;
use crate::connection::pool::PooledConnection;
use crate::process::arms::FlowName;
use crate::process::backend_servers::SelectedServer;
use crate::process::routing::SiteExchange;
use crate::process::{InFlight, Process};
use crate::version::Version;
use bytes::Bytes;
use configuration::{Class, ServiceIndex};
use http::{Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use steering::servers::{Ending, Report};
use tokio::time::{Instant, Sleep};

/// A slot of a backend server, given back when dropped.
///
/// An exchange that nobody said the end of was abandoned: the caller went away, its connection is
/// closed, and the slot is kept until that has reached the backend server.
pub(super) struct Slot {
    process: Arc<Process>,
    version: Arc<Version>,
    service: ServiceIndex,
    address: SocketAddr,
    /// Connections that this instance may open to the backend server.
    pub(super) connections: u32,
    cancellation_delay: Duration,
    report: Report,
    reservation: Option<Reservation>,
    /// Records the exchange in the figures of its site.
    work: SiteExchange,
}

impl Slot {
    /// Stands for a slot that was taken at a backend server.
    pub(super) fn taken(
        exchange: &Exchange,
        chosen: SelectedServer,
        cancellation_delay: Duration,
        reservation: Reservation,
        work: SiteExchange,
    ) -> Self {
        let process = exchange.process.clone();
        let report = Report::new(process.clock.now(), Ending::Abandoned);
        let SelectedServer { address, connections } = chosen;
        Self {
            process,
            version: exchange.version.clone(),
            service: exchange.service,
            address,
            connections,
            cancellation_delay,
            report,
            reservation: Some(reservation),
            work,
        }
    }

    /// Tells whether the backend server could not be reached.
    pub(super) fn has_failed(&self) -> bool {
        self.report.ending == Ending::Failed
    }

    /// Records how the exchange ended.
    pub(super) fn ended(&mut self, ending: Ending) {
        self.report.ending = ending;
        match ending {
            Ending::Failed | Ending::Refused => self.work.record_failure(),
            Ending::TimedOut => self.work.record_timeout(),
            _ => {}
        }
    }

    /// Records the head of an answer; the exchange goes on with its body.
    pub(super) fn answered(&mut self, response: &Response<Incoming>, class: Class) {
        let status = response.status();
        // A site that sheds has no headroom, but it does not fail.
        let failed = status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE;
        self.work.record_response(class, failed);
        self.report.closing = closes_connection(response.headers());
        // The time of an upload is mostly its caller's.
        if class != Class::Upload {
            self.report.latency = Some(self.process.clock.now().since(self.report.started));
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut end = SlotEnd {
            process: self.process.clone(),
            version: self.version.clone(),
            service: self.service,
            address: self.address,
            report: self.report,
            reservation: self.reservation.take(),
        };
        if self.report.ending != Ending::Abandoned || self.cancellation_delay.is_zero() {
            end.give_back();
            return;
        }
        let delay = self.cancellation_delay;
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            end.give_back();
        });
    }
}

/// What is left to do once an exchange ended.
struct SlotEnd {
    process: Arc<Process>,
    version: Arc<Version>,
    service: ServiceIndex,
    address: SocketAddr,
    report: Report,
    reservation: Option<Reservation>,
}

impl SlotEnd {
    fn give_back(&mut self) {
        self.reservation = None;
        self.process.release_server(self.address, self.report);
        let configuration = &self.version.configuration;
        let service = &configuration.services[self.service.get()].name;
        if self.report.ending == Ending::Whole {
            let held = self.process.clock.now().since(self.report.started);
            self.process.record_slot_time(service, &configuration.overload, held);
        }
        self.process.wake_next_request(service);
    }
}

/// The connection of an exchange.
pub(super) struct ExchangeConnection {
    pub(super) connection: PooledConnection,
    /// Whether the backend server keeps it open after this exchange.
    pub(super) reusable: bool,
}

/// What is measured when the exchange ends.
pub(super) struct Measurement {
    pub(super) process: Arc<Process>,
    pub(super) flow: FlowName,
    pub(super) started: Instant,
}

impl Measurement {
    fn record(&self) {
        let FlowName { service, class, arm } = &self.flow;
        let labels = [&**service, class.as_str(), &**arm];
        let time = self.started.elapsed();
        self.process.metrics.latency.with_label_values(&labels).observe(time.as_secs_f64());
        self.process.arms.record_response(&self.flow, time);
    }
}

/// The body of a backend server's answer, passed on to the caller.
///
/// The connection is used again only if the body was whole; in every other case, the caller's
/// going away included, it is closed.
pub(super) struct AnswerBody {
    incoming: Incoming,
    deadline: Pin<Box<Sleep>>,
    connection: Option<ExchangeConnection>,
    measurement: Measurement,
    slot: Slot,
    /// How the exchange ends if the body comes whole.
    ending: Ending,
    _in_flight: InFlight,
}

impl AnswerBody {
    pub(super) fn new(
        incoming: Incoming,
        deadline: Instant,
        connection: ExchangeConnection,
        measurement: Measurement,
        slot: Slot,
        status: StatusCode,
        in_flight: InFlight,
    ) -> Self {
        let shed = status == StatusCode::SERVICE_UNAVAILABLE;
        let deadline = Box::pin(tokio::time::sleep_until(deadline));
        let mut body = Self {
            incoming,
            deadline,
            connection: Some(connection),
            measurement,
            slot,
            ending: if shed { Ending::Shed } else { Ending::Whole },
            _in_flight: in_flight,
        };
        if body.incoming.is_end_stream() {
            body.complete();
        }
        body
    }

    fn complete(&mut self) {
        if let Some(ExchangeConnection { connection, reusable: true }) = self.connection.take() {
            connection.reuse();
        }
        self.slot.ended(self.ending);
        self.measurement.record();
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.deadline.as_mut().poll(context).is_ready() {
            self.connection = None;
            return Poll::Ready(Some(Err(BodyError::Timeout)));
        }
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        match &frame {
            None => self.complete(),
            Some(Err(_)) => {
                self.connection = None;
                self.slot.ended(Ending::Failed);
            }
            Some(Ok(_)) if self.incoming.is_end_stream() => self.complete(),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame.map(|frame| frame.map_err(BodyError::Cut)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
