//! Weighted division of a route's requests between services.

use crate::deployment::WeightedService;

/// Smooth weighted round robin: each service gets its share within any short run of requests.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Returns the service that gets the next request.
    ///
    /// Returns `None` only if there are no services or all weights are zero.
    pub fn next<'a>(&mut self, services: &'a [WeightedService]) -> Option<&'a WeightedService> {
        if self.credits.len() != services.len() {
            self.credits = vec![0.0; services.len()];
        }
        let total: f64 = services.iter().map(|service| service.weight).sum();
        if total <= 0.0 {
            return None;
        }
        for (credit, service) in self.credits.iter_mut().zip(services) {
            *credit += service.weight / total;
        }
        let best =
            (0..services.len()).max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[best] -= 1.0;
        Some(&services[best])
    }
}
