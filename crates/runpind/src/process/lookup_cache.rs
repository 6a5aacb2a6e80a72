//! Cache of the lookup table, which is rebuilt when one of its inputs changes.

use super::Process;
use super::membership::{Member, Members};
use crate::version::Version;
use arc_swap::ArcSwapOption;
use std::sync::Arc;
use steering::lookup::{Candidate, LookupTable};

/// Cache of the latest lookup table.
#[derive(Default)]
pub struct LookupCache {
    latest: ArcSwapOption<CachedTable>,
}

/// A table with the inputs it was built from.
struct CachedTable {
    version: Arc<Version>,
    members: Option<Arc<Members>>,
    draining: bool,
    table: Arc<LookupTable>,
}

impl LookupCache {
    /// Returns the table for a version and the currently known instances.
    ///
    /// Concurrent requests that find it outdated may each build it; this is redundant but harmless.
    pub fn table(&self, process: &Process, version: &Arc<Version>) -> Arc<LookupTable> {
        let members = process.members.load_full();
        let draining = process.is_draining();
        if let Some(built) = &*self.latest.load()
            && built.is_built_from(version, members.as_ref(), draining)
        {
            return built.table.clone();
        }
        let candidates = candidates(process, version, members.as_deref());
        let table = Arc::new(LookupTable::new(&version.configuration, candidates));
        let built =
            CachedTable { version: version.clone(), members, draining, table: table.clone() };
        self.latest.store(Some(Arc::new(built)));
        table
    }
}

impl CachedTable {
    fn is_built_from(
        &self,
        version: &Arc<Version>,
        members: Option<&Arc<Members>>,
        draining: bool,
    ) -> bool {
        let same_members = match (&self.members, members) {
            (Some(cached), Some(current)) => Arc::ptr_eq(cached, current),
            (None, None) => true,
            _ => false,
        };
        Arc::ptr_eq(&self.version, version) && same_members && self.draining == draining
    }
}

/// Returns the instances that callers may be directed to; excludes this one once it drains.
fn candidates(process: &Process, version: &Version, members: Option<&Members>) -> Vec<Candidate> {
    let own_name = &process.settings.name;
    let is_leaving = |member: &Member| process.is_draining() && member.name == *own_name;
    members
        .into_iter()
        .flat_map(Members::usable)
        .filter(|member| !is_leaving(member))
        .filter_map(|member| {
            let zone = version.configuration.zone(&member.availability_zone)?;
            let drained = version.configuration.drained.has_instance(&member.name, Some(zone));
            (!drained).then_some(Candidate {
                address: member.caller_address,
                zone,
                incarnation: member.incarnation,
            })
        })
        .collect()
}
