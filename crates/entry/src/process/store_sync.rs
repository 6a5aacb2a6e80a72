//! Keeps each subject in sync with the platform's store: an initial list, from the store or a peer, then
//! one watch after another.

use super::activation::activate;
use super::instance::Instance;
use super::watch_handover;
use crate::error::StoreError;
use crate::platform_api::{StoreResponse, Subject};
use std::rc::Rc;
use std::time::{Duration, Instant};
use steering::placement::BootstrapDelay;
use steering::terms::timings::WaitRange;
use tokio::net::UdpSocket;

/// Pause after a watch that returned changes, so that closely following changes share one call.
const CHANGES_PAUSE: Duration = Duration::from_millis(100);

/// Initial backoff after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(150);

/// Interval at which an instance checks whether a subject has arrived from another instance.
const UPDATE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The list that a subject needs before it can be watched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum NeededList {
    /// The instance has just started: another instance may provide the subject, and a recent list
    /// suffices, as the watch delivers the rest.
    Initial,
    /// The store has compacted the history. A recent list does not suffice, as the watch could start
    /// in compacted history again.
    Fresh,
    /// No list is needed.
    Nothing,
}

/// Keeps a subject in sync for the lifetime of the process; `socket` is the one for gossip.
pub(super) async fn keep_in_sync(
    instance: Rc<Instance>,
    socket: Rc<UdpSocket>,
    subject: Subject,
    first_list: BootstrapDelay,
) {
    let mut needed_list = NeededList::Initial;
    let mut failures = 0u32;
    loop {
        if needed_list == NeededList::Initial && !should_list(&instance, subject, first_list).await
        {
            needed_list = NeededList::Nothing;
        }
        if needed_list == NeededList::Nothing
            && !instance.is_watcher()
            && !wait_for_handover(&instance, subject).await
        {
            continue;
        }
        let outcome = match needed_list {
            NeededList::Initial => list_initially(&instance, subject).await,
            NeededList::Fresh => list(&instance, subject).await,
            NeededList::Nothing => watch(&instance, subject).await,
        };
        let label = outcome.as_ref().map_or_else(StoreError::as_str, |()| "ok");
        let labels = [subject.as_str(), label];
        instance.metrics.store_calls.with_label_values(&labels).inc();
        match outcome {
            Ok(()) => {
                if failures > 0 {
                    log::info!(
                        target: "store", subject = subject.as_str(), failures;
                        "calls to the store succeed again"
                    );
                }
                needed_list = NeededList::Nothing;
                failures = 0;
            }
            Err(error) => {
                if failures == 0 {
                    let subject = subject.as_str();
                    log::warn!(target: "store", subject, error:%; "calls to the store fail");
                }
                if error == StoreError::Compacted {
                    needed_list = NeededList::Fresh;
                } else {
                    // Others count an instance whose last failure is a while ago as reaching the store.
                    let is_news = failures == 0 || instance.reaches_store();
                    instance.store_failed_at.set(Some(Instant::now()));
                    if is_news {
                        // Tell the others at once, so that another instance takes over as watcher.
                        instance.heartbeat_trigger.notify_one();
                        // A store that refuses or resets is called again soon, and responds to
                        // others no sooner.
                        if needed_list == NeededList::Nothing && error == StoreError::Timeout {
                            watch_handover::send(&instance, &socket, subject).await;
                        }
                    }
                }
                let doubled = MIN_BACKOFF * (1 << failures.min(6));
                failures = failures.saturating_add(1);
                let jitter = 0.5 + rand::random::<f64>() / 2.0;
                tokio::time::sleep(
                    doubled.min(instance.timings.propagation.max_backoff).mul_f64(jitter),
                )
                .await;
            }
        }
    }
}

/// Waits until this instance has to check again whether it should watch the subject; returns whether
/// another instance handed its watch over meanwhile.
async fn wait_for_handover(instance: &Instance, subject: Subject) -> bool {
    tokio::select! {
        () = tokio::time::sleep(instance.timings.watches.check_interval) => false,
        () = instance.watch_handovers[subject.index()].notified() => true,
    }
}

/// Waits until the subject has arrived from another instance or this instance should list it itself;
/// returns whether it should.
async fn should_list(instance: &Instance, subject: Subject, first_list: BootstrapDelay) -> bool {
    loop {
        if instance.replica.borrow().as_of(subject) > 0 {
            return false;
        }
        let (place, others) = (instance.startup_rank(), instance.registration_state());
        if instance.uptime() >= first_list.delay(place, others) {
            let waited_ms = instance.uptime().as_millis();
            let subject = subject.as_str();
            log::info!(target: "store", subject, place, others:?, waited_ms; "listing from the store");
            return true;
        }
        tokio::time::sleep(UPDATE_CHECK_INTERVAL).await;
    }
}

/// Lists a subject, unless it arrives from another instance before the list is complete.
async fn list_initially(instance: &Rc<Instance>, subject: Subject) -> Result<(), StoreError> {
    let updated = async {
        while instance.replica.borrow().as_of(subject) == 0 {
            tokio::time::sleep(UPDATE_CHECK_INTERVAL).await;
        }
    };
    tokio::select! {
        listed = instance.store.list_recent(subject) => apply_list(instance, subject, listed?),
        () = updated => {}
    }
    Ok(())
}

async fn list(instance: &Rc<Instance>, subject: Subject) -> Result<(), StoreError> {
    let listed = instance.store.list(subject).await?;
    apply_list(instance, subject, listed);
    Ok(())
}

fn apply_list(instance: &Rc<Instance>, subject: Subject, listed: StoreResponse) {
    let changed = instance.replica.borrow_mut().apply_list(subject, listed);
    if changed {
        activate(instance, subject, "store");
        instance.heartbeat_trigger.notify_one();
    }
}

fn wait_range(instance: &Instance, subject: Subject) -> WaitRange {
    let watches = &instance.timings.watches;
    match subject {
        Subject::Configuration => watches.configuration,
        Subject::BackendServers => watches.servers,
        Subject::Evacuations => watches.evacuations,
        Subject::Rollouts => watches.rollouts,
        Subject::Policies => watches.policies,
    }
}

async fn watch(instance: &Rc<Instance>, subject: Subject) -> Result<(), StoreError> {
    let after = instance.replica.borrow().as_of(subject);
    let WaitRange { min, max } = wait_range(instance, subject);
    let wait = rand::random_range(min..max);
    let changes = tokio::select! {
        changes = instance.store.watch(subject, after, wait) => changes?,
        // An update from another instance has made this watch obsolete.
        () = instance.watch_interrupts[subject.index()].notified() => return Ok(()),
    };
    let changed = instance.replica.borrow_mut().apply_changes(subject, changes);
    if changed {
        activate(instance, subject, "store");
        instance.heartbeat_trigger.notify_one();
        tokio::time::sleep(CHANGES_PAUSE).await;
    }
    Ok(())
}
