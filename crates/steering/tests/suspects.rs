//! Requests under which backend servers end, judged without a network.

use proptest::prelude::{any, prop, proptest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use steering::Time;
use steering::gossip::{FANOUT, MESSAGE_BYTES, STEADY_FANOUT};
use steering::placement::Incarnation;
use steering::placement::peers::HEARTBEAT_INTERVAL;
use steering::suspects::{Fingerprints, HELD_FROM, MOST_SUSPECTS, Suspects};

/// A machine that has been up for an hour.
fn start() -> Time {
    Time::from_ms(3_600_000)
}

/// Between two ends that are not of one loss.
const APART: Duration = Duration::from_secs(1);

fn server(number: usize) -> Incarnation {
    Incarnation { id: format!("i-{number}").into(), born_ms: 0 }
}

/// A request for a path, of one caller.
fn request(path: &str) -> Fingerprints {
    of_caller("caller", path)
}

fn of_caller(caller: &str, path: &str) -> Fingerprints {
    Fingerprints::new(caller.as_bytes(), &[b"GET", path.as_bytes(), b""])
}

/// Servers that end one after another under a request, from a number on.
fn end(suspects: &mut Suspects, servers: std::ops::Range<usize>, paths: &[&str], now: &mut Time) {
    let requests: Vec<Fingerprints> = paths.iter().map(|path| request(path)).collect();
    for number in servers {
        suspects.ended_under(&server(number), &requests, *now);
        *now += APART;
    }
}

fn is_held(suspects: &mut Suspects, path: &str, now: Time) -> bool {
    suspects.asked(request(path), now).is_some()
}

#[test]
fn a_request_is_held_back_from_the_third_server_on_that_ends_under_it() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    end(&mut suspects, 0..2, &["/bad"], &mut now);
    assert!(!is_held(&mut suspects, "/bad", now));
    end(&mut suspects, 1..2, &["/bad"], &mut now);
    assert!(!is_held(&mut suspects, "/bad", now), "the same server once more");
    end(&mut suspects, 2..3, &["/bad"], &mut now);
    assert!(is_held(&mut suspects, "/bad", now));
    assert!(!is_held(&mut suspects, "/other", now));
}

#[test]
fn a_start_of_a_server_under_its_identity_counts_anew() {
    let (mut suspects, now) = (Suspects::default(), start());
    for born_ms in 0..3 {
        let start = Incarnation { id: "i-0".into(), born_ms };
        suspects.ended_under(&start, &[request("/bad")], now);
    }
    assert!(is_held(&mut suspects, "/bad", now));
}

#[test]
fn it_is_the_same_request_from_another_host_but_not_with_another_body() {
    let (mut suspects, now) = (Suspects::default(), start());
    for (number, host) in ["a", "b", "c"].into_iter().enumerate() {
        suspects.ended_under(&server(number), &[of_caller(host, "/bad")], now);
    }
    assert!(suspects.asked(of_caller("d", "/bad"), now).is_some());
    let other_body = Fingerprints::new(b"a", &[b"GET", b"/bad", b"other"]);
    assert!(suspects.asked(other_body, now).is_none());
}

#[test]
fn a_request_that_is_answered_for_others_is_held_back_for_the_caller_whose_servers_end() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    for number in 0..4 {
        suspects.ended_under(&server(number), &[of_caller("bad", "/shared")], now);
        now += APART;
        suspects.ran_well(of_caller("sound", "/shared"), now);
        now += APART;
    }
    assert!(suspects.asked(of_caller("bad", "/shared"), now).is_some());
    assert!(suspects.asked(of_caller("sound", "/shared"), now).is_none());
    assert!(suspects.asked(of_caller("new", "/shared"), now).is_none());
}

#[test]
fn an_answer_wipes_out_what_ended_before_it() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    end(&mut suspects, 0..2, &["/sound"], &mut now);
    suspects.ran_well(request("/sound"), now);
    now += APART;
    end(&mut suspects, 2..4, &["/sound"], &mut now);
    assert!(!is_held(&mut suspects, "/sound", now));
    now += Duration::from_secs(20);
    end(&mut suspects, 4..5, &["/sound"], &mut now);
    assert!(is_held(&mut suspects, "/sound", now), "three since it was answered");
}

#[test]
fn an_answer_that_one_instance_saw_releases_the_request_at_all() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    let mut now = start();
    end(&mut one, 0..3, &["/sound"], &mut now);
    let mut random = SmallRng::seed_from_u64(1);
    two.hear(&one.tell(&mut random, now).expect("there is news"), now).expect("it can be read");
    assert!(is_held(&mut two, "/sound", now));
    now += APART;
    let changes = one.ran_well(request("/sound"), now);
    assert!(changes.is_urgent && !changes.released.is_empty());
    two.hear(&one.tell(&mut random, now).expect("there is news"), now).expect("it can be read");
    assert!(!is_held(&mut two, "/sound", now));
    // What others told before the answer does not come back.
    one.hear(&two.tell(&mut random, now).expect("there is news"), now).expect("it can be read");
    assert!(!is_held(&mut one, "/sound", now));
}

#[test]
fn a_request_that_another_one_explains_is_released() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    end(&mut suspects, 0..3, &["/bad", "/beside"], &mut now);
    assert!(is_held(&mut suspects, "/beside", now), "nothing tells them apart yet");
    end(&mut suspects, 3..5, &["/bad"], &mut now);
    assert!(is_held(&mut suspects, "/bad", now));
    assert!(!is_held(&mut suspects, "/beside", now));
    end(&mut suspects, 5..6, &["/beside"], &mut now);
    assert!(is_held(&mut suspects, "/beside", now), "one end more that is not explained");
}

#[test]
fn servers_that_die_together_with_others_are_one_loss() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    for number in 0..4 {
        suspects.ended_under(&server(number), &[request("/often")], now);
        suspects.ended_under(&server(10 + number), &[request(&format!("/{number}"))], now);
        now += Duration::from_millis(20);
    }
    assert!(!is_held(&mut suspects, "/often", now));
    now += APART;
    end(&mut suspects, 20..21, &["/often"], &mut now);
    assert!(is_held(&mut suspects, "/often", now), "one more end, at another time");
}

/// Lets a share of the servers die in each of several losses, 0.6 s apart, under requests of which one
/// is the same each time, as its caller repeats it at once.
fn losses(count: usize) -> (Suspects, Time) {
    let (mut suspects, mut now) = (Suspects::default(), start());
    for loss in 0..count {
        for number in 0..4 {
            let other = request(&format!("/{loss}/{number}"));
            let requests = [other, request("/repeated")];
            let had = if number == 0 { &requests[..] } else { &requests[..1] };
            suspects.ended_under(&server(10 * loss + number), had, now);
            now += Duration::from_millis(10);
        }
        now += Duration::from_millis(560);
    }
    (suspects, now)
}

#[test]
fn a_request_that_is_repeated_at_once_is_not_held_back_as_servers_die_in_several_losses() {
    let (mut suspects, now) = losses(3);
    assert!(!is_held(&mut suspects, "/repeated", now));
}

#[test]
fn two_requests_that_end_servers_side_by_side_are_both_held_back() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    for number in 0..6 {
        suspects.ended_under(&server(number), &[request("/bad")], now);
        suspects.ended_under(&server(10 + number), &[request("/worse")], now);
        now += Duration::from_millis(250);
    }
    assert!(is_held(&mut suspects, "/bad", now) && is_held(&mut suspects, "/worse", now));
}

#[test]
fn a_request_alone_may_end_three_servers_at_once() {
    let (mut suspects, now) = (Suspects::default(), start());
    for number in 0..3 {
        suspects.ended_under(&server(number), &[request("/bad"), request("/beside")], now);
    }
    assert!(is_held(&mut suspects, "/bad", now));
}

#[test]
fn a_request_that_was_answered_of_late_is_sent_on() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    suspects.ran_well(request("/often"), now);
    end(&mut suspects, 0..3, &["/often"], &mut now);
    assert!(!is_held(&mut suspects, "/often", now));
    assert!(is_held(&mut suspects, "/often", now + Duration::from_secs(10)));
}

#[test]
fn a_request_is_forgotten_only_when_it_has_not_come_for_long() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    end(&mut suspects, 0..3, &["/bad"], &mut now);
    for _ in 0..10 {
        now += Duration::from_secs(500);
        suspects.prune(now);
        assert!(is_held(&mut suspects, "/bad", now));
    }
    suspects.prune(now + Duration::from_secs(601));
    assert!(suspects.is_empty());
}

#[test]
fn many_broken_requests_take_bounded_room_and_leave_what_is_held() {
    let (mut suspects, mut now) = (Suspects::default(), start());
    end(&mut suspects, 0..3, &["/bad"], &mut now);
    for number in 0..20_000 {
        suspects.ended_under(&server(number / 20), &[request(&format!("/{number}"))], now);
        now += Duration::from_millis(1);
    }
    assert!(suspects.len() <= MOST_SUSPECTS, "{}", suspects.len());
    assert!(is_held(&mut suspects, "/bad", now));
    let mut random = SmallRng::seed_from_u64(1);
    let message = suspects.tell(&mut random, now).expect("there is news");
    assert!(message.len() <= MESSAGE_BYTES, "{}", message.len());
}

proptest! {
    #[test]
    fn any_bytes_are_heard_without_harm(bytes in prop::collection::vec(any::<u8>(), 0..1400)) {
        let mut suspects = Suspects::default();
        suspects.hear(&bytes, start());
        assert!(suspects.len() <= MOST_SUSPECTS);
    }
}

/// Instances that tell each other by the real exchange, in steps of 10 ms.
struct Fleet {
    instances: Vec<Suspects>,
    random: SmallRng,
    now: Time,
    /// Messages on their way: when they arrive, and where.
    on_the_way: Vec<(Time, usize, Vec<u8>)>,
    beat_at: Vec<Time>,
    bytes: usize,
}

/// One way between two regions.
const FAR: Duration = Duration::from_millis(60);

/// Part of the messages that are lost.
const LOSS: f64 = 0.03;

impl Fleet {
    fn new(count: usize) -> Self {
        let mut random = SmallRng::seed_from_u64(5);
        let now = start();
        let beat_at =
            (0..count).map(|_| now + HEARTBEAT_INTERVAL.mul_f64(random.random())).collect();
        let instances = (0..count).map(|_| Suspects::default()).collect();
        Self { instances, random, now, on_the_way: Vec::new(), beat_at, bytes: 0 }
    }

    fn tell(&mut self, sender: usize, count: usize) {
        for _ in 0..count {
            let Some(bytes) = self.instances[sender].tell(&mut self.random, self.now) else {
                return;
            };
            self.bytes += bytes.len();
            let target = self.random.random_range(0..self.instances.len());
            if !self.random.random_bool(LOSS) {
                self.on_the_way.push((self.now + FAR, target, bytes));
            }
        }
    }

    /// Lets a server end under requests of which an instance learns.
    fn end(&mut self, number: usize, instance: usize, requests: &[Fingerprints]) {
        let now = self.now;
        if self.instances[instance].ended_under(&server(number), requests, now).is_urgent {
            self.tell(instance, FANOUT);
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(10);
        let now = self.now;
        let (due, rest) = self.on_the_way.drain(..).partition(|(at, ..)| *at <= now);
        self.on_the_way = rest;
        let due: Vec<(Time, usize, Vec<u8>)> = due;
        for (_, target, bytes) in due {
            let heard = self.instances[target].hear(&bytes, now).expect("it can be read");
            if heard.is_urgent {
                self.tell(target, FANOUT);
            }
        }
        for instance in 0..self.instances.len() {
            if self.beat_at[instance] <= now {
                self.beat_at[instance] += HEARTBEAT_INTERVAL;
                let is_fresh = self.instances[instance].has_fresh(now);
                self.tell(instance, if is_fresh { FANOUT } else { STEADY_FANOUT });
            }
        }
    }

    fn hold(&mut self, path: &str) -> usize {
        let now = self.now;
        self.instances.iter_mut().filter_map(|it| it.asked(request(path), now)).count()
    }
}

/// Ends of a request that count as much as [`HELD_FROM`], if others end beside each of them.
const AMONG_OTHERS: usize = 2 * HELD_FROM;

/// Steps that set an end apart from those of others.
const APART_STEPS: usize = 60;

/// Lets so many servers end, each seen by another instance and with other requests beside, while
/// others end so often that much is told, with a pause about each; returns how long it takes until all
/// hold the request back.
fn until_held(count: usize, ends: usize, pause_steps: usize) -> (Duration, Fleet) {
    let mut fleet = Fleet::new(count);
    let mut began = fleet.now;
    for number in 0..ends {
        (0..pause_steps).for_each(|_| fleet.step());
        for other in 0..5 {
            let paths = (0..10).map(|path| request(&format!("/other/{number}/{other}/{path}")));
            let requests: Vec<Fingerprints> = paths.collect();
            let seen_by = fleet.random.random_range(0..count);
            fleet.end(100 + number * 10 + other, seen_by, &requests);
            (0..13).for_each(|_| fleet.step());
        }
        (0..pause_steps).for_each(|_| fleet.step());
        let beside = (0..10).map(|beside| request(&format!("/{number}/{beside}")));
        let requests: Vec<Fingerprints> = beside.chain([request("/bad")]).collect();
        began = fleet.now;
        fleet.end(number, (number * 5) % count, &requests);
    }
    while fleet.hold("/bad") < count {
        fleet.step();
        assert!(fleet.now.since(began) < Duration::from_secs(20), "{} hold it", fleet.hold("/bad"));
    }
    (fleet.now.since(began), fleet)
}

#[test]
fn all_instances_hold_a_request_back_within_the_time_in_which_they_learn_anything() {
    for (ends, pause_steps) in [(HELD_FROM, APART_STEPS), (AMONG_OTHERS, 0)] {
        for count in [2, 12, 85, 300] {
            let (took, fleet) = until_held(count, ends, pause_steps);
            assert!(took < Duration::from_secs(3), "{count} instances, {ends} ends: {took:?}");
            let seconds = fleet.now.since(start()).as_secs_f64();
            let per_s = fleet.bytes as f64 / count as f64 / seconds;
            assert!(per_s < 50_000.0, "{count} instances: {per_s} bytes a second");
        }
    }
}

#[test]
fn one_that_starts_later_learns_what_is_held_back() {
    let (_, mut fleet) = until_held(12, HELD_FROM, APART_STEPS);
    for _ in 0..3_000 {
        fleet.step();
    }
    let before = fleet.bytes;
    fleet.instances[3] = Suspects::default();
    let began = fleet.now;
    while fleet.hold("/bad") < 12 {
        fleet.step();
        assert!(fleet.now.since(began) < Duration::from_secs(4), "{} hold it", fleet.hold("/bad"));
    }
    (0..1_000).for_each(|_| fleet.step());
    let per_s = (fleet.bytes - before) / 12 / 10;
    assert!(per_s < 400, "{per_s} bytes a second an instance, for one request held back");
}

#[test]
fn what_is_held_back_stays_so_though_it_was_answered_before_it_ended_servers() {
    // A request that was answered, and since then ends each server that runs it.  Were the answer to
    // seem later from one instance to the next, it would come to lie after the ends.
    for count in [12, 85] {
        let mut fleet = Fleet::new(count);
        let run = |fleet: &mut Fleet, seconds: usize| (0..seconds * 100).for_each(|_| fleet.step());
        fleet.end(0, 0, &[request("/bad")]);
        run(&mut fleet, 5);
        let now = fleet.now;
        fleet.instances[1].ran_well(request("/bad"), now);
        fleet.tell(1, FANOUT);
        run(&mut fleet, 5);
        for number in 1..=HELD_FROM {
            let beside = (0..10).map(|beside| request(&format!("/{number}/{beside}")));
            let requests: Vec<Fingerprints> = beside.chain([request("/bad")]).collect();
            fleet.end(number, (number * 5) % count, &requests);
            run(&mut fleet, 1);
        }
        run(&mut fleet, 3);
        assert_eq!(fleet.hold("/bad"), count, "three ended under it after the answer");
        run(&mut fleet, 300);
        assert_eq!(fleet.hold("/bad"), count, "{count} instances: nothing new is known of it");
    }
}
