//! Raw HTTP callers and backend servers, for messages that no library would send.

use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// The bytes that a caller read until the connection closed.
pub(crate) struct RawResponse {
    pub(crate) text: String,
}

impl RawResponse {
    pub(crate) fn status(&self) -> u16 {
        self.text.get(9..12).and_then(|digits| digits.parse().ok()).unwrap_or(0)
    }

    pub(crate) fn body(&self) -> &str {
        self.text.split_once("\r\n\r\n").map_or("", |(_, body)| body)
    }

    /// Returns whether the head contains a header line, ignoring case.
    pub(crate) fn has_header(&self, line: &str) -> bool {
        let head = self.text.split("\r\n\r\n").next().unwrap_or_default();
        head.split("\r\n").any(|found| found.eq_ignore_ascii_case(line))
    }
}

/// Sends a request over a new connection and reads until the connection closes.
pub(crate) async fn exchange(to: SocketAddr, request: &str) -> RawResponse {
    let mut stream = TcpStream::connect(to).await.expect("connected");
    // The write may fail, because the server may respond and close before it has read everything.
    let _ = stream.write_all(request.as_bytes()).await;
    read_to_end(&mut stream).await
}

/// Reads until the connection closes, cleanly or not.
pub(crate) async fn read_to_end(stream: &mut TcpStream) -> RawResponse {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    RawResponse { text: String::from_utf8_lossy(&bytes).into_owned() }
}

/// A backend server that sends the same bytes in response to every request.
pub(crate) struct ScriptedBackend {
    pub(crate) address: SocketAddr,
    /// Heads of the requests that arrived.
    pub(crate) heads: mpsc::UnboundedReceiver<String>,
}

/// What a scripted backend server does with the connection after a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AfterResponse {
    Close,
    KeepOpen,
}

impl ScriptedBackend {
    pub(crate) async fn start(response: &str, after_response: AfterResponse) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        let (sender, heads) = mpsc::unbounded_channel();
        let response: Arc<str> = response.into();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, response.clone(), after_response, sender.clone()));
            }
        });
        Self { address, heads }
    }
}

async fn serve(
    mut stream: TcpStream,
    response: Arc<str>,
    after_response: AfterResponse,
    heads: mpsc::UnboundedSender<String>,
) {
    while let Some(head) = read_head(&mut stream).await {
        // The send fails if the test does not read heads.
        let _ = heads.send(head);
        if stream.write_all(response.as_bytes()).await.is_err()
            || after_response == AfterResponse::Close
        {
            return;
        }
    }
}

/// Reads a request head; `None` if the connection closes before its end.
pub(crate) async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}
