//! What one node needs at a deployment size, extrapolated from the slopes.

use crate::measure::Measured;
use crate::size::Size;

/// Processor time budget of one node for control work, as a fraction of a core.
const PROCESSOR_BUDGET: f64 = 0.032;

/// Memory budget of one node for control work, in megabytes.
const MEMORY_BUDGET_MB: f64 = 256.0;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// A resource need of one node, with its budget.
pub(crate) struct Need {
    pub(crate) mechanism: &'static str,
    pub(crate) value: f64,
    pub(crate) unit: &'static str,
    pub(crate) budget: f64,
}

impl Need {
    fn memory(mechanism: &'static str, bytes: f64) -> Self {
        Self { mechanism, value: bytes / 1e6, unit: "MB", budget: MEMORY_BUDGET_MB }
    }

    fn processor(mechanism: &'static str, cores: f64) -> Self {
        Self {
            mechanism,
            value: cores * 100.0,
            unit: "% of a core",
            budget: PROCESSOR_BUDGET * 100.0,
        }
    }
}

/// Computes what one node needs.
pub(crate) fn node_needs(measured: &Measured, size: &Size) -> Vec<Need> {
    let changes_per_s = size.changes_per_day / SECONDS_PER_DAY;
    let lookups_per_s = size.lookups_per_s / size.instances;
    let at_blocks = |series: &crate::measure::Series| series.slope().at(size.client_blocks);
    let rebuild_ms = at_blocks(&measured.block_table_build_ms)
        + measured.version_check_ms.slope().at(size.sites);
    let lookup_us = measured.lookup_choice_us.slope().at(size.instances)
        + at_blocks(&measured.block_lookup_ns) / 1e3;
    let table_ms = measured.lookup_build_ms.slope().at(size.instances);
    vec![
        Need::memory("block table", at_blocks(&measured.block_table_bytes)),
        Need::processor("configuration changes: check and build", changes_per_s * rebuild_ms / 1e3),
        Need::processor("look-ups: block and choice", lookups_per_s * lookup_us / 1e6),
        Need::processor("look-up table, once a second", table_ms / 1e3),
    ]
}
