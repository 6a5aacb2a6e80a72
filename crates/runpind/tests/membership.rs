//! Membership between real daemons, when one of them is killed, stopped or restarted.

mod fleet;

use fleet::{Fleet, new_key};
use runpind::Daemon;
use std::net::SocketAddr;
use std::time::Duration;
use steering::figures::{SiteCapacity, SiteFigures, SiteName};
use steering::membership::MemberState;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until each of `daemons` sees the instance in one of `states`.
async fn wait_for_state(daemons: &[&Daemon], name: &str, states: &[MemberState]) {
    for daemon in daemons {
        while !member_state(daemon, name).is_some_and(|state| states.contains(&state)) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn member_state(daemon: &Daemon, name: &str) -> Option<MemberState> {
    let status = daemon.process().membership_status();
    status.members.iter().find(|member| &*member.name == name).map(|member| member.state)
}

async fn lookup(at: SocketAddr) -> String {
    let mut stream = TcpStream::connect(at).await.expect("connected");
    let request = "GET /lookup?service=files HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("read");
    response
}

/// Waits until the daemon's member list shows the instance with this value of `usable`.
async fn wait_for_usable(daemon: &Daemon, name: &str, usable: bool) {
    let is_expected = || {
        let members = daemon.process().members.load();
        let members = members.as_ref().map(|members| members.members.as_slice());
        let member = members.unwrap_or_default().iter().find(|member| &*member.name == name);
        member.is_some_and(|member| member.usable == usable)
    };
    while !is_expected() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_instance_is_left_out_of_lookups_while_the_platform_lists_it() {
    let fleet = Fleet::start().await;
    let (one, two, three) = (
        fleet.start_daemon("one").await,
        fleet.start_daemon("two").await,
        fleet.start_daemon("three").await,
    );
    for name in ["one", "two", "three"] {
        wait_for_state(&[&one, &two, &three], name, &[MemberState::Serving]).await;
    }
    let killed = three.caller_address();
    let incarnation = three.process().incarnation;

    three.kill();
    wait_for_usable(&one, "three", false).await;
    wait_for_usable(&two, "three", false).await;
    let responses = [lookup(one.caller_address()).await, lookup(two.caller_address()).await];

    for response in responses {
        assert!(response.contains(&one.caller_address().to_string()), "{response}");
        assert!(!response.contains(&killed.to_string()), "{response}");
    }
    let members = one.process().members.load_full().expect("members");
    assert_eq!(members.find_home(incarnation).map(|home| &*home.name), Some("three"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_is_announced_before_the_listener_closes() {
    let fleet = Fleet::start().await;
    let (one, two) = (fleet.start_daemon("one").await, fleet.start_daemon("two").await);
    wait_for_state(&[&one], "two", &[MemberState::Serving]).await;
    wait_for_state(&[&two], "one", &[MemberState::Serving]).await;
    let stopped = two.caller_address();

    two.stop().await;
    let response = lookup(one.caller_address()).await;

    assert!(!response.contains(&stopped.to_string()), "{response}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_instance_rejoins_with_its_new_incarnation() {
    let fleet = Fleet::start().await;
    let (one, two) = (fleet.start_daemon("one").await, fleet.start_daemon("two").await);
    wait_for_state(&[&one], "two", &[MemberState::Serving]).await;
    two.kill();
    wait_for_state(&[&one], "two", &[MemberState::Suspected]).await;

    let two = fleet.start_daemon("two").await;
    wait_for_state(&[&one], "two", &[MemberState::Serving, MemberState::Back]).await;

    let members = one.process().members.load_full().expect("members");
    let home = members.find_home(two.process().incarnation).expect("known by its new incarnation");
    assert_eq!((&*home.name, home.caller_address), ("two", two.caller_address()));
}

/// Capacity of the site: its slots, and the slots assumed free without reports.
const CAPACITY: SiteCapacity =
    SiteCapacity { capacity_slots: 100.0, floor_slots: 10.0, round_trip_ms: 1.0 };

/// Returns a daemon's figures of the site now, and after `later` without further reports.
fn site_figures(daemon: &Daemon, later: Duration) -> (SiteFigures, SiteFigures) {
    let site = SiteName { service: "files".into(), availability_zone: "n1".into() };
    let figures = daemon.process().routing.figures.lock();
    let now = daemon.process().clock.now();
    (
        figures.site_figures(&site, CAPACITY, 1, now),
        figures.site_figures(&site, CAPACITY, 1, now + later),
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn in_flight_requests_appear_in_the_site_figures_of_another_instance() {
    const LATER: Duration = Duration::from_secs(40);
    let fleet = Fleet::start().await;
    let (one, two) = (fleet.start_daemon("one").await, fleet.start_daemon("two").await);
    let key = new_key(&one, "a");
    let sent_at = two.process().clock.now();

    let observing = async {
        fleet.server.wait_until_run(&key).await;
        let mut seen = site_figures(&two, LATER);
        while seen.0.headroom_slots != 99.0 {
            tokio::time::sleep(POLL_INTERVAL).await;
            seen = site_figures(&two, LATER);
        }
        let since_sent = two.process().clock.now().since(sent_at);
        fleet
            .wait_until(|| {
                one.process().own_site_figures().iter().any(|site| site.granted_slots > 0)
            })
            .await;
        let own = one.process().own_site_figures();
        fleet.server.open_gate();
        (seen, since_sent, own)
    };
    let (response, ((now, later), since_sent, own)) =
        tokio::join!(fleet.send(one.caller_address(), "/files/gate", &key), observing);

    assert_eq!(response.status, 201);
    assert_eq!((own.len(), own[0].in_flight), (1, 1));
    assert_eq!(now.in_flight, 0, "the request is not in flight at this instance");
    assert!(now.age <= since_sent, "the report is not older than the request");
    assert_eq!(later.age, now.age + LATER);
    assert_eq!(later.headroom_slots, CAPACITY.floor_slots);
}
