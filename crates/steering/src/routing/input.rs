//! What a table is built from.

use super::arms::Arms;
use super::counters::Counters;
use super::proposals::Programs;
use crate::figures::{Figures, SiteName};
use configuration::{Configuration, ZoneIndex};
use std::collections::HashSet;

/// What a table is built from.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// Number of the configuration version.
    pub version: u64,
    /// The configuration.
    pub configuration: &'a Configuration,
    /// Availability zone of this instance.
    pub own_zone: ZoneIndex,
    /// The version's arms.
    pub arms: &'a Arms,
    /// The version's compiled policies.
    pub programs: &'a Programs,
    /// What the version's requests chose.
    pub counters: &'a Counters,
    /// What is known of the sites.
    pub figures: &'a Figures,
    /// Sites without a backend server that may get work.
    pub unusable: &'a HashSet<SiteName>,
    /// Entry instances of the own availability zone, this one included.
    pub instances: usize,
    /// Other entry instances that could report figures.
    pub others: usize,
}
