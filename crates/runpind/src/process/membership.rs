//! The entry instances and leaving backend servers, as the platform lists them.

use super::Process;
use peer::PeerEndpoint;
use platform::{InstanceDirectory, InstanceEntry, InstanceState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use steering::Incarnation;

/// Time between two reads of the list.
const REFRESH_PERIOD: Duration = Duration::from_secs(1);

/// Entry instances known to this instance, our own included.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// All of them, in the order of their names.
    pub members: Vec<Member>,
}

/// An entry instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name that the platform gave it.
    pub name: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Its address for callers.
    pub caller_address: SocketAddr,
    /// Its address for peers.
    pub peer_address: SocketAddr,
    /// Its incarnation, once it was heard from directly or through others.
    pub incarnation: Option<Incarnation>,
    /// Incarnations whose ledgers it took over.
    pub successor_of: Vec<Incarnation>,
    /// Whether callers may be sent to it.
    pub usable: bool,
}

impl Members {
    /// Returns the instances that callers may be sent to.
    pub fn usable(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.usable)
    }

    /// Returns the instances of an availability zone.
    pub fn in_zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members.iter().filter(move |member| &*member.availability_zone == zone)
    }

    /// Returns the instance that took over the ledger of `incarnation`, else the one that is it.
    pub fn home(&self, incarnation: Incarnation) -> Option<&Member> {
        let is = |member: &&Member| member.incarnation == Some(incarnation);
        let took_over = |member: &&Member| member.successor_of.contains(&incarnation);
        self.members.iter().find(took_over).or_else(|| self.members.iter().find(is))
    }
}

impl Member {
    /// Returns where the instance answers peers.
    pub fn peer_endpoint(&self) -> PeerEndpoint {
        PeerEndpoint {
            address: self.peer_address,
            availability_zone: self.availability_zone.clone(),
        }
    }
}

impl From<InstanceEntry> for Member {
    fn from(entry: InstanceEntry) -> Self {
        Self {
            name: entry.name,
            availability_zone: entry.availability_zone,
            caller_address: entry.caller_address,
            peer_address: entry.peer_address,
            incarnation: None,
            successor_of: Vec::new(),
            usable: entry.state == InstanceState::Live,
        }
    }
}

/// Keeps what instances told of themselves while their addresses stay the same.
fn keep_what_was_heard(process: &Process, members: &mut [Member]) {
    let Some(before) = process.members.load_full() else { return };
    for member in members {
        let same = |old: &&Member| old.peer_address == member.peer_address;
        if let Some(old) = before.members.iter().find(same) {
            member.incarnation = old.incarnation;
            member.successor_of.clone_from(&old.successor_of);
        }
    }
}

/// Reads the list again and again; a failed read leaves the last one in use.
pub async fn refresh(process: Arc<Process>, directory: Arc<dyn InstanceDirectory>) {
    loop {
        if let Ok(entries) = directory.entry_instances().await {
            let mut members: Vec<Member> = entries.into_iter().map(Member::from).collect();
            members.sort_by(|a, b| a.name.cmp(&b.name));
            keep_what_was_heard(&process, &mut members);
            process.members.store(Some(Arc::new(Members { members })));
        }
        if let Ok(leaving) = directory.leaving_backend_servers().await {
            process.set_leaving_servers(&leaving);
        }
        tokio::time::sleep(REFRESH_PERIOD).await;
    }
}
