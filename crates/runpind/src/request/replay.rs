//! Runs the request of an idempotency key to its end, and stores its response.

use super::body::{Body, BodyError};
use super::forward;
use super::key_problem::KeyProblem;
use super::outcome::{Outcome as RequestOutcome, Shed};
use super::problem::Problem;
use super::state::Exchange;
use crate::process::ledger::RunningKey;
use bytes::{Bytes, BytesMut};
use http::header::CONTENT_TYPE;
use http::{Request, Response, response};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use steering::ledger::{ExchangeResult, ExecutionStatus, Outcome, StoredResponse};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Largest body of a response that is stored, in bytes.
const MAX_STORED_BYTES: usize = 64 << 10;

/// Body events that are buffered for a slow caller.
const MAX_BUFFERED_EVENTS: usize = 4;

/// An event of a response body on its way to the caller.
enum BodyEvent {
    Frame(Frame<Bytes>),
    End,
    Failed(BodyError),
}

/// Runs the exchange, which continues if the caller disconnects, and returns its response.
pub(super) async fn run(
    mut exchange: Exchange,
    request: Request<Incoming>,
    running: Arc<RunningKey>,
) -> Response<Body> {
    exchange.key = Some(running.clone());
    let deadline = exchange.deadline;
    let ledger = exchange.process.ledger.clone();
    let (sender, receiver) = oneshot::channel();
    ledger.spawn(async move {
        let response = forward::run(exchange, request).await;
        match response.extensions().get::<RequestOutcome>().copied() {
            Some(outcome) => finish_refusal(&running, outcome, response, sender),
            None => relay_response(&running, response, sender, deadline).await,
        }
    });
    // A dropped sender means that the exchange was aborted, which happens only at process end.
    receiver.await.unwrap_or_else(|_| Problem::BrokenExchange.response())
}

/// Finishes the key of a request that was refused, shed or failed, and sends the response.
fn finish_refusal(
    running: &RunningKey,
    outcome: RequestOutcome,
    response: Response<Body>,
    sender: oneshot::Sender<Response<Body>>,
) {
    let is_shed = response.extensions().get::<Shed>().is_some();
    let execution_status = running.finish(match outcome {
        RequestOutcome::NotRun if is_shed => ExchangeResult::Shed,
        RequestOutcome::NotRun => ExchangeResult::NotSent,
        RequestOutcome::Unknown => ExchangeResult::Sent(Outcome::Unknown),
        RequestOutcome::Ran => ExchangeResult::Sent(Outcome::Ran),
    });
    let contradicts =
        outcome == RequestOutcome::NotRun && execution_status != ExecutionStatus::NotRun;
    let response = match contradicts {
        true => Problem::Key(KeyProblem::Unknown).response(),
        false => response,
    };
    // The send fails if the caller has disconnected.
    let _ = sender.send(response);
}

/// Streams a response to the caller and stores a copy of it.
async fn relay_response(
    running: &RunningKey,
    response: Response<Body>,
    head_sender: oneshot::Sender<Response<Body>>,
    deadline: Instant,
) {
    let (parts, body) = response.into_parts();
    let copy = ResponseCopy::new(&parts);
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
    if body.is_end_stream() {
        running.finish(ExchangeResult::Sent(copy.outcome()));
    }
    let relayed = RelayedBody { receiver, size: body.size_hint(), ended: body.is_end_stream() };
    // A send fails, here and below, if the caller has disconnected; the exchange continues.
    let _ = head_sender.send(Response::from_parts(parts, relayed.boxed()));
    relay_body(running, body, copy, sender, deadline).await;
}

/// Reads the response body to its end, and finishes the key before the caller can see the end.
async fn relay_body(
    running: &RunningKey,
    mut body: Body,
    mut copy: ResponseCopy,
    sender: mpsc::Sender<BodyEvent>,
    deadline: Instant,
) {
    loop {
        let frame = body.frame().await;
        let event = match frame {
            None => BodyEvent::End,
            Some(Err(error)) => BodyEvent::Failed(error),
            Some(Ok(frame)) => {
                copy.add(frame.data_ref());
                BodyEvent::Frame(frame)
            }
        };
        let has_ended = !matches!(event, BodyEvent::Frame(_)) || body.is_end_stream();
        if has_ended {
            running.finish(ExchangeResult::Sent(match &event {
                BodyEvent::Failed(_) => Outcome::Ran,
                BodyEvent::End | BodyEvent::Frame(_) => copy.outcome(),
            }));
        }
        let is_frame = matches!(event, BodyEvent::Frame(_));
        // If the caller is too slow for the deadline, its response is cut off with an error.
        let _ = tokio::time::timeout_at(deadline, sender.send(event)).await;
        if has_ended && is_frame {
            let _ = tokio::time::timeout_at(deadline, sender.send(BodyEvent::End)).await;
        }
        if has_ended {
            return;
        }
    }
}

/// A copy of the response as far as it was read, while it is small enough to be stored.
struct ResponseCopy {
    status: u16,
    content_type: Arc<str>,
    /// `None` once the body has grown larger than [`MAX_STORED_BYTES`].
    body: Option<BytesMut>,
}

impl ResponseCopy {
    fn new(parts: &response::Parts) -> Self {
        let content_type = parts.headers.get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
        Self {
            status: parts.status.as_u16(),
            content_type: content_type.into(),
            body: Some(BytesMut::new()),
        }
    }

    fn add(&mut self, data: Option<&Bytes>) {
        let (Some(body), Some(data)) = (&mut self.body, data) else { return };
        body.extend_from_slice(data);
        if body.len() > MAX_STORED_BYTES {
            self.body = None;
        }
    }

    fn outcome(&self) -> Outcome {
        match &self.body {
            // The copy has the exact size, without the spare capacity of the buffer.
            Some(body) => Outcome::Answered(StoredResponse {
                status: self.status,
                content_type: self.content_type.clone(),
                body: Bytes::copy_from_slice(body),
            }),
            None => Outcome::Ran,
        }
    }
}

/// The response body that the caller receives.
struct RelayedBody {
    receiver: mpsc::Receiver<BodyEvent>,
    size: SizeHint,
    ended: bool,
}

impl http_body::Body for RelayedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let event = ready!(self.receiver.poll_recv(context));
        self.size = SizeHint::default();
        if let Some(BodyEvent::Frame(frame)) = event {
            return Poll::Ready(Some(Ok(frame)));
        }
        self.ended = true;
        Poll::Ready(match event {
            Some(BodyEvent::End) => None,
            Some(BodyEvent::Failed(error)) => Some(Err(error)),
            // The relay gave up at the deadline.
            Some(BodyEvent::Frame(_)) | None => Some(Err(BodyError::Timeout)),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        self.size
    }
}
