//! After a suspension: asking what is so now, before anything is sent by what was believed before.

use super::applying::apply;
use super::gossip::{ask, take_over};
use super::instance::Instance;
use crate::border::Subject;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Instances that are asked; the first answer counts, and one may have been suspended too.
const ASKED: usize = 3;

/// Time after which an instance goes on by what it knows: several exchanges between regions.  One that
/// is cut off serves on.
const PATIENCE: Duration = Duration::from_secs(1);

/// Asks after each suspension, for as long as the process lives.
pub(super) async fn run(instance: Rc<Instance>) {
    let mut suspensions = instance.clock.suspensions();
    while suspensions.changed().await.is_ok() {
        let doubted = instance.clock.doubted();
        if *instance.settled.borrow() >= doubted {
            continue;
        }
        let told = tokio::time::timeout(PATIENCE, learn(&instance)).await;
        let outcome = match told {
            Ok(true) => "asked",
            Ok(false) => "nobody knew",
            Err(_) => "nobody answered",
        };
        log::warn!(target: "process", outcome; "goes on after a suspension");
        instance.settled.send_replace(doubted);
    }
}

/// Learns what is so now; tells whether anyone knew.
async fn learn(instance: &Rc<Instance>) -> bool {
    let others = others(instance);
    if others.is_empty() {
        return learn_from_store(instance).await;
    }
    let as_of = instance.knowledge.borrow().all_as_of();
    let mut answers: FuturesUnordered<_> = others.into_iter().map(|it| ask(it, as_of)).collect();
    while let Some(answer) = answers.next().await {
        if let Some(knowledge) = answer {
            take_over(instance, knowledge);
            return true;
        }
    }
    false
}

/// Some instances that were alive when this one listened last: its own silence proves nothing.
fn others(instance: &Instance) -> Vec<SocketAddr> {
    let peers = instance.peers.borrow();
    let addresses = peers.alive(Instant::now()).map(|peer| peer.knowledge_address);
    addresses.choose_multiple(&mut rand::rng(), ASKED)
}

async fn learn_from_store(instance: &Rc<Instance>) -> bool {
    for subject in Subject::ALL {
        let listed = instance.store.list(subject).await;
        let calls = &instance.metrics.store_calls;
        let outcome = if listed.is_ok() { "ok" } else { "failed" };
        calls.with_label_values(&[subject.as_str(), outcome]).inc();
        let Ok(listed) = listed else { return false };
        let changed = instance.knowledge.borrow_mut().listed(subject, listed);
        if changed {
            apply(instance, subject, "store");
        }
    }
    true
}
