//! The real binary: a lookup, a request, and SIGTERM with an upload in flight.

mod common;

use common::{DaemonProcess, Deployment, Upload};

#[tokio::test(flavor = "multi_thread")]
async fn lookup_and_request_are_answered() {
    let deployment = Deployment::start().await;
    let daemon = DaemonProcess::start(&deployment).await;

    let lookup = daemon.get("/lookup?service=files").await;
    let response = daemon.get("/files/1").await;

    assert_eq!(lookup.status, 200);
    assert!(lookup.text.contains(&daemon.caller_address().to_string()), "{}", lookup.text);
    assert_eq!((response.status, response.text.as_str()), (200, " 0\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_finishes_an_upload_in_flight() {
    let deployment = Deployment::start().await;
    let mut daemon = DaemonProcess::start(&deployment).await;
    let mut upload = Upload::start(&daemon, 300_000).await;
    upload.send(100_000).await;

    daemon.terminate();
    daemon.wait_until_refusing_connections().await;
    upload.send(200_000).await;
    let response = upload.finish().await;

    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.ends_with(" 300000\n"), "{response}");
    assert!(daemon.exit_status().await.success());
}
