//! Proxy of the soak test.

#![allow(dead_code, reason = "the module serves the soak test too")]

#[path = "soak/proxy.rs"]
mod proxy;

use proxy::{Link, Proxy};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use tokio::task::{LocalSet, yield_now};

/// Connections that are opened one after another.
const CONNECTIONS: usize = 50;

/// Changes of the link while a connection is opened.
const CHANGES: usize = 8;

/// Time after which the proxy's thread counts as blocked for good.
const BLOCKED_AFTER: Duration = Duration::from_secs(60);

/// Guards against a soak that never ends: its thread waited for a lock that its own task held.
#[test]
fn changing_a_link_while_the_proxy_connects_does_not_block_its_thread() {
    let (ended, has_ended) = mpsc::channel();

    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime can be built");
        LocalSet::new().block_on(&runtime, change_links());
        ended.send(()).expect("the test waits");
    });

    assert_eq!(has_ended.recv_timeout(BLOCKED_AFTER), Ok(()));
}

async fn change_links() {
    let target = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = target.local_addr().expect("the bound address");
    let proxy = Proxy::start(address).await.expect("the proxy starts");
    for _ in 0..CONNECTIONS {
        let _connection = TcpStream::connect(proxy.address).expect("the proxy listens");
        for change in 0..CHANGES {
            yield_now().await;
            proxy.set(if change % 2 == 0 { Link::NothingBack } else { Link::Open });
        }
    }
}
