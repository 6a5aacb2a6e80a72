//! Shares of this instance and, while it holds the session, of its availability zone.
//!
//! Three tasks run concurrently: `coordination` and `sites` call the platform, and `grants` calls
//! other instances, so that a slow platform does not delay grants. [`ShareState::acquire`] is
//! called for every request and calls neither.

mod answer;
mod convert;
mod coordination;
mod grants;
mod metrics;
mod sites;
mod status;

pub use answer::{answer_grant, answer_promise, answer_release};
pub use coordination::{release, run as run_coordination};
pub use grants::run as run_grants;
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
    Allocator, Amounts, Cap, Permit, Plan, Reclaimer, Resource, Session, ShareRefusal, Shares,
    SiteShare, SlotTable,
};
use steering::{Incarnation, Time};

/// Time that a starting daemon waits for grants before it serves with the floors of its slot only.
const GRANT_WAIT: Duration = Duration::from_secs(2);

/// State of the shares of one daemon.
pub struct ShareState {
    shares: Mutex<Shares>,
    coordination: Mutex<Coordination>,
    metrics: ShareMetrics,
}

/// State of the availability zone's session, slots and parts of sites, as known to this instance.
struct Coordination {
    session: Session,
    allocator: Option<Allocator>,
    reclaimer: Reclaimer,
    /// Time of each instance's last request to this one as the session holder.
    contacts: HashMap<Incarnation, Time>,
    table: Option<(platform::Version, SlotTable)>,
    /// The zone's share of each site.
    sites: BTreeMap<Resource, SiteShare>,
    plan: Arc<Plan>,
    /// Time at which the first configuration was adopted.
    started_at: Option<Time>,
    /// Number of the configuration version that `plan` was built from.
    plan_number: u64,
    writes: u64,
}

impl ShareState {
    /// Creates the state without any shares.
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

    /// Acquires the shares for an exchange with a site in `to`, immediately before it is
    /// dispatched.
    pub fn acquire(
        &self,
        to: &Arc<str>,
        service: &Arc<str>,
        now: Time,
    ) -> Result<Permit, ShareRefusal> {
        let permit = self.shares.lock().acquire(to, service, now);
        match &permit {
            Ok(_) => self.metrics.spent.inc(),
            Err(refusal) => self.metrics.refused.with_label_values(&[refusal.cause.as_str()]).inc(),
        }
        permit
    }

    /// Records a refused attempt as unmet demand.
    pub fn record_unmet_demand(&self, to: &Arc<str>, service: &Arc<str>, now: Time) {
        self.shares.lock().record_unmet_demand(to, service, now);
    }

    /// Releases what an exchange occupied until its end.
    pub fn release(&self, permit: &Permit) {
        self.shares.lock().release(permit);
    }

    /// Returns whether this instance has shares: grants at sites or, if none have arrived within
    /// `GRANT_WAIT`, a numbered slot.
    pub fn is_ready(&self, now: Time) -> bool {
        let started_at = self.coordination.lock().started_at;
        let shares = self.shares.lock();
        let has_slot = shares.slot().is_some_and(|slot| now >= slot.usable_from);
        let waited = started_at.is_some_and(|started_at| now >= started_at + GRANT_WAIT);
        shares.has_site_grants(now) || (has_slot && waited)
    }

    /// Returns the number of slots of each site that this instance may use now.
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

    /// Adopts the caps of the active version; returns false if there is none or it lacks the own
    /// zone.
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
    /// Returns the session epoch if this instance holds the session, and ensures that the allocator
    /// belongs to that epoch.
    fn held_epoch(&mut self, now: Time) -> Option<u64> {
        let epoch = self.session.held_epoch(now)?;
        if self.allocator.as_ref().is_none_or(|allocator| allocator.epoch() != epoch) {
            self.allocator = Some(Allocator::new(epoch, now, self.session.is_first_epoch()));
            self.contacts.clear();
        }
        Some(epoch)
    }

    /// Returns the amounts that the session holder allocates: for links the capacity beyond the
    /// floors; for sites the zone's share of it, or 0 while the platform has not renewed the lease.
    fn remainder(&self, now: Time) -> Amounts {
        let run = self.session.lease_generation(now);
        let zone_share = |resource: &Resource| match (run, self.sites.get(resource)) {
            (Some(run), Some(site)) => site.usable(run),
            _ => 0,
        };
        let remainder = |(resource, cap): (&Resource, &Cap)| match resource.is_link() {
            true => (resource.clone(), cap.remainder()),
            false => (resource.clone(), zone_share(resource).min(cap.remainder())),
        };
        self.plan.caps.iter().map(remainder).collect()
    }
}

/// Keeps the shares up to date until the task is dropped.
pub async fn run(process: Arc<Process>) {
    tokio::join!(
        run_coordination(process.clone()),
        sites::run(process.clone()),
        run_grants(process)
    );
}
