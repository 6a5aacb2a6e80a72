//! One step from the weights in force towards the weights wished for.

/// Weights below this are rounding errors.
const NEGLIGIBLE: f64 = 1e-12;

/// One service of one arm: what it has and what its policy wishes.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowWish {
    /// Requests of the flow, per second.
    pub rate_per_s: f64,
    /// For each site of the flow, its position in [`Limits::sites_per_s`].
    pub sites: Vec<usize>,
    /// Weights in force, which add up to at most 1; `None` for a flow without a table yet.
    pub current: Option<Vec<f64>>,
    /// Weights that the policy wishes; they add up to 1.
    pub wished: Vec<f64>,
    /// Part of each wished change that is made in this step, above 0 and at most 1.
    pub gain: f64,
}

/// By how much traffic may grow in this step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Growth allowed to each site, in requests per second; `None` for a closed site.
    pub sites_per_s: Vec<Option<f64>>,
    /// Link that leads to each site, as a position in `links_per_s`.
    pub site_links: Vec<usize>,
    /// Growth allowed to each link, in requests per second.
    pub links_per_s: Vec<f64>,
}

/// Returns the weights that each flow may have now; those of a flow add up to at most 1.
///
/// Growth on each site and link stays within its limit, summed over all flows.  A flow without a
/// table, or without requests, moves nothing and gets its wish, less closed sites.
pub fn allow(flows: &[FlowWish], limits: &Limits) -> Vec<Vec<f64>> {
    let wishes: Vec<Vec<f64>> = flows.iter().map(|flow| open_wish(flow, limits)).collect();
    let mut growth: Vec<Vec<f64>> =
        flows.iter().zip(&wishes).map(|(flow, wish)| wished_growth(flow, wish, limits)).collect();
    scale(flows, &mut growth, &limits.sites_per_s, |site| site);
    let links: Vec<Option<f64>> = limits.links_per_s.iter().copied().map(Some).collect();
    scale(flows, &mut growth, &links, |site| limits.site_links[site]);
    flows
        .iter()
        .zip(&wishes)
        .zip(&growth)
        .map(|((flow, wish), growth)| step(flow, wish, growth, limits))
        .collect()
}

/// Returns the wish without closed sites, scaled to add up to 1 where any site is open.
fn open_wish(flow: &FlowWish, limits: &Limits) -> Vec<f64> {
    let open = |position: usize| limits.sites_per_s[flow.sites[position]].is_some();
    let wish: Vec<f64> = flow
        .wished
        .iter()
        .enumerate()
        .map(|(position, weight)| if open(position) { *weight } else { 0.0 })
        .collect();
    let sum: f64 = wish.iter().sum();
    if sum > NEGLIGIBLE {
        return wish.iter().map(|weight| weight / sum).collect();
    }
    // The policy wished for closed sites only: the open ones share alike.
    let count = (0..wish.len()).filter(|position| open(*position)).count();
    let even = 1.0 / count.max(1) as f64;
    (0..wish.len()).map(|position| if open(position) { even } else { 0.0 }).collect()
}

/// Returns the growth of each site's traffic that this step is to make, in requests per second.
fn wished_growth(flow: &FlowWish, wish: &[f64], limits: &Limits) -> Vec<f64> {
    let Some(current) = &flow.current else { return vec![0.0; wish.len()] };
    // What has lost its site moves as fast as the limits allow; damping is for the rest.
    let displaced = displaced_share(flow, current, limits);
    let gain = if displaced > NEGLIGIBLE { 1.0 } else { flow.gain };
    let grown = wish.iter().zip(current);
    grown.map(|(wish, current)| (wish - current).max(0.0) * gain * flow.rate_per_s).collect()
}

/// Returns the part of the flow that has no open site now.
fn displaced_share(flow: &FlowWish, current: &[f64], limits: &Limits) -> f64 {
    let placed: f64 = current
        .iter()
        .zip(&flow.sites)
        .filter(|(_, site)| limits.sites_per_s[**site].is_some())
        .map(|(weight, _)| weight)
        .sum();
    (1.0 - placed).max(0.0)
}

/// Scales growth down so that the sum within each group stays within the group's limit.
fn scale(
    flows: &[FlowWish],
    growth: &mut [Vec<f64>],
    limits_per_s: &[Option<f64>],
    group: impl Fn(usize) -> usize,
) {
    let mut wished = vec![0.0; limits_per_s.len()];
    for (flow, growth) in flows.iter().zip(&*growth) {
        for (site, growth) in flow.sites.iter().zip(growth) {
            wished[group(*site)] += growth;
        }
    }
    let factor = |group: usize| match limits_per_s[group] {
        Some(limit) if wished[group] > limit => limit.max(0.0) / wished[group],
        Some(_) => 1.0,
        None => 0.0,
    };
    for (flow, growth) in flows.iter().zip(growth) {
        for (site, growth) in flow.sites.iter().zip(growth) {
            *growth *= factor(group(*site));
        }
    }
}

/// Moves a flow by the growth allowed: what grows is taken first from what has no open site, then
/// from the open sites that the wish gives less.
fn step(flow: &FlowWish, wish: &[f64], growth: &[f64], limits: &Limits) -> Vec<f64> {
    let Some(current) = flow.current.as_ref().filter(|_| flow.rate_per_s > NEGLIGIBLE) else {
        return wish.to_vec();
    };
    let grown: f64 = growth.iter().sum::<f64>() / flow.rate_per_s;
    let taken = (grown - displaced_share(flow, current, limits)).max(0.0);
    let surplus = |position: usize| (current[position] - wish[position]).max(0.0);
    let is_open = |position: usize| limits.sites_per_s[flow.sites[position]].is_some();
    let open_surplus: f64 =
        (0..wish.len()).filter(|position| is_open(*position)).map(surplus).sum();
    let part = if open_surplus > NEGLIGIBLE { (taken / open_surplus).min(1.0) } else { 0.0 };
    (0..wish.len())
        .map(|position| match is_open(position) {
            true => {
                let kept = current[position] - surplus(position) * part;
                (kept + growth[position] / flow.rate_per_s).clamp(0.0, 1.0)
            }
            false => 0.0,
        })
        .collect()
}
