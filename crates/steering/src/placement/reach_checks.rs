//! What the roster has to do with whether this instance reaches the backend servers.

use super::roster::{Roster, accepts_new_requests};
use super::server::Server;
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
        let mut counts = ServerCounts::default();
        for (name, server) in self.accepting_servers(None) {
            let elsewhere = usize::from(server.region != self.region);
            counts.all += 1;
            counts.elsewhere += elsewhere;
            if **name == *service {
                counts.of_service += 1;
                counts.elsewhere_of_service += elsewhere;
            }
        }
        counts
    }

    /// Returns whether a backend server is in another region.
    pub fn is_elsewhere(&self, server: &Incarnation) -> bool {
        self.server((&server.id).into()).is_some_and(|listed| listed.region != self.region)
    }

    /// Returns whether this start of a backend server is listed.
    pub fn is_listed(&self, server: &Incarnation) -> bool {
        self.server(server.into()).is_some()
    }

    /// The backend servers of a service, or of all, that may get requests, each with its service.
    fn accepting_servers(
        &self,
        service: Option<&str>,
    ) -> impl Iterator<Item = (&Arc<str>, &Server)> {
        let services =
            self.services.iter().filter(move |(name, _)| service.is_none_or(|of| ***name == *of));
        let servers = services
            .flat_map(|(name, state)| state.servers.iter().map(move |server| (name, server)));
        servers.filter(|(_, server)| accepts_new_requests(server, &self.evacuated))
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
        let is_allowed =
            |server: &Server| except.is_none_or(|except| server.incarnation() != *except);
        let mut candidates: Vec<(&Arc<str>, &Server)> =
            self.accepting_servers(service).filter(|(_, server)| is_allowed(server)).collect();
        candidates.shuffle(random);
        let begins_elsewhere = count == 1 && random.random();
        let mut turns = [[0; 2]; 2];
        candidates.sort_by_cached_key(|(_, server)| {
            let is_last = server.has_failed(now) || is_suspect(&server.incarnation());
            let is_elsewhere = server.region != self.region;
            let turn = &mut turns[usize::from(is_last)][usize::from(is_elsewhere)];
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
