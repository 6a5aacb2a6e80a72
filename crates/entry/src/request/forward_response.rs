//! The answer's way back to the caller.

use super::attempt::{Answer, Work};
use super::body::{AnswerBody, BodyError, ServerBody, whole};
use super::exchange::{ANSWERED, Exchange, InFlight};
use super::headers::{remove_hop_by_hop, rest_of};
use super::pooled_body::KeptBody;
use bytes::Bytes;
use http::Response;
use http_body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use steering::placement::Ending;

/// Makes the caller's answer of that of a backend server.
pub(super) fn pass_on(
    exchange: Exchange,
    answer: Box<Answer>,
    in_flight: InFlight,
) -> Response<AnswerBody> {
    let Answer { status, mut headers, body, work, connection } = *answer;
    let rest = rest_of(&headers);
    remove_hop_by_hop(&mut headers);
    let body = match body {
        ServerBody::Whole(bytes) => {
            if let Ok(rest) = rest {
                exchange.instance.pools.keep(connection, rest);
            }
            exchange.count(ANSWERED);
            whole(bytes)
        }
        ServerBody::Stream(incoming) => {
            let kept = rest.ok().map(|rest| (connection, rest));
            let body = KeptBody::new(incoming, exchange.instance.pools.clone(), kept);
            Box::pin(Stream { body, exchange, work, _in_flight: in_flight })
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// A long answer, passed on as it comes.
struct Stream {
    body: KeptBody,
    exchange: Exchange,
    work: Work,
    _in_flight: InFlight,
}

impl Body for Stream {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(context));
        match &frame {
            None => self.exchange.count(ANSWERED),
            Some(Err(_)) => {
                self.work.ended(Ending::Failed);
                self.exchange.count("cut");
            }
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
