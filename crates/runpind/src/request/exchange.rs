//! One exchange with a backend server: its slot, its connection and the body of its answer.

use super::body::BodyError;
use super::reserve::Reservation;
use crate::connection::pool::PooledConnection;
use crate::process::{InFlight, Process};
use bytes::Bytes;
use configuration::Class;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::time::{Instant, Sleep};

/// A slot of a backend server, given back when dropped.
pub(super) struct Slot {
    process: Arc<Process>,
    /// The backend server.
    pub(super) address: SocketAddr,
    _reservation: Reservation,
}

impl Slot {
    /// Stands for a slot that was taken in `process.servers`.
    pub(super) fn taken(
        process: Arc<Process>,
        address: SocketAddr,
        reservation: Reservation,
    ) -> Self {
        Self { process, address, _reservation: reservation }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.process.servers.lock().finish(self.address);
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
    pub(super) service: Arc<str>,
    pub(super) class: Class,
    pub(super) arm: Arc<str>,
    pub(super) started: Instant,
}

impl Measurement {
    fn record(&self) {
        let labels = [&*self.service, self.class.as_str(), &*self.arm];
        let seconds = self.started.elapsed().as_secs_f64();
        self.process.metrics.latency.with_label_values(&labels).observe(seconds);
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
    _slot: Slot,
    _in_flight: InFlight,
}

impl AnswerBody {
    pub(super) fn new(
        incoming: Incoming,
        deadline: Instant,
        connection: ExchangeConnection,
        measurement: Measurement,
        slot: Slot,
        in_flight: InFlight,
    ) -> Self {
        let deadline = Box::pin(tokio::time::sleep_until(deadline));
        let mut body = Self {
            incoming,
            deadline,
            connection: Some(connection),
            measurement,
            _slot: slot,
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
            Some(Err(_)) => self.connection = None,
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
