//! Choice of the instances that relay requests to backend servers of other regions.
//!
//! Without a relay, a request to another region would usually wait for a new connection, as each
//! instance rarely sends to any one remote backend server. With one relay instance per remote
//! availability zone, all requests to the zone share a few connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::placement::{Incarnation, Peers};

/// Time for which a choice is reused, so that it is not made for each request.
const CHOICE_TTL: Duration = Duration::from_millis(500);

/// An instance that relays requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Relay {
    /// Its name and start time.
    pub(crate) id: Incarnation,
    /// Its address for other instances.
    pub(crate) address: SocketAddr,
}

#[derive(Debug)]
struct CachedChoice {
    relay: Option<Relay>,
    expires_at: Instant,
    /// Time of the last response through it.
    last_response_at: Option<Instant>,
}

/// The instances that relay requests, by availability zone.
#[derive(Debug)]
pub(crate) struct Relays {
    own_name: Arc<str>,
    /// Time for which an instance is avoided after it failed to relay a request.
    avoid_duration: Duration,
    chosen: HashMap<Arc<str>, CachedChoice>,
    avoided: HashMap<Incarnation, Instant>,
}

impl Relays {
    /// Creates an empty set for the instance with this name. A relay that failed is avoided for as long
    /// as the detection of a lost instance takes.
    pub(crate) fn new(own_name: Arc<str>, lost_after: Duration) -> Self {
        Self {
            own_name,
            avoid_duration: lost_after,
            chosen: HashMap::new(),
            avoided: HashMap::new(),
        }
    }

    /// Chooses the instance that relays requests to an availability zone; none if no instance can.
    pub(crate) fn choose(&mut self, zone: &Arc<str>, peers: &Peers, now: Instant) -> Option<Relay> {
        if let Some(chosen) = self.chosen.get(zone)
            && now < chosen.expires_at
        {
            return chosen.relay.clone();
        }
        self.avoided.retain(|_, until| now < *until);
        let is_avoided = |id: &Incarnation| self.avoided.contains_key(id);
        let relay = peers.relay_to(&self.own_name, zone, now, |id| !is_avoided(id));
        let relay = relay.map(|(id, peer)| Relay { id, address: peer.knowledge_address });
        let previous = self.chosen.remove(zone);
        let last_response_at = previous
            .filter(|previous| previous.relay == relay)
            .and_then(|previous| previous.last_response_at);
        let chosen =
            CachedChoice { relay: relay.clone(), expires_at: now + CHOICE_TTL, last_response_at };
        self.chosen.insert(zone.clone(), chosen);
        relay
    }

    /// Records a response through an instance.
    pub(crate) fn record_response(&mut self, relay: &Relay, now: Instant) {
        let uses = self.chosen.values_mut().filter(|chosen| chosen.relay.as_ref() == Some(relay));
        uses.for_each(|chosen| chosen.last_response_at = Some(now));
    }

    /// Records that an instance failed to relay a request, and avoids it for a while.
    pub(crate) fn record_failure(&mut self, relay: &Relay, why: &str, now: Instant) {
        log::info!(target: "relays", name = &*relay.id.id, why; "avoided after a failure");
        self.avoided.insert(relay.id.clone(), now + self.avoid_duration);
        self.chosen.retain(|_, chosen| chosen.relay.as_ref() != Some(relay));
    }

    /// The relay chosen for an availability zone, if there was no response through it after `time`.
    pub(crate) fn silent_since(&self, zone: &str, time: Instant) -> Option<&Relay> {
        let chosen = self.chosen.get(zone)?;
        let is_silent = chosen.last_response_at.is_none_or(|at| at <= time);
        chosen.relay.as_ref().filter(|_| is_silent)
    }
}
