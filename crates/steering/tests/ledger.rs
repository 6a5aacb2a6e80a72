//! The ledger of one home against a naive one that forgets nothing.

use proptest::prelude::*;
use std::collections::HashMap;
use std::time::Duration;
use steering::ledger::{
    ExchangeResult, ExecutionStatus, Fingerprint, KeyDecision, Ledger, Limits, Outcome,
    StoredResponse,
};
use steering::{IdempotencyKey, Incarnation, Time};

const HOME: Incarnation = Incarnation(1);
const ELSEWHERE: Incarnation = Incarnation(2);
const UNIX_MS: u64 = 1_000_000;
const TTL_MS: u64 = 100;
const MAX_KEYS: usize = 3;

#[derive(Clone, Debug)]
enum Event {
    KeyDecision { home: Incarnation, issued_ms: u64, name: u8, request: u64 },
    Sent { running: usize },
    Returned { running: usize },
    Finish { running: usize, ended: ExchangeResult },
    Wait { ms: u64 },
}

fn answer(body: u8) -> Outcome {
    Outcome::Answered(StoredResponse {
        status: 200,
        content_type: "".into(),
        body: vec![body].into(),
    })
}

fn ended() -> impl Strategy<Value = ExchangeResult> {
    prop_oneof![
        Just(ExchangeResult::NotSent),
        Just(ExchangeResult::Shed),
        Just(ExchangeResult::Sent(Outcome::Ran)),
        Just(ExchangeResult::Sent(Outcome::Unknown)),
        any::<u8>().prop_map(|body| ExchangeResult::Sent(answer(body))),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let home = prop_oneof![9 => Just(HOME), 1 => Just(ELSEWHERE)];
    let issued_ms = prop_oneof![3 => Just(0_u64), 4 => 0_u64..400, 1 => 400_u64..800];
    prop_oneof![
        4 => (home, issued_ms, 0_u8..4, 0_u64..5).prop_map(|(home, issued_ms, name, request)| {
            Event::KeyDecision { home, issued_ms, name, request: request.min(1) }
        }),
        1 => (0_usize..4).prop_map(|running| Event::Sent { running }),
        1 => (0_usize..4).prop_map(|running| Event::Returned { running }),
        3 => (0_usize..4, ended()).prop_map(|(running, ended)| Event::Finish { running, ended }),
        1 => (0_u64..150).prop_map(|ms| Event::Wait { ms }),
    ]
}

/// What was ever seen of a key, kept for ever.
#[derive(Clone, Debug)]
struct Seen {
    request: u64,
    sent: bool,
    ended_at_ms: Option<u64>,
    outcome: Option<Outcome>,
}

/// Remembers all keys for ever, and only reckons which of them the ledger may have forgotten.
#[derive(Default)]
struct Naive {
    now_ms: u64,
    seen: HashMap<IdempotencyKey, Seen>,
}

impl Naive {
    fn is_too_old(&self, key: &IdempotencyKey) -> bool {
        key.issued_ms() + TTL_MS <= UNIX_MS + self.now_ms
    }

    fn is_forgotten(&self, key: &IdempotencyKey, seen: &Seen) -> bool {
        seen.ended_at_ms.is_some_and(|at| at + TTL_MS <= self.now_ms) && self.is_too_old(key)
    }

    fn held(&self) -> usize {
        self.seen.iter().filter(|(key, seen)| !self.is_forgotten(key, seen)).count()
    }

    fn begin(&mut self, key: &IdempotencyKey, request: u64) -> KeyDecision {
        if key.home() != HOME {
            return KeyDecision::NotHome;
        }
        if let Some(seen) = self.seen.get(key).filter(|seen| !self.is_forgotten(key, seen)) {
            return match &seen.outcome {
                _ if seen.request != request => KeyDecision::Mismatch,
                Some(outcome) => KeyDecision::Replay(outcome.clone()),
                None => KeyDecision::InProgress,
            };
        }
        if self.is_too_old(key) {
            return KeyDecision::Expired;
        }
        if key.issued_ms() > UNIX_MS + self.now_ms + TTL_MS {
            return KeyDecision::NotIssued;
        }
        if self.held() >= MAX_KEYS {
            return KeyDecision::Full;
        }
        // The heart of it: what was ever run or may have been is not run again.
        assert!(!self.seen.contains_key(key), "{key:?} would run again");
        let seen = Seen { request, sent: false, ended_at_ms: None, outcome: None };
        self.seen.insert(key.clone(), seen);
        KeyDecision::Run
    }

    fn finish(&mut self, key: &IdempotencyKey, ended: ExchangeResult) -> ExecutionStatus {
        let Some(seen) = self.seen.get_mut(key) else { return ExecutionStatus::Unknown };
        let outcome = match ended {
            ExchangeResult::Sent(outcome) => outcome,
            ExchangeResult::NotSent if seen.sent => Outcome::Unknown,
            ExchangeResult::NotSent | ExchangeResult::Shed => {
                self.seen.remove(key);
                return ExecutionStatus::NotRun;
            }
        };
        seen.outcome = Some(outcome.clone());
        seen.ended_at_ms = Some(self.now_ms);
        if outcome == Outcome::Unknown { ExecutionStatus::Unknown } else { ExecutionStatus::Ran }
    }
}

fn key(home: Incarnation, issued_ms: u64, name: u8) -> IdempotencyKey {
    let text = format!("{}{name}", IdempotencyKey::prefix(home, UNIX_MS + issued_ms));
    text.parse().expect("a key")
}

fn ledger(limits: Limits) -> Ledger {
    let mut ledger = Ledger::new(HOME, limits, Time::from_ms(0), UNIX_MS);
    ledger.set_ttl(Duration::from_millis(TTL_MS));
    ledger
}

fn begin_at(ledger: &mut Ledger, key: &IdempotencyKey, ms: u64) -> KeyDecision {
    ledger.begin(key, Fingerprint(0), Time::from_ms(ms))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 10_000, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn agrees_with_a_ledger_that_forgets_nothing(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let mut ledger = ledger(Limits { max_keys: MAX_KEYS, ..Limits::default() });
        let mut naive = Naive::default();
        let mut running: Vec<IdempotencyKey> = Vec::new();

        for event in events {
            let now = Time::from_ms(naive.now_ms);
            match event {
                Event::KeyDecision { home, issued_ms, name, request } => {
                    let key = key(home, issued_ms, name);
                    let begun = ledger.begin(&key, Fingerprint(request), now);
                    prop_assert_eq!(&begun, &naive.begin(&key, request));
                    if begun == KeyDecision::Run {
                        running.push(key);
                    }
                }
                Event::Sent { running: n } | Event::Returned { running: n } => {
                    let Some(key) = running.get(n) else { continue };
                    let sent = matches!(event, Event::Sent { .. });
                    if sent { ledger.record_sent(key) } else { ledger.record_not_sent(key) };
                    naive.seen.get_mut(key).expect("running").sent = sent;
                }
                Event::Finish { running: n, ended } if n < running.len() => {
                    let key = running.remove(n);
                    let settled = ledger.finish(&key, ended.clone(), now);
                    prop_assert_eq!(settled, naive.finish(&key, ended));
                }
                Event::Finish { .. } => {}
                Event::Wait { ms } => naive.now_ms += ms,
            }
            prop_assert!(ledger.status().keys <= MAX_KEYS);
        }
    }
}

#[test]
fn a_longer_time_to_live_brings_no_forgotten_key_back() {
    let mut ledger = ledger(Limits::default());
    let old = key(HOME, 0, 0);
    begin_at(&mut ledger, &old, 0);
    ledger.finish(&old, ExchangeResult::Sent(Outcome::Ran), Time::from_ms(0));
    let forgotten = begin_at(&mut ledger, &old, TTL_MS + 1);

    ledger.set_ttl(Duration::from_millis(100 * TTL_MS));
    let begun = begin_at(&mut ledger, &old, TTL_MS + 2);

    assert_eq!((forgotten, begun), (KeyDecision::Expired, KeyDecision::Expired));
}

#[test]
fn an_answer_without_room_is_kept_as_run() {
    let limits = Limits { max_bytes: 1_000, reserved_for_keys_bytes: 1_000, ..Limits::default() };
    let mut ledger = ledger(limits);
    let key = key(HOME, 0, 0);
    begin_at(&mut ledger, &key, 0);

    let settled = ledger.finish(&key, ExchangeResult::Sent(answer(1)), Time::from_ms(0));

    assert_eq!(settled, ExecutionStatus::Ran);
    assert_eq!(begin_at(&mut ledger, &key, 1), KeyDecision::Replay(Outcome::Ran));
}

#[test]
fn keys_are_read_strictly() {
    let read = |text: &str| text.parse::<IdempotencyKey>().map(|key| key.issued_ms());

    assert_eq!(read("0000000000000001-1f-a"), Ok(31));
    for bad in [
        "0000000000000001-1f-",
        "0000000000000001--aa",
        "0000000000000001-+f-a",
        "000000000000001-01f-a",
        "000000000000000G-1f-a",
        "0000000000000001-1f-\u{e9}",
    ] {
        assert!(read(bad).is_err(), "{bad}");
    }
}
