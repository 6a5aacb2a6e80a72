//! The tokens of retry budgets: what is earned, saved and returned.

use steering::Time;
use steering::placement::{RetryBudget, RetryTerms};

/// A time at which all requests and retries of a test take place.
const NOW: Time = Time::from_ms(60_000);

fn retry_terms(ratio: f64, extra: f64) -> RetryTerms {
    RetryTerms { ratio, extra, ..RetryTerms::default() }
}

#[test]
fn retries_stay_within_the_budget_of_all_instances() {
    let (ratio, extra, instances) = (0.2, 64.0, 12);
    let mut budgets = vec![RetryBudget::new(retry_terms(ratio, extra)); instances];
    let (mut requests, mut retries) = (0.0, 0.0);
    for _ in 0..200 {
        for budget in &mut budgets {
            budget.earn(Some(instances), NOW);
            requests += 1.0;
            while budget.take(NOW) {
                retries += 1.0;
            }
        }
    }
    assert!(retries <= ratio * requests + extra, "{retries} retries of {requests} requests");
    assert!(retries >= 0.17 * requests, "{retries} retries of {requests} requests");
}

#[test]
fn retries_saved_in_quiet_times_fit_into_one_window() {
    let (ratio, extra, instances) = (0.2, 64.0, 12);
    let mut budgets = vec![RetryBudget::new(retry_terms(ratio, extra)); instances];
    for budget in &mut budgets {
        for _ in 0..1_000 {
            budget.earn(Some(instances), NOW);
        }
    }
    let (mut requests, mut retries) = (0.0, 0.0);
    for budget in &mut budgets {
        for _ in 0..30 {
            budget.earn(Some(instances), NOW);
            requests += 1.0;
            while budget.take(NOW) {
                retries += 1.0;
            }
        }
    }
    assert!(retries <= ratio * requests + extra, "{retries} retries of {requests} requests");
}

#[test]
fn refunded_retries_do_not_exceed_what_may_be_saved() {
    let fill = |budget: &mut RetryBudget| (0..1_000).for_each(|_| budget.earn(Some(12), NOW));
    let count_tokens =
        |mut budget: RetryBudget| std::iter::from_fn(|| budget.take(NOW).then_some(())).count();
    let mut budget = RetryBudget::new(retry_terms(0.2, 64.0));
    fill(&mut budget);
    let saved = count_tokens(budget);

    assert!(budget.take(NOW));
    budget.refund();
    assert_eq!(count_tokens(budget), saved);

    assert!(budget.take(NOW));
    fill(&mut budget);
    budget.refund();
    assert_eq!(count_tokens(budget), saved);
}

#[test]
fn new_instances_send_no_retries() {
    assert!(!RetryBudget::new(retry_terms(0.2, 64.0)).take(NOW));
}
