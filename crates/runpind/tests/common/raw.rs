//! HTTP by the byte: callers and backend servers that do what no library would.

use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// What a caller read until the connection ended.
pub(crate) struct RawAnswer {
    pub(crate) text: String,
}

impl RawAnswer {
    pub(crate) fn status(&self) -> u16 {
        self.text.get(9..12).and_then(|digits| digits.parse().ok()).unwrap_or(0)
    }

    pub(crate) fn body(&self) -> &str {
        self.text.split_once("\r\n\r\n").map_or("", |(_, body)| body)
    }

    /// Tells whether a header line with this text is there, whatever its case.
    pub(crate) fn has_header(&self, line: &str) -> bool {
        let head = self.text.split("\r\n\r\n").next().unwrap_or_default();
        head.split("\r\n").any(|found| found.eq_ignore_ascii_case(line))
    }
}

/// Sends bytes over a new connection, which stays open for reading, and reads to its end.
pub(crate) async fn exchange(to: SocketAddr, request: &str) -> RawAnswer {
    let mut stream = TcpStream::connect(to).await.expect("connected");
    // The other side may answer and close before it has read everything.
    let _ = stream.write_all(request.as_bytes()).await;
    read_to_end(&mut stream).await
}

/// Reads until the connection ends, cleanly or not.
pub(crate) async fn read_to_end(stream: &mut TcpStream) -> RawAnswer {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    RawAnswer { text: String::from_utf8_lossy(&bytes).into_owned() }
}

/// A backend server that gives every request the same bytes and then ends the connection.
pub(crate) struct ScriptedBackend {
    pub(crate) address: SocketAddr,
    /// Heads of the requests that arrived.
    pub(crate) heads: mpsc::UnboundedReceiver<String>,
}

/// What a scripted backend server does after its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Then {
    Close,
    KeepOpen,
}

impl ScriptedBackend {
    pub(crate) async fn start(answer: &str, then: Then) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        let (sender, heads) = mpsc::unbounded_channel();
        let answer: Arc<str> = answer.into();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, answer.clone(), then, sender.clone()));
            }
        });
        Self { address, heads }
    }
}

async fn serve(
    mut stream: TcpStream,
    answer: Arc<str>,
    then: Then,
    heads: mpsc::UnboundedSender<String>,
) {
    while let Some(head) = read_head(&mut stream).await {
        // The test may not look at heads.
        let _ = heads.send(head);
        if stream.write_all(answer.as_bytes()).await.is_err() || then == Then::Close {
            return;
        }
    }
}

/// Reads up to the end of a request's head; `None` when the connection ends before.
pub(crate) async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}
