//! Arms, policies and the routing table of one configuration version.

use arc_swap::{ArcSwap, Guard};
use configuration::Configuration;
use std::sync::Arc;
use steering::routing::{Arms, Counters, Programs, Table};

/// The routing state of one version; only the table changes, and it is replaced atomically.
#[derive(Debug)]
pub struct VersionRouting {
    /// The arms to which callers are assigned.
    pub arms: Arms,
    /// The compiled policies.
    pub programs: Programs,
    /// Counters of the sites chosen for requests.
    pub counters: Counters,
    table: ArcSwap<Table>,
}

impl VersionRouting {
    /// Compiles the policies; the table stays empty until [`set_table`](Self::set_table) is called.
    pub fn new(configuration: &Configuration) -> Self {
        let arms = Arms::new(&configuration.arms);
        Self {
            programs: Programs::compile(&configuration.policies),
            counters: Counters::new(configuration, arms.entries().len()),
            arms,
            table: ArcSwap::default(),
        }
    }

    /// Returns the current table.
    pub fn table(&self) -> Guard<Arc<Table>> {
        self.table.load()
    }

    /// Replaces the table for all later requests.
    pub fn set_table(&self, table: Table) {
        self.table.store(Arc::new(table));
    }
}
