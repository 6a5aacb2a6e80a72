//! The table that look-ups are answered from, built again when what it comes from changed.

use super::Process;
use super::membership::{Member, Members};
use crate::version::Version;
use arc_swap::ArcSwapOption;
use std::sync::Arc;
use steering::lookup::{Candidate, LookupTable};

/// The newest table.
#[derive(Default)]
pub struct Lookups {
    newest: ArcSwapOption<Built>,
}

/// A table with what it was built from.
struct Built {
    version: Arc<Version>,
    members: Option<Arc<Members>>,
    draining: bool,
    table: Arc<LookupTable>,
}

impl Lookups {
    /// Returns the table for a version and the instances known now.
    ///
    /// Two requests that find it outdated may both build it; the work is then done twice, not wrong.
    pub fn table(&self, process: &Process, version: &Arc<Version>) -> Arc<LookupTable> {
        let members = process.members.load_full();
        let draining = process.is_draining();
        if let Some(built) = &*self.newest.load()
            && built.is_from(version, members.as_ref(), draining)
        {
            return built.table.clone();
        }
        let candidates = candidates(process, version, members.as_deref());
        let table = Arc::new(LookupTable::new(&version.configuration, candidates));
        let built = Built { version: version.clone(), members, draining, table: table.clone() };
        self.newest.store(Some(Arc::new(built)));
        table
    }
}

impl Built {
    fn is_from(
        &self,
        version: &Arc<Version>,
        members: Option<&Arc<Members>>,
        draining: bool,
    ) -> bool {
        let same_members = match (&self.members, members) {
            (Some(ours), Some(theirs)) => Arc::ptr_eq(ours, theirs),
            (None, None) => true,
            _ => false,
        };
        Arc::ptr_eq(&self.version, version) && same_members && self.draining == draining
    }
}

/// Returns the instances that callers may be sent to: not this one once it is draining.
fn candidates(process: &Process, version: &Version, members: Option<&Members>) -> Vec<Candidate> {
    let own_name = &process.settings.name;
    let leaves = |member: &Member| process.is_draining() && member.name == *own_name;
    members
        .into_iter()
        .flat_map(Members::usable)
        .filter(|member| !leaves(member))
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
