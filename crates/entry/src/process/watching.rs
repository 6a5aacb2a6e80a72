//! Following the platform's store: a list, or what others tell, then one watch after another, for each
//! subject.

use super::applying::apply;
use super::instance::Instance;
use crate::border::{Facts, Subject};
use crate::error::StoreError;
use std::rc::Rc;
use std::time::{Duration, Instant};
use steering::placement::BootstrapDelay;
use steering::watch_timing::{POLICY_WAIT_MS, RECHECK, SOON_WAIT_MS, WAIT_MS};

/// Pause after a watch that brought changes, so that those that follow at once share one call.
const CHANGES_PAUSE: Duration = Duration::from_millis(100);

/// First pause after a call that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause after calls that failed: each call has a price, and what is missed meanwhile
/// comes from other instances.
const LONGEST_PAUSE: Duration = Duration::from_millis(1500);

/// Time between two looks whether others told what is waited for.
const LEARNED_CHECK: Duration = Duration::from_millis(100);

/// The list that an instance still lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Lack {
    /// Nothing was known since the start: others may tell it, and an old list will do, as the watch
    /// tells the rest.
    First,
    /// The history was lost.  An old list won't do, as the watch could begin in what is lost again.
    Again,
    /// None.
    Nothing,
}

/// Follows a subject for as long as the process lives.
pub(super) async fn follow(instance: Rc<Instance>, subject: Subject, first_list: BootstrapDelay) {
    let mut lack = Lack::First;
    let mut failures = 0u32;
    loop {
        if lack == Lack::First && !should_list(&instance, subject, first_list).await {
            lack = Lack::Nothing;
        }
        if lack == Lack::Nothing && !instance.is_watcher() {
            tokio::time::sleep(RECHECK).await;
            continue;
        }
        let outcome = match lack {
            Lack::First => list_first(&instance, subject).await,
            Lack::Again => list(&instance, subject).await,
            Lack::Nothing => watch(&instance, subject).await,
        };
        let name = outcome.as_ref().map_or_else(StoreError::as_str, |()| "ok");
        let labels = [subject.as_str(), name];
        instance.metrics.store_calls.with_label_values(&labels).inc();
        match outcome {
            Ok(()) => {
                if failures > 0 {
                    log::info!(target: "store", subject = subject.as_str(), failures; "regained");
                }
                lack = Lack::Nothing;
                failures = 0;
            }
            Err(error) => {
                if failures == 0 {
                    let subject = subject.as_str();
                    log::warn!(target: "store", subject, error:%; "lost");
                }
                if error == StoreError::Compacted {
                    lack = Lack::Again;
                } else {
                    instance.store_failed_at.set(Some(Instant::now()));
                    if failures == 0 {
                        // Another instance has to follow the store now.
                        instance.news.notify_one();
                    }
                }
                let doubled = FIRST_PAUSE * (1 << failures.min(6));
                failures = failures.saturating_add(1);
                let jitter = 0.5 + rand::random::<f64>() / 2.0;
                tokio::time::sleep(doubled.min(LONGEST_PAUSE).mul_f64(jitter)).await;
            }
        }
    }
}

/// Waits until others told of a subject, or this instance should list it itself; tells whether it
/// should.
async fn should_list(instance: &Instance, subject: Subject, first_list: BootstrapDelay) -> bool {
    loop {
        if instance.knowledge.borrow().as_of(subject) > 0 {
            return false;
        }
        let (place, others) = (instance.place_at_start(), instance.others_at_start());
        if instance.uptime() >= first_list.delay(place, others) {
            let waited_ms = instance.uptime().as_millis();
            let subject = subject.as_str();
            log::info!(target: "store", subject, place, others:?, waited_ms; "lists itself");
            return true;
        }
        tokio::time::sleep(LEARNED_CHECK).await;
    }
}

/// Lists a subject, unless others tell it before the list has come whole.
async fn list_first(instance: &Rc<Instance>, subject: Subject) -> Result<(), StoreError> {
    let known = async {
        while instance.knowledge.borrow().as_of(subject) == 0 {
            tokio::time::sleep(LEARNED_CHECK).await;
        }
    };
    tokio::select! {
        listed = instance.store.list_recent(subject) => take_list(instance, subject, listed?),
        () = known => {}
    }
    Ok(())
}

async fn list(instance: &Rc<Instance>, subject: Subject) -> Result<(), StoreError> {
    let listed = instance.store.list(subject).await?;
    take_list(instance, subject, listed);
    Ok(())
}

fn take_list(instance: &Rc<Instance>, subject: Subject, listed: Facts) {
    let changed = instance.knowledge.borrow_mut().listed(subject, listed);
    if changed {
        apply(instance, subject, "store");
        instance.news.notify_one();
    }
}

async fn watch(instance: &Rc<Instance>, subject: Subject) -> Result<(), StoreError> {
    let after = instance.knowledge.borrow().as_of(subject);
    let [least_ms, most_ms] = match subject {
        Subject::Configuration => SOON_WAIT_MS,
        Subject::BackendServers | Subject::Evacuations | Subject::Rollouts => WAIT_MS,
        Subject::Policies => POLICY_WAIT_MS,
    };
    let wait_ms = rand::random_range(least_ms..most_ms);
    let changes = tokio::select! {
        changes = instance.store.watch(subject, after, Duration::from_millis(wait_ms)) => changes?,
        // Another instance knew better, which the watch under way did not tell.
        () = instance.learned[subject.index()].notified() => return Ok(()),
    };
    let changed = instance.knowledge.borrow_mut().changed(subject, changes);
    if changed {
        apply(instance, subject, "store");
        instance.news.notify_one();
        tokio::time::sleep(CHANGES_PAUSE).await;
    }
    Ok(())
}
