//! Random schedules of several homes, with crashes, restarts on the same address, lost, delayed and
//! repeated messages, partitions and planned stops with hand-over.  The history of each key is
//! checked for linearizability against a key that runs once.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::time::Duration;
use steering::ledger::{
    ExchangeResult, ExecutionStatus, Fingerprint, HandOver, HandOverPart, KeyDecision, Ledger,
    Limits, NextStep, Outcome, PartReply, StoredResponse,
};
use steering::{IdempotencyKey, Incarnation, Time};
use todc_utils::{Action, History, Specification, WGLChecker};

const SEEDS: u64 = 3_000;
const STEPS: usize = 250;
const ADDRESSES: usize = 4;
const TTL_MS: u64 = 2_000;
const UNIX_MS: u64 = 1_000_000;

/// The response to a caller's attempt; `None` while the caller waits.
type Response = Option<CallerResponse>;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum CallerResponse {
    Answered(u8),
    NotRun,
    Unknown,
}

/// A key runs at most once: all attempts get the first answer, and none gets `not-run` after it.
struct AtMostOnce;

impl Specification for AtMostOnce {
    type State = Option<u8>;
    type Operation = Response;

    fn init() -> Option<u8> {
        None
    }

    fn apply(response: &Response, state: &Option<u8>) -> (bool, Option<u8>) {
        match (response, state) {
            (Some(CallerResponse::Answered(answer)), None) => (true, Some(*answer)),
            (Some(CallerResponse::Answered(answer)), Some(first)) => (answer == first, *state),
            (Some(CallerResponse::NotRun), _) => (state.is_none(), *state),
            (Some(CallerResponse::Unknown) | None, _) => (true, *state),
        }
    }
}

struct Node {
    incarnation: Incarnation,
    ledger: Ledger,
    hand_overs: Vec<HandOver>,
}

struct Exchange {
    address: usize,
    key: IdempotencyKey,
    attempt: usize,
    sent: bool,
    answer: Option<u8>,
}

/// Instances by address, and the history of callers and backend servers.
struct Fleet {
    random: SmallRng,
    now_ms: u64,
    nodes: Vec<Option<Node>>,
    exchanges: Vec<Exchange>,
    /// Parts whose sender got no reply, and which may still arrive.
    delayed_parts: Vec<(usize, HandOverPart)>,
    /// Requests that a backend server may still run although no caller waits for them.
    delayed_runs: Vec<IdempotencyKey>,
    keys: Vec<IdempotencyKey>,
    runs: HashMap<IdempotencyKey, u8>,
    history: HashMap<IdempotencyKey, Vec<(usize, Action<Response>)>>,
    attempts: usize,
    handed_over: usize,
    run_by_successor: usize,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut fleet = Self {
            random: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            nodes: (0..ADDRESSES).map(|_| None).collect(),
            exchanges: Vec::new(),
            delayed_parts: Vec::new(),
            delayed_runs: Vec::new(),
            keys: Vec::new(),
            runs: HashMap::new(),
            history: HashMap::new(),
            attempts: 0,
            handed_over: 0,
            run_by_successor: 0,
        };
        (0..ADDRESSES).for_each(|address| fleet.restart(address));
        fleet
    }

    fn now(&self) -> Time {
        Time::from_ms(self.now_ms)
    }

    fn random_address(&mut self) -> usize {
        self.random.random_range(0..ADDRESSES)
    }

    fn step(&mut self) {
        match self.random.random_range(0..100) {
            0..35 => self.attempt(),
            35..70 => self.advance_exchange(),
            70..74 => self.run_delayed(),
            74..78 => self.deliver_delayed_part(),
            78..80 => self.restart_random(),
            80..83 => self.stop_random(),
            83..96 => self.hand_over_step(),
            _ => self.now_ms += self.random.random_range(0..TTL_MS / 4),
        }
    }

    /// Kills the instance at an address, if any, and starts another one there.
    fn restart(&mut self, address: usize) {
        let (lost, kept) = std::mem::take(&mut self.exchanges)
            .into_iter()
            .partition(|exchange: &Exchange| exchange.address == address);
        self.exchanges = kept;
        for exchange in lost {
            self.abandon(exchange);
        }
        let incarnation = Incarnation(self.random.random());
        let limits = Limits { max_keys: 12, max_part_records: 2, ..Limits::default() };
        let mut ledger = Ledger::new(incarnation, limits, self.now(), UNIX_MS + self.now_ms);
        ledger.set_ttl(Duration::from_millis(TTL_MS));
        self.nodes[address] = Some(Node { incarnation, ledger, hand_overs: Vec::new() });
    }

    fn restart_random(&mut self) {
        let address = self.random_address();
        self.restart(address);
    }

    /// Ends an exchange without a record in the ledger; a backend server may still run it if sent.
    fn abandon(&mut self, exchange: Exchange) {
        if exchange.sent && exchange.answer.is_none() {
            self.delayed_runs.push(exchange.key.clone());
        }
        self.record_response(&exchange.key, exchange.attempt, CallerResponse::Unknown);
    }

    fn stop_random(&mut self) {
        let (address, now) = (self.random_address(), self.now());
        if let Some(node) = self.nodes[address].as_mut().filter(|node| !node.ledger.is_closed()) {
            node.hand_overs = node.ledger.close(now);
        }
    }

    /// Returns the address of the home according to the membership, which is sometimes wrong.
    fn address_of(&mut self, home: Incarnation) -> usize {
        let taken_over = |node: &Option<Node>| {
            node.as_ref().is_some_and(|node| node.ledger.taken_over_homes().contains(&home))
        };
        let is = |node: &Option<Node>| node.as_ref().is_some_and(|node| node.incarnation == home);
        let found = self.nodes.iter().position(taken_over);
        let found = found.or_else(|| self.nodes.iter().position(is));
        match found.filter(|_| self.random.random_bool(0.8)) {
            Some(address) => address,
            None => self.random_address(),
        }
    }

    fn key(&mut self) -> IdempotencyKey {
        if let Some(key) = self.keys.choose(&mut self.random)
            && self.random.random_bool(0.7)
        {
            return key.clone();
        }
        let address = self.random_address();
        let home = self.nodes[address].as_ref().map_or(Incarnation(0), |node| node.incarnation);
        let early_ms = self.random.random_range(0..TTL_MS / 2);
        let issued_ms = UNIX_MS + self.now_ms.saturating_sub(early_ms);
        let text = format!("{}{}", IdempotencyKey::prefix(home, issued_ms), self.keys.len());
        let key: IdempotencyKey = text.parse().expect("a key");
        self.keys.push(key.clone());
        key
    }

    fn attempt(&mut self) {
        let key = self.key();
        let attempt = self.attempts;
        self.attempts += 1;
        self.history.entry(key.clone()).or_default().push((attempt, Action::Call(None)));
        let (address, now) = (self.address_of(key.home()), self.now());
        let Some(node) = self.nodes[address].as_mut() else {
            return self.record_response(&key, attempt, CallerResponse::Unknown);
        };
        let decision = node.ledger.begin(&key, Fingerprint(0), now);
        let is_successor = node.incarnation != key.home();
        let reply = match decision {
            KeyDecision::Run => {
                self.run_by_successor += usize::from(is_successor);
                let exchange = Exchange { address, key, attempt, sent: false, answer: None };
                return self.exchanges.push(exchange);
            }
            KeyDecision::Replay(Outcome::Answered(answer)) => {
                CallerResponse::Answered(answer.body[0])
            }
            KeyDecision::Full | KeyDecision::Mismatch | KeyDecision::Closed => {
                CallerResponse::NotRun
            }
            _ => CallerResponse::Unknown,
        };
        self.record_response(&key, attempt, reply);
    }

    fn advance_exchange(&mut self) {
        if self.exchanges.is_empty() {
            return;
        }
        let position = self.random.random_range(0..self.exchanges.len());
        let mut exchange = self.exchanges.swap_remove(position);
        let chance = self.random.random_range(0..100);
        match (exchange.sent, exchange.answer) {
            (false, _) if chance < 25 => {
                self.finish(exchange, ExchangeResult::NotSent, CallerResponse::NotRun)
            }
            (false, _) => {
                let Some(node) = self.nodes[exchange.address].as_mut() else { return };
                node.ledger.record_sent(&exchange.key);
                if chance < 40 {
                    node.ledger.record_not_sent(&exchange.key);
                } else {
                    exchange.sent = true;
                }
                self.exchanges.push(exchange);
            }
            (true, None) if chance < 20 => {
                let unknown = ExchangeResult::Sent(Outcome::Unknown);
                self.delayed_runs.push(exchange.key.clone());
                self.finish(exchange, unknown, CallerResponse::Unknown);
            }
            (true, None) if chance < 30 => {
                self.finish(exchange, ExchangeResult::Shed, CallerResponse::NotRun)
            }
            (true, None) => {
                exchange.answer = Some(self.run_on_server(&exchange.key));
                self.exchanges.push(exchange);
            }
            (true, Some(_)) if chance < 15 => {
                self.finish(
                    exchange,
                    ExchangeResult::Sent(Outcome::Unknown),
                    CallerResponse::Unknown,
                );
            }
            (true, Some(answer)) => {
                let kept = StoredResponse {
                    status: 200,
                    content_type: "".into(),
                    body: vec![answer].into(),
                };
                let ended = ExchangeResult::Sent(Outcome::Answered(kept));
                self.finish(exchange, ended, CallerResponse::Answered(answer));
            }
        }
    }

    fn finish(&mut self, exchange: Exchange, ended: ExchangeResult, reply: CallerResponse) {
        let now = self.now();
        let Some(node) = self.nodes[exchange.address].as_mut() else { return };
        let status = node.ledger.finish(&exchange.key, ended, now);
        let reply = match reply {
            CallerResponse::NotRun if status != ExecutionStatus::NotRun => CallerResponse::Unknown,
            reply => reply,
        };
        self.record_response(&exchange.key, exchange.attempt, reply);
    }

    fn run_on_server(&mut self, key: &IdempotencyKey) -> u8 {
        let runs = self.runs.entry(key.clone()).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "{key:?} ran twice");
        self.random.random()
    }

    fn run_delayed(&mut self) {
        if let Some(key) = self.delayed_runs.pop() {
            self.run_on_server(&key);
        }
    }

    fn record_response(&mut self, key: &IdempotencyKey, attempt: usize, reply: CallerResponse) {
        if reply == CallerResponse::NotRun {
            let may_run =
                self.exchanges.iter().any(|exchange| exchange.sent && exchange.key == *key)
                    || self.delayed_runs.contains(key);
            let ran = self.runs.contains_key(key);
            assert!(!ran && !may_run, "{key:?} got not-run although it ran or may still run");
        }
        let history = self.history.entry(key.clone()).or_default();
        history.push((attempt, Action::Response(Some(reply))));
    }

    fn next_part(&mut self, address: usize, hand_over: &mut HandOver) -> Option<HandOverPart> {
        self.nodes[address].as_mut()?.ledger.next_part(hand_over)
    }

    fn receive(&mut self, address: usize, part: HandOverPart) -> PartReply {
        let now = self.now();
        let node = self.nodes[address].as_mut();
        match node.is_some_and(|node| node.ledger.receive(part, now)) {
            true => PartReply::Accepted,
            false => PartReply::Refused,
        }
    }

    fn deliver_delayed_part(&mut self) {
        if self.delayed_parts.is_empty() {
            return;
        }
        let position = self.random.random_range(0..self.delayed_parts.len());
        let (address, part) = self.delayed_parts.swap_remove(position);
        self.receive(address, part);
    }

    /// Sends parts of one hand-over until one fails; each may be lost, delayed or repeated.
    fn hand_over_step(&mut self) {
        let (address, to) = (self.random_address(), self.random_address());
        let successor = self.nodes[to].as_ref().map(|node| node.incarnation);
        let Some(node) = self.nodes[address].as_mut() else { return };
        if node.hand_overs.is_empty() || to == address {
            return;
        }
        let position = self.random.random_range(0..node.hand_overs.len());
        let mut hand_over = node.hand_overs.swap_remove(position);
        if hand_over.needs_successor()
            && let Some(successor) = successor
        {
            hand_over.begin(successor);
        }
        while let Some(part) = self.next_part(address, &mut hand_over) {
            let at = |node: &Option<Node>| {
                node.as_ref().is_some_and(|node| node.incarnation == part.successor)
            };
            // The successor's address, or another one if the successor is gone.
            let to = self.nodes.iter().position(at).unwrap_or(to);
            let last = part.last;
            let reply = match self.random.random_range(0..100) {
                0..10 => PartReply::NotSent,
                10..20 => {
                    self.delayed_parts.push((to, part));
                    PartReply::Unsure
                }
                20..30 => {
                    self.receive(to, part);
                    PartReply::Unsure
                }
                30..35 => {
                    self.delayed_parts.push((to, part.clone()));
                    self.receive(to, part);
                    PartReply::Unsure
                }
                _ => self.receive(to, part),
            };
            if hand_over.on_reply(reply) != NextStep::Continue {
                break;
            }
            self.handed_over += usize::from(last);
        }
        if let Some(node) = self.nodes[address].as_mut() {
            node.hand_overs.push(hand_over);
        }
    }

    fn finish_all(&mut self) {
        for exchange in std::mem::take(&mut self.exchanges) {
            self.abandon(exchange);
        }
        while !self.delayed_runs.is_empty() {
            self.run_delayed();
        }
    }
}

#[test]
fn a_key_runs_at_most_once_under_random_faults() {
    let (mut handed_over, mut run_by_successor, mut runs) = (0, 0, 0);

    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        (0..STEPS).for_each(|_| fleet.step());
        fleet.finish_all();

        for (key, history) in &fleet.history {
            let once =
                WGLChecker::<AtMostOnce>::is_linearizable(History::from_actions(history.clone()));
            assert!(once, "seed {seed}, {key:?}: {history:?}");
        }
        handed_over += fleet.handed_over;
        run_by_successor += fleet.run_by_successor;
        runs += fleet.runs.len();
    }

    // The schedules exercise hand-overs, successors and runs.
    assert!(handed_over > 1_000 && run_by_successor > 1_000 && runs > 10_000);
}
