//! What instances tell each other of the limit that a backend server names.
//!
//! **What was seen.** A limit was kept when servers named one for the first time; a minute later two more got
//! 67 and 12 requests in 4 s where 36 and 11 were allowed, and instances were busier than all day before.
//!
//! **How it came about.** While a limit begins or ends, answers with and without it arrive at about the same
//! time, here and there.
//!
//! **Cause.** Of two claims the one whose answer seemed later counted, by its age; and each claim seemed
//! later by its way from one instance to the next.  So both went round without end, and each undid the other
//! wherever it came.
//!
//! **Proof.** The code of that time has 10,000 messages on their way among 11 instances within a second of the
//! first change.

mod placement_common;

use placement_common::{roster, servers};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};
use steering::gossip::{FANOUT, STEADY_FANOUT};
use steering::placement::peers::HEARTBEAT_INTERVAL;
use steering::placement::{Condition, Limit, Roster};

/// The server that names a limit now and then.
const SERVER: &str = "north-a-0";

/// The limit that it names, in requests a second.
const LIMIT_PER_S: f64 = 5.4;

/// One way between two regions, and within one.
const DELAYS: [Duration; 2] = [Duration::from_millis(55), Duration::from_millis(1)];

/// Time around a change in which answers of before still arrive.
const MIXED: Duration = Duration::from_millis(60);

/// Time between two answers of the server.
const ANSWERS: Duration = Duration::from_millis(20);

/// Time after a change in which all have to know of it.
const CONTACT: Duration = Duration::from_secs(4);

/// Part of the messages that are lost.
const LOSS: f64 = 0.03;

/// Messages on their way at which instances only answer each other's.
const MOST_ON_THE_WAY: usize = 10_000;

/// Instances that tell each other by the real exchange, in steps of a millisecond.
struct Fleet {
    rosters: Vec<Roster>,
    /// Instances that get answers of the server.
    senders: usize,
    random: SmallRng,
    now: Instant,
    on_the_way: Vec<(Instant, usize, Vec<u8>)>,
    beat_at: Vec<Instant>,
    answer_at: Instant,
    /// What the server says, what it said before, and when that changed.
    says: [Limit; 2],
    changed_at: Instant,
    /// Changes that instances heard from each other, and messages.
    heard: usize,
    messages: usize,
}

impl Fleet {
    fn new(count: usize, senders: usize) -> Self {
        let mut random = SmallRng::seed_from_u64(5);
        let now = Instant::now();
        let known = servers(&[("north-a", 1)], 9);
        let name = |number: usize| format!("instance-{number}");
        Self {
            rosters: (0..count).map(|it| roster(&name(it), "north-a", &known, now)).collect(),
            senders,
            beat_at: (0..count)
                .map(|_| now + HEARTBEAT_INTERVAL.mul_f64(random.random()))
                .collect(),
            random,
            now,
            on_the_way: Vec::new(),
            answer_at: now,
            says: [Limit::Unlimited; 2],
            changed_at: now,
            heard: 0,
            messages: 0,
        }
    }

    fn tell(&mut self, sender: usize, count: usize) {
        for _ in 0..count {
            let told = self.rosters[sender].encode_conditions(&mut self.random, self.now);
            let Some(bytes) = told else { return };
            self.messages += 1;
            assert!(self.on_the_way.len() < MOST_ON_THE_WAY, "messages make messages");
            let target = self.random.random_range(0..self.rosters.len());
            // A third of the instances is in the same region.
            let delay = DELAYS[usize::from(sender % 3 == target % 3)];
            if !self.random.random_bool(LOSS) {
                self.on_the_way.push((self.now + delay, target, bytes));
            }
        }
    }

    /// One of the senders gets an answer, which may be of before a change.
    fn answer(&mut self) {
        let sender = self.random.random_range(0..self.senders);
        let is_mixed = self.now.duration_since(self.changed_at) < MIXED;
        let limit = self.says[usize::from(is_mixed && self.random.random())];
        let said = Condition { limit, ..Condition::default() };
        if !self.rosters[sender].record_condition(SERVER, said, self.now).is_empty() {
            self.tell(sender, FANOUT);
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(1);
        let now = self.now;
        let (due, rest) = self.on_the_way.drain(..).partition(|(at, ..)| *at <= now);
        self.on_the_way = rest;
        let due: Vec<(Instant, usize, Vec<u8>)> = due;
        for (_, target, bytes) in due {
            let changes = self.rosters[target].merge_conditions(&bytes, now);
            if !changes.expect("it can be read").is_empty() {
                self.heard += 1;
                self.tell(target, FANOUT);
            }
        }
        for instance in 0..self.rosters.len() {
            if self.beat_at[instance] <= now {
                self.beat_at[instance] += HEARTBEAT_INTERVAL;
                let Some(is_fresh) = self.rosters[instance].has_fresh_conditions(now) else {
                    continue;
                };
                self.tell(instance, if is_fresh { FANOUT } else { STEADY_FANOUT });
            }
        }
        if self.answer_at <= now {
            self.answer_at += ANSWERS;
            self.answer();
        }
    }

    fn run(&mut self, time: Duration) {
        (0..time.as_millis()).for_each(|_| self.step());
    }

    /// Lets the server say something else.
    fn change(&mut self, limit: Limit) {
        self.says = [limit, self.says[0]];
        self.changed_at = self.now;
    }

    /// One of the senders starts anew, and knows nothing.
    fn restart_one(&mut self) {
        let number = self.random.random_range(0..self.senders);
        let known = servers(&[("north-a", 1)], 9);
        self.rosters[number] = roster(&format!("instance-{number}"), "north-a", &known, self.now);
    }

    /// Instances that go by a limit.
    fn limited(&self) -> usize {
        let is_limited = |roster: &&Roster| roster.conditions(self.now).count() > 0;
        self.rosters.iter().filter(is_limited).count()
    }
}

#[test]
fn instances_agree_on_a_limit_soon_after_each_change_and_fall_silent() {
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
                fleet.run(CONTACT);
                assert_eq!(fleet.limited(), limited, "round {round}: {senders} of {count} send");
                (fleet.heard, fleet.messages) = (0, 0);
                fleet.run(Duration::from_secs(4));
                assert_eq!(fleet.heard, 0, "round {round}: nothing changes any more");
                assert_eq!(fleet.limited(), limited, "round {round}: {senders} of {count} send");
                let beats = 6 * count;
                let most = beats * FANOUT;
                assert!(fleet.messages <= most, "{} messages, {most} at most", fleet.messages);
            }
        }
    }
}
