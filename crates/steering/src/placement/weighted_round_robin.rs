//! Weighted division of a route's requests between services.

use crate::deployment::WeightedService;

/// Smooth weighted round robin: each part gets its share within any short run of requests.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Returns the part that gets the next request.
    ///
    /// Returns `None` only if there are no parts or all weights are zero.
    pub fn next<'a>(&mut self, parts: &'a [WeightedService]) -> Option<&'a WeightedService> {
        if self.credits.len() != parts.len() {
            self.credits = vec![0.0; parts.len()];
        }
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        if total <= 0.0 {
            return None;
        }
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += part.weight / total;
        }
        let best = (0..parts.len()).max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[best] -= 1.0;
        Some(&parts[best])
    }
}
