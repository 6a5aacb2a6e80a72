//! Quarantine of requests that crash backend servers, without a network.

use proptest::prelude::{any, prop, proptest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use steering::Time;
use steering::gossip::{FANOUT, MAX_MESSAGE_BYTES, STEADY_FANOUT};
use steering::placement::Incarnation;
use steering::placement::peers::HEARTBEAT_INTERVAL;
use steering::suspects::{Fingerprints, MAX_SUSPECTS, QUARANTINE_THRESHOLD, Suspects};

/// The clock of a machine that has been up for an hour.
fn start() -> Time {
    Time::from_ms(3_600_000)
}

/// Time between two crashes that are not correlated.
const UNCORRELATED_GAP: Duration = Duration::from_secs(1);

fn server(number: usize) -> Incarnation {
    Incarnation { id: format!("i-{number}").into(), started_ms: 0 }
}

/// A request for a path, from one caller.
fn request(path: &str) -> Fingerprints {
    request_from("caller", path)
}

fn request_from(caller: &str, path: &str) -> Fingerprints {
    Fingerprints::new(caller.as_bytes(), &[b"GET", path.as_bytes(), b""])
}

/// Lets the servers crash one after another while they run requests for the paths.
fn crash(suspects: &mut Suspects, servers: std::ops::Range<usize>, paths: &[&str], now: &mut Time) {
    let requests: Vec<Fingerprints> = paths.iter().map(|path| request(path)).collect();
    for number in servers {
        suspects.record_crash(&server(number), &requests, *now);
        *now += UNCORRELATED_GAP;
    }
}

fn is_quarantined(suspects: &mut Suspects, path: &str, now: Time) -> bool {
    suspects.check(request(path), now).is_some()
}

#[test]
fn a_request_is_quarantined_after_the_third_crash() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    crash(&mut suspects, 0..2, &["/bad"], &mut now);
    assert!(!is_quarantined(&mut suspects, "/bad", now));
    crash(&mut suspects, 1..2, &["/bad"], &mut now);
    assert!(!is_quarantined(&mut suspects, "/bad", now), "the same server once more");
    crash(&mut suspects, 2..3, &["/bad"], &mut now);
    assert!(is_quarantined(&mut suspects, "/bad", now));
    assert!(!is_quarantined(&mut suspects, "/other", now));
}

#[test]
fn crashes_of_a_restarted_server_count_separately() {
    let (mut suspects, now) = (Suspects::default(), start());
    for started_ms in 0..3 {
        let start = Incarnation { id: "i-0".into(), started_ms };
        suspects.record_crash(&start, &[request("/bad")], now);
    }
    assert!(is_quarantined(&mut suspects, "/bad", now));
}

#[test]
fn a_request_is_identified_by_its_content_whichever_host_sends_it() {
    let (mut suspects, now) = (Suspects::default(), start());
    for (number, host) in ["a", "b", "c"].into_iter().enumerate() {
        suspects.record_crash(&server(number), &[request_from(host, "/bad")], now);
    }
    assert!(suspects.check(request_from("d", "/bad"), now).is_some());
    let other_body = Fingerprints::new(b"a", &[b"GET", b"/bad", b"other"]);
    assert!(suspects.check(other_body, now).is_none());
}

#[test]
fn a_request_that_succeeds_for_others_is_quarantined_for_the_caller_that_crashes_servers() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    for number in 0..4 {
        suspects.record_crash(&server(number), &[request_from("bad", "/shared")], now);
        now += UNCORRELATED_GAP;
        suspects.record_success(request_from("sound", "/shared"), now);
        now += UNCORRELATED_GAP;
    }
    assert!(suspects.check(request_from("bad", "/shared"), now).is_some());
    assert!(suspects.check(request_from("sound", "/shared"), now).is_none());
    assert!(suspects.check(request_from("new", "/shared"), now).is_none());
}

#[test]
fn a_success_removes_earlier_crashes() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    crash(&mut suspects, 0..2, &["/sound"], &mut now);
    suspects.record_success(request("/sound"), now);
    now += UNCORRELATED_GAP;
    crash(&mut suspects, 2..4, &["/sound"], &mut now);
    assert!(!is_quarantined(&mut suspects, "/sound", now));
    now += Duration::from_secs(20);
    crash(&mut suspects, 4..5, &["/sound"], &mut now);
    assert!(is_quarantined(&mut suspects, "/sound", now), "three crashes since the success");
}

#[test]
fn a_success_at_one_instance_releases_the_request_at_all() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    let mut now = start();
    crash(&mut one, 0..3, &["/sound"], &mut now);
    let mut random = SmallRng::seed_from_u64(1);
    two.merge_message(&one.encode_message(&mut random, now).expect("there is a report"), now)
        .expect("the message is valid");
    assert!(is_quarantined(&mut two, "/sound", now));
    now += UNCORRELATED_GAP;
    let changes = one.record_success(request("/sound"), now);
    assert!(changes.is_urgent && !changes.released.is_empty());
    two.merge_message(&one.encode_message(&mut random, now).expect("there is a report"), now)
        .expect("the message is valid");
    assert!(!is_quarantined(&mut two, "/sound", now));
    // Reports from before the success do not restore the crashes.
    one.merge_message(&two.encode_message(&mut random, now).expect("there is a report"), now)
        .expect("the message is valid");
    assert!(!is_quarantined(&mut one, "/sound", now));
}

#[test]
fn a_request_whose_crashes_another_one_explains_is_released() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    crash(&mut suspects, 0..3, &["/bad", "/beside"], &mut now);
    assert!(is_quarantined(&mut suspects, "/beside", now), "nothing distinguishes them yet");
    crash(&mut suspects, 3..5, &["/bad"], &mut now);
    assert!(is_quarantined(&mut suspects, "/bad", now));
    assert!(!is_quarantined(&mut suspects, "/beside", now));
    crash(&mut suspects, 5..6, &["/beside"], &mut now);
    assert!(
        is_quarantined(&mut suspects, "/beside", now),
        "one more crash, which is not explained"
    );
}

#[test]
fn crashes_that_coincide_with_others_are_one_failure() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    for number in 0..4 {
        suspects.record_crash(&server(number), &[request("/often")], now);
        suspects.record_crash(&server(10 + number), &[request(&format!("/{number}"))], now);
        now += Duration::from_millis(20);
    }
    assert!(!is_quarantined(&mut suspects, "/often", now));
    now += UNCORRELATED_GAP;
    crash(&mut suspects, 20..21, &["/often"], &mut now);
    assert!(is_quarantined(&mut suspects, "/often", now), "one more crash, at another time");
}

/// Lets servers crash in several failures, 0.6 s apart.  One of the requests is the same each time,
/// as its caller retries it at once.
fn failures(count: usize) -> (Suspects, Time) {
    let (mut suspects, mut now) = (Suspects::default(), start());
    for failure in 0..count {
        for number in 0..4 {
            let other = request(&format!("/{failure}/{number}"));
            let requests = [other, request("/repeated")];
            let running = if number == 0 { &requests[..] } else { &requests[..1] };
            suspects.record_crash(&server(10 * failure + number), running, now);
            now += Duration::from_millis(10);
        }
        now += Duration::from_millis(560);
    }
    (suspects, now)
}

#[test]
fn an_immediately_retried_request_is_not_quarantined_in_several_failures() {
    let (mut suspects, now) = failures(3);
    assert!(!is_quarantined(&mut suspects, "/repeated", now));
}

#[test]
fn two_requests_that_crash_servers_at_the_same_time_are_both_quarantined() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    for number in 0..6 {
        suspects.record_crash(&server(number), &[request("/bad")], now);
        suspects.record_crash(&server(10 + number), &[request("/worse")], now);
        now += Duration::from_millis(250);
    }
    assert!(
        is_quarantined(&mut suspects, "/bad", now) && is_quarantined(&mut suspects, "/worse", now)
    );
}

#[test]
fn simultaneous_crashes_without_other_requests_quarantine_the_request() {
    let (mut suspects, now) = (Suspects::default(), start());
    for number in 0..3 {
        suspects.record_crash(&server(number), &[request("/bad"), request("/beside")], now);
    }
    assert!(is_quarantined(&mut suspects, "/bad", now));
}

#[test]
fn a_recently_answered_request_passes() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    suspects.record_success(request("/often"), now);
    crash(&mut suspects, 0..3, &["/often"], &mut now);
    assert!(!is_quarantined(&mut suspects, "/often", now));
    assert!(is_quarantined(&mut suspects, "/often", now + Duration::from_secs(10)));
}

#[test]
fn a_request_is_removed_only_after_it_was_not_seen_for_the_ttl() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    crash(&mut suspects, 0..3, &["/bad"], &mut now);
    for _ in 0..10 {
        now += Duration::from_secs(500);
        suspects.prune(now);
        assert!(is_quarantined(&mut suspects, "/bad", now));
    }
    suspects.prune(now + Duration::from_secs(601));
    assert!(suspects.is_empty());
}

#[test]
fn many_crashing_requests_use_bounded_memory_and_keep_the_quarantine() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    crash(&mut suspects, 0..3, &["/bad"], &mut now);
    for number in 0..20_000 {
        suspects.record_crash(&server(number / 20), &[request(&format!("/{number}"))], now);
        now += Duration::from_millis(1);
    }
    assert!(suspects.len() <= MAX_SUSPECTS, "{}", suspects.len());
    assert!(is_quarantined(&mut suspects, "/bad", now));
    let mut random = SmallRng::seed_from_u64(1);
    let message = suspects.encode_message(&mut random, now).expect("there is a report");
    assert!(message.len() <= MAX_MESSAGE_BYTES, "{}", message.len());
}

proptest! {
    #[test]
    fn arbitrary_messages_are_handled(bytes in prop::collection::vec(any::<u8>(), 0..1400)) {
        let mut suspects = Suspects::default();
        suspects.merge_message(&bytes, start());
        assert!(suspects.len() <= MAX_SUSPECTS);
    }
}

/// Simulated instances that gossip in steps of 10 ms.
struct Fleet {
    instances: Vec<Suspects>,
    random: SmallRng,
    now: Time,
    /// Messages in transit: arrival time, receiver and bytes.
    in_transit: Vec<(Time, usize, Vec<u8>)>,
    next_heartbeat_at: Vec<Time>,
    sent_bytes: usize,
}

/// One-way delay between two regions.
const ONE_WAY_DELAY: Duration = Duration::from_millis(60);

/// Fraction of the messages that are lost.
const LOSS_RATE: f64 = 0.03;

impl Fleet {
    fn new(count: usize) -> Self {
        let mut random = SmallRng::seed_from_u64(5);
        let now = start();
        let next_heartbeat_at =
            (0..count).map(|_| now + HEARTBEAT_INTERVAL.mul_f64(random.random())).collect();
        let instances = (0..count).map(|_| Suspects::default()).collect();
        Self { instances, random, now, in_transit: Vec::new(), next_heartbeat_at, sent_bytes: 0 }
    }

    fn send(&mut self, sender: usize, count: usize) {
        for _ in 0..count {
            let Some(bytes) = self.instances[sender].encode_message(&mut self.random, self.now)
            else {
                return;
            };
            self.sent_bytes += bytes.len();
            let target = self.random.random_range(0..self.instances.len());
            if !self.random.random_bool(LOSS_RATE) {
                self.in_transit.push((self.now + ONE_WAY_DELAY, target, bytes));
            }
        }
    }

    /// Lets a server crash while it runs requests of an instance.
    fn crash(&mut self, number: usize, instance: usize, requests: &[Fingerprints]) {
        let now = self.now;
        if self.instances[instance].record_crash(&server(number), requests, now).is_urgent {
            self.send(instance, FANOUT);
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(10);
        let now = self.now;
        let (due, rest) = self.in_transit.drain(..).partition(|(at, ..)| *at <= now);
        self.in_transit = rest;
        let due: Vec<(Time, usize, Vec<u8>)> = due;
        for (_, target, bytes) in due {
            let changes =
                self.instances[target].merge_message(&bytes, now).expect("the message is valid");
            if changes.is_urgent {
                self.send(target, FANOUT);
            }
        }
        for instance in 0..self.instances.len() {
            if self.next_heartbeat_at[instance] <= now {
                self.next_heartbeat_at[instance] += HEARTBEAT_INTERVAL;
                let is_fresh = self.instances[instance].has_recent_changes(now);
                self.send(instance, if is_fresh { FANOUT } else { STEADY_FANOUT });
            }
        }
    }

    fn count_quarantined(&mut self, path: &str) -> usize {
        let now = self.now;
        self.instances.iter_mut().filter_map(|suspects| suspects.check(request(path), now)).count()
    }
}

/// Crashes that weigh as much as [`QUARANTINE_THRESHOLD`] if each coincides with others.
const CORRELATED_CRASHES: usize = 2 * QUARANTINE_THRESHOLD;

/// Steps between a crash and others that are not correlated with it.
const UNCORRELATED_STEPS: usize = 60;

/// Lets servers crash while they run one request, each crash detected by another instance and with
/// other requests running; further servers crash so often that there are many reports.  There is a
/// pause before and after each crash.  Returns the time until all instances quarantine the request.
fn time_until_quarantined(count: usize, crashes: usize, pause_steps: usize) -> (Duration, Fleet) {
    let mut fleet = Fleet::new(count);
    let mut began = fleet.now;
    for number in 0..crashes {
        (0..pause_steps).for_each(|_| fleet.step());
        for other in 0..5 {
            let paths = (0..10).map(|path| request(&format!("/other/{number}/{other}/{path}")));
            let requests: Vec<Fingerprints> = paths.collect();
            let detected_by = fleet.random.random_range(0..count);
            fleet.crash(100 + number * 10 + other, detected_by, &requests);
            (0..13).for_each(|_| fleet.step());
        }
        (0..pause_steps).for_each(|_| fleet.step());
        let beside = (0..10).map(|beside| request(&format!("/{number}/{beside}")));
        let requests: Vec<Fingerprints> = beside.chain([request("/bad")]).collect();
        began = fleet.now;
        fleet.crash(number, (number * 5) % count, &requests);
    }
    while fleet.count_quarantined("/bad") < count {
        fleet.step();
        assert!(
            fleet.now.since(began) < Duration::from_secs(20),
            "{} quarantine it",
            fleet.count_quarantined("/bad")
        );
    }
    (fleet.now.since(began), fleet)
}

#[test]
fn all_instances_quarantine_a_request_within_three_seconds() {
    for (crashes, pause_steps) in
        [(QUARANTINE_THRESHOLD, UNCORRELATED_STEPS), (CORRELATED_CRASHES, 0)]
    {
        for count in [2, 12, 85, 300] {
            let (elapsed, fleet) = time_until_quarantined(count, crashes, pause_steps);
            assert!(
                elapsed < Duration::from_secs(3),
                "{count} instances, {crashes} crashes: {elapsed:?}"
            );
            let seconds = fleet.now.since(start()).as_secs_f64();
            let per_s = fleet.sent_bytes as f64 / count as f64 / seconds;
            assert!(per_s < 50_000.0, "{count} instances: {per_s} bytes a second");
        }
    }
}

#[test]
fn a_restarted_instance_learns_the_quarantine() {
    let (_, mut fleet) = time_until_quarantined(12, QUARANTINE_THRESHOLD, UNCORRELATED_STEPS);
    for _ in 0..3_000 {
        fleet.step();
    }
    let before = fleet.sent_bytes;
    fleet.instances[3] = Suspects::default();
    let began = fleet.now;
    while fleet.count_quarantined("/bad") < 12 {
        fleet.step();
        assert!(
            fleet.now.since(began) < Duration::from_secs(4),
            "{} quarantine it",
            fleet.count_quarantined("/bad")
        );
    }
    (0..1_000).for_each(|_| fleet.step());
    let per_s = (fleet.sent_bytes - before) / 12 / 10;
    assert!(per_s < 400, "{per_s} bytes a second per instance, for one quarantined request");
}

#[test]
fn an_earlier_success_does_not_release_a_quarantined_request() {
    // The request succeeds once, and then crashes each server that runs it.  If each hop of the
    // report made the success seem later, it would seem to follow the crashes and remove them.
    for count in [12, 85] {
        let mut fleet = Fleet::new(count);
        let run = |fleet: &mut Fleet, seconds: usize| (0..seconds * 100).for_each(|_| fleet.step());
        fleet.crash(0, 0, &[request("/bad")]);
        run(&mut fleet, 5);
        let now = fleet.now;
        fleet.instances[1].record_success(request("/bad"), now);
        fleet.send(1, FANOUT);
        run(&mut fleet, 5);
        for number in 1..=QUARANTINE_THRESHOLD {
            let beside = (0..10).map(|beside| request(&format!("/{number}/{beside}")));
            let requests: Vec<Fingerprints> = beside.chain([request("/bad")]).collect();
            fleet.crash(number, (number * 5) % count, &requests);
            run(&mut fleet, 1);
        }
        run(&mut fleet, 3);
        assert_eq!(fleet.count_quarantined("/bad"), count, "three crashes after the success");
        run(&mut fleet, 300);
        assert_eq!(
            fleet.count_quarantined("/bad"),
            count,
            "{count} instances: nothing changed since"
        );
    }
}
