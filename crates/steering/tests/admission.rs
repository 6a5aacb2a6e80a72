//! The admission queue compared with a naive model, and properties of waits and retry budgets.

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
const FAR_FUTURE: Time = Time::from_ms(1 << 40);

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

/// A queued request of the naive model.
#[derive(Clone, Debug)]
struct QueuedRequest {
    ticket: Ticket,
    tenant: u8,
    is_read: bool,
}

/// Naive model: a flat list of requests, and the tenants in the order of their turns.
#[derive(Default)]
struct NaiveQueue {
    queue: Vec<QueuedRequest>,
    turns: Vec<u8>,
}

impl NaiveQueue {
    fn tenant_len(&self, tenant: u8) -> usize {
        self.queue.iter().filter(|request| request.tenant == tenant).count()
    }

    fn next(&self) -> Option<Ticket> {
        let tenant = *self.turns.first()?;
        let tenant_requests = || self.queue.iter().filter(move |request| request.tenant == tenant);
        let next =
            tenant_requests().find(|request| !request.is_read).or_else(|| tenant_requests().next());
        next.map(|request| request.ticket)
    }

    fn remove(&mut self, ticket: Ticket, served: bool) {
        let Some(index) = self.queue.iter().position(|item| item.ticket == ticket) else { return };
        let tenant = self.queue.remove(index).tenant;
        let remaining = self.tenant_len(tenant);
        if served || remaining == 0 {
            self.turns.retain(|turn| *turn != tenant);
        }
        if served && remaining > 0 {
            self.turns.push(tenant);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 10_000, failure_persistence: None,
        rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn order_agrees_with_a_naive_round_robin(events in prop::collection::vec(event(), 1..60)) {
        let mut admission = Admission::new(LIMITS);
        let mut naive = NaiveQueue::default();
        let now = Time::from_ms(1);

        for event in events {
            match event {
                Event::Arrive(tenant, class) => {
                    let is_read = class == Class::Read;
                    let full = naive.queue.len() == QUEUE_LENGTH;
                    match admission.enqueue(now, &arrival(tenant, class, FAR_FUTURE)) {
                        EnqueueOutcome::Queued { ticket, displaced, .. } => {
                            prop_assert_eq!(displaced.is_some(), full);
                            if let Some(displaced) = displaced {
                                let victim = naive.queue.iter().find(|request| request.ticket == displaced);
                                let victim = victim.cloned().ok_or(TestCaseError::fail("unknown"))?;
                                prop_assert!(victim.is_read, "a write must not be displaced");
                                let has_more_queued = naive.tenant_len(victim.tenant) > naive.tenant_len(tenant) + 1;
                                prop_assert!(!is_read || has_more_queued);
                                naive.remove(displaced, false);
                            }
                            if naive.tenant_len(tenant) == 0 {
                                naive.turns.push(tenant);
                            }
                            naive.queue.push(QueuedRequest { ticket, tenant, is_read });
                        }
                        EnqueueOutcome::Refused(refusal) => {
                            prop_assert_eq!(refusal, Refusal::QueueFull);
                            prop_assert!(full);
                            let only_writes = naive.queue.iter().all(|request| !request.is_read);
                            prop_assert!(is_read || only_writes, "a write must displace a read");
                        }
                    }
                }
                Event::Admit => if let Some(ticket) = admission.peek() {
                    admission.admit(now, ticket);
                    naive.remove(ticket, true);
                },
                Event::Leave(position) => if let Some(request) = naive.queue.get(position).cloned() {
                    admission.remove(request.ticket);
                    naive.remove(request.ticket, false);
                },
            }
            prop_assert_eq!(admission.peek(), naive.next());
            prop_assert_eq!(admission.queue_len(), naive.queue.len());
            prop_assert!(admission.queue_len() <= QUEUE_LENGTH);
        }
    }

    #[test]
    fn retries_stay_within_their_percentage_of_first_attempts(
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
            // Sums of fractions aren't exact.
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
        // One start every 30 ms, and a longest wait of 100 ms.
        let now = Time::from_ms(n * 30);
        let outcome = admission.enqueue(now, &arrival(0, Class::Write, FAR_FUTURE));
        assert!(matches!(outcome, EnqueueOutcome::Queued { .. }), "{outcome:?}");
        let next = admission.peek().expect("queued request");
        admission.admit(Time::from_ms(n * 30 + 30), next);
    }
    let now = Time::from_ms(300);
    let mut enqueue = || admission.enqueue(now, &arrival(1, Class::Read, FAR_FUTURE));

    let outcomes = [enqueue(), enqueue(), enqueue(), enqueue()];

    assert!(
        outcomes[..3].iter().all(|outcome| matches!(outcome, EnqueueOutcome::Queued { .. })),
        "{outcomes:?}"
    );
    assert_eq!(outcomes[3], EnqueueOutcome::Refused(Refusal::TooLate));
}
