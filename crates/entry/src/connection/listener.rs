//! Accepting connections of callers, operators and other instances.

use super::dial::watch_over;
use super::head_timer::{HeadTimer, Progress, TimedBody, timed};
use crate::process::instance::Instance;
use crate::process::instance::StopPhase;
use crate::request::Caller;
use crate::request::body::AnswerBody;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::poll_fn;
use std::net::IpAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Pause after a connection could not be accepted, so that a lack of descriptors is not a busy
/// loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Least buffer for a request's head that the library takes.
const LEAST_BUFFER_BYTES: usize = 8192;

/// Accepts connections, and answers each request by `answer`, until a planned stop.
pub(crate) fn listen<A, F>(instance: &Rc<Instance>, listener: TcpListener, answer: A)
where
    A: Fn(Rc<Instance>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    let instance = instance.clone();
    spawn_local(async move {
        let mut stop = instance.stop.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|phase| *phase == StopPhase::Closed) => break,
            };
            match accepted {
                Ok((stream, caller)) => {
                    spawn_local(serve(instance.clone(), stream, caller.ip(), answer));
                }
                Err(error) => {
                    log::warn!(target: "connection", error:%; "accept failed");
                    instance.accept_failed_at.set(Some(Instant::now()));
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
}

async fn serve<A, F>(instance: Rc<Instance>, stream: TcpStream, caller: IpAddr, answer: A)
where
    A: Fn(Rc<Instance>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    // A connection whose options can't be set is one that broke already.
    if stream.set_nodelay(true).and_then(|()| watch_over(&stream)).is_err() {
        return;
    }
    let limits = instance.replica.borrow().configuration.content.limits;
    let mut stop = instance.stop.subscribe();
    let for_service = instance.clone();
    let progress = Rc::new(Progress::default());
    let of_service = progress.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(Caller(caller));
        let answering = of_service.head_is_whole();
        let answer = answer(for_service.clone(), request);
        async move {
            let until_sent = |body| TimedBody { body, _answering: answering };
            Ok::<_, Infallible>(answer.await.map(until_sent))
        }
    });
    let mut timer = HeadTimer::new(progress.clone(), limits.header_timeout);
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER_BYTES))
        .serve_connection(TokioIo::new(timed(stream, progress)), service);
    tokio::pin!(connection);
    let finished = tokio::select! {
        () = poll_fn(|context| match connection.as_mut().poll(context) {
            // How a connection ends is seen by its requests.
            Poll::Ready(_) => Poll::Ready(()),
            Poll::Pending if timer.is_late(context) => Poll::Ready(()),
            Poll::Pending => Poll::Pending,
        }) => true,
        _ = stop.wait_for(|phase| *phase == StopPhase::Closed) => false,
    };
    if !finished {
        connection.as_mut().graceful_shutdown();
        // How a connection ends is seen by its requests.
        let _ = connection.await;
    }
}
