//! Writes with an idempotency key, sent to the key's home instance.

mod fleet;

use fleet::{Fleet, LARGE_BYTES, new_key};

#[tokio::test]
async fn a_retry_gets_the_first_response() {
    let fleet = Fleet::start().await;
    let daemon = fleet.start_daemon("one").await;
    let key = new_key(&daemon, "a");

    let first = fleet.send(daemon.caller_address(), "/files/ok", &key).await;
    let again = fleet.send(daemon.caller_address(), "/files/ok", &key).await;

    assert_eq!((first.status, first.text.as_str()), (201, "run 1"));
    assert_eq!(again, first);
    assert_eq!(fleet.server.times_run(&key), 1);
}

#[tokio::test]
async fn a_write_whose_response_was_lost_is_never_run_again() {
    let fleet = Fleet::start().await;
    let daemon = fleet.start_daemon("one").await;
    let key = new_key(&daemon, "a");

    let first = fleet.send(daemon.caller_address(), "/files/lost", &key).await;
    let again = fleet.send(daemon.caller_address(), "/files/lost", &key).await;

    assert_eq!((first.status, first.outcome.as_deref()), (502, Some("unknown")));
    assert_eq!((again.status, again.outcome.as_deref()), (409, Some("unknown")));
    assert_eq!(fleet.server.times_run(&key), 1);
}

#[tokio::test]
async fn a_response_too_large_to_store_is_reported_as_run() {
    let fleet = Fleet::start().await;
    let daemon = fleet.start_daemon("one").await;
    let key = new_key(&daemon, "a");

    let first = fleet.send(daemon.caller_address(), "/files/large", &key).await;
    let again = fleet.send(daemon.caller_address(), "/files/large", &key).await;

    assert_eq!((first.status, first.text.len()), (201, LARGE_BYTES));
    assert_eq!((again.status, again.outcome.as_deref()), (409, Some("ran")));
    assert_eq!(fleet.server.times_run(&key), 1);
}

#[tokio::test]
async fn a_shed_write_was_not_run_and_may_be_sent_again() {
    let fleet = Fleet::start().await;
    let daemon = fleet.start_daemon("one").await;
    let key = new_key(&daemon, "a");

    let shed = fleet.send(daemon.caller_address(), "/files/shed", &key).await;
    let again = fleet.send(daemon.caller_address(), "/files/ok", &key).await;

    assert_eq!((shed.status, shed.outcome.as_deref()), (503, Some("not-run")));
    assert_eq!((again.status, again.text.as_str()), (201, "run 1"));
}

#[tokio::test]
async fn a_write_continues_after_its_caller_disconnects() {
    let fleet = Fleet::start().await;
    let daemon = fleet.start_daemon("one").await;
    let to = daemon.caller_address();
    let key = new_key(&daemon, "a");
    let cancelled_request = fleet.send(to, "/files/gate", &key);
    tokio::select! {
        response = cancelled_request => panic!("response behind a closed gate: {response:?}"),
        () = fleet.server.wait_until_run(&key) => {}
    }

    let meanwhile = fleet.send(to, "/files/gate", &key).await;
    fleet.server.open_gate();
    daemon.process().ledger.wait_for_exchanges().await;
    let later = fleet.send(to, "/files/gate", &key).await;

    assert_eq!((meanwhile.status, meanwhile.outcome.as_deref()), (409, Some("unknown")));
    assert_eq!((later.status, later.text.as_str()), (201, "run 1"));
    assert_eq!(fleet.server.times_run(&key), 1);
}

#[tokio::test]
async fn a_key_of_another_request_or_a_malformed_key_is_refused() {
    let fleet = Fleet::start().await;
    let daemon = fleet.start_daemon("one").await;
    let to = daemon.caller_address();
    let key = new_key(&daemon, "a");
    fleet.send(to, "/files/ok", &key).await;

    let other_path = fleet.send(to, "/files/large", &key).await;
    let malformed = fleet.send(to, "/files/ok", "my-key").await;

    assert_eq!((other_path.status, other_path.outcome.as_deref()), (422, Some("not-run")));
    assert_eq!((malformed.status, malformed.outcome.as_deref()), (400, Some("not-run")));
    assert_eq!(fleet.server.times_run("my-key"), 0);
}
