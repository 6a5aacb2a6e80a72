//! Which instances pass requests on to the backend servers of other regions.
//!
//! A request that leaves its region would mostly wait for a connection of its own across regions, as
//! each instance sends to each far backend server but seldom.  Through one instance of the backend
//! server's availability zone, all that an instance sends there shares a few connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::placement::{Incarnation, Peers};

/// Time for which a choice holds, so that it is not made for each request.
const CHOSEN_FOR: Duration = Duration::from_millis(500);

/// Time for which an instance is left out that a request could not be passed on by: until then, one that
/// has ended is known to be gone.
const AVOIDED_FOR: Duration = steering::placement::peers::LOST_AFTER;

/// An instance that passes requests on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Relay {
    /// Its name, and the time of its start.
    pub(crate) id: Incarnation,
    /// Its address for other instances.
    pub(crate) address: SocketAddr,
}

#[derive(Debug)]
struct Chosen {
    relay: Option<Relay>,
    until: Instant,
    /// Time at which an answer came through it last.
    heard_at: Option<Instant>,
}

/// The instances that pass requests on, by availability zone.
#[derive(Debug)]
pub(crate) struct Relays {
    own_name: Arc<str>,
    chosen: HashMap<Arc<str>, Chosen>,
    avoided: HashMap<Incarnation, Instant>,
}

impl Relays {
    /// None, for the instance with this name.
    pub(crate) fn new(own_name: Arc<str>) -> Self {
        Self { own_name, chosen: HashMap::new(), avoided: HashMap::new() }
    }

    /// The instance that passes requests on to an availability zone; none if there is none that can.
    pub(crate) fn of(&mut self, zone: &Arc<str>, peers: &Peers, now: Instant) -> Option<Relay> {
        if let Some(chosen) = self.chosen.get(zone)
            && now < chosen.until
        {
            return chosen.relay.clone();
        }
        self.avoided.retain(|_, until| now < *until);
        let is_avoided = |id: &Incarnation| self.avoided.contains_key(id);
        let relay = peers.relay_to(&self.own_name, zone, now, |id| !is_avoided(id));
        let relay = relay.map(|(id, peer)| Relay { id, address: peer.knowledge_address });
        let before = self.chosen.remove(zone);
        let heard_at = before.filter(|it| it.relay == relay).and_then(|it| it.heard_at);
        let chosen = Chosen { relay: relay.clone(), until: now + CHOSEN_FOR, heard_at };
        self.chosen.insert(zone.clone(), chosen);
        relay
    }

    /// Takes over that an answer came through an instance.
    pub(crate) fn heard(&mut self, relay: &Relay, now: Instant) {
        let of = self.chosen.values_mut().filter(|it| it.relay.as_ref() == Some(relay));
        of.for_each(|it| it.heard_at = Some(now));
    }

    /// Takes over that requests are not passed on by an instance.
    pub(crate) fn failed(&mut self, relay: &Relay, why: &str, now: Instant) {
        log::info!(target: "relays", name = &*relay.id.id, why; "left out");
        self.avoided.insert(relay.id.clone(), now + AVOIDED_FOR);
        self.chosen.retain(|_, it| it.relay.as_ref() != Some(relay));
    }

    /// The instance that passes requests on to an availability zone, if no answer came through it since a
    /// time.
    pub(crate) fn silent_since(&self, zone: &str, time: Instant) -> Option<&Relay> {
        let chosen = self.chosen.get(zone)?;
        let is_silent = chosen.heard_at.is_none_or(|at| at <= time);
        chosen.relay.as_ref().filter(|_| is_silent)
    }
}
