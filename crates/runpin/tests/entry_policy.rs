//! Runs `runpin entry policy` against the mock platform and an instance that reads from it.

mod common;

use common::runpin;
use entry::process::instance::Instance;
use entry::process::listeners::Listeners;
use entry::settings::{RawSettings, Settings};
use lab::{MockPlatform, serve_platform};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use steering::terms::RawTerms;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use users_platform::{PlatformClient, PlatformWire};

/// Returns the path of an example program.
fn example(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/policies");
    root.join(name).display().to_string()
}

/// Runs a test on a single thread, as an instance requires.
fn run(test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().expect("a runtime can be built");
    let test = async {
        tokio::time::timeout(Duration::from_secs(60), test).await.expect("the test ends in time");
    };
    LocalSet::new().block_on(&runtime, test);
}

/// Starts a platform; returns its address, and the environment variables that name it.
async fn start_platform() -> (SocketAddr, Vec<(&'static str, String)>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    spawn_local(serve_platform(listener, Arc::new(MockPlatform::default())));
    (address, vec![("RUNPIN_STORE", address.to_string())])
}

/// Starts an instance that reads from the platform.
async fn start_instance(store: SocketAddr) -> Rc<Instance> {
    let any_port = "127.0.0.1:0".to_owned();
    let raw = RawSettings {
        name: "one".to_owned(),
        availability_zone: "north-a".to_owned(),
        regions: [("north-a".to_owned(), "north".to_owned())].into(),
        caller_address: any_port.clone(),
        readiness_address: any_port.clone(),
        look_up_address: any_port.clone(),
        peer_address: any_port,
        seeds: Vec::new(),
        first_port: 0,
        store_address: store.to_string(),
        retry_ratio: 0.2,
        retry_extra: 64.0,
        retry_window_s: None,
        quota_window_s: None,
        quota_overage: 0.0,
        quota_slack: 0.0,
        max_ttl_s: 5.0,
        stop_grace_s: 2.0,
        terms: RawTerms { cold_slack: Some(2.0), ..RawTerms::default() },
    };
    let mut settings = Settings::try_from(raw).expect("the settings are valid");
    settings.gossip_address.set_port(0);
    settings.operators_address.set_port(0);
    let listeners = Listeners::bind(&mut settings).await.expect("ports are free");
    let client = PlatformClient::new(store);
    let instance = Instance::new(settings, Box::new(PlatformWire), Box::new(client));
    let instance = instance.expect("metrics are valid");
    entry::process::daemon::start(&instance, listeners);
    instance
}

#[test]
fn a_set_is_applied_shown_and_rolled_back() {
    run(async {
        let (store, environment) = start_platform().await;
        let instance = start_instance(store).await;
        let trial = format!("trial:1:{}", example("latency-first.rhai"));
        let command = ["entry", "policy", "apply", "--arm", "base:3", "--arm", &trial];
        let output = runpin(&command, &environment).await;
        assert_eq!((output.code, output.stdout.trim()), (0, "set 1 of policies is in force"));
        let number = || instance.replica.borrow().policies.content.number;
        while number() != 1 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let output = runpin(&["entry", "policy", "apply", "--arm", "only:1"], &environment).await;
        assert_eq!(output.code, 0, "{}", output.stderr);
        let output = runpin(&["entry", "policy", "show"], &environment).await;
        assert!(
            output.stdout.contains("set 2:\n  only: weight 1, the built-in rule"),
            "{output:?}"
        );
        assert!(output.stdout.contains("earlier set 1:\n  base: weight 3"), "{output:?}");
        let output = runpin(&["entry", "policy", "rollback"], &environment).await;
        assert_eq!(output.code, 0, "{}", output.stderr);
        while number() != 3 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let address = instance.settings.operators_address.to_string();
        let output = runpin(&["entry", "status", "--instance", &address], &environment).await;
        assert!(output.stdout.contains("set 3, arms base, trial"), "{output:?}");
    });
}

#[test]
fn terms_are_shown_with_what_follows_from_them_and_conflicts() {
    run(async {
        let (store, environment) = start_platform().await;
        let instance = start_instance(store).await;
        let address = instance.settings.operators_address.to_string();

        let output = runpin(&["entry", "terms", "--instance", &address], &environment).await;

        assert_eq!(output.code, 0, "{}", output.stderr);
        let lines: Vec<Vec<&str>> =
            output.stdout.lines().map(|line| line.split_whitespace().collect()).collect();
        let expected = [
            vec!["reconnection_s", "not", "agreed", "heartbeat_interval_s", "0.800"],
            vec!["cold_slack", "2", "cold_burst_requests", "1.000"],
        ];
        assert!(expected.iter().all(|line| lines.contains(line)), "{}", output.stdout);
        assert!(output.stdout.contains("conflict: cold_slack: "), "{}", output.stdout);
    });
}

#[test]
fn invalid_input_or_a_conflict_is_reported_and_changes_nothing() {
    run(async {
        let (_, environment) = start_platform().await;
        let invalid =
            std::env::temp_dir().join(format!("runpin-wrong-{}.rhai", std::process::id()));
        std::fs::write(&invalid, "sites.map(").expect("it can be written");
        let broken = format!("trial:1:{}", invalid.display());
        let cases: &[(&[&str], i32, &str)] = &[
            (&["apply", "--arm", "a"], 2, "NAME:WEIGHT"),
            (&["apply", "--arm", "a:1:no-such-file"], 2, "no-such-file"),
            (&["apply", "--arm", "a:0"], 2, "weights of the arms are all 0"),
            (&["apply", "--arm", "a:1", "--arm", "a:1"], 2, "two arms are named a"),
            (&["apply", "--arm", &broken], 2, "program of arm trial"),
            (&["apply", "--arm", "a:1", "--expect-number", "7"], 3, "set 0 of policies"),
            (&["rollback"], 2, "no earlier set"),
        ];
        for (arguments, code, message) in cases {
            let command: Vec<&str> =
                ["entry", "policy"].into_iter().chain(arguments.iter().copied()).collect();
            let output = runpin(&command, &environment).await;
            assert_eq!(output.code, *code, "{arguments:?}: {}", output.stderr);
            assert!(output.stderr.contains(message), "{arguments:?}: {}", output.stderr);
        }
        std::fs::remove_file(&invalid).expect("it can be removed");
        let dry = ["entry", "policy", "apply", "--arm", "a:1", "--dry-run"];
        assert_eq!(runpin(&dry, &environment).await.code, 0);
        let output = runpin(&["entry", "policy", "show"], &environment).await;
        assert_eq!(output.stdout.trim(), "set 0: the built-in rule for all");
        let output = runpin(&["entry", "policy", "show"], &[]).await;
        assert_eq!(output.code, 2, "{}", output.stderr);
        assert!(output.stderr.contains("RUNPIN_STORE"), "{}", output.stderr);
        let nowhere = ["entry", "policy", "show", "--store", "127.0.0.1:1"];
        assert_eq!(runpin(&nowhere, &[]).await.code, 4);
    });
}

#[test]
fn two_arms_are_compared_by_the_counts_of_instances() {
    run(async {
        let (store, environment) = start_platform().await;
        let instance = start_instance(store).await;
        let counting = instance.clone();
        let counts = spawn_local(async move {
            let flow = |arm: &str| ("dossier".into(), "look-ups".into(), arm.into());
            loop {
                for number in 0..40 {
                    let mut arms = counting.arm_counts.borrow_mut();
                    arms.record_response(flow("base"), Duration::from_millis(200 + number));
                    arms.record_response(flow("trial"), Duration::from_millis(20 + number));
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
        let address = instance.settings.operators_address.to_string();
        let compare = ["entry", "policy", "compare", "--instance", &address, "--duration-s", "2"];
        let compared: Vec<&str> = compare.into_iter().chain(["base", "trial"]).collect();
        let output = runpin(&compared, &environment).await;
        assert_eq!(output.code, 0, "{}", output.stderr);
        assert!(
            output.stdout.contains("look-ups") && output.stdout.contains("better"),
            "{output:?}"
        );
        let unknown: Vec<&str> = compare.into_iter().chain(["base", "other"]).collect();
        let output = runpin(&unknown, &environment).await;
        assert_eq!(output.code, 1, "{}", output.stderr);
        counts.abort();
    });
}
