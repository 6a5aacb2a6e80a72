//! The answer's way back to the caller.

use super::attempt::{Answer, Work, rest_of};
use super::body::{AnswerBody, BodyError, RequestBody, ServerBody, whole};
use super::exchange::{ANSWERED, Exchange, InFlight};
use super::headers::remove_hop_by_hop;
use bytes::Bytes;
use http::Response;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use std::pin::Pin;
use std::task::{Context, Poll};
use steering::placement::Ending;

/// Makes the caller's answer of that of a backend server.
pub(super) fn pass_on(
    exchange: Exchange,
    answer: Box<Answer>,
    in_flight: InFlight,
) -> Response<AnswerBody> {
    let Answer { status, mut headers, body, work, sender } = *answer;
    let rest = rest_of(&headers);
    remove_hop_by_hop(&mut headers);
    let body = match body {
        ServerBody::Whole(bytes) => {
            if let Ok(rest) = rest {
                exchange.instance.pools.keep(&work.server, sender, rest);
            }
            exchange.count(ANSWERED);
            whole(bytes)
        }
        ServerBody::Stream(incoming) => {
            let kept = rest.ok().map(|rest| (sender, rest));
            let stream = Stream { incoming, exchange, work, kept, _in_flight: in_flight };
            Box::pin(stream)
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// A long answer, passed on as it comes.
///
/// The connection is used again only if the body was whole; in every other case, the caller's
/// going away included, it is closed.
struct Stream {
    incoming: Incoming,
    exchange: Exchange,
    work: Work,
    kept: Option<(SendRequest<RequestBody>, Option<std::time::Duration>)>,
    _in_flight: InFlight,
}

impl Body for Stream {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = std::task::ready!(Pin::new(&mut self.incoming).poll_frame(context));
        match &frame {
            None => {
                if let Some((sender, rest)) = self.kept.take() {
                    self.exchange.instance.pools.keep(&self.work.server, sender, rest);
                }
                self.exchange.count(ANSWERED);
            }
            Some(Err(_)) => {
                self.kept = None;
                self.work.ended(Ending::Failed);
                self.exchange.count("cut");
            }
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame.map(|frame| frame.map_err(|error| Box::new(error) as BodyError)))
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
