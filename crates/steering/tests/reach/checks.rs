//! Backend servers that checks go to.

use super::placement_common::{SERVICE, name, roster, servers};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::{Duration, Instant};
use steering::placement::{Ending, Incarnation, Roster};

/// Pause of a backend server after its first failure is longer.
const SOON: Duration = Duration::from_millis(100);

fn incarnation(id: &str) -> Incarnation {
    Incarnation { id: name(id), started_ms: 0 }
}

fn fail(roster: &mut Roster, ids: &[&str], now: Instant) {
    for id in ids {
        roster.record_ending(&incarnation(id), Ending::Failed, None, now);
    }
}

fn drawn(roster: &Roster, except: Option<&str>, now: Instant) -> Vec<String> {
    let except = except.map(incarnation);
    let mut random = StdRng::seed_from_u64(1);
    let targets = roster.draw_check_targets(
        Some(SERVICE),
        2,
        except.as_ref(),
        |server| *server.id == *"south-a-1",
        now,
        &mut random,
    );
    targets.iter().map(|target| target.server.id.to_string()).collect()
}

// Guards against a cut that is concluded from the failures and checks of the same crashed servers.
#[test]
fn checks_go_to_servers_that_have_not_failed_first() {
    let start = Instant::now();
    let listed = servers(&[("north-a", 3), ("south-a", 2)], 10);
    let mut roster = roster("own", "north-a", &listed, start);
    fail(&mut roster, &["north-a-0", "north-a-1"], start);

    let first = drawn(&roster, None, start + SOON);
    let without_the_last = drawn(&roster, Some("north-a-2"), start + SOON);

    assert_eq!(first[0], "north-a-2", "of the own region");
    assert_eq!(first[1], "south-a-0", "of another region, and no suspect");
    assert_eq!(without_the_last[0], "south-a-0");
}

#[test]
fn checks_go_to_failed_servers_where_there_are_no_others() {
    let start = Instant::now();
    let mut roster = roster("own", "north-a", &servers(&[("north-a", 2)], 10), start);
    fail(&mut roster, &["north-a-0", "north-a-1"], start);

    assert_eq!(drawn(&roster, None, start + SOON).len(), 2);
    assert_eq!(drawn(&roster, Some("north-a-0"), start + SOON), ["north-a-1"]);
}

// Guards against checks that all go to the few servers of the own region.
#[test]
fn checks_go_to_other_regions_too() {
    let start = Instant::now();
    let listed = servers(&[("north-a", 3), ("south-a", 3)], 10);
    let roster = roster("own", "north-a", &listed, start);

    let ids = drawn(&roster, None, start);

    assert!(ids[0].starts_with("north"), "{ids:?}");
    assert!(ids[1].starts_with("south"), "{ids:?}");
}
