//! Gossip between instances about the limit that a backend server announces.
//!
//! Guards against claims that replace each other without end. While a limit begins or ends,
//! responses with and without it arrive at about the same time at different instances. When the
//! claim with the later response won, by its age, the delay of each hop made a claim seem later,
//! and two claims kept undoing each other: 10,000 messages were in flight among 11 instances within
//! a second of the first change. The first limits held, but a minute later two more servers got 67
//! and 12 requests in 4 s where 36 and 11 were allowed, and instances had a higher load than at any
//! time before.

mod placement_common;

use placement_common::{roster, servers};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};
use steering::gossip::{FANOUT, STEADY_FANOUT};
use steering::placement::peers::HEARTBEAT_INTERVAL;
use steering::placement::{Condition, Limit, Roster};

/// The server that announces a limit at times.
const SERVER: &str = "north-a-0";

/// The announced limit, in requests per second.
const LIMIT_PER_S: f64 = 5.4;

/// One-way delays between two regions and within one.
const DELAYS: [Duration; 2] = [Duration::from_millis(55), Duration::from_millis(1)];

/// Time after a change in which responses from before it still arrive.
const MIXED_ANSWERS: Duration = Duration::from_millis(60);

/// Interval between responses of the server.
const ANSWER_INTERVAL: Duration = Duration::from_millis(20);

/// Time after a change by which all instances must know of it.
const AGREE_WITHIN: Duration = Duration::from_secs(4);

/// Fraction of the messages that are lost.
const LOSS_RATIO: f64 = 0.03;

/// Number of messages in flight that shows that instances only react to each other.
const MAX_IN_FLIGHT: usize = 10_000;

/// Instances that exchange real gossip messages, simulated in steps of a millisecond.
struct Fleet {
    rosters: Vec<Roster>,
    /// Instances that get responses of the server.
    senders: usize,
    random: SmallRng,
    now: Instant,
    in_flight: Vec<(Instant, usize, Vec<u8>)>,
    next_heartbeat_at: Vec<Instant>,
    next_answer_at: Instant,
    /// What the server announces now, what it announced before, and the time of the change.
    limits: [Limit; 2],
    changed_at: Instant,
    /// Changes that instances learned from each other, and messages sent.
    learned: usize,
    messages: usize,
}

impl Fleet {
    fn new(count: usize, senders: usize) -> Self {
        let mut random = SmallRng::seed_from_u64(5);
        let now = Instant::now();
        let backend_servers = servers(&[("north-a", 1)], 9);
        let name = |number: usize| format!("instance-{number}");
        Self {
            rosters: (0..count)
                .map(|number| roster(&name(number), "north-a", &backend_servers, now))
                .collect(),
            senders,
            next_heartbeat_at: (0..count)
                .map(|_| now + HEARTBEAT_INTERVAL.mul_f64(random.random()))
                .collect(),
            random,
            now,
            in_flight: Vec::new(),
            next_answer_at: now,
            limits: [Limit::Unlimited; 2],
            changed_at: now,
            learned: 0,
            messages: 0,
        }
    }

    fn send_conditions(&mut self, sender: usize, count: usize) {
        for _ in 0..count {
            let message = self.rosters[sender].encode_conditions(&mut self.random, self.now);
            let Some(bytes) = message else { return };
            self.messages += 1;
            assert!(self.in_flight.len() < MAX_IN_FLIGHT, "messages only cause more messages");
            let target = self.random.random_range(0..self.rosters.len());
            // A third of the instances is in the same region.
            let delay = DELAYS[usize::from(sender % 3 == target % 3)];
            if !self.random.random_bool(LOSS_RATIO) {
                self.in_flight.push((self.now + delay, target, bytes));
            }
        }
    }

    /// Delivers a response to one of the senders; it may be from before a change.
    fn answer(&mut self) {
        let sender = self.random.random_range(0..self.senders);
        let is_mixed = self.now.duration_since(self.changed_at) < MIXED_ANSWERS;
        let limit = self.limits[usize::from(is_mixed && self.random.random())];
        let announced = Condition { limit, ..Condition::default() };
        if !self.rosters[sender].record_condition(SERVER, announced, self.now).is_empty() {
            self.send_conditions(sender, FANOUT);
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(1);
        let now = self.now;
        let (due, remaining) =
            self.in_flight.drain(..).partition(|(arrives_at, ..)| *arrives_at <= now);
        self.in_flight = remaining;
        let due: Vec<(Instant, usize, Vec<u8>)> = due;
        for (_, target, bytes) in due {
            let changes = self.rosters[target].merge_conditions(&bytes, now);
            if !changes.expect("the message is valid").is_empty() {
                self.learned += 1;
                self.send_conditions(target, FANOUT);
            }
        }
        for instance in 0..self.rosters.len() {
            if self.next_heartbeat_at[instance] <= now {
                self.next_heartbeat_at[instance] += HEARTBEAT_INTERVAL;
                let Some(is_fresh) = self.rosters[instance].has_recent_conditions(now) else {
                    continue;
                };
                self.send_conditions(instance, if is_fresh { FANOUT } else { STEADY_FANOUT });
            }
        }
        if self.next_answer_at <= now {
            self.next_answer_at += ANSWER_INTERVAL;
            self.answer();
        }
    }

    fn run(&mut self, time: Duration) {
        (0..time.as_millis()).for_each(|_| self.step());
    }

    /// Changes the limit that the server announces.
    fn change(&mut self, limit: Limit) {
        self.limits = [limit, self.limits[0]];
        self.changed_at = self.now;
    }

    /// Restarts one of the senders without any state.
    fn restart_one(&mut self) {
        let number = self.random.random_range(0..self.senders);
        let backend_servers = servers(&[("north-a", 1)], 9);
        self.rosters[number] =
            roster(&format!("instance-{number}"), "north-a", &backend_servers, self.now);
    }

    /// Returns the number of instances that apply a limit.
    fn limited(&self) -> usize {
        let is_limited = |roster: &&Roster| roster.conditions(self.now).count() > 0;
        self.rosters.iter().filter(is_limited).count()
    }
}

#[test]
fn instances_agree_on_a_limit_soon_after_each_change_and_stop_sending_changes() {
    for (count, senders) in [(11, 2), (11, 11), (100, 2)] {
        let mut fleet = Fleet::new(count, senders);
        fleet.run(Duration::from_secs(1));
        for round in 0..4 {
            for (limit, limited) in [
                (Limit::PerSecond(LIMIT_PER_S), count),
                (Limit::PerSecond(LIMIT_PER_S / 2.0), count),
                (Limit::Unlimited, 0),
            ] {
                fleet.change(limit);
                fleet.run(Duration::from_secs(1));
                fleet.restart_one();
                fleet.run(AGREE_WITHIN);
                assert_eq!(fleet.limited(), limited, "round {round}: {senders} of {count} send");
                (fleet.learned, fleet.messages) = (0, 0);
                fleet.run(Duration::from_secs(4));
                assert_eq!(fleet.learned, 0, "round {round}: nothing changes any more");
                assert_eq!(fleet.limited(), limited, "round {round}: {senders} of {count} send");
                let heartbeats = 6 * count;
                let max_messages = heartbeats * FANOUT;
                assert!(
                    fleet.messages <= max_messages,
                    "{} messages, {max_messages} at most",
                    fleet.messages
                );
            }
        }
    }
}
