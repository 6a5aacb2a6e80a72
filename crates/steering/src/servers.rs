//! The backend servers as this instance sees them, and the choice among them.

use configuration::BackendServer;
use std::collections::HashMap;
use std::net::SocketAddr;

/// What this instance knows of its own work on each backend server.
#[derive(Debug, Default)]
pub struct Servers {
    states: HashMap<SocketAddr, ServerState>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServerState {
    in_flight: u32,
    leaving: bool,
}

impl Servers {
    /// Chooses the backend server with the fewest of our requests in flight and takes one slot.
    ///
    /// Returns `None` when all are leaving or have `slots` requests of ours in flight.
    pub fn take(&mut self, servers: &[BackendServer], slots: u32) -> Option<SocketAddr> {
        let address = servers
            .iter()
            .map(|server| server.address)
            .filter(|address| {
                let state = self.state(*address);
                !state.leaving && state.in_flight < slots
            })
            .min_by_key(|address| self.state(*address).in_flight)?;
        self.states.entry(address).or_default().in_flight += 1;
        Some(address)
    }

    /// Gives back the slot of an exchange that ended.
    pub fn finish(&mut self, address: SocketAddr) {
        if let Some(state) = self.states.get_mut(&address) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Records which backend servers are leaving; the others may be used.
    pub fn set_leaving(&mut self, leaving: &[SocketAddr]) {
        for (address, state) in &mut self.states {
            state.leaving = leaving.contains(address);
        }
        for address in leaving {
            self.states.entry(*address).or_default().leaving = true;
        }
    }

    /// Returns the number of our requests in flight at a backend server.
    pub fn in_flight(&self, address: SocketAddr) -> u32 {
        self.state(address).in_flight
    }

    fn state(&self, address: SocketAddr) -> ServerState {
        self.states.get(&address).copied().unwrap_or_default()
    }
}
