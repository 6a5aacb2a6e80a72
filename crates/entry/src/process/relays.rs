//! Choice of the instances that relay requests: to backend servers of other regions, or to those that
//! this instance does not reach.
//!
//! Without a relay, a request to another region would usually wait for a new connection, as each
//! instance rarely sends to any one remote backend server. With one relay instance per remote
//! availability zone, all requests to the zone share a few connections.

use rand::seq::IndexedRandom;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::placement::roster::demand_key;
use steering::placement::{Incarnation, Peer, Peers};

/// Time for which a choice is reused, so that it is not made for each request.
const CHOICE_TTL: Duration = Duration::from_millis(500);

/// Time for which a choice of stand-ins is reused; a cut that spreads changes them at any moment.
const STAND_INS_TTL: Duration = Duration::from_millis(100);

/// Time for which the last response through a relay is kept, longer than any request waits.
const RESPONSES_KEPT_FOR: Duration = Duration::from_secs(60);

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
}

/// Time for which an instance is avoided that could not pass a request on, but may soon.
const BUSY_DURATION: Duration = Duration::from_millis(500);

/// Instances that stand in for this one at a service.
#[derive(Debug)]
struct CachedStandIns {
    relays: Vec<Relay>,
    expires_at: Instant,
}

/// The instances that relay requests, by availability zone, and those that stand in, by service.
#[derive(Debug)]
pub(crate) struct Relays {
    own_name: Arc<str>,
    /// Time for which an instance is avoided after it failed to relay a request.
    avoid_duration: Duration,
    chosen: HashMap<Arc<str>, CachedChoice>,
    avoided: HashMap<Incarnation, Instant>,
    stand_ins: HashMap<Arc<str>, CachedStandIns>,
    /// Time of the last response through each relay.
    last_responses: HashMap<Incarnation, Instant>,
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
            stand_ins: HashMap::new(),
            last_responses: HashMap::new(),
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
        let chosen = CachedChoice { relay: relay.clone(), expires_at: now + CHOICE_TTL };
        self.chosen.insert(zone.clone(), chosen);
        relay
    }

    /// Draws an instance that passes on a request for a service; none if no instance can.
    pub(crate) fn draw_stand_in(
        &mut self,
        own: &Peer,
        service: &Arc<str>,
        peers: &Peers,
        now: Instant,
    ) -> Option<Relay> {
        let is_current = |cached: &CachedStandIns| now < cached.expires_at;
        if !self.stand_ins.get(service).is_some_and(is_current) {
            self.avoided.retain(|_, until| now < *until);
            let is_allowed = |id: &Incarnation| !self.avoided.contains_key(id);
            let found = peers.stand_ins(own, demand_key(service), now, is_allowed);
            let relays =
                found.into_iter().map(|(id, peer)| Relay { id, address: peer.knowledge_address });
            let cached =
                CachedStandIns { relays: relays.collect(), expires_at: now + STAND_INS_TTL };
            self.stand_ins.insert(service.clone(), cached);
        }
        let relays = &self.stand_ins.get(service)?.relays;
        relays.choose(&mut rand::rng()).cloned()
    }

    /// Records that an instance can't pass requests on for the moment.
    pub(crate) fn record_busy(&mut self, relay: &Relay, why: &str, now: Instant) {
        self.avoid(relay, why, now + BUSY_DURATION);
    }

    /// Records a response through an instance.
    pub(crate) fn record_response(&mut self, relay: &Relay, now: Instant) {
        if let Some(at) = self.last_responses.get_mut(&relay.id) {
            *at = now;
            return;
        }
        self.last_responses.retain(|_, at| now.duration_since(*at) < RESPONSES_KEPT_FOR);
        self.last_responses.insert(relay.id.clone(), now);
    }

    /// Records that an instance failed to relay a request, and avoids it for a while.
    pub(crate) fn record_failure(&mut self, relay: &Relay, why: &str, now: Instant) {
        self.avoid(relay, why, now + self.avoid_duration);
    }

    fn avoid(&mut self, relay: &Relay, why: &str, until: Instant) {
        log::info!(target: "relays", name = &*relay.id.id, why; "avoided after a failure");
        self.avoided.insert(relay.id.clone(), until);
        self.chosen.retain(|_, chosen| chosen.relay.as_ref() != Some(relay));
        for cached in self.stand_ins.values_mut() {
            cached.relays.retain(|other| other != relay);
        }
    }

    /// Returns whether there was no response through a relay after `time`.
    pub(crate) fn is_silent_since(&self, relay: &Relay, time: Instant) -> bool {
        self.last_responses.get(&relay.id).is_none_or(|at| *at <= time)
    }
}
