//! Runs a daemon as a task of the test, in front of any backend server.

use super::{accept_configuration, configuration_text};
use lab::MockPlatform;
use platform::{InstanceEntry, InstanceState};
use runpind::process::clock::BootClock;
use runpind::{Daemon, Dependencies, RawSettings, Settings, TcpDialer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const SECRET: &str = "0123456789abcdef";

/// Starts a daemon whose service `files` has one backend server, and waits until it is ready.
pub(crate) async fn start_daemon(backend_server: SocketAddr) -> Daemon {
    start_with(&configuration_text(backend_server)).await
}

/// Starts a daemon with a configuration, and waits until it is ready.
pub(crate) async fn start_with(configuration: &str) -> Daemon {
    let platform = Arc::new(MockPlatform::default());
    accept_configuration(&platform, configuration).await;
    let dependencies = Dependencies {
        store: platform.clone(),
        directory: platform.clone(),
        dialer: Arc::new(TcpDialer),
        clock: Arc::new(BootClock),
    };
    let daemon = Daemon::start(settings(), dependencies).await.expect("daemon starts");
    platform.set_entry_instances(vec![InstanceEntry {
        name: "one".into(),
        availability_zone: "n1".into(),
        caller_address: daemon.caller_address(),
        peer_address: daemon.peer_address(),
        state: InstanceState::Live,
    }]);
    let listed = || daemon.process().members.load().as_ref().is_some_and(|m| !m.members.is_empty());
    let has_shares = || daemon.process().shares.is_ready(daemon.process().clock.now());
    while daemon.process().version.load().is_none() || !listed() || !has_shares() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    daemon
}

fn settings() -> Settings {
    let any = || Some("127.0.0.1:0".to_owned());
    let secret = || Some(SECRET.to_owned());
    let raw = RawSettings {
        name: Some("one".to_owned()),
        availability_zone: Some("n1".to_owned()),
        caller_address: any(),
        peer_address: any(),
        admin_address: any(),
        platform_address: any(),
        peer_keys: secret(),
        read_token: secret(),
        change_token: secret(),
        ..RawSettings::default()
    };
    Settings::try_from(raw).expect("settings")
}
