//! Running the request of a key to its end, and keeping its answer.

use super::body::{Body, BodyError};
use super::forward;
use super::key_problem::KeyProblem;
use super::outcome::{Outcome as Told, Shed};
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

/// Largest body of an answer that is kept, in bytes.
const MAX_KEPT_BYTES: usize = 64 << 10;

/// Pieces of an answer that may wait for a slow caller.
const WAITING_PIECES: usize = 4;

/// A piece of an answer on its way to the caller.
enum Piece {
    Frame(Frame<Bytes>),
    End,
    Failed(BodyError),
}

/// Runs the exchange, which goes on when the caller goes away, and returns its answer.
pub(super) async fn run(
    mut exchange: Exchange,
    request: Request<Incoming>,
    running: Arc<RunningKey>,
) -> Response<Body> {
    exchange.key = Some(running.clone());
    let deadline = exchange.deadline;
    let ledger = exchange.process.ledger.clone();
    let (head, answer) = oneshot::channel();
    ledger.spawn(async move {
        let response = forward::run(exchange, request).await;
        match response.extensions().get::<Told>().copied() {
            Some(told) => refused(&running, told, response, head),
            None => answered(&running, response, head, deadline).await,
        }
    });
    // Without an answer the exchange was broken off, which only the end of the process does.
    answer.await.unwrap_or_else(|_| Problem::Broken.response())
}

/// Ends the key of a request that got no answer of a backend server.
fn refused(
    running: &RunningKey,
    told: Told,
    response: Response<Body>,
    head: oneshot::Sender<Response<Body>>,
) {
    let is_shed = response.extensions().get::<Shed>().is_some();
    let settled = running.finish(match told {
        Told::NotRun if is_shed => ExchangeResult::Shed,
        Told::NotRun => ExchangeResult::NotSent,
        Told::Unknown => ExchangeResult::Sent(Outcome::Unknown),
        Told::Ran => ExchangeResult::Sent(Outcome::Ran),
    });
    let contradicts = told == Told::NotRun && settled != ExecutionStatus::NotRun;
    let response = match contradicts {
        true => Problem::Key(KeyProblem::Unknown).response(),
        false => response,
    };
    // The caller may have gone away.
    let _ = head.send(response);
}

/// Passes an answer on and keeps it.
async fn answered(
    running: &RunningKey,
    response: Response<Body>,
    head: oneshot::Sender<Response<Body>>,
    deadline: Instant,
) {
    let (parts, body) = response.into_parts();
    let copy = Copy::new(&parts);
    let (sender, receiver) = mpsc::channel(WAITING_PIECES);
    if body.is_end_stream() {
        running.finish(ExchangeResult::Sent(copy.outcome()));
    }
    let passed_on = PassedOn { receiver, size: body.size_hint(), ended: body.is_end_stream() };
    // The caller may have gone away, here and below: the exchange goes on.
    let _ = head.send(Response::from_parts(parts, passed_on.boxed()));
    pump(running, body, copy, sender, deadline).await;
}

/// Reads the answer to its end, and ends the key before the caller can see the end.
async fn pump(
    running: &RunningKey,
    mut body: Body,
    mut copy: Copy,
    sender: mpsc::Sender<Piece>,
    deadline: Instant,
) {
    loop {
        let frame = body.frame().await;
        let piece = match frame {
            None => Piece::End,
            Some(Err(error)) => Piece::Failed(error),
            Some(Ok(frame)) => {
                copy.add(frame.data_ref());
                Piece::Frame(frame)
            }
        };
        let ended = !matches!(piece, Piece::Frame(_)) || body.is_end_stream();
        if ended {
            running.finish(ExchangeResult::Sent(match &piece {
                Piece::Failed(_) => Outcome::Ran,
                Piece::End | Piece::Frame(_) => copy.outcome(),
            }));
        }
        let is_frame = matches!(piece, Piece::Frame(_));
        // A caller too slow for the deadline loses the rest; its answer ends uncleanly.
        let _ = tokio::time::timeout_at(deadline, sender.send(piece)).await;
        if ended && is_frame {
            let _ = tokio::time::timeout_at(deadline, sender.send(Piece::End)).await;
        }
        if ended {
            return;
        }
    }
}

/// The answer as far as it was read, while it is small enough to be kept.
struct Copy {
    status: u16,
    content_type: Arc<str>,
    body: Option<BytesMut>,
}

impl Copy {
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
        if body.len() > MAX_KEPT_BYTES {
            self.body = None;
        }
    }

    fn outcome(&self) -> Outcome {
        match &self.body {
            // A copy of its own size, without the room for growth.
            Some(body) => Outcome::Answered(StoredResponse {
                status: self.status,
                content_type: self.content_type.clone(),
                body: Bytes::copy_from_slice(body),
            }),
            None => Outcome::Ran,
        }
    }
}

/// The answer's body as the caller gets it.
struct PassedOn {
    receiver: mpsc::Receiver<Piece>,
    size: SizeHint,
    ended: bool,
}

impl http_body::Body for PassedOn {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let piece = ready!(self.receiver.poll_recv(context));
        self.size = SizeHint::default();
        if let Some(Piece::Frame(frame)) = piece {
            return Poll::Ready(Some(Ok(frame)));
        }
        self.ended = true;
        Poll::Ready(match piece {
            Some(Piece::End) => None,
            Some(Piece::Failed(error)) => Some(Err(error)),
            // The rest was not passed on in time.
            Some(Piece::Frame(_)) | None => Some(Err(BodyError::Timeout)),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        self.size
    }
}
