//! Writes with an idempotency key, at the key's home.

mod fleet;

use fleet::{Fleet, LARGE_BYTES, key_of};

#[tokio::test]
async fn a_retry_gets_the_first_answer_again() {
    let fleet = Fleet::start().await;
    let daemon = fleet.daemon("one").await;
    let key = key_of(&daemon, "a");

    let first = fleet.send(daemon.caller_address(), "/files/ok", &key).await;
    let again = fleet.send(daemon.caller_address(), "/files/ok", &key).await;

    assert_eq!((first.status, first.text.as_str()), (201, "run 1"));
    assert_eq!(again, first);
    assert_eq!(fleet.server.times_run(&key), 1);
}

#[tokio::test]
async fn a_write_whose_answer_was_lost_is_never_run_again() {
    let fleet = Fleet::start().await;
    let daemon = fleet.daemon("one").await;
    let key = key_of(&daemon, "a");

    let first = fleet.send(daemon.caller_address(), "/files/lost", &key).await;
    let again = fleet.send(daemon.caller_address(), "/files/lost", &key).await;

    assert_eq!((first.status, first.outcome.as_deref()), (502, Some("unknown")));
    assert_eq!((again.status, again.outcome.as_deref()), (409, Some("unknown")));
    assert_eq!(fleet.server.times_run(&key), 1);
}

#[tokio::test]
async fn an_answer_too_large_to_keep_is_told_as_run() {
    let fleet = Fleet::start().await;
    let daemon = fleet.daemon("one").await;
    let key = key_of(&daemon, "a");

    let first = fleet.send(daemon.caller_address(), "/files/large", &key).await;
    let again = fleet.send(daemon.caller_address(), "/files/large", &key).await;

    assert_eq!((first.status, first.text.len()), (201, LARGE_BYTES));
    assert_eq!((again.status, again.outcome.as_deref()), (409, Some("ran")));
    assert_eq!(fleet.server.times_run(&key), 1);
}

#[tokio::test]
async fn a_shed_write_was_not_run_and_may_be_sent_again() {
    let fleet = Fleet::start().await;
    let daemon = fleet.daemon("one").await;
    let key = key_of(&daemon, "a");

    let shed = fleet.send(daemon.caller_address(), "/files/shed", &key).await;
    let again = fleet.send(daemon.caller_address(), "/files/ok", &key).await;

    assert_eq!((shed.status, shed.outcome.as_deref()), (503, Some("not-run")));
    assert_eq!((again.status, again.text.as_str()), (201, "run 1"));
}

#[tokio::test]
async fn a_write_goes_on_when_its_caller_goes_away() {
    let fleet = Fleet::start().await;
    let daemon = fleet.daemon("one").await;
    let to = daemon.caller_address();
    let key = key_of(&daemon, "a");
    let given_up = fleet.send(to, "/files/gate", &key);
    tokio::select! {
        answer = given_up => panic!("answered behind a closed gate: {answer:?}"),
        () = fleet.server.wait_run(&key) => {}
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
async fn a_key_is_for_one_request_and_has_the_form_of_a_key() {
    let fleet = Fleet::start().await;
    let daemon = fleet.daemon("one").await;
    let to = daemon.caller_address();
    let key = key_of(&daemon, "a");
    fleet.send(to, "/files/ok", &key).await;

    let other_path = fleet.send(to, "/files/large", &key).await;
    let bad = fleet.send(to, "/files/ok", "my-key").await;

    assert_eq!((other_path.status, other_path.outcome.as_deref()), (422, Some("not-run")));
    assert_eq!((bad.status, bad.outcome.as_deref()), (400, Some("not-run")));
    assert_eq!(fleet.server.times_run("my-key"), 0);
}
