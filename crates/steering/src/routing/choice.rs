//! Chooses the order in which a request tries the sites of its service.

use crate::hash::{SPLITMIX_INCREMENT, mix, unit_interval};
use configuration::SiteIndex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of sites that are drawn by weight; the others follow in descending order of weight.
const DRAWN_SITES: usize = 4;

/// Seeded random number generator (SplitMix64) that yields one number per request.
#[derive(Debug)]
pub struct RequestRng {
    state: AtomicU64,
}

impl RequestRng {
    /// Creates the generator.
    pub fn new(seed: u64) -> Self {
        Self { state: AtomicU64::new(seed) }
    }

    /// Returns the next number.
    pub fn next(&self) -> u64 {
        mix(self.state.fetch_add(SPLITMIX_INCREMENT, Ordering::Relaxed))
    }
}

/// Weights of the sites of one service, in descending order; they add up to at most 1.
///
/// The remainder is the share of the requests that no site may take.
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
    /// Creates the weights from one for each site of a service, by index; sites without weight are
    /// left out.
    ///
    /// Weights that are negative or not finite count as 0; a sum above 1 is scaled to 1.
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

    /// Returns the share of the requests that some site may take, from 0 to 1.
    pub fn placed_share(&self) -> f64 {
        self.sites.iter().map(|site| site.weight).sum::<f64>().min(1.0)
    }

    /// Returns the weight of a site, 0 if it gets nothing.
    pub fn weight_of(&self, site: SiteIndex) -> f64 {
        self.sites.iter().find(|entry| entry.site == site).map_or(0.0, |entry| entry.weight)
    }

    /// Returns the first site that a request with this random number tries; `None` for no site.
    pub fn first(&self, draw: u64) -> Option<SiteIndex> {
        self.draw(&[], unit_interval(draw)).map(|position| self.sites[position].site)
    }

    /// Returns the sites that a request with this random number tries, in order; none when the
    /// number falls into the share that no site may take.
    pub fn order(&self, draw: u64) -> Vec<SiteIndex> {
        let Some(first) = self.draw(&[], unit_interval(draw)) else { return Vec::new() };
        let mut taken = Vec::with_capacity(self.sites.len());
        taken.push(first);
        let mut draw = draw;
        while taken.len() < DRAWN_SITES.min(self.sites.len()) {
            draw = mix(draw);
            let remaining = self.weight_without(&taken);
            let Some(next) = self.draw(&taken, unit_interval(draw) * remaining) else { break };
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
        let available =
            self.sites.iter().enumerate().filter(|(position, _)| !taken.contains(position));
        available.map(|(_, site)| site.weight).sum()
    }

    /// Returns the index of the site, other than those taken, at `point` of the cumulative weights.
    fn draw(&self, taken: &[usize], point: f64) -> Option<usize> {
        let mut remaining = point;
        let mut available =
            self.sites.iter().enumerate().filter(|(position, _)| !taken.contains(position));
        available.find_map(|(position, site)| {
            remaining -= site.weight;
            (remaining < 0.0).then_some(position)
        })
    }
}
