//! The default policy.

use super::View;

/// Fraction of a site's capacity that must be free for the site to take all requests offered to it.
const FULL_HEADROOM_FRACTION: f64 = 0.2;

/// Prefers the nearest sites with headroom: each site, nearest first, takes the remaining requests;
/// a site with little headroom takes a fraction and leaves the rest to more distant ones.
///
/// Returns a weight for each site of the view.  What the last site leaves goes to the nearest.
pub fn nearest(view: &View) -> Vec<f64> {
    let mut order: Vec<usize> = (0..view.sites.len()).collect();
    order.sort_by(|a, b| view.sites[*a].delay_ms.total_cmp(&view.sites[*b].delay_ms));
    let mut weights = vec![0.0; view.sites.len()];
    let mut remaining = 1.0;
    for position in &order {
        let site = &view.sites[*position];
        let free_fraction = site.headroom_slots / site.capacity_slots.max(1.0);
        let fraction = (free_fraction / FULL_HEADROOM_FRACTION).clamp(0.0, 1.0);
        weights[*position] = remaining * fraction;
        remaining -= remaining * fraction;
    }
    if let Some(first) = order.first() {
        weights[*first] += remaining;
    }
    weights
}
