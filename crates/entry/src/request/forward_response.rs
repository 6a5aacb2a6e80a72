//! Forwards the response of a backend server to the caller.

use super::attempt_guard::AttemptGuard;
use super::body::{BodyError, ResponseBody, ServerBody, full_body};
use super::exchange::{ANSWERED, Exchange, InFlightGuard};
use super::headers::{keep_alive_timeout, remove_hop_by_hop};
use super::outcome::ServerResponse;
use super::pooled_body::PooledBody;
use crate::process::millis::millis;
use bytes::Bytes;
use http::Response;
use http_body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use steering::placement::Ending;
use tokio::time::Sleep;

/// Time for which a body that has begun goes on after the request's deadline.
const MAX_TIME_AFTER_DEADLINE: Duration = Duration::from_secs(2);

/// A body that went on for too long after the request's deadline.
#[derive(Debug, thiserror::Error)]
#[error("response body not complete {} s after the deadline", MAX_TIME_AFTER_DEADLINE.as_secs())]
struct EndlessBody;

/// Builds the caller's response from that of a backend server.
pub(super) fn forward_response(
    exchange: Exchange,
    response: Box<ServerResponse>,
    in_flight: InFlightGuard,
) -> Response<ResponseBody> {
    let ServerResponse { status, mut headers, body, guard, connection } = *response;
    let idle_timeout = keep_alive_timeout(&headers);
    remove_hop_by_hop(&mut headers);
    let body = match body {
        ServerBody::Buffered(bytes) => {
            if let Ok(idle_timeout) = idle_timeout {
                exchange.instance.pools.release(connection, idle_timeout);
            }
            exchange.record_outcome(ANSWERED);
            full_body(bytes)
        }
        ServerBody::Streaming(incoming) => {
            let reusable = idle_timeout.ok().map(|idle_timeout| (connection, idle_timeout));
            let body = PooledBody::new(incoming, exchange.instance.pools.clone(), reusable);
            let end = Box::pin(tokio::time::sleep(exchange.time_left() + MAX_TIME_AFTER_DEADLINE));
            Box::pin(StreamedResponse { body, end, exchange, guard, _in_flight: in_flight })
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// The body of a long response, forwarded as it arrives.
struct StreamedResponse {
    body: PooledBody,
    /// When it is cut: a server in trouble may send without end.
    end: Pin<Box<Sleep>>,
    exchange: Exchange,
    guard: AttemptGuard,
    _in_flight: InFlightGuard,
}

impl Body for StreamedResponse {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(None) => None,
            _ if self.end.as_mut().poll(context).is_ready() => Some(Err(EndlessBody.into())),
            Poll::Ready(frame) => frame,
            Poll::Pending => return Poll::Pending,
        };
        match &frame {
            None => self.exchange.record_outcome(ANSWERED),
            Some(Err(why)) => {
                let id = self.exchange.head.request_id.as_deref().unwrap_or("");
                let age_ms = millis(self.exchange.age());
                log::info!(
                    target: "request",
                    id, server = &*self.guard.server.id, why:%, age_ms;
                    "response cut"
                );
                self.guard.set_ending(Ending::Failed);
                self.exchange.record_outcome("cut");
            }
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
