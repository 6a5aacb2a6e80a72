//! Arms, policies and the table of one configuration version.

use arc_swap::{ArcSwap, Guard};
use configuration::Configuration;
use std::sync::Arc;
use steering::routing::{Arms, Counters, Programs, Table};

/// What routing needs of one version; only the table changes, and it is swapped whole.
#[derive(Debug)]
pub struct VersionRouting {
    /// The arms among which callers are divided.
    pub arms: Arms,
    /// The compiled policies.
    pub programs: Programs,
    /// What requests chose.
    pub counters: Counters,
    table: ArcSwap<Table>,
}

impl VersionRouting {
    /// Compiles the policies; the table stays empty until the first is built.
    pub fn new(configuration: &Configuration) -> Self {
        let arms = Arms::new(&configuration.arms);
        Self {
            programs: Programs::compile(&configuration.policies),
            counters: Counters::new(configuration, arms.entries().len()),
            arms,
            table: ArcSwap::default(),
        }
    }

    /// Returns the table in force.
    pub fn table(&self) -> Guard<Arc<Table>> {
        self.table.load()
    }

    /// Puts a table in force for all requests from now.
    pub fn set_table(&self, table: Table) {
        self.table.store(Arc::new(table));
    }
}
