//! Draining and undraining instances and backend servers.

mod common;

use common::Deployment;
use serde_json::Value;
use std::net::SocketAddr;

/// Returns the addresses of the instances in a look-up response.
async fn lookup(deployment: &Deployment) -> Vec<SocketAddr> {
    let output = deployment.runpin(&["lookup", "--service", "files", "--output", "json"]).await;
    let response: Value = serde_json::from_str(&output.stdout).expect("JSON");
    let instances = response["instances"].as_array().expect("instances").clone();
    let address = |instance: &Value| instance["address"].as_str().expect("address").parse();
    instances.iter().map(|instance| address(instance).expect("an address")).collect()
}

/// Runs a command and waits until its version is in force.
async fn run_and_wait(deployment: &Deployment, arguments: &[&str], number: u64) {
    let output = deployment.runpin(arguments).await;
    assert_eq!(output.code, 0, "{output:?}");
    deployment.wait_for_version(number).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_instance_is_left_out_of_look_ups_until_undrained() {
    let deployment = Deployment::start().await;
    let addresses: Vec<_> =
        deployment.daemons.iter().map(|daemon| daemon.caller_address()).collect();

    let before = lookup(&deployment).await;
    run_and_wait(&deployment, &["drain", "--wait-s", "5", "instance", "one"], 2).await;
    let drained = lookup(&deployment).await;
    let status = deployment.runpin(&["status"]).await;
    run_and_wait(&deployment, &["undrain", "instance", "one"], 3).await;
    let after = lookup(&deployment).await;

    assert_eq!(before, addresses);
    assert_eq!(drained, addresses[1..]);
    assert!(status.stdout.contains("instance one in n1: drained"), "{status:?}");
    assert_eq!(after, addresses);
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_backend_server_stays_drained_after_a_configuration_change() {
    let deployment = Deployment::start().await;
    let server = deployment.backends[0].address.to_string();
    let text =
        deployment.configuration_text().replace("lookup_ttl_ms = 1000", "lookup_ttl_ms = 2000");
    let file = deployment.file("next.toml", &text);

    run_and_wait(&deployment, &["drain", "backend-server", &server], 2).await;
    run_and_wait(&deployment, &["config", "apply", &file], 3).await;

    for daemon in &deployment.daemons {
        let version = daemon.process().version.load_full().expect("a version");
        let sites = &version.configuration.services[0].sites;
        assert_eq!(version.configuration.lookup.ttl_ms, 2000);
        assert!(sites[0].backend_servers.is_empty());
        assert_eq!(sites[1].backend_servers.len(), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_twice_creates_one_version() {
    let deployment = Deployment::start().await;

    run_and_wait(&deployment, &["drain", "instance", "one"], 2).await;
    run_and_wait(&deployment, &["drain", "instance", "one"], 2).await;

    assert_eq!(deployment.accepted_number().await, 2);
}
