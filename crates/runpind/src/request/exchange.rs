//! One exchange with a backend server: its slot, its connection and its response body.

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

/// A slot of a backend server, released when dropped.
///
/// An exchange dropped without a recorded ending was abandoned: the caller disconnected.  The
/// connection to the backend server is then closed, and the slot is released only after the close
/// has had time to reach the backend server.
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
    /// Records the exchange in the statistics of its site.
    site_exchange: SiteExchange,
}

impl Slot {
    /// Wraps a slot that has been acquired at a backend server.
    pub(super) fn new(
        exchange: &Exchange,
        chosen: SelectedServer,
        cancellation_delay: Duration,
        reservation: Reservation,
        site_exchange: SiteExchange,
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
            site_exchange,
        }
    }

    /// Returns whether the exchange failed at the connection level.
    pub(super) fn has_failed(&self) -> bool {
        self.report.ending == Ending::Failed
    }

    /// Records how the exchange ended.
    pub(super) fn record_ending(&mut self, ending: Ending) {
        self.report.ending = ending;
        match ending {
            Ending::Failed | Ending::Refused => self.site_exchange.record_failure(),
            Ending::TimedOut => self.site_exchange.record_timeout(),
            _ => {}
        }
    }

    /// Records the head of a response; the exchange continues with its body.
    pub(super) fn record_response_head(&mut self, response: &Response<Incoming>, class: Class) {
        let status = response.status();
        // A site that sheds load has no headroom, but shedding is not a failure.
        let failed = status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE;
        self.site_exchange.record_response(class, failed);
        self.report.closing = closes_connection(response.headers());
        // The duration of an upload depends mostly on how fast the caller sends it.
        if class != Class::Upload {
            self.report.latency = Some(self.process.clock.now().since(self.report.started));
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut release = SlotRelease {
            process: self.process.clone(),
            version: self.version.clone(),
            service: self.service,
            address: self.address,
            report: self.report,
            reservation: self.reservation.take(),
        };
        if self.report.ending != Ending::Abandoned || self.cancellation_delay.is_zero() {
            release.run();
            return;
        }
        let delay = self.cancellation_delay;
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            release.run();
        });
    }
}

/// The state needed to release a slot after its exchange has ended.
struct SlotRelease {
    process: Arc<Process>,
    version: Arc<Version>,
    service: ServiceIndex,
    address: SocketAddr,
    report: Report,
    reservation: Option<Reservation>,
}

impl SlotRelease {
    fn run(&mut self) {
        self.reservation = None;
        self.process.release_server(self.address, self.report);
        let configuration = &self.version.configuration;
        let service = &configuration.services[self.service.get()].name;
        if self.report.ending == Ending::Complete {
            let slot_time = self.process.clock.now().since(self.report.started);
            self.process.record_slot_time(service, &configuration.overload, slot_time);
        }
        self.process.wake_next_request(service);
    }
}

/// The connection that an exchange uses.
pub(super) struct ExchangeConnection {
    pub(super) connection: PooledConnection,
    /// Whether the backend server keeps it open after this exchange.
    pub(super) reusable: bool,
}

/// The latency measurement that is recorded when an exchange completes.
pub(super) struct Measurement {
    pub(super) process: Arc<Process>,
    pub(super) flow: FlowName,
    pub(super) started: Instant,
}

impl Measurement {
    fn record(&self) {
        let FlowName { service, class, arm } = &self.flow;
        let labels = [&**service, class.as_str(), &**arm];
        let latency = self.started.elapsed();
        self.process.metrics.latency.with_label_values(&labels).observe(latency.as_secs_f64());
        self.process.arms.record_response(&self.flow, latency);
    }
}

/// The body of a backend server's response, streamed to the caller.
///
/// The connection is reused only if the body was complete.  In every other case, including a
/// caller that disconnects, it is closed.
pub(super) struct ResponseBody {
    incoming: Incoming,
    deadline: Pin<Box<Sleep>>,
    connection: Option<ExchangeConnection>,
    measurement: Measurement,
    slot: Slot,
    /// Ending to record once the body is complete.
    ending: Ending,
    /// Why the body ends early, to be told once what came before it has been written.
    failure: Option<BodyError>,
    _in_flight: InFlight,
}

impl ResponseBody {
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
            ending: if shed { Ending::Shed } else { Ending::Complete },
            failure: None,
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
        self.slot.record_ending(self.ending);
        self.measurement.record();
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(failure) = self.failure.take() {
            return Poll::Ready(Some(Err(failure)));
        }
        if self.deadline.as_mut().poll(context).is_ready() {
            self.connection = None;
            return Poll::Ready(Some(Err(BodyError::Timeout)));
        }
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context)).transpose();
        match frame {
            Ok(frame) => {
                if frame.is_none() || self.incoming.is_end_stream() {
                    self.complete();
                }
                Poll::Ready(frame.map(Ok))
            }
            Err(error) => {
                self.connection = None;
                self.slot.record_ending(Ending::Failed);
                self.failure = Some(BodyError::Truncated(error));
                // hyper drops what it has not written when a body fails, and writes it when one is pending: the
                // caller would get nothing at all, not even the head.
                context.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
