//! Inputs for building a table.

use super::arms::Arms;
use super::counters::Counters;
use super::proposals::Programs;
use crate::figures::{Figures, SiteName};
use configuration::{Configuration, ZoneIndex};
use std::collections::HashSet;

/// Inputs for building a table.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// Configuration version.
    pub version: u64,
    /// The configuration.
    pub configuration: &'a Configuration,
    /// Availability zone of this instance.
    pub own_zone: ZoneIndex,
    /// The version's arms.
    pub arms: &'a Arms,
    /// The version's compiled policies.
    pub programs: &'a Programs,
    /// Choices of the version's requests.
    pub counters: &'a Counters,
    /// Figures about the sites.
    pub figures: &'a Figures,
    /// Sites without a usable backend server.
    pub unusable: &'a HashSet<SiteName>,
    /// Entry instances in this instance's availability zone, including itself.
    pub instances: usize,
    /// Other entry instances that may report figures.
    pub others: usize,
}
