//! Policies: arms divide the objects, and programs request shares within limits.

mod placement_common;

use placement_common::{
    SERVICE, name, peer, placement_request, roster, servers, step, with_demand,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::deployment::{
    AllowedRegions, Arm, Policies, PoliciesError, PolicyRecord, RequestKind,
};
use steering::placement::Roster;

/// Time between two updates of the shares.
const UPDATE_INTERVAL: Duration = Duration::from_millis(800);

/// Sends everything to other regions.
const AWAY: &str = "sites.map(|site| if site.region == region { 0.0 } else { 1.0 })";

/// Keeps everything in the own region.
const STAY: &str = "sites.map(|site| if site.region == region { 1.0 } else { 0.0 })";

fn arm(arm_name: &str, weight: u32, program: Option<&str>) -> Arm {
    Arm { name: name(arm_name), weight, program: program.map(Into::into) }
}

fn policies(arms: &[Arm]) -> Policies {
    Policies { number: 1, arms: arms.to_vec() }
}

/// Two regions of 40 slots each, and a roster in the first one, which has little demand.
fn two_regions(now: Instant) -> Roster {
    let all = [("north-a", 2), ("north-b", 2), ("south-a", 2), ("south-b", 2)];
    let mut roster = roster("one", "north-a", &servers(&all, 10), now);
    update_shares(&mut roster, 20.0, now);
    roster
}

/// Updates the shares once, while the own region's demand is `per_s` requests per second.
fn update_shares(roster: &mut Roster, per_s: f32, now: Instant) {
    let own = with_demand(peer("one", "north-a"), per_s, 40);
    let other = with_demand(peer("two", "south-a"), 10.0, 40);
    step(roster, &own, &[other], now);
}

fn moved(roster: &Roster) -> f64 {
    roster.moved_shares().find(|(service, _)| &***service == SERVICE).map_or(0.0, |entry| entry.1)
}

#[test]
fn arms_divide_the_objects_by_their_weights() {
    let mut roster = two_regions(Instant::now());
    assert_eq!(roster.arm_of(1), None);
    let arms = [arm("base", 3, None), arm("trial", 1, Some(AWAY)), arm("rest", 0, None)];
    roster.set_policies(&policies(&arms)).expect("the programs compile");
    let mut counts: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for key in 0..20_000 {
        *counts.entry(roster.arm_of(key).expect("there are arms")).or_default() += 1;
    }
    assert!((14_500..15_500).contains(&counts["base"]), "{counts:?}");
    assert!((4_500..5_500).contains(&counts["trial"]), "{counts:?}");
    assert!(!counts.contains_key("rest"), "{counts:?}");
}

#[test]
fn a_program_changes_shares_slowly_and_only_those_of_its_arm() {
    let start = Instant::now();
    let mut roster = two_regions(start);
    let arms = [arm("base", 1, None), arm("trial", 1, Some(AWAY))];
    roster.set_policies(&policies(&arms)).expect("the programs compile");
    let mut last = moved(&roster);
    assert_eq!(last, 0.0);
    for update in 1..200u32 {
        update_shares(&mut roster, 20.0, start + UPDATE_INTERVAL * update);
        let now = moved(&roster);
        // The arm steers half of the objects, and the share of its traffic may change by 0.03 per
        // second.
        assert!(now - last <= 0.5 * 0.03 * UPDATE_INTERVAL.as_secs_f64() + 1e-9, "{last} {now}");
        last = now;
    }
    assert!((0.45..=0.5 + 1e-9).contains(&last), "the arm moves all of its traffic: {last}");
    let service = name(SERVICE);
    let now = start + UPDATE_INTERVAL * 200;
    for key in 0..200 {
        let choice = roster
            .choose(&placement_request(&service, key, &[]), now)
            .expect("a backend server has a free slot");
        let away = choice.id.starts_with("south");
        assert_eq!(away, roster.arm_of(key).as_deref() == Some("trial"), "key {key}");
        roster.record_ending(&choice.id, steering::placement::Ending::Abandoned, None, now);
    }
}

#[test]
fn a_program_sends_no_more_than_the_headroom_of_a_region() {
    let start = Instant::now();
    let mut roster = two_regions(start);
    roster.set_policies(&policies(&[arm("trial", 1, Some(AWAY))])).expect("it compiles");
    for update in 1..200u32 {
        // 150 requests per second of 0.3 s fill 45 slots; the other region's own demand takes 3.
        update_shares(&mut roster, 150.0, start + UPDATE_INTERVAL * update);
    }
    let sent = moved(&roster) * 45.0;
    assert!(sent > 20.0, "{sent}");
    assert!(sent + 3.0 <= 0.8 * 40.0 + 1e-6, "{sent}");
}

#[test]
fn a_program_may_not_overload_the_own_region() {
    let start = Instant::now();
    let (mut steered, mut built_in) = (two_regions(start), two_regions(start));
    steered.set_policies(&policies(&[arm("trial", 1, Some(STAY))])).expect("it compiles");
    for update in 1..100u32 {
        update_shares(&mut steered, 150.0, start + UPDATE_INTERVAL * update);
        update_shares(&mut built_in, 150.0, start + UPDATE_INTERVAL * update);
    }
    assert!(moved(&built_in) > 0.1);
    assert_eq!(moved(&steered), moved(&built_in));
}

#[test]
fn a_program_that_fails_is_reported_and_the_built_in_rule_applies() {
    let start = Instant::now();
    let (mut steered, mut built_in) = (two_regions(start), two_regions(start));
    let arms = [arm("trial", 1, Some("[1.0]"))];
    steered.set_policies(&policies(&arms)).expect("it compiles");
    for update in 1..50u32 {
        update_shares(&mut steered, 150.0, start + UPDATE_INTERVAL * update);
        update_shares(&mut built_in, 150.0, start + UPDATE_INTERVAL * update);
    }
    assert_eq!(moved(&steered), moved(&built_in));
    let failures = steered.take_policy_failures();
    assert_eq!(failures.iter().map(|failure| &*failure.arm).collect::<Vec<_>>(), ["trial"]);
    assert!(steered.take_policy_failures().is_empty(), "each failure is returned once");
}

#[test]
fn a_change_of_policies_alone_moves_nothing_at_once() {
    let start = Instant::now();
    let mut roster = two_regions(start);
    roster.set_policies(&policies(&[arm("away", 1, Some(AWAY))])).expect("it compiles");
    for update in 1..40u32 {
        update_shares(&mut roster, 20.0, start + UPDATE_INTERVAL * update);
    }
    let before = moved(&roster);
    assert!(before > 0.5, "{before}");
    let sets = [
        vec![arm("home", 2, Some(STAY)), arm("away", 1, Some(AWAY)), arm("base", 1, None)],
        vec![arm("base", 1, None)],
        vec![],
    ];
    for arms in sets {
        roster.set_policies(&policies(&arms)).expect("it compiles");
        assert!((moved(&roster) - before).abs() < 1e-9, "{} {before}", moved(&roster));
    }
}

#[test]
fn a_service_that_comes_after_the_policies_is_steered_by_them() {
    let now = Instant::now();
    let mut roster = two_regions(now);
    roster.set_policies(&policies(&[arm("away", 1, Some(AWAY))])).expect("it compiles");
    roster.record_request(&name("agenda"), RequestKind::Idempotent, 1, &AllowedRegions::Any, now);
    update_shares(&mut roster, 20.0, now + UPDATE_INTERVAL);
    assert_eq!(roster.moved_shares().count(), 2);
}

#[test]
fn invalid_policies_are_rejected_with_the_cause() {
    let many: Vec<Arm> = (0..5).map(|number| arm(&format!("a{number}"), 1, None)).collect();
    let check = |arms: &[Arm]| policies(arms).check().expect_err("they are invalid");
    assert!(matches!(check(&many), PoliciesError::TooManyArms(5)));
    assert!(matches!(check(&[arm("", 1, None)]), PoliciesError::Name(_)));
    assert!(matches!(check(&[arm("a b", 1, None)]), PoliciesError::Name(_)));
    let twice = [arm("a", 1, None), arm("a", 1, None)];
    assert!(matches!(check(&twice), PoliciesError::DuplicateName(arm) if &*arm == "a"));
    assert!(matches!(check(&[arm("a", 0, None)]), PoliciesError::NoWeight));
    let broken = check(&[arm("a", 1, Some("sites.map("))]);
    assert!(matches!(&broken, PoliciesError::Program { arm, .. } if &**arm == "a"), "{broken}");
    policies(&[]).check().expect("no arms are the built-in rule");
}

#[test]
fn a_policy_record_keeps_the_last_sets() {
    let mut record = PolicyRecord::default();
    for number in 1..=8 {
        record = record.with_arms(vec![arm(&format!("a{number}"), 1, None)]).expect("it is valid");
        assert_eq!(record.current.number, number);
    }
    let kept: Vec<u64> = record.earlier.iter().map(|set| set.number).collect();
    assert_eq!(kept, [7, 6, 5, 4, 3]);
    let text = serde_json::to_string(&record).expect("it can be written");
    assert_eq!(PolicyRecord::parse(&text).expect("it can be read"), record);
    assert!(matches!(PolicyRecord::parse("{}"), Err(PoliciesError::Parse(_))));
}
