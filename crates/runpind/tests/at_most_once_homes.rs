//! Writes with an idempotency key, sent to an instance that is not the key's home.

mod fleet;

use fleet::{Fleet, new_key, share_incarnations};
use runpind::Daemon;

/// Starts two daemons that know each other's incarnation.
async fn start_pair() -> (Fleet, Daemon, Daemon) {
    let fleet = Fleet::start().await;
    let home = fleet.start_daemon("home").await;
    let other = fleet.start_daemon("other").await;
    fleet.wait_until_listed(&[&home, &other]).await;
    share_incarnations(&[&home, &other]);
    (fleet, home, other)
}

#[tokio::test]
async fn a_retry_at_another_instance_gets_the_first_response() {
    let (fleet, home, other) = start_pair().await;
    let key = new_key(&home, "a");

    let first = fleet.send(home.caller_address(), "/files/ok", &key).await;
    let again = fleet.send(other.caller_address(), "/files/ok", &key).await;

    assert_eq!((first.status, first.text.as_str()), (201, "run 1"));
    assert_eq!(again, first);
    assert_eq!(fleet.server.times_run(&key), 1);
}

#[tokio::test]
async fn a_write_at_another_instance_is_run_by_its_home() {
    let (fleet, home, other) = start_pair().await;
    let key = new_key(&home, "a");

    let first = fleet.send(other.caller_address(), "/files/lost", &key).await;
    let again = fleet.send(home.caller_address(), "/files/lost", &key).await;

    assert_eq!((first.status, first.outcome.as_deref()), (502, Some("unknown")));
    assert_eq!((again.status, again.outcome.as_deref()), (409, Some("unknown")));
    assert_eq!(fleet.server.times_run(&key), 1);
}

#[tokio::test]
async fn a_home_killed_with_a_write_in_flight_leaves_the_outcome_unknown() {
    let (fleet, home, other) = start_pair().await;
    let key = new_key(&home, "a");
    let cut = fleet.try_send(home.caller_address(), "/files/gate", &key);
    let killed = async {
        fleet.server.wait_until_run(&key).await;
        home.kill();
    };
    let (cut, ()) = tokio::join!(cut, killed);
    fleet.server.open_gate();

    let again = fleet.send(other.caller_address(), "/files/gate", &key).await;

    assert_eq!(cut, None);
    assert_eq!((again.status, again.outcome.as_deref()), (503, Some("unknown")));
    assert!(again.text.contains(r#""attempt":"not-run""#), "{}", again.text);
    assert_eq!(fleet.server.times_run(&key), 1);
}

#[tokio::test]
async fn a_new_incarnation_on_the_same_address_runs_no_old_key() {
    let (fleet, home, other) = start_pair().await;
    let (address, key) = (home.caller_address(), new_key(&home, "a"));
    fleet.send(address, "/files/ok", &key).await;
    home.kill();
    let home = fleet.restart_daemon("home", address).await;
    fleet.wait_until_listed(&[&home, &other]).await;
    share_incarnations(&[&home, &other]);

    let at_home = fleet.send(address, "/files/ok", &key).await;
    let elsewhere = fleet.send(other.caller_address(), "/files/ok", &key).await;

    assert_eq!((at_home.status, at_home.outcome.as_deref()), (410, Some("unknown")));
    assert_eq!((elsewhere.status, elsewhere.outcome.as_deref()), (410, Some("unknown")));
    assert_eq!(fleet.server.times_run(&key), 1);
}

#[tokio::test]
async fn after_a_planned_stop_the_successor_takes_over_the_keys() {
    let (fleet, home, other) = start_pair().await;
    let (known, fresh) = (new_key(&home, "known"), new_key(&home, "fresh"));
    let first = fleet.send(home.caller_address(), "/files/ok", &known).await;

    home.stop().await;
    let again = fleet.send(other.caller_address(), "/files/ok", &known).await;
    let new = fleet.send(other.caller_address(), "/files/ok", &fresh).await;

    assert_eq!(again, first);
    assert_eq!((new.status, new.text.as_str()), (201, "run 1"));
    assert_eq!((fleet.server.times_run(&known), fleet.server.times_run(&fresh)), (1, 1));
}

#[tokio::test]
async fn a_write_in_flight_at_a_planned_stop_ends_at_the_home() {
    let (fleet, home, other) = start_pair().await;
    let key = new_key(&home, "a");
    let first = fleet.send(home.caller_address(), "/files/gate", &key);
    let stopped = async {
        fleet.server.wait_until_run(&key).await;
        let process = other.process().clone();
        let took_over = fleet.wait_until(|| !process.ledger.taken_over_homes().is_empty());
        let meanwhile = async {
            took_over.await;
            let response = fleet.send(other.caller_address(), "/files/gate", &key).await;
            fleet.server.open_gate();
            response
        };
        tokio::join!(home.stop(), meanwhile).1
    };

    let (first, meanwhile) = tokio::join!(first, stopped);
    let later = fleet.send(other.caller_address(), "/files/gate", &key).await;

    assert_eq!((first.status, first.text.as_str()), (201, "run 1"));
    assert_eq!((meanwhile.status, meanwhile.outcome.as_deref()), (409, Some("unknown")));
    assert_eq!(later, first);
    assert_eq!(fleet.server.times_run(&key), 1);
}

#[tokio::test]
async fn a_request_is_not_forwarded_twice() {
    let (fleet, home, other) = start_pair().await;
    let key = new_key(&home, "a");

    let response = fleet.send_forwarded(other.caller_address(), "/files/ok", &key).await;

    assert_eq!((response.status, response.outcome.as_deref()), (503, Some("unknown")));
    assert_eq!(fleet.server.times_run(&key), 0);
}

#[tokio::test]
async fn a_full_ledger_refuses_new_keys_and_keeps_old_ones() {
    let (fleet, home, _other) = start_pair().await;
    let to = home.caller_address();
    let (old, new) = (new_key(&home, "old"), new_key(&home, "new"));
    let first = fleet.send(to, "/files/ok", &old).await;
    fleet.fill_ledger(&home);

    let refused = fleet.send(to, "/files/ok", &new).await;
    let again = fleet.send(to, "/files/ok", &old).await;

    assert_eq!((refused.status, refused.outcome.as_deref()), (503, Some("not-run")));
    assert_eq!(again, first);
    assert_eq!(fleet.server.times_run(&new), 0);
}
