//! Compares the ledger of one home with a model that keeps all keys.

use proptest::prelude::*;
use std::collections::HashMap;
use std::time::Duration;
use steering::ledger::{
    ExchangeResult, ExecutionStatus, Fingerprint, KeyDecision, Ledger, Limits, Outcome,
    StoredResponse,
};
use steering::{IdempotencyKey, Incarnation, Time};

const HOME: Incarnation = Incarnation(1);
const OTHER_HOME: Incarnation = Incarnation(2);
const UNIX_MS: u64 = 1_000_000;
const TTL_MS: u64 = 100;
const MAX_KEYS: usize = 3;

#[derive(Clone, Debug)]
enum Event {
    KeyDecision { home: Incarnation, issued_ms: u64, name: u8, request: u64 },
    Sent { running: usize },
    Returned { running: usize },
    Finish { running: usize, exchange_result: ExchangeResult },
    Wait { ms: u64 },
}

fn response_outcome(body: u8) -> Outcome {
    Outcome::Answered(StoredResponse {
        status: 200,
        content_type: "".into(),
        body: vec![body].into(),
    })
}

fn exchange_result() -> impl Strategy<Value = ExchangeResult> {
    prop_oneof![
        Just(ExchangeResult::NotSent),
        Just(ExchangeResult::Shed),
        Just(ExchangeResult::Sent(Outcome::Ran)),
        Just(ExchangeResult::Sent(Outcome::Unknown)),
        any::<u8>().prop_map(|body| ExchangeResult::Sent(response_outcome(body))),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let home = prop_oneof![9 => Just(HOME), 1 => Just(OTHER_HOME)];
    let issued_ms = prop_oneof![3 => Just(0_u64), 4 => 0_u64..400, 1 => 400_u64..800];
    prop_oneof![
        4 => (home, issued_ms, 0_u8..4, 0_u64..5).prop_map(|(home, issued_ms, name, request)| {
            Event::KeyDecision { home, issued_ms, name, request: request.min(1) }
        }),
        1 => (0_usize..4).prop_map(|running| Event::Sent { running }),
        1 => (0_usize..4).prop_map(|running| Event::Returned { running }),
        3 => (0_usize..4, exchange_result())
            .prop_map(|(running, exchange_result)| Event::Finish { running, exchange_result }),
        1 => (0_u64..150).prop_map(|ms| Event::Wait { ms }),
    ]
}

/// History of a key, kept for the whole test.
#[derive(Clone, Debug)]
struct KeyHistory {
    request: u64,
    sent: bool,
    ended_at_ms: Option<u64>,
    outcome: Option<Outcome>,
}

/// Keeps all keys, and only computes which of them the ledger may have removed.
#[derive(Default)]
struct Model {
    now_ms: u64,
    histories: HashMap<IdempotencyKey, KeyHistory>,
}

impl Model {
    fn is_before_horizon(&self, key: &IdempotencyKey) -> bool {
        key.issued_ms() + TTL_MS <= UNIX_MS + self.now_ms
    }

    fn is_expired(&self, key: &IdempotencyKey, history: &KeyHistory) -> bool {
        history.ended_at_ms.is_some_and(|at| at + TTL_MS <= self.now_ms)
            && self.is_before_horizon(key)
    }

    fn remembered(&self) -> usize {
        self.histories.iter().filter(|(key, history)| !self.is_expired(key, history)).count()
    }

    fn begin(&mut self, key: &IdempotencyKey, request: u64) -> KeyDecision {
        if key.home() != HOME {
            return KeyDecision::NotHome;
        }
        if let Some(history) =
            self.histories.get(key).filter(|history| !self.is_expired(key, history))
        {
            return match &history.outcome {
                _ if history.request != request => KeyDecision::Mismatch,
                Some(outcome) => KeyDecision::Replay(outcome.clone()),
                None => KeyDecision::InProgress,
            };
        }
        if self.is_before_horizon(key) {
            return KeyDecision::Expired;
        }
        if key.issued_ms() > UNIX_MS + self.now_ms + TTL_MS {
            return KeyDecision::NotIssued;
        }
        if self.remembered() >= MAX_KEYS {
            return KeyDecision::Full;
        }
        // The main property: a key that was run, or may have been run, is not run again.
        assert!(!self.histories.contains_key(key), "{key:?} would run again");
        let history = KeyHistory { request, sent: false, ended_at_ms: None, outcome: None };
        self.histories.insert(key.clone(), history);
        KeyDecision::Run
    }

    fn finish(&mut self, key: &IdempotencyKey, exchange_result: ExchangeResult) -> ExecutionStatus {
        let Some(history) = self.histories.get_mut(key) else { return ExecutionStatus::Unknown };
        let outcome = match exchange_result {
            ExchangeResult::Sent(outcome) => outcome,
            ExchangeResult::NotSent if history.sent => Outcome::Unknown,
            ExchangeResult::NotSent | ExchangeResult::Shed => {
                self.histories.remove(key);
                return ExecutionStatus::NotRun;
            }
        };
        history.outcome = Some(outcome.clone());
        history.ended_at_ms = Some(self.now_ms);
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
    fn matches_a_model_that_keeps_all_keys(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let mut ledger = ledger(Limits { max_keys: MAX_KEYS, ..Limits::default() });
        let mut model = Model::default();
        let mut running: Vec<IdempotencyKey> = Vec::new();

        for event in events {
            let now = Time::from_ms(model.now_ms);
            match event {
                Event::KeyDecision { home, issued_ms, name, request } => {
                    let key = key(home, issued_ms, name);
                    let decision = ledger.begin(&key, Fingerprint(request), now);
                    prop_assert_eq!(&decision, &model.begin(&key, request));
                    if decision == KeyDecision::Run {
                        running.push(key);
                    }
                }
                Event::Sent { running: n } | Event::Returned { running: n } => {
                    let Some(key) = running.get(n) else { continue };
                    let sent = matches!(event, Event::Sent { .. });
                    if sent { ledger.record_sent(key) } else { ledger.record_not_sent(key) };
                    model.histories.get_mut(key).expect("running").sent = sent;
                }
                Event::Finish { running: n, exchange_result } if n < running.len() => {
                    let key = running.remove(n);
                    let status = ledger.finish(&key, exchange_result.clone(), now);
                    prop_assert_eq!(status, model.finish(&key, exchange_result));
                }
                Event::Finish { .. } => {}
                Event::Wait { ms } => model.now_ms += ms,
            }
            prop_assert!(ledger.status().keys <= MAX_KEYS);
        }
    }
}

#[test]
fn a_longer_ttl_does_not_revive_expired_keys() {
    let mut ledger = ledger(Limits::default());
    let old = key(HOME, 0, 0);
    begin_at(&mut ledger, &old, 0);
    ledger.finish(&old, ExchangeResult::Sent(Outcome::Ran), Time::from_ms(0));
    let after_expiry = begin_at(&mut ledger, &old, TTL_MS + 1);

    ledger.set_ttl(Duration::from_millis(100 * TTL_MS));
    let decision = begin_at(&mut ledger, &old, TTL_MS + 2);

    assert_eq!((after_expiry, decision), (KeyDecision::Expired, KeyDecision::Expired));
}

#[test]
fn a_response_without_memory_for_its_body_is_stored_as_ran() {
    let limits = Limits { max_bytes: 1_000, reserved_for_keys_bytes: 1_000, ..Limits::default() };
    let mut ledger = ledger(limits);
    let key = key(HOME, 0, 0);
    begin_at(&mut ledger, &key, 0);

    let status = ledger.finish(&key, ExchangeResult::Sent(response_outcome(1)), Time::from_ms(0));

    assert_eq!(status, ExecutionStatus::Ran);
    assert_eq!(begin_at(&mut ledger, &key, 1), KeyDecision::Replay(Outcome::Ran));
}

#[test]
fn keys_are_parsed_strictly() {
    let parse = |text: &str| text.parse::<IdempotencyKey>().map(|key| key.issued_ms());

    assert_eq!(parse("0000000000000001-1f-a"), Ok(31));
    for bad in [
        "0000000000000001-1f-",
        "0000000000000001--aa",
        "0000000000000001-+f-a",
        "000000000000001-01f-a",
        "000000000000000G-1f-a",
        "0000000000000001-1f-\u{e9}",
    ] {
        assert!(parse(bad).is_err(), "{bad}");
    }
}
