//! Real daemons as tasks that see each other, with one killed, one stopped and one with other keys.

mod fleet;

use fleet::{Fleet, key_of};
use runpind::Daemon;
use std::net::SocketAddr;
use std::time::Duration;
use steering::figures::{SiteCapacity, SiteFigures, SiteName};
use steering::membership::MemberState;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const POLL: Duration = Duration::from_millis(10);

/// Waits until each of `daemons` sees the instance in one of `states`.
async fn wait_state(daemons: &[&Daemon], name: &str, states: &[MemberState]) {
    for daemon in daemons {
        while !state_of(daemon, name).is_some_and(|state| states.contains(&state)) {
            tokio::time::sleep(POLL).await;
        }
    }
}

fn state_of(daemon: &Daemon, name: &str) -> Option<MemberState> {
    let status = daemon.process().membership_status();
    status.members.iter().find(|member| &*member.name == name).map(|member| member.state)
}

async fn lookup(at: SocketAddr) -> String {
    let mut stream = TcpStream::connect(at).await.expect("connected");
    let request = "GET /lookup?service=files HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("read");
    answer
}

/// Waits until the members shown to the rest of the process agree with `usable`.
async fn wait_usable(daemon: &Daemon, name: &str, usable: bool) {
    let agrees = || {
        let members = daemon.process().members.load();
        let members = members.as_ref().map(|members| members.members.as_slice());
        let member = members.unwrap_or_default().iter().find(|member| &*member.name == name);
        member.is_some_and(|member| member.usable == usable)
    };
    while !agrees() {
        tokio::time::sleep(POLL).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_instance_leaves_the_lookups_though_the_platform_lists_it() {
    let fleet = Fleet::start().await;
    let (one, two, three) =
        (fleet.daemon("one").await, fleet.daemon("two").await, fleet.daemon("three").await);
    for name in ["one", "two", "three"] {
        wait_state(&[&one, &two, &three], name, &[MemberState::Serving]).await;
    }
    let killed = three.caller_address();
    let incarnation = three.process().incarnation;

    three.kill();
    wait_usable(&one, "three", false).await;
    wait_usable(&two, "three", false).await;
    let answers = [lookup(one.caller_address()).await, lookup(two.caller_address()).await];

    for answer in answers {
        assert!(answer.contains(&one.caller_address().to_string()), "{answer}");
        assert!(!answer.contains(&killed.to_string()), "{answer}");
    }
    let members = one.process().members.load_full().expect("members");
    assert_eq!(members.find_home(incarnation).map(|home| &*home.name), Some("three"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_is_known_before_the_instance_accepts_no_more() {
    let fleet = Fleet::start().await;
    let (one, two) = (fleet.daemon("one").await, fleet.daemon("two").await);
    wait_state(&[&one], "two", &[MemberState::Serving]).await;
    wait_state(&[&two], "one", &[MemberState::Serving]).await;
    let stopped = two.caller_address();

    two.stop().await;
    let answer = lookup(one.caller_address()).await;

    assert!(!answer.contains(&stopped.to_string()), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_instance_is_back_with_its_new_incarnation() {
    let fleet = Fleet::start().await;
    let (one, two) = (fleet.daemon("one").await, fleet.daemon("two").await);
    wait_state(&[&one], "two", &[MemberState::Serving]).await;
    two.kill();
    wait_state(&[&one], "two", &[MemberState::Suspected]).await;

    let two = fleet.daemon("two").await;
    wait_state(&[&one], "two", &[MemberState::Serving, MemberState::Back]).await;

    let members = one.process().members.load_full().expect("members");
    let home = members.find_home(two.process().incarnation).expect("known by its new incarnation");
    assert_eq!((&*home.name, home.caller_address), ("two", two.caller_address()));
}

/// Slots of the site that the tests assume, and those that are counted on without figures.
const CAPACITY: SiteCapacity =
    SiteCapacity { capacity_slots: 100.0, floor_slots: 10.0, round_trip_ms: 1.0 };

/// Returns what a daemon knows of the site now, and what it would know a while later if it heard
/// nothing more.
fn figures_of(daemon: &Daemon, later: Duration) -> (SiteFigures, SiteFigures) {
    let site = SiteName { service: "files".into(), availability_zone: "n1".into() };
    let figures = daemon.process().routing.figures.lock();
    let now = daemon.process().clock.now();
    (figures.site(&site, CAPACITY, 1, now), figures.site(&site, CAPACITY, 1, now + later))
}

#[tokio::test(flavor = "multi_thread")]
async fn work_in_flight_shows_in_the_figures_of_another_instance_with_its_age() {
    const LATER: Duration = Duration::from_secs(40);
    let fleet = Fleet::start().await;
    let (one, two) = (fleet.daemon("one").await, fleet.daemon("two").await);
    let key = key_of(&one, "a");
    let sent_at = two.process().clock.now();

    let looking = async {
        fleet.server.wait_run(&key).await;
        let mut seen = figures_of(&two, LATER);
        while seen.0.headroom_slots != 99.0 {
            tokio::time::sleep(POLL).await;
            seen = figures_of(&two, LATER);
        }
        let since_sent = two.process().clock.now().since(sent_at);
        fleet
            .until(|| one.process().own_site_figures().iter().any(|site| site.granted_slots > 0))
            .await;
        let own = one.process().own_site_figures();
        fleet.server.open_gate();
        (seen, since_sent, own)
    };
    let (answer, ((now, later), since_sent, own)) =
        tokio::join!(fleet.send(one.caller_address(), "/files/gate", &key), looking);

    assert_eq!(answer.status, 201);
    assert_eq!((own.len(), own[0].in_flight), (1, 1));
    assert_eq!(now.in_flight, 0, "it is not the instance's own work");
    assert!(now.age <= since_sent, "the report was made after the request was sent");
    assert_eq!(later.age, now.age + LATER);
    assert_eq!(later.headroom_slots, CAPACITY.floor_slots);
}
