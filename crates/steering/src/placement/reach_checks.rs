//! What the roster has to do with whether this instance reaches the backend servers.

use super::roster::{Roster, accepts_new_requests};
use super::server::Server;
use super::service::ServiceState;
use crate::placement::incarnation::Incarnation;
use crate::reach::ServerCounts;
use rand::Rng;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// A backend server that a check may go to.
#[derive(Clone, Debug)]
pub struct CheckTarget {
    /// Its service.
    pub service: Arc<str>,
    /// Its incarnation.
    pub server: Incarnation,
    /// Its address.
    pub address: SocketAddr,
}

impl Roster {
    /// Returns the numbers of backend servers that may get requests.
    pub fn server_counts(&self, service: &str) -> ServerCounts {
        let count = |state: &ServiceState| {
            let servers = state.servers.iter();
            servers.filter(|server| accepts_new_requests(server, &self.evacuated)).count()
        };
        ServerCounts {
            of_service: self.services.get(service).map_or(0, count),
            all: self.services.values().map(count).sum(),
        }
    }

    /// Returns whether this start of a backend server is listed.
    pub fn is_listed(&self, server: &Incarnation) -> bool {
        self.services.values().any(|state| {
            let position = state.positions.get(&server.id);
            position.is_some_and(|position| {
                state.servers[*position].record.started_ms == server.started_ms
            })
        })
    }

    /// Draws up to `count` backend servers to check, of a service or of all and other than `except`: those
    /// that are not paused after a failure first, and of the own region.
    pub fn draw_check_targets(
        &self,
        service: Option<&str>,
        count: usize,
        except: Option<&Incarnation>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<CheckTarget> {
        let services =
            self.services.iter().filter(|(name, _)| service.is_none_or(|of| ***name == *of));
        let servers = services.flat_map(|(name, state)| {
            let accepting =
                state.servers.iter().filter(|server| accepts_new_requests(server, &self.evacuated));
            accepting.map(move |server| (name, server))
        });
        let is_allowed =
            |server: &Server| except.is_none_or(|except| server.incarnation() != *except);
        let mut drawn: Vec<(&Arc<str>, &Server)> =
            servers.filter(|(_, server)| is_allowed(server)).collect();
        drawn.shuffle(random);
        drawn.sort_by_key(|(_, server)| (server.has_failed(now), server.region != self.region));
        drawn.truncate(count);
        let target = |(service, server): (&Arc<str>, &Server)| CheckTarget {
            service: service.clone(),
            server: server.incarnation(),
            address: server.record.address,
        };
        drawn.into_iter().map(target).collect()
    }

    /// Forgets the failures and silence of the backend servers of a service, or of all, as the path to
    /// them was the cause.
    pub fn forgive_failures(&mut self, service: Option<&str>, now: Instant) {
        let services =
            self.services.iter_mut().filter(|(name, _)| service.is_none_or(|of| ***name == *of));
        services.flat_map(|(_, state)| &mut state.servers).for_each(|server| server.forgive(now));
    }
}
