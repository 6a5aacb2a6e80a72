//! The entry instances that this instance knows, and the exchanges that keep them known.

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

/// Entry instances known to this instance, our own included.
#[derive(Clone, Debug, Default, PartialEq)]
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

impl From<MemberView<InstanceDigest>> for Member {
    fn from(view: MemberView<InstanceDigest>) -> Self {
        let description = view.description.as_deref();
        let successor_of = description.map(|known| known.payload.successor_of.as_slice());
        Self {
            name: view.name,
            availability_zone: view.availability_zone,
            caller_address: view.caller_address,
            peer_address: view.peer_address,
            incarnation: description.map(|known| known.incarnation),
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
    /// Set once exchanges or the platform's list keep the table up to date.
    kept: AtomicBool,
}

impl MembershipState {
    /// Makes the membership of a daemon that knows only itself.
    pub fn new(settings: &Settings, incarnation: Incarnation, metrics: MembershipMetrics) -> Self {
        let own = OwnInstance {
            name: settings.name.clone(),
            availability_zone: settings.availability_zone.clone(),
            incarnation,
            generation: first_generation(),
            caller_address: settings.caller_address,
            peer_address: settings.peer_address,
        };
        Self { table: Mutex::new(Membership::new(own)), metrics, kept: AtomicBool::new(false) }
    }
}

impl Process {
    /// Returns the membership as operators see it.
    pub fn membership_status(&self) -> MembershipStatus {
        self.membership.table.lock().status(self.clock.now())
    }

    /// Describes this instance anew for the other ones and for itself.
    pub(super) fn describe_anew(&self) {
        self.describe_self();
        self.publish_members();
    }

    fn describe_self(&self) {
        let sites = digest::own_sites(self);
        let payload = InstanceDigest { sites, ..digest::own(self) };
        let status = digest::status(payload.status);
        let mut table = self.membership.table.lock();
        let told = table.own_description().map(|told| &told.payload);
        let urgent = told.is_none_or(|told| digest::differs_urgently(told, &payload));
        table.describe(status, payload, urgent);
    }

    /// Has the members shown to the rest of the process come from the membership from now on.
    pub(super) fn keep_members(&self) {
        self.membership.kept.store(true, Ordering::SeqCst);
    }

    /// Shows the rest of the process the members as they are now, if they are kept.
    pub(super) fn publish_members(&self) {
        if !self.membership.kept.load(Ordering::SeqCst) {
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

/// Returns the generation of a new life: later lives of a name get higher ones as long as the wall
/// clock does not go back between them; if it does, the membership raises the generation once it
/// hears of the earlier life.
fn first_generation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since_epoch.as_millis()).unwrap_or(0)
}
