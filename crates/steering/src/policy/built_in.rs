//! The policy in force when there is no other.

use super::View;

/// Part of a site's capacity that has to be free for the site to take all that comes to it.
const FULL_HEADROOM_SHARE: f64 = 0.2;

/// Nearest with headroom: each site, nearest first, takes what is left; a site with little
/// headroom takes a part and leaves the rest to those farther away.
///
/// Returns a weight for each site of the view.  What the last site leaves goes to the nearest.
pub fn nearest(view: &View) -> Vec<f64> {
    let mut order: Vec<usize> = (0..view.sites.len()).collect();
    order.sort_by(|a, b| view.sites[*a].delay_ms.total_cmp(&view.sites[*b].delay_ms));
    let mut weights = vec![0.0; view.sites.len()];
    let mut left = 1.0;
    for position in &order {
        let site = &view.sites[*position];
        let free_share = site.headroom_slots / site.capacity_slots.max(1.0);
        let part = (free_share / FULL_HEADROOM_SHARE).clamp(0.0, 1.0);
        weights[*position] = left * part;
        left -= left * part;
    }
    if let Some(first) = order.first() {
        weights[*first] += left;
    }
    weights
}
