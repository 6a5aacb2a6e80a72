//! Resynchronizes the state after a suspension, before stale state is used for routing.

use super::activation::activate;
use super::gossip::{apply_update, fetch_update};
use super::instance::Instance;
use crate::platform_api::Subject;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of instances to fetch from at once. The first response is used; several are needed as some
/// may have been suspended too.
const FETCH_FANOUT: usize = 3;

/// Time after which an instance continues with its old state, so that a partitioned one still serves:
/// several round trips between regions.
const RESYNC_TIMEOUT: Duration = Duration::from_secs(1);

/// Resynchronizes after each long suspension, for the lifetime of the process.
pub(super) async fn run(instance: Rc<Instance>) {
    let mut suspensions = instance.clock.suspensions();
    while suspensions.changed().await.is_ok() {
        let long_suspensions = instance.clock.long_suspensions();
        if *instance.resynced.borrow() >= long_suspensions {
            continue;
        }
        let result = tokio::time::timeout(RESYNC_TIMEOUT, resync(&instance)).await;
        let outcome = match result {
            Ok(true) => "asked",
            Ok(false) => "nobody knew",
            Err(_) => "nobody answered",
        };
        log::warn!(target: "process", outcome; "resuming after a suspension");
        instance.resynced.send_replace(long_suspensions);
    }
}

/// Fetches the present state from other instances, or from the store if there are none; returns
/// whether that succeeded.
async fn resync(instance: &Rc<Instance>) -> bool {
    let targets = targets(instance);
    if targets.is_empty() {
        return list_from_store(instance).await;
    }
    let as_of = instance.replica.borrow().all_as_of();
    let mut responses: FuturesUnordered<_> =
        targets.into_iter().map(|target| fetch_update(&instance.timings, target, as_of)).collect();
    while let Some(response) = responses.next().await {
        match response {
            Ok(update) => {
                apply_update(instance, update);
                return true;
            }
            Err(why) => log::info!(target: "process", why:%; "no state from an instance"),
        }
    }
    false
}

/// Some instances that were live before the suspension: what they sent during it was not received.
fn targets(instance: &Instance) -> Vec<SocketAddr> {
    let peers = instance.peers.borrow();
    let addresses = peers.alive(Instant::now()).map(|peer| peer.knowledge_address);
    addresses.choose_multiple(&mut rand::rng(), FETCH_FANOUT)
}

/// Lists all subjects from the store; returns whether that succeeded.
async fn list_from_store(instance: &Rc<Instance>) -> bool {
    for subject in Subject::ALL {
        let listed = instance.store.list(subject).await;
        let calls = &instance.metrics.store_calls;
        let outcome = if listed.is_ok() { "ok" } else { "failed" };
        calls.with_label_values(&[subject.as_str(), outcome]).inc();
        let Ok(listed) = listed else { return false };
        let changed = instance.replica.borrow_mut().apply_list(subject, listed);
        if changed {
            activate(instance, subject, "store");
        }
    }
    true
}
