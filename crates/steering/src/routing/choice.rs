//! The order in which a request tries the sites of its service.

use crate::hash::{SPLITMIX_INCREMENT, mix, unit_interval};
use configuration::SiteIndex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Sites drawn by weight; those after them come in the order of their weights.
const DRAWN_SITES: usize = 4;

/// Seeded generator of one number for each request (SplitMix64).
#[derive(Debug)]
pub struct Draws {
    state: AtomicU64,
}

impl Draws {
    /// Starts the generator.
    pub fn new(seed: u64) -> Self {
        Self { state: AtomicU64::new(seed) }
    }

    /// Returns the next number.
    pub fn next(&self) -> u64 {
        mix(self.state.fetch_add(SPLITMIX_INCREMENT, Ordering::Relaxed))
    }
}

/// Weights of the sites of one service, heaviest first; they add up to at most 1.
///
/// What is missing to 1 is the part of the requests that no site may take.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Weights {
    sites: Box<[WeightedSite]>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct WeightedSite {
    site: SiteIndex,
    weight: f64,
}

impl Weights {
    /// Takes the weight of each site of a service, by position; sites without weight are left out.
    ///
    /// Weights that are not finite or negative count as none; a sum above 1 is scaled to 1.
    pub fn new(weights: &[f64]) -> Self {
        let mut sites: Vec<WeightedSite> = weights
            .iter()
            .enumerate()
            .filter(|(_, weight)| weight.is_finite() && **weight > 0.0)
            .map(|(site, weight)| WeightedSite { site: SiteIndex::from(site), weight: *weight })
            .collect();
        let sum: f64 = sites.iter().map(|site| site.weight).sum();
        let scale = if sum > 1.0 { 1.0 / sum } else { 1.0 };
        sites.iter_mut().for_each(|site| site.weight *= scale);
        sites.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.site.cmp(&b.site)));
        Self { sites: sites.into() }
    }

    /// Returns the part of the requests that some site may take, from 0 to 1.
    pub fn placed_share(&self) -> f64 {
        self.sites.iter().map(|site| site.weight).sum::<f64>().min(1.0)
    }

    /// Returns the weight of a site, 0 if it gets nothing.
    pub fn of(&self, site: SiteIndex) -> f64 {
        self.sites.iter().find(|entry| entry.site == site).map_or(0.0, |entry| entry.weight)
    }

    /// Returns the first site that a request with this number tries; `None` for no site.
    pub fn first(&self, draw: u64) -> Option<SiteIndex> {
        self.draw(&[], unit_interval(draw)).map(|position| self.sites[position].site)
    }

    /// Returns the sites that a request with this number tries, in order; none when its number
    /// falls into the part that no site may take.
    pub fn order(&self, draw: u64) -> Vec<SiteIndex> {
        let Some(first) = self.draw(&[], unit_interval(draw)) else { return Vec::new() };
        let mut taken = Vec::with_capacity(self.sites.len());
        taken.push(first);
        let mut draw = draw;
        while taken.len() < DRAWN_SITES.min(self.sites.len()) {
            draw = mix(draw);
            let left = self.weight_without(&taken);
            let Some(next) = self.draw(&taken, unit_interval(draw) * left) else { break };
            taken.push(next);
        }
        for position in 0..self.sites.len() {
            if !taken[..taken.len().min(DRAWN_SITES)].contains(&position) {
                taken.push(position);
            }
        }
        taken.into_iter().map(|position| self.sites[position].site).collect()
    }

    fn weight_without(&self, taken: &[usize]) -> f64 {
        let free = self.sites.iter().enumerate().filter(|(position, _)| !taken.contains(position));
        free.map(|(_, site)| site.weight).sum()
    }

    /// Returns the position of the site, other than those taken, at `point` of the summed weights.
    fn draw(&self, taken: &[usize], point: f64) -> Option<usize> {
        let mut left = point;
        let mut free =
            self.sites.iter().enumerate().filter(|(position, _)| !taken.contains(position));
        free.find_map(|(position, site)| {
            left -= site.weight;
            (left < 0.0).then_some(position)
        })
    }
}
