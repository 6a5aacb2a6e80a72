//! Runs `runpin policy compare` on live traffic.

mod common;

use common::{Deployment, Traffic};
use serde_json::Value;

#[tokio::test(flavor = "multi_thread")]
async fn an_arm_does_not_differ_from_itself() {
    let deployment = Deployment::start().await;
    let _traffic = Traffic::start(&deployment);
    let compare = ["policy", "compare", "--duration-s", "1", "built-in", "built-in"];

    let text = deployment.runpin(&compare).await;
    let json = deployment.runpin(&[&compare[..], &["--output", "json"]].concat()).await;

    assert_eq!(text.code, 0, "{text:?}");
    assert!(text.stdout.contains("2 instances, 30 periods"), "{text:?}");
    assert!(text.stdout.ends_with("verdict: no difference shown yet\n"), "{text:?}");
    let json: Value = serde_json::from_str(&json.stdout).expect("JSON");
    let group = &json["groups"][0];
    assert_eq!((&group["service"], &group["class"]), (&"files".into(), &"read".into()));
    assert!(group["base"]["answered"].as_u64() > Some(0), "{group}");
    assert_eq!(group["verdict"], "no-difference-shown");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_arm_without_requests_fails_and_the_others_are_listed() {
    let deployment = Deployment::start().await;
    let _traffic = Traffic::start(&deployment);

    let compare = ["policy", "compare", "--duration-s", "1", "built-in", "nothing"];
    let output = deployment.runpin(&compare).await;

    assert_eq!(output.code, 1);
    assert!(output.stderr.contains("arms with requests: built-in"), "{output:?}");
}
