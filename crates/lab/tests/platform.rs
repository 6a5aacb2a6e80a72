//! The mock platform over HTTP, called with the client that the daemons use.

use lab::{MockPlatform, PlatformFaults, serve_platform};
use platform::{Expected, ObjectStore, StoreError, UnavailableCause, Version};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use users_platform::PlatformClient;

async fn start() -> (Arc<MockPlatform>, PlatformClient) {
    let platform = Arc::new(MockPlatform::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    tokio::spawn(serve_platform(listener, platform.clone()));
    (platform, PlatformClient::new(address))
}

#[tokio::test]
async fn keys_with_special_characters_are_stored_unchanged() {
    let (platform, client) = start().await;
    let key = "a b/50%25&x=é";

    client.put(key, "value".into(), Expected::Absent).await.expect("written");

    let stored = platform.get(key).await.expect("read").expect("present");
    let listed = client.list("a b/50%").await.expect("listed");
    assert_eq!(stored.value, "value");
    assert_eq!(listed.changed.len(), 1);
    assert_eq!(&*listed.changed[0].key, key);
}

#[tokio::test]
async fn lost_response_of_a_successful_write_is_reported_as_unsure() {
    let (platform, client) = start().await;
    platform.set_faults(PlatformFaults { lose_write_answers: true, ..Default::default() });

    let response = client.put("key", "value".into(), Expected::Absent).await;

    assert_eq!(response, Err(StoreError::OutcomeUnknown));
    assert!(platform.get("key").await.expect("read").is_some());
}

#[tokio::test]
async fn outage_ends_a_waiting_watch() {
    let (platform, client) = start().await;
    let watch_task =
        tokio::spawn(async move { client.watch("", Version(0), Duration::from_secs(60)).await });
    while platform.calls() == 0 {
        tokio::task::yield_now().await;
    }

    platform.set_faults(PlatformFaults { outage: true, ..Default::default() });

    let ended = watch_task.await.expect("the watch ends");
    assert_eq!(ended, Err(StoreError::Unavailable(UnavailableCause::Status(503))));
}
