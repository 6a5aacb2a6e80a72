//! The shares of this instance and, where it holds the session, those of its availability zone.
//!
//! Three loops run: `coordination` and `sites` talk to the platform, `grants` to other instances,
//! so that a slow platform does not delay grants. [`ShareState::spend`] is on the path of every
//! request and touches neither.

mod answer;
mod convert;
mod coordination;
mod grants;
mod metrics;
mod sites;
mod status;

pub use answer::{answer_grant, answer_promise, answer_release};
pub use coordination::{release, run as coordinate};
pub use grants::run as ask_for_grants;
pub use status::{SessionStatus, SharesStatus};

use super::Process;
use crate::version::Version;
use metrics::ShareMetrics;
use parking_lot::Mutex;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use steering::figures::SiteName;
use steering::shares::{
    Allocator, Amounts, Cap, Plan, Reclaimer, Resource, Session, ShareRefusal, Shares, SiteShare,
    SlotTable, Spent,
};
use steering::{Incarnation, Time};

/// How long a daemon that starts waits for grants before it goes by its floors.
const GRANT_WAIT: Duration = Duration::from_secs(2);

/// Shares of one daemon.
pub struct ShareState {
    shares: Mutex<Shares>,
    coordination: Mutex<Coordination>,
    metrics: ShareMetrics,
}

/// What the daemon knows of its availability zone's session and slots.
struct Coordination {
    session: Session,
    allocator: Option<Allocator>,
    reclaimer: Reclaimer,
    /// When each instance last asked this one, as the session holder.
    contacts: HashMap<Incarnation, Time>,
    table: Option<(platform::Version, SlotTable)>,
    /// The zone's part of each site.
    sites: BTreeMap<Resource, SiteShare>,
    plan: Arc<Plan>,
    /// When the first configuration was adopted.
    started_at: Option<Time>,
    /// Version of the configuration that `plan` was made from.
    plan_number: u64,
    writes: u64,
}

impl ShareState {
    /// Starts without any share.
    pub fn new(
        incarnation: Incarnation,
        name: Arc<str>,
        now: Time,
        registry: &prometheus::Registry,
    ) -> Result<Self, prometheus::Error> {
        Ok(Self {
            shares: Mutex::default(),
            coordination: Mutex::new(Coordination {
                session: Session::new(incarnation, name, now),
                allocator: None,
                reclaimer: Reclaimer::default(),
                contacts: HashMap::new(),
                table: None,
                sites: BTreeMap::new(),
                plan: Arc::default(),
                started_at: None,
                plan_number: 0,
                writes: 0,
            }),
            metrics: ShareMetrics::new(registry)?,
        })
    }

    /// Spends what an exchange needs, right before it is dispatched.
    pub fn spend(
        &self,
        to: &Arc<str>,
        service: &Arc<str>,
        now: Time,
    ) -> Result<Spent, ShareRefusal> {
        let spent = self.shares.lock().spend(to, service, now);
        match &spent {
            Ok(_) => self.metrics.spent.inc(),
            Err(refusal) => self.metrics.refused.with_label_values(&[refusal.cause.as_str()]).inc(),
        }
        spent
    }

    /// Counts a refused attempt as demand.
    pub fn miss(&self, to: &Arc<str>, service: &Arc<str>, now: Time) {
        self.shares.lock().miss(to, service, now);
    }

    /// Gives back what an exchange occupied until its end.
    pub fn give_back(&self, spent: &Spent) {
        self.shares.lock().give_back(spent);
    }

    /// Tells whether this instance has shares to spend: grants at sites or, where these have not
    /// come for a while, a numbered slot.
    pub fn is_ready(&self, now: Time) -> bool {
        let started_at = self.coordination.lock().started_at;
        let shares = self.shares.lock();
        let has_slot = shares.slot().is_some_and(|slot| now >= slot.usable_from);
        let waited = started_at.is_some_and(|started_at| now >= started_at + GRANT_WAIT);
        shares.has_site_grants(now) || (has_slot && waited)
    }

    /// Returns how many slots of each site this instance may use now.
    fn site_slots(&self, now: Time) -> Vec<(SiteName, u32)> {
        let plan = self.coordination.lock().plan.clone();
        let shares = self.shares.lock();
        let slots = |resource: &Resource| match resource {
            Resource::Link { .. } => None,
            Resource::Site { service, availability_zone } => {
                let (service, availability_zone) = (service.clone(), availability_zone.clone());
                let slots = u32::try_from(shares.allowance(resource, now)).unwrap_or(u32::MAX);
                Some((SiteName { service, availability_zone }, slots))
            }
        };
        plan.caps.keys().filter_map(slots).collect()
    }

    /// Adopts the caps of the version in force; false while none is.
    fn adopt_plan(&self, version: Option<&Version>, now: Time) -> bool {
        let Some(version) = version else { return false };
        let Some(own) = version.own_zone else { return false };
        let mut coordination = self.coordination.lock();
        if coordination.plan_number != version.number {
            let plan = Arc::new(Plan::new(&version.configuration, own));
            self.shares.lock().set_plan(&plan);
            coordination.plan = plan;
            coordination.plan_number = version.number;
            coordination.started_at.get_or_insert(now);
        }
        true
    }
}

impl Coordination {
    /// Returns the epoch that this instance may grant under now, with an allocator for it.
    fn holds(&mut self, now: Time) -> Option<u64> {
        let epoch = self.session.holds(now)?;
        if self.allocator.as_ref().is_none_or(|allocator| allocator.epoch() != epoch) {
            self.allocator = Some(Allocator::new(epoch, now, self.session.is_first_epoch()));
            self.contacts.clear();
        }
        Some(epoch)
    }

    /// Returns what the session holder divides: of links what is beside the floors, of sites what
    /// the zone has of that, while the platform has renewed its lease.
    fn rest(&self, now: Time) -> Amounts {
        let run = self.session.lease_run(now);
        let part = |resource: &Resource| match (run, self.sites.get(resource)) {
            (Some(run), Some(site)) => site.usable(run),
            _ => 0,
        };
        let rest = |(resource, cap): (&Resource, &Cap)| match resource.is_link() {
            true => (resource.clone(), cap.rest()),
            false => (resource.clone(), part(resource).min(cap.rest())),
        };
        self.plan.caps.iter().map(rest).collect()
    }
}

/// Keeps the shares of a daemon up to date, for ever.
pub async fn run(process: Arc<Process>) {
    tokio::join!(coordinate(process.clone()), sites::run(process.clone()), ask_for_grants(process));
}
