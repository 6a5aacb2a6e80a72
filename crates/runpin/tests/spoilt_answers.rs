//! Instances whose responses are spoilt or without end: what `runpin` makes of them.

mod common;

use common::{CHANGE_TOKEN, READ_TOKEN, runpin};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Exit codes of commands.
const UNREACHABLE: i32 = 4;
const OUTCOME_UNKNOWN: i32 = 6;

const DECISION: &str = r#"[{"request_id":"1","route":"r","service":"s","customer":null,"arm":null,
"outcome":"answered","offers":[],"configuration_version":1,"servers_as_of":1,"took_ms":1}]"#;

/// Starts an instance that answers each request with a text, then with a piece again and again if there is one;
/// returns its address, and the most bytes that one connection took.
async fn start(text: String, piece: &'static [u8]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the bound address");
    let most_taken = Arc::new(AtomicUsize::new(0));
    let taken_by_all = most_taken.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = vec![0; 64 * 1024];
            let read = stream.read(&mut request).await;
            if read.is_err() || stream.write_all(text.as_bytes()).await.is_err() {
                continue;
            }
            let mut taken = 0;
            while !piece.is_empty() && stream.write_all(piece).await.is_ok() {
                taken += piece.len();
                taken_by_all.fetch_max(taken, Ordering::Relaxed);
            }
        }
    });
    (address, most_taken)
}

/// Runs a command with the tokens against an instance; returns its exit code and what it printed.
async fn run(arguments: &[&str], address: SocketAddr) -> (i32, String) {
    let environment = [
        ("RUNPIN_INSTANCE", address.to_string()),
        ("RUNPIN_READ_TOKEN", READ_TOKEN.to_owned()),
        ("RUNPIN_CHANGE_TOKEN", CHANGE_TOKEN.to_owned()),
    ];
    let output = runpin(arguments, &environment).await;
    (output.code, format!("{}{}", output.stdout, output.stderr))
}

// Guards against a report that an instance never made, and a change that counts as accepted, by a response that is
// none.
#[tokio::test(flavor = "multi_thread")]
async fn a_spoilt_response_is_none() {
    for (status, lines) in [
        ("200 OK", "Transfer-Encoding: chunkd\r\n"),
        ("200 OK", "Transfer-Encoding: x\r\nContent-Length: 5\r\n"),
        ("200 OK", "Content-Lenght: 5\r\n"),
        ("200 OK", "X A: b\r\n"),
        ("000 X", "Content-Length: 0\r\n"),
        ("101 X", "Content-Length: 0\r\n"),
        ("600 X", "Content-Length: 0\r\n"),
    ] {
        let text = format!("HTTP/1.1 {status}\r\n{lines}\r\n{DECISION}");
        let (address, _) = start(text.clone(), b"").await;
        let (code, printed) = run(&["entry", "explain", "1"], address).await;
        assert_eq!(code, UNREACHABLE, "{text:?}: {printed}");
    }
}

// Guards against a refusal of sound responses.
#[tokio::test(flavor = "multi_thread")]
async fn a_sound_response_is_read() {
    for lines in ["", "Connection: close\r\n", &format!("Content-Length: {}\r\n", DECISION.len())] {
        let (address, _) = start(format!("HTTP/1.1 200 OK\r\n{lines}\r\n{DECISION}"), b"").await;
        let (code, printed) = run(&["entry", "explain", "1"], address).await;
        assert_eq!(code, 0, "{lines:?}: {printed}");
    }
}

// Guards against a change that is reported as done by a response that is none.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_with_a_spoilt_response_may_have_been_accepted() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("configuration.toml");
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/repair.toml");
    std::fs::copy(example, &file).expect("the file can be copied");
    let file = file.display().to_string();
    let accepted = r#"{"number":2,"dry_run":false}"#;
    let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkd\r\n\r\n{accepted}");
    let (address, _) = start(text, b"").await;
    let (code, printed) = run(&["config", "apply", &file], address).await;
    assert_eq!(code, OUTCOME_UNKNOWN, "{printed}");
}

/// Bytes of one response that may be taken, kernel buffers included.
const MAX_TAKEN_BYTES: usize = 96 * 1024 * 1024;

// Guards against a command that uses up the memory of the operator's machine, as a response has no end.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_end_takes_little_memory() {
    let (address, taken) = start("HTTP/1.1 200 OK\r\n\r\n".to_owned(), &[b' '; 64 * 1024]).await;
    let (code, printed) = run(&["entry", "explain", "1"], address).await;
    let taken = taken.load(Ordering::Relaxed);
    assert!(taken <= MAX_TAKEN_BYTES, "{taken} bytes");
    assert_eq!(code, UNREACHABLE, "{printed}");
}
