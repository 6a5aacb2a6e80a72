//! Accepts connections from callers, operators and other instances.

use super::dial::set_tcp_timeouts;
use super::head_timer::{GuardedBody, HeadProgress, HeadTimer, track_reads};
use super::open_connections::{ListenerKind, OpenConnection};
use super::read_ahead::ReadAhead;
use crate::process::instance::Instance;
use crate::process::instance::StopPhase;
use crate::process::room::has_connection_room;
use crate::request::Caller;
use crate::request::body::ResponseBody;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::net::IpAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use steering::deployment::CallerLimits;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Pause after a failed accept, so that running out of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Smallest read buffer in bytes that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// Turns for which a request waits until it is read: on a new connection also for being accepted.
const TURNS_OF_NEW_CONNECTION: u32 = 2;
const TURNS_OF_OPEN_CONNECTION: u32 = 1;

/// Accepts connections and answers each request with `handler`, until a planned stop.
///
/// A connection beyond those that the listener may hold takes the place of one that waits for its caller; if there is
/// none, it is closed.
pub(crate) fn listen<A, F>(
    instance: &Rc<Instance>,
    kind: ListenerKind,
    listener: TcpListener,
    handler: A,
) where
    A: Fn(Rc<Instance>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
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
                    if has_connection_room(&instance, kind, caller.ip()) {
                        serve_in_task(&instance, kind, stream, caller.ip(), handler);
                    }
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

/// Adds a connection to the open ones, and serves it in a task of its own.
fn serve_in_task<A, F>(
    instance: &Rc<Instance>,
    kind: ListenerKind,
    stream: TcpStream,
    caller: IpAddr,
    handler: A,
) where
    A: Fn(Rc<Instance>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    let timings = instance.timings.connections;
    // Options can't be set on a connection that is already broken.
    if stream.set_nodelay(true).and_then(|()| set_tcp_timeouts(&stream, timings)).is_err() {
        return;
    }
    let limits = instance.replica.borrow().configuration.content.limits;
    let stream = ReadAhead::new(stream, limits.header_bytes.max(MIN_BUFFER_BYTES));
    let open = instance.connections.add(kind, caller, stream.clone());
    let instance = instance.clone();
    spawn_local(async move {
        tokio::select! {
            () = serve(instance, stream, open.connection.clone(), limits, caller, handler) => {}
            () = open.connection.ended() => {}
        }
    });
}

async fn serve<A, F>(
    instance: Rc<Instance>,
    stream: ReadAhead<TcpStream>,
    open: Rc<OpenConnection>,
    limits: CallerLimits,
    caller: IpAddr,
    handler: A,
) where
    A: Fn(Rc<Instance>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    let mut stop = instance.stop.subscribe();
    let instance_for_service = instance.clone();
    let progress = Rc::new(HeadProgress::default());
    let progress_for_service = progress.clone();
    let buffer_bytes = limits.header_bytes.max(MIN_BUFFER_BYTES);
    let stream_for_service = stream.clone();
    let turns = Cell::new(TURNS_OF_NEW_CONNECTION);
    let service = service_fn(move |mut request: Request<Incoming>| {
        let turns = turns.replace(TURNS_OF_OPEN_CONNECTION);
        let waited = time_waited(&instance_for_service, &stream_for_service, turns);
        request.extensions_mut().insert(Caller { host: caller, waited });
        request.extensions_mut().insert(open.id);
        let guard = (progress_for_service.head_complete(), open.begin_request());
        let response = handler(instance_for_service.clone(), request);
        async move {
            let with_guard = |body| GuardedBody { body, _guard: guard };
            Ok::<_, Infallible>(response.await.map(with_guard))
        }
    });
    let mut timer = HeadTimer::new(progress.clone(), limits.header_timeout);
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(track_reads(stream.clone(), progress.clone())), service);
    tokio::pin!(connection);
    let finished = tokio::select! {
        () = poll_fn(|context| {
            match poll_until_end(connection.as_mut(), &stream, &progress, caller, context) {
                Poll::Pending if timer.has_expired(context) => Poll::Ready(()),
                polled => polled,
            }
        }) => true,
        _ = stop.wait_for(|phase| *phase == StopPhase::Closed) => false,
    };
    if !finished {
        connection.as_mut().graceful_shutdown();
        poll_fn(|context| poll_until_end(connection.as_mut(), &stream, &progress, caller, context))
            .await;
    }
}

/// Longest time for which a request whose head is complete may have waited: until it was read, for which its
/// connection waited for some turns, and then behind others of its connection.
fn time_waited(instance: &Instance, stream: &ReadAhead<TcpStream>, turns: u32) -> Duration {
    let read_at = stream.last_read_at();
    let turns_delay = instance.standstills.turn_delay(Instant::now()) * turns;
    read_at.elapsed() + instance.standstills.longest_wait(read_at).max(turns_delay)
}

/// Polls a connection; ready when it is served, or its caller disconnects during a request.
///
/// The connection must then be dropped, which cancels the request.
fn poll_until_end<C: Future>(
    connection: Pin<&mut C>,
    stream: &ReadAhead<TcpStream>,
    progress: &HeadProgress,
    caller: IpAddr,
    context: &mut Context<'_>,
) -> Poll<()> {
    // Before hyper: it may begin the next pipelined request in the same poll.
    if progress.is_answering() && stream.poll_end(context).is_ready() {
        log_disconnect(stream, caller);
        return Poll::Ready(());
    }
    stream.begin_poll();
    // Errors of the connection show up in its requests.
    if connection.poll(context).is_ready() {
        return Poll::Ready(());
    }
    if progress.is_answering() && stream.poll_end(context).is_ready() {
        log_disconnect(stream, caller);
        return Poll::Ready(());
    }
    Poll::Pending
}

fn log_disconnect(stream: &ReadAhead<TcpStream>, caller: IpAddr) {
    log::debug!(
        target: "connection", caller:%, unread_bytes = stream.unread_bytes();
        "caller disconnected before its pipelined requests were answered"
    );
}
