//! Admission and the retry budget against naive versions.

use configuration::Class;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;
use steering::Time;
use steering::admission::{Admission, Arrival, EnqueueOutcome, Limits, Refusal, Ticket};
use steering::retry::RetryBudget;

const QUEUE_LENGTH: usize = 6;
const LIMITS: Limits =
    Limits { queue_length: QUEUE_LENGTH, queue_wait: Duration::from_secs(3_600) };
const FAR: Time = Time::from_ms(1 << 40);

fn arrival(tenant: u8, class: Class, deadline: Time) -> Arrival {
    Arrival { tenant: format!("tenant-{tenant}").into(), class, deadline }
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(u8, Class),
    Admit,
    Leave(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let class = prop::sample::select(&Class::ALL[..]);
    prop_oneof![
        5 => (0_u8..4, class).prop_map(|(tenant, class)| Event::Arrive(tenant, class)),
        3 => Just(Event::Admit),
        1 => (0_usize..8).prop_map(Event::Leave),
    ]
}

/// One request that waits in the naive version.
#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    tenant: u8,
    read: bool,
}

/// A flat list, and for each tenant when it joined the turns last.
#[derive(Default)]
struct Naive {
    waiting: Vec<Waiting>,
    turns: Vec<u8>,
}

impl Naive {
    fn count(&self, tenant: u8) -> usize {
        self.waiting.iter().filter(|one| one.tenant == tenant).count()
    }

    fn next(&self) -> Option<Ticket> {
        let tenant = *self.turns.first()?;
        let of_tenant = || self.waiting.iter().filter(move |one| one.tenant == tenant);
        let next = of_tenant().find(|one| !one.read).or_else(|| of_tenant().next());
        next.map(|one| one.ticket)
    }

    fn remove(&mut self, ticket: Ticket, served: bool) {
        let Some(at) = self.waiting.iter().position(|one| one.ticket == ticket) else { return };
        let tenant = self.waiting.remove(at).tenant;
        let left = self.count(tenant);
        if served || left == 0 {
            self.turns.retain(|one| *one != tenant);
        }
        if served && left > 0 {
            self.turns.push(tenant);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 10_000, failure_persistence: None,
        rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn order_agrees_with_naive_turns(events in prop::collection::vec(event(), 1..60)) {
        let mut admission = Admission::new(LIMITS);
        let mut naive = Naive::default();
        let now = Time::from_ms(1);

        for event in events {
            match event {
                Event::Arrive(tenant, class) => {
                    let read = class == Class::Read;
                    let full = naive.waiting.len() == QUEUE_LENGTH;
                    match admission.enqueue(now, &arrival(tenant, class, FAR)) {
                        EnqueueOutcome::Queued { ticket, displaced, .. } => {
                            prop_assert_eq!(displaced.is_some(), full);
                            if let Some(displaced) = displaced {
                                let loser = naive.waiting.iter().find(|w| w.ticket == displaced);
                                let loser = loser.cloned().ok_or(TestCaseError::fail("unknown"))?;
                                prop_assert!(loser.read, "a write never gives way");
                                let fewer = naive.count(loser.tenant) > naive.count(tenant) + 1;
                                prop_assert!(!read || fewer);
                                naive.remove(displaced, false);
                            }
                            if naive.count(tenant) == 0 {
                                naive.turns.push(tenant);
                            }
                            naive.waiting.push(Waiting { ticket, tenant, read });
                        }
                        EnqueueOutcome::Refused(refusal) => {
                            prop_assert_eq!(refusal, Refusal::QueueFull);
                            prop_assert!(full);
                            let no_reads = naive.waiting.iter().all(|one| !one.read);
                            prop_assert!(read || no_reads, "a write goes before any read");
                        }
                    }
                }
                Event::Admit => if let Some(ticket) = admission.peek() {
                    admission.admit(now, ticket);
                    naive.remove(ticket, true);
                },
                Event::Leave(at) => if let Some(one) = naive.waiting.get(at).cloned() {
                    admission.remove(one.ticket);
                    naive.remove(one.ticket, false);
                },
            }
            prop_assert_eq!(admission.peek(), naive.next());
            prop_assert_eq!(admission.queue_len(), naive.waiting.len());
            prop_assert!(admission.queue_len() <= QUEUE_LENGTH);
        }
    }

    #[test]
    fn retries_stay_within_their_part_of_first_attempts(
        percent in 0.0_f64..50.0,
        attempts in prop::collection::vec(any::<bool>(), 1..400),
    ) {
        let mut budget = RetryBudget::default();
        let (mut first, mut retries) = (0_u32, 0_u32);

        for is_first in attempts {
            if is_first {
                budget.earn(percent);
                first += 1;
            } else if budget.take() {
                retries += 1;
            }
            // Sums of parts of a hundred are not exact.
            prop_assert!(f64::from(retries) <= f64::from(first) * percent / 100.0 + 1e-9);
        }
    }

    #[test]
    fn wait_ends_in_time_for_an_answer_before_the_deadline(
        service_ms in 1_u64..100,
        deadline_ms in 1_u64..500,
    ) {
        let mut admission = Admission::new(LIMITS);
        admission.record_service_time(Duration::from_millis(service_ms));
        let now = Time::from_ms(1_000);
        let deadline = now + Duration::from_millis(deadline_ms);

        match admission.enqueue(now, &arrival(0, Class::Read, deadline)) {
            EnqueueOutcome::Queued { until, .. } => {
                prop_assert!(until + Duration::from_millis(service_ms) <= deadline);
            }
            EnqueueOutcome::Refused(refusal) => {
                prop_assert_eq!(refusal, Refusal::TooLate);
                prop_assert!(deadline_ms <= service_ms);
            }
        }
    }
}

#[test]
fn request_that_would_wait_too_long_is_refused_on_arrival() {
    let limits = Limits { queue_length: 100, ..LIMITS };
    let mut admission = Admission::with_wait_factor(limits, 2.0);
    admission.record_service_time(Duration::from_millis(50));
    for n in 0..10 {
        // One start each 30 ms, and at most 100 ms to wait.
        let now = Time::from_ms(n * 30);
        let arrived = admission.enqueue(now, &arrival(0, Class::Write, FAR));
        assert!(matches!(arrived, EnqueueOutcome::Queued { .. }), "{arrived:?}");
        let next = admission.peek().expect("one waits");
        admission.admit(Time::from_ms(n * 30 + 30), next);
    }
    let now = Time::from_ms(300);
    let mut arrive = || admission.enqueue(now, &arrival(1, Class::Read, FAR));

    let arrived = [arrive(), arrive(), arrive(), arrive()];

    assert!(
        arrived[..3].iter().all(|one| matches!(one, EnqueueOutcome::Queued { .. })),
        "{arrived:?}"
    );
    assert_eq!(arrived[3], EnqueueOutcome::Refused(Refusal::TooLate));
}
