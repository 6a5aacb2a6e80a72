//! The real binary under overload, and with a backend server that closes connections early.

mod common;

use common::{DaemonProcess, Deployment, Upload, configuration_text};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SLOTS: u32 = 4;

/// Occupies every slot of the backend server with an unfinished upload.
async fn fill_slots(deployment: &Deployment, daemon: &DaemonProcess) -> Vec<Upload> {
    let mut uploads = Vec::new();
    for _ in 0..SLOTS {
        let mut upload = Upload::start(daemon, 10).await;
        upload.send(1).await;
        uploads.push(upload);
    }
    while deployment.backend.peak_in_use() < SLOTS {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    uploads
}

async fn send_request(daemon: &DaemonProcess, head: &str) -> String {
    let mut stream = TcpStream::connect(daemon.caller_address()).await.expect("connected");
    let text = format!("{head} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).await.expect("sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("read");
    response
}

#[tokio::test(flavor = "multi_thread")]
async fn request_without_capacity_is_refused_as_not_run_with_retry_after() {
    let deployment = Deployment::start().await;
    let daemon = DaemonProcess::start(&deployment).await;
    let _uploads = fill_slots(&deployment, &daemon).await;

    let response = send_request(&daemon, "GET /files/1").await;

    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("runpin-outcome: not-run"), "{response}");
    assert!(response.contains("retry-after: 1"), "{response}");
    assert!(response.contains("urn:runpin:problem:overloaded"), "{response}");
}

#[tokio::test(flavor = "multi_thread")]
async fn queued_request_is_answered_once_a_slot_is_free() {
    let long_queue_wait = |address: SocketAddr| {
        format!("{}[overload]\nqueue_wait_ms = 60000\n", configuration_text(address))
    };
    let deployment = Deployment::start_with(long_queue_wait).await;
    let daemon = Arc::new(DaemonProcess::start(&deployment).await);
    let mut uploads = fill_slots(&deployment, &daemon).await;
    let waiting = tokio::spawn({
        let daemon = daemon.clone();
        async move { send_request(&daemon, "GET /files/1").await }
    });
    daemon.wait_for_metric("runpin_queue_length{service=\"files\"} 1").await;

    let mut upload = uploads.pop().expect("an upload");
    upload.send(9).await;
    let response = waiting.await.expect("a response");

    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Starts a backend server that closes the connection at every other request whose path contains
/// `break`, beginning with the first, and counts these requests.
async fn breaking_backend() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    let broken = Arc::new(AtomicU32::new(0));
    let count = broken.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, count.clone()));
        }
    });
    (address, broken)
}

async fn serve(mut stream: TcpStream, broken: Arc<AtomicU32>) {
    let mut head = Vec::new();
    while let Ok(byte) = stream.read_u8().await {
        head.push(byte);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        let breaks = String::from_utf8_lossy(&head).contains("break");
        if breaks && broken.fetch_add(1, Ordering::SeqCst).is_multiple_of(2) {
            return;
        }
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        stream.write_all(response).await.expect("response sent");
        head.clear();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_read_is_retried_once_within_the_budget_and_a_write_never() {
    let (address, broken) = breaking_backend().await;
    let deployment = Deployment::start_with(|_| configuration_text(address)).await;
    let daemon = DaemonProcess::start(&deployment).await;

    let without_budget = send_request(&daemon, "GET /files/break").await;
    broken.store(0, Ordering::SeqCst);
    for _ in 0..20 {
        send_request(&daemon, "GET /files/1").await;
    }
    let read = send_request(&daemon, "GET /files/break").await;
    let times_read = broken.swap(0, Ordering::SeqCst);
    let write = send_request(&daemon, "DELETE /files/break").await;

    assert!(without_budget.starts_with("HTTP/1.1 502"), "{without_budget}");
    assert!(read.starts_with("HTTP/1.1 200"), "{read}");
    assert_eq!(times_read, 2);
    assert!(write.starts_with("HTTP/1.1 502"), "{write}");
    assert!(write.contains("runpin-outcome: unknown"), "{write}");
    assert_eq!(broken.load(Ordering::SeqCst), 1);
}
