//! Changes of client blocks on the address for operators.

mod common;

use common::{DaemonProcess, Deployment};
use configuration::{MANIFEST_KEY, Manifest};
use platform::ObjectStore;

const PATH: &str = "/v1/configuration/blocks?author=anna";

#[tokio::test(flavor = "multi_thread")]
async fn blocks_are_accepted_completely_or_not_at_all() {
    let deployment = Deployment::start().await;
    let daemon = DaemonProcess::start(&deployment).await;

    let refused = daemon.put_admin(PATH, "10.0.0.0/24 n1\n10.0.1.0/24 nowhere").await;
    let accepted = daemon.put_admin(PATH, "10.0.0.0/24 n1\n10.0.1.0/24 n1").await;
    daemon.wait_for_metric("runpin_configuration_version 2").await;

    assert_eq!((refused, accepted), (422, 200));
    let current = deployment.platform.get(MANIFEST_KEY).await.expect("read").expect("accepted");
    let manifest = Manifest::from_json(&current.value).expect("manifest");
    assert_eq!(manifest.chunks.iter().map(|chunk| chunk.blocks).sum::<usize>(), 2);
    assert_eq!(&*manifest.author, "anna");
}
