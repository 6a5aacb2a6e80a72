//! Changes and rolls back policies and arms with the `runpin` binary.

mod common;

use common::Deployment;
use serde_json::Value;

const FIRST_PROGRAM: &str = "// Nearest first.\n[1.0, 0.0]\n";
const SECOND_PROGRAM: &str = "[0.5, 0.5]\n";

/// Runs a command and waits until its version is in force.
async fn run_and_wait(deployment: &Deployment, arguments: &[&str], number: u64) {
    let output = deployment.runpin(arguments).await;
    assert_eq!(output.stdout, format!("version {number} is accepted\n"), "{output:?}");
    deployment.wait_for_version(number).await;
}

async fn list(deployment: &Deployment) -> Value {
    let output = deployment.runpin(&["policy", "list", "--output", "json"]).await;
    serde_json::from_str(&output.stdout).expect("JSON")
}

#[tokio::test(flavor = "multi_thread")]
async fn policy_and_arms_are_added_without_other_changes_of_the_text() {
    let deployment = Deployment::start().await;
    let file = deployment.file("spread.rhai", FIRST_PROGRAM);
    let arms =
        ["--arm", "main=spread:90", "--arm", "trial=spread:10", "--arm", "watch=spread:shadow"];

    run_and_wait(&deployment, &[&["policy", "apply", &file], &arms[..]].concat(), 2).await;
    run_and_wait(
        &deployment,
        &["policy", "apply", "--arm", "trial=none", "--arm", "main=spread:100"],
        3,
    )
    .await;
    let text = deployment.runpin(&["policy", "list"]).await;
    let get = deployment.runpin(&["config", "get"]).await;

    let list = list(&deployment).await;
    assert_eq!(list["policies"][0]["program"], FIRST_PROGRAM);
    assert_eq!(list["arms"].as_array().map(Vec::len), Some(2));
    assert!(text.stdout.contains("main (100 %), watch (shadow)"), "{text:?}");
    let (_, shown) = get.stdout.split_once('\n').expect("a first line");
    assert!(shown.starts_with(&deployment.configuration_text()), "{get:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn rollback_restores_the_earlier_program_as_a_new_version() {
    let deployment = Deployment::start().await;
    let first = deployment.file("spread.rhai", FIRST_PROGRAM);
    run_and_wait(&deployment, &["policy", "apply", &first, "--arm", "main=spread:100"], 2).await;
    let second = deployment.file("spread.rhai", SECOND_PROGRAM);
    run_and_wait(&deployment, &["policy", "apply", &second], 3).await;
    run_and_wait(&deployment, &["drain", "instance", "one"], 4).await;

    run_and_wait(&deployment, &["policy", "rollback", "spread"], 5).await;
    let after_rollback = list(&deployment).await;
    run_and_wait(&deployment, &["policy", "rollback", "--to", "3", "spread"], 6).await;
    let after_second_rollback = list(&deployment).await;
    let history = deployment.runpin(&["config", "history", "--output", "json"]).await;

    assert_eq!(after_rollback["policies"][0]["program"], FIRST_PROGRAM);
    assert_eq!(after_second_rollback["policies"][0]["program"], SECOND_PROGRAM);
    let history: Value = serde_json::from_str(&history.stdout).expect("JSON");
    let versions = history["versions"].as_array().expect("versions");
    let numbers: Vec<u64> = versions.iter().filter_map(|v| v["number"].as_u64()).collect();
    assert_eq!(numbers, [6, 5, 4, 3, 2, 1]);
    assert_eq!(versions[0]["drains"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn shares_that_do_not_add_up_change_nothing() {
    let deployment = Deployment::start().await;
    let file = deployment.file("spread.rhai", FIRST_PROGRAM);

    let output = deployment.runpin(&["policy", "apply", &file, "--arm", "main=spread:90"]).await;

    assert_eq!(output.code, 2, "{output:?}");
    assert!(output.stderr.contains("add up to 90 percent, not 100"), "{output:?}");
    assert_eq!(deployment.accepted_number().await, 1);
}
