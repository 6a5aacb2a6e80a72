//! Callers that send part of a request and stay, and ordinary ones.

use crate::common::caller::{Response, read_response};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Pause between the callers of a crowd, so that the queue of new connections doesn't overflow.
const PACE: Duration = Duration::from_millis(2);

/// Time after which a caller of a crowd that can't send more counts as having sent what it can.
const SENDING: Duration = Duration::from_secs(5);

/// Time after which an ordinary caller gives up a try.
const PATIENCE: Duration = Duration::from_secs(5);

/// Receive buffer in bytes of a caller that reads nothing.
const SMALL_BUFFER_BYTES: u32 = 4_096;

/// Tries of an ordinary caller.
const TRIES: usize = 8;

/// Callers that are still connected, and the statuses that they got.
pub(crate) struct Crowd {
    statuses: Rc<RefCell<BTreeMap<String, u16>>>,
    _callers: JoinSet<()>,
}

impl Crowd {
    /// Lets callers connect one after another and send the bytes of a request, each with its own id in place of
    /// `ID`; returns once each of them has sent what it can.
    pub(crate) async fn gather(to: SocketAddr, callers: usize, head: &str, body: &[u8]) -> Self {
        let statuses: Rc<RefCell<BTreeMap<String, u16>>> = Rc::default();
        let (mut sending, mut staying) = (Vec::new(), JoinSet::new());
        let body: Rc<[u8]> = body.into();
        for number in 0..callers {
            sleep(PACE).await;
            let id = format!("crowd-{number}");
            let (head, body, statuses) = (head.replace("ID", &id), body.clone(), statuses.clone());
            let (sent, has_sent) = tokio::sync::oneshot::channel();
            sending.push(has_sent);
            staying.spawn_local(async move {
                let Ok(Ok(mut stream)) = timeout(SENDING, TcpStream::connect(to)).await else {
                    return;
                };
                let send = async {
                    stream.write_all(head.as_bytes()).await?;
                    stream.write_all(&body).await
                };
                // A caller that is refused, or not read from, stays all the same.
                let _ = timeout(SENDING, send).await;
                let _ = sent.send(());
                let status = read_response(&mut stream).await.status;
                statuses.borrow_mut().insert(id, status);
                std::future::pending::<()>().await;
            });
        }
        for has_sent in sending {
            // A caller that could not connect has no more to send.
            let _ = has_sent.await;
        }
        Self { statuses, _callers: staying }
    }

    /// As [`Crowd::gather`], with callers that read nothing.
    pub(crate) async fn gather_deaf(to: SocketAddr, callers: usize, requests: &str) -> Self {
        let mut staying = JoinSet::new();
        for number in 0..callers {
            sleep(PACE).await;
            let text = requests.replace("ID", &format!("crowd-{number}"));
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).expect("the buffer can be set");
            let Ok(Ok(mut stream)) = timeout(SENDING, socket.connect(to)).await else { continue };
            // A caller that is refused stays all the same.
            let _ = timeout(SENDING, stream.write_all(text.as_bytes())).await;
            staying.spawn_local(async move {
                std::future::pending::<()>().await;
                drop(stream);
            });
        }
        Self { statuses: Rc::default(), _callers: staying }
    }

    /// Sends one whole request and returns the status of its response.
    pub(crate) async fn send_whole(to: SocketAddr, head: &str, body: &[u8]) -> u16 {
        let mut stream = TcpStream::connect(to).await.expect("it listens");
        stream.write_all(head.as_bytes()).await.expect("the head is read");
        stream.write_all(body).await.expect("the body is read");
        read_response(&mut stream).await.status
    }

    /// Ids of the callers that were promised that their request has not run.
    pub(crate) fn promised_not_run(&self) -> Vec<String> {
        let statuses = self.statuses.borrow();
        let promised = statuses.iter().filter(|(_, status)| [408, 421, 429, 503].contains(status));
        promised.map(|(id, _)| id.clone()).collect()
    }
}

/// Sends a request as an ordinary caller does: again when it was promised that it has not run, after the time it
/// was told, or when the connection was closed without a response. Returns the last status, 0 for none.
pub(crate) async fn ordinary_request(to: SocketAddr, text: &str) -> u16 {
    let mut status = 0;
    for _ in 0..TRIES {
        let response = timeout(PATIENCE, try_request(to, text)).await.ok().flatten();
        status = response.as_ref().map_or(0, |response| response.status);
        if !matches!(status, 0 | 408 | 429 | 503) {
            return status;
        }
        let told = response.as_ref().and_then(|response| response.header("retry-after"));
        let told_s = told.and_then(|text| text.parse().ok()).unwrap_or(0.5);
        sleep(Duration::from_secs_f64(told_s)).await;
    }
    status
}

async fn try_request(to: SocketAddr, text: &str) -> Option<Response> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    Some(read_response(&mut stream).await)
}

/// The chunks of a body, without the last one.
pub(crate) fn chunks(total: usize, size: usize) -> Vec<u8> {
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.extend(std::iter::repeat_n(b'x', size));
    chunk.extend(b"\r\n");
    chunk.repeat(total / size)
}
