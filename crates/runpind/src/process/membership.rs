//! The entry instances known to this instance, as maintained by gossip and the platform's list.

use super::Process;
use super::digest;
use super::membership_metrics::MembershipMetrics;
use crate::settings::Settings;
use parking_lot::Mutex;
use peer::PeerEndpoint;
use peer::message::InstanceDigest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use steering::Incarnation;
use steering::membership::{MemberView, Membership, MembershipStatus, OwnInstance};

/// Entry instances known to this instance, itself included.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Members {
    /// All instances, sorted by name.
    pub members: Vec<Member>,
}

/// An entry instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name assigned by the platform.
    pub name: Arc<str>,
    /// Availability zone of the instance.
    pub availability_zone: Arc<str>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Incarnation; `None` until a description of the instance has been received.
    pub incarnation: Option<Incarnation>,
    /// Incarnations whose ledgers the instance took over.
    pub successor_of: Vec<Incarnation>,
    /// Whether callers may be directed to the instance.
    pub usable: bool,
}

impl Members {
    /// Returns the instances that callers may be directed to.
    pub fn usable(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.usable)
    }

    /// Returns the instances of an availability zone.
    pub fn in_zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members.iter().filter(move |member| &*member.availability_zone == zone)
    }

    /// Returns the instance that took over the ledger of `incarnation`, or else the one that has
    /// this incarnation.
    pub fn find_home(&self, incarnation: Incarnation) -> Option<&Member> {
        let has_incarnation = |member: &&Member| member.incarnation == Some(incarnation);
        let took_over = |member: &&Member| member.successor_of.contains(&incarnation);
        self.members.iter().find(took_over).or_else(|| self.members.iter().find(has_incarnation))
    }
}

impl Member {
    /// Returns the endpoint for requests of peers.
    pub fn peer_endpoint(&self) -> PeerEndpoint {
        PeerEndpoint {
            address: self.peer_address,
            availability_zone: self.availability_zone.clone(),
        }
    }
}

impl From<MemberView<InstanceDigest>> for Member {
    fn from(view: MemberView<InstanceDigest>) -> Self {
        let description = view.description.as_deref();
        let successor_of =
            description.map(|description| description.payload.successor_of.as_slice());
        Self {
            name: view.name,
            availability_zone: view.availability_zone,
            caller_address: view.caller_address,
            peer_address: view.peer_address,
            incarnation: description.map(|description| description.incarnation),
            successor_of: successor_of
                .unwrap_or_default()
                .iter()
                .copied()
                .map(Incarnation)
                .collect(),
            usable: view.state.is_usable(),
        }
    }
}

/// The membership of one daemon.
pub struct MembershipState {
    pub(super) table: Mutex<Membership<InstanceDigest>>,
    pub(super) metrics: MembershipMetrics,
    /// Set once gossip or polling of the platform's list updates the table.
    publishing_enabled: AtomicBool,
}

impl MembershipState {
    /// Creates a membership that contains only this instance.
    pub fn new(settings: &Settings, incarnation: Incarnation, metrics: MembershipMetrics) -> Self {
        let own = OwnInstance {
            name: settings.name.clone(),
            availability_zone: settings.availability_zone.clone(),
            incarnation,
            generation: first_generation(),
            caller_address: settings.caller_address,
            peer_address: settings.peer_address,
        };
        Self {
            table: Mutex::new(Membership::new(own)),
            metrics,
            publishing_enabled: AtomicBool::new(false),
        }
    }
}

impl Process {
    /// Returns the membership for operators.
    pub fn membership_status(&self) -> MembershipStatus {
        self.membership.table.lock().status(self.clock.now())
    }

    /// Refreshes this instance's description and the published members.
    pub(super) fn refresh_description(&self) {
        self.update_description();
        self.publish_members();
    }

    fn update_description(&self) {
        let sites = digest::busiest_sites(self);
        let payload = InstanceDigest { sites, ..digest::compose_own(self) };
        let status = digest::to_status(payload.status);
        let mut table = self.membership.table.lock();
        let announced = table.own_description().map(|description| &description.payload);
        let urgent =
            announced.is_none_or(|announced| digest::differs_urgently(announced, &payload));
        table.describe(status, payload, urgent);
    }

    /// Enables [`Process::publish_members`].
    pub(super) fn enable_publishing(&self) {
        self.membership.publishing_enabled.store(true, Ordering::SeqCst);
    }

    /// Publishes the current members to the rest of the process, if publishing is enabled.
    pub(super) fn publish_members(&self) {
        if !self.membership.publishing_enabled.load(Ordering::SeqCst) {
            return;
        }
        let view = self.membership.table.lock().view(self.clock.now());
        self.membership.metrics.set_members(view.iter().map(|member| member.state));
        let members = Members { members: view.into_iter().map(Member::from).collect() };
        if self.members.load().as_deref() != Some(&members) {
            self.members.store(Some(Arc::new(members)));
        }
    }
}

/// Returns the initial generation, the wall-clock time in milliseconds since the Unix epoch.
///
/// A restarted instance gets a higher generation unless the wall clock went back; in that case the
/// membership raises the generation once it receives a description of the earlier run.
fn first_generation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since_epoch.as_millis()).unwrap_or(0)
}
