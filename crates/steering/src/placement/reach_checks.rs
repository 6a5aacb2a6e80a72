//! What the roster has to do with whether this instance reaches the backend servers.

use super::roster::{Roster, accepts_new_requests};
use super::server::Server;
use super::service::ServiceState;
use crate::placement::incarnation::Incarnation;
use crate::reach::ServerCounts;
use rand::Rng;
use rand::seq::SliceRandom;
use std::collections::HashMap;
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
        let count = |state: &ServiceState, is_counted: fn(&Self, &Server) -> bool| {
            let servers = state.servers.iter();
            let accepting = servers.filter(|server| accepts_new_requests(server, &self.evacuated));
            accepting.filter(|server| is_counted(self, server)).count()
        };
        let any: fn(&Self, &Server) -> bool = |_, _| true;
        let elsewhere: fn(&Self, &Server) -> bool = |own, server| server.region != own.region;
        let of_service =
            |is_counted| self.services.get(service).map_or(0, |state| count(state, is_counted));
        let of_all =
            |is_counted| self.services.values().map(|state| count(state, is_counted)).sum();
        ServerCounts {
            of_service: of_service(any),
            all: of_all(any),
            elsewhere_of_service: of_service(elsewhere),
            elsewhere: of_all(elsewhere),
        }
    }

    /// Returns whether a backend server is in another region.
    pub fn is_elsewhere(&self, server: &Incarnation) -> bool {
        let found = self.services.values().find_map(|state| {
            state.positions.get(&server.id).map(|position| &state.servers[*position])
        });
        found.is_some_and(|server| server.region != self.region)
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

    /// Draws up to `count` backend servers to check, of a service or of all and other than `except`.
    ///
    /// They are of the own region and of others in turn, and first those that are neither suspects nor
    /// paused after a failure.
    pub fn draw_check_targets(
        &self,
        service: Option<&str>,
        count: usize,
        except: Option<&Incarnation>,
        is_suspect: impl Fn(&Incarnation) -> bool,
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
        let mut candidates: Vec<(&Arc<str>, &Server)> =
            servers.filter(|(_, server)| is_allowed(server)).collect();
        candidates.shuffle(random);
        let begins_elsewhere = count == 1 && random.random();
        let mut turns: HashMap<(bool, bool), usize> = HashMap::new();
        candidates.sort_by_cached_key(|(_, server)| {
            let is_last = server.has_failed(now) || is_suspect(&server.incarnation());
            let is_elsewhere = server.region != self.region;
            let turn = turns.entry((is_last, is_elsewhere)).or_default();
            *turn += 1;
            (is_last, *turn, is_elsewhere != begins_elsewhere)
        });
        candidates.truncate(count);
        let target = |(service, server): (&Arc<str>, &Server)| CheckTarget {
            service: service.clone(),
            server: server.incarnation(),
            address: server.record.address,
        };
        candidates.into_iter().map(target).collect()
    }

    /// Forgets the failures and silence of the backend servers of a service, or of all, as the path to
    /// them was the cause.
    pub fn forgive_failures(&mut self, service: Option<&str>, now: Instant) {
        let services =
            self.services.iter_mut().filter(|(name, _)| service.is_none_or(|of| ***name == *of));
        services.flat_map(|(_, state)| &mut state.servers).for_each(|server| server.forgive(now));
    }
}
