//! Runs the `runpin` binary against daemons and checks its output and exit codes.

mod common;

use common::{CHANGE_TOKEN, Deployment, READ_TOKEN, runpin};
use lab::PlatformFaults;
use serde_json::Value;

#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_compared_applied_and_shown() {
    let deployment = Deployment::start().await;
    let text =
        deployment.configuration_text().replace("lookup_ttl_ms = 1000", "lookup_ttl_ms = 2000");
    let file = deployment.file("next.toml", &text);

    let diff = deployment.runpin(&["config", "diff", &file]).await;
    let dry_run = deployment.runpin(&["config", "apply", "--dry-run", &file]).await;
    let after_dry_run = deployment.accepted_number().await;
    let apply = deployment.runpin(&["config", "apply", "--expect-version", "1", &file]).await;
    deployment.wait_for_version(2).await;
    let get = deployment.runpin(&["config", "get"]).await;

    assert!(diff.stdout.contains("-lookup_ttl_ms = 1000\n+lookup_ttl_ms = 2000\n"), "{diff:?}");
    assert_eq!(dry_run.stdout, "it would be version 2; nothing was changed\n");
    assert_eq!(after_dry_run, 1);
    assert_eq!((apply.code, apply.stdout.as_str()), (0, "version 2 is accepted\n"));
    assert!(get.stdout.starts_with("# version 2 by operator\n"), "{get:?}");
    assert!(get.stdout.ends_with(&text), "{get:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_each_instance_as_text_and_json() {
    let deployment = Deployment::start().await;

    let text = deployment.runpin(&["status"]).await;
    let json = deployment.runpin(&["status", "--output", "json"]).await;

    assert_eq!(text.code, 0, "{text:?}");
    assert!(text.stdout.contains("instance one in n1: ready, 0 requests in flight"), "{text:?}");
    assert!(text.stdout.contains("instance two in s1: ready"), "{text:?}");
    let json: Value = serde_json::from_str(&json.stdout).expect("JSON");
    assert_eq!(json[1]["status"]["instance"]["name"], "two");
    assert_eq!(json[0]["status"]["configuration"]["number"], 1);
    assert_eq!(json[0]["status"]["sites"][0]["capacity_slots"], 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_shares_arms_members_keys_and_backend_servers() {
    let deployment = Deployment::start().await;
    deployment.wait_for_sessions().await;

    let text = deployment.runpin(&["status"]).await.stdout;
    let json = deployment.runpin(&["status", "--output", "json"]).await;

    for line in [
        "; the highest heard of is 1\n",
        "entry instances: 2 serving",
        "idempotency keys: 0 of ",
        "session epoch 1 held here for ",
    ] {
        assert!(text.contains(line), "{line}\n{text}");
    }
    for (start, cell) in [("link to s1 ", " 1000/s "), ("files ", " 100 % "), ("two ", " serving ")]
    {
        let mut rows = text.lines().filter(|row| row.starts_with(start));
        assert!(rows.any(|row| row.contains(cell)), "{start}{cell}\n{text}");
    }
    let json: Value = serde_json::from_str(&json.stdout).expect("JSON");
    let one = &json[0]["status"];
    let link = &one["shares"]["shares"][0];
    assert_eq!(link["cap"], 1000);
    assert!(link["floor"].as_u64().is_some_and(|floor| floor <= 1000), "{link}");
    assert_eq!(one["shares"]["slot"].as_u64().map(|slot| slot < 4), Some(true));
    let source = one["adoption"]["source"].as_str().expect("a source");
    assert!(["platform", "two"].contains(&source), "{source}");
    assert_eq!(one["shares"]["session"]["held"], true);
    assert_eq!(one["adoption"]["highest_heard"], 1);
    assert_eq!(one["membership"]["by_state"]["serving"], 2);
    assert_eq!(one["ledger"]["keys"], 0);
    assert_eq!(one["routing"]["flows"][0]["service"], "files");
    assert_eq!(one["routing"]["flows"][0]["sites"][0]["availability_zone"], "n1");
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_an_instance_without_configuration() {
    let deployment = Deployment::start_without_configuration().await;

    let status = deployment.runpin(&["status"]).await;

    assert_eq!(status.code, 0, "{status:?}");
    assert!(status.stdout.contains("no configuration is known\nno version yet"), "{status:?}");
    assert!(status.stdout.contains("backend servers: none is tracked yet"), "{status:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn lookup_returns_the_instances_for_a_caller() {
    let deployment = Deployment::start().await;

    let response = deployment.runpin(&["lookup", "--service", "files", "--output", "json"]).await;
    let unknown = deployment.runpin(&["lookup", "--service", "nothing"]).await;

    let response: Value = serde_json::from_str(&response.stdout).expect("JSON");
    assert_eq!(response["availability_zone"], "n1");
    assert_eq!(response["instances"][0]["weight"], 100);
    assert_eq!(unknown.code, 2);
    assert!(unknown.stderr.contains("no service matches `nothing`"), "{unknown:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_changes_conflicts_and_names_both_versions() {
    let deployment = Deployment::start().await;
    let file = |ttl: &str| {
        let text = deployment.configuration_text().replace("ttl_ms = 1000", ttl);
        deployment.file(&ttl.replace(' ', "_"), &text)
    };
    let (first, second) = (file("ttl_ms = 1001"), file("ttl_ms = 1002"));

    let apply = |file: String| {
        let deployment = &deployment;
        async move { deployment.runpin(&["config", "apply", "--expect-version", "1", &file]).await }
    };

    let (first_result, second_result) = tokio::join!(apply(first), apply(second));

    let mut codes = [first_result.code, second_result.code];
    codes.sort_unstable();
    assert_eq!(codes, [0, 3], "{first_result:?} {second_result:?}");
    let conflict = if first_result.code == 3 { first_result } else { second_result };
    assert!(conflict.stderr.contains("would have replaced version 1"), "{conflict:?}");
    assert!(conflict.stderr.contains("version 2 by operator is in force"), "{conflict:?}");
    assert_eq!(deployment.accepted_number().await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn next_instance_is_called_when_the_first_is_down() {
    let mut deployment = Deployment::start().await;
    let down = deployment.daemons.remove(0);
    let addresses = format!("{},{}", down.admin_address(), deployment.admin_addresses());
    down.stop().await;
    let environment = [
        ("RUNPIN_INSTANCE", addresses),
        ("RUNPIN_READ_TOKEN", READ_TOKEN.to_owned()),
        ("RUNPIN_CHANGE_TOKEN", CHANGE_TOKEN.to_owned()),
    ];

    let get = runpin(&["config", "get"], &environment).await;
    let drain = runpin(&["drain", "instance", "one"], &environment).await;
    let status = runpin(&["status"], &environment).await;

    assert_eq!((get.code, drain.code), (0, 0), "{get:?} {drain:?}");
    assert_eq!(status.code, 1);
    assert!(status.stdout.contains("no instance can be asked"), "{status:?}");
    assert!(status.stdout.contains("instance two in s1"), "{status:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn with_the_platform_down_reads_succeed_and_changes_are_refused() {
    let deployment = Deployment::start().await;
    let file = deployment.file("same.toml", &deployment.configuration_text());
    deployment.platform.set_faults(PlatformFaults { outage: true, ..Default::default() });

    let status = deployment.runpin(&["status"]).await;
    let lookup = deployment.runpin(&["lookup", "--service", "files"]).await;
    let diff = deployment.runpin(&["config", "diff", &file]).await;
    let drain = deployment.runpin(&["drain", "availability-zone", "n1"]).await;

    assert_eq!([status.code, lookup.code, diff.code], [0, 0, 0]);
    assert_eq!(drain.code, 4);
    assert!(drain.stderr.contains("nothing was changed"), "{drain:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_write_response_of_the_platform_is_resolved_by_reading_back() {
    let deployment = Deployment::start().await;
    let switches = PlatformFaults { lose_write_answers: true, ..Default::default() };
    deployment.platform.set_faults(switches);

    let drain = deployment.runpin(&["drain", "instance", "one"]).await;

    assert_eq!((drain.code, drain.stdout.as_str()), (0, "version 2 is accepted\n"));
}
