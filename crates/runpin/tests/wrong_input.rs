//! Invalid input: each command ends with the documented exit code, reports the error and changes
//! nothing.

mod common;

use common::{CHANGE_TOKEN, Deployment, READ_TOKEN, runpin};

#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_is_reported_and_changes_nothing() {
    let deployment = Deployment::start().await;
    let invalid =
        deployment.configuration_text().replace("slots_per_server = 4", "slots_per_server = 0");
    let invalid = deployment.file("bad.toml", &invalid);
    let valid = deployment.file("good.toml", &deployment.configuration_text());
    let commands: &[(&[&str], i32, &str)] = &[
        (&[], 2, "subcommands"),
        (&["explode"], 2, "explode"),
        (&["lookup"], 2, "--service"),
        (&["lookup", "--service", "a b"], 2, "--service: `a b`"),
        (&["lookup", "--service", "files", "--caller", "x"], 2, "--caller"),
        (&["status", "--output", "yaml"], 2, "`yaml` is not `text` or `json`"),
        (&["status", "--instance", "nowhere"], 2, "nowhere"),
        (&["config", "check", "no-such-file"], 2, "no-such-file"),
        (&["config", "check", &invalid], 2, "line 23: field `service.slots_per_server`"),
        (&["config", "diff", &invalid], 2, "line 23: field `service.slots_per_server`"),
        (&["config", "apply", &invalid], 2, "line 23: field `service.slots_per_server`"),
        (&["config", "apply", "--expect-version", "7", &valid], 3, "would have replaced version 7"),
        (&["config", "apply", "--expect-version", "x", &valid], 2, "--expect-version"),
        (&["drain", "rack", "a"], 2, "`rack` is not `instance`"),
        (&["drain", "backend-server", "a"], 2, "`a` is not an IP address with a port"),
        (&["drain", "backend-server", "127.0.0.1:1"], 2, "no backend-server 127.0.0.1:1"),
        (&["drain", "availability-zone", "x1"], 2, "no availability-zone x1"),
        (&["drain", "instance", "a b"], 2, "`a b` is not a name"),
        (
            &["drain", "--expect-version", "7", "instance", "one"],
            3,
            "would have replaced version 7",
        ),
        (&["undrain", "availability-zone", "n1"], 2, "availability-zone n1 is not drained"),
        (&["policy", "apply"], 2, "name a file"),
        (&["policy", "apply", "--arm", "a=b"], 2, "`a=b` is not ARM=POLICY:PERCENT"),
        (&["policy", "apply", "--arm", "a=b:100"], 2, "`b` is not a defined policy"),
        (&["policy", "apply", "--expect-version", "7", "--arm", "a=b:100"], 3, "not version 7"),
        (&["policy", "apply", "no-such-file"], 2, "no-such-file"),
        (&["explain", "--service", "nothing"], 2, "no service matches `nothing`"),
        (&["policy", "check", &valid], 2, "good.toml: "),
        (&["policy", "compare", "a"], 2, "trial"),
        (&["policy", "compare", "--duration-s", "0", "a", "b"], 2, "--duration-s: 0"),
        (&["policy", "rollback", "none"], 2, "version 1 has no policy `none`"),
        (&["config", "get", "--number", "9"], 2, "version 9 is not kept"),
        (&["lab", "run", "no-such-file"], 2, "no-such-file"),
        (&["lab", "platform", "--listen", "127.0.0.1:0", "--entry", "a"], 2, "--entry: `a`"),
    ];

    for (arguments, code, message) in commands {
        let output = deployment.runpin(arguments).await;

        assert_eq!(output.code, *code, "{arguments:?}: {output:?}");
        assert!(output.stderr.contains(message), "{arguments:?}: {output:?}");
        assert!(output.stdout.is_empty(), "{arguments:?}: {output:?}");
    }
    assert_eq!(deployment.accepted_number().await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_last_availability_zone_of_a_service_is_not_drained() {
    let deployment = Deployment::start().await;

    let first = deployment.runpin(&["drain", "availability-zone", "n1"]).await;
    let last = deployment.runpin(&["drain", "availability-zone", "s1"]).await;

    assert_eq!((first.code, last.code), (0, 2), "{last:?}");
    assert!(last.stderr.contains("all backend servers of the service `files`"), "{last:?}");
    assert_eq!(deployment.accepted_number().await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn tokens_and_instances_are_required() {
    let deployment = Deployment::start().await;
    let instance = || ("RUNPIN_INSTANCE", deployment.admin_addresses());
    let read = |token: &str| ("RUNPIN_READ_TOKEN", token.to_owned());
    let change = |token: &str| ("RUNPIN_CHANGE_TOKEN", token.to_owned());
    let drain = ["drain", "instance", "one"];

    let none = runpin(&["status"], &[read(READ_TOKEN)]).await;
    let no_token = runpin(&["status"], &[instance()]).await;
    let wrong = runpin(&["status"], &[instance(), read("a-wrong-token-of-tests")]).await;
    let reading_with_change = runpin(&["status"], &[instance(), read(CHANGE_TOKEN)]).await;
    let changing_with_read = runpin(&drain, &[instance(), change(READ_TOKEN)]).await;

    assert_eq!(none.code, 2);
    assert!(none.stderr.contains("RUNPIN_INSTANCE"), "{none:?}");
    assert_eq!(no_token.code, 5);
    assert!(no_token.stderr.contains("RUNPIN_READ_TOKEN"), "{no_token:?}");
    for denied in [wrong, reading_with_change, changing_with_read] {
        assert_eq!(denied.code, 5, "{denied:?}");
        assert!(denied.stderr.contains("the token is wrong"), "{denied:?}");
        assert!(!denied.stderr.contains("token-for-tests"), "{denied:?}");
    }
    assert_eq!(deployment.accepted_number().await, 1);
}
