//! One step from the current weights towards the proposed weights.

/// Weights and rates up to this are treated as rounding errors.
const NEGLIGIBLE: f64 = 1e-12;

/// Traffic of one service and arm, with its current weights and those that its policy proposes.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowProposal {
    /// Rate of the flow, in requests per second.
    pub rate_per_s: f64,
    /// Positions of the flow's sites in [`Limits::sites_per_s`].
    pub sites: Vec<usize>,
    /// Current weights, one per site, with a sum of at most 1; `None` before the first table.
    pub current: Option<Vec<f64>>,
    /// Weights that the policy proposes, one per site, with a sum of 1.
    pub proposed: Vec<f64>,
    /// Fraction of each proposed change to make in this step, above 0 and at most 1.
    pub gain: f64,
}

/// Limits of the traffic growth in one step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Growth limit of each site, in requests per second; `None` for a closed site.
    pub sites_per_s: Vec<Option<f64>>,
    /// Link to each site, as a position in `links_per_s`.
    pub site_links: Vec<usize>,
    /// Growth limit of each link, in requests per second.
    pub links_per_s: Vec<f64>,
}

/// Returns the new weights of each flow, with a sum of at most 1 per flow.
///
/// The growth of each site and link, summed over all flows, stays within its limit. A flow without
/// current weights or without requests moves no traffic and gets its proposed weights without the
/// closed sites.
pub fn allowed_weights(flows: &[FlowProposal], limits: &Limits) -> Vec<Vec<f64>> {
    let proposals: Vec<Vec<f64>> = flows.iter().map(|flow| open_proposal(flow, limits)).collect();
    let mut growth: Vec<Vec<f64>> = flows
        .iter()
        .zip(&proposals)
        .map(|(flow, proposal)| proposed_growth(flow, proposal, limits))
        .collect();
    scale_to_limits(flows, &mut growth, &limits.sites_per_s, |site| site);
    let links: Vec<Option<f64>> = limits.links_per_s.iter().copied().map(Some).collect();
    scale_to_limits(flows, &mut growth, &links, |site| limits.site_links[site]);
    flows
        .iter()
        .zip(&proposals)
        .zip(&growth)
        .map(|((flow, proposal), growth)| step(flow, proposal, growth, limits))
        .collect()
}

/// Returns the proposed weights without closed sites, scaled to a sum of 1 if any site is open.
fn open_proposal(flow: &FlowProposal, limits: &Limits) -> Vec<f64> {
    let open = |position: usize| limits.sites_per_s[flow.sites[position]].is_some();
    let proposal: Vec<f64> = flow
        .proposed
        .iter()
        .enumerate()
        .map(|(position, weight)| if open(position) { *weight } else { 0.0 })
        .collect();
    let sum: f64 = proposal.iter().sum();
    if sum > NEGLIGIBLE {
        return proposal.iter().map(|weight| weight / sum).collect();
    }
    // The policy proposed only closed sites, so the open ones get equal weights.
    let count = (0..proposal.len()).filter(|position| open(*position)).count();
    let equal_weight = 1.0 / count.max(1) as f64;
    (0..proposal.len()).map(|position| if open(position) { equal_weight } else { 0.0 }).collect()
}

/// Returns the growth of each site's traffic proposed for this step, in requests per second.
fn proposed_growth(flow: &FlowProposal, proposal: &[f64], limits: &Limits) -> Vec<f64> {
    let Some(current) = &flow.current else { return vec![0.0; proposal.len()] };
    // Traffic without an open site moves as fast as the limits allow, without damping.
    let unplaced = unplaced_share(flow, current, limits);
    let gain = if unplaced > NEGLIGIBLE { 1.0 } else { flow.gain };
    let weight_pairs = proposal.iter().zip(current);
    weight_pairs
        .map(|(proposal, current)| (proposal - current).max(0.0) * gain * flow.rate_per_s)
        .collect()
}

/// Returns the fraction of the flow that currently has no open site.
fn unplaced_share(flow: &FlowProposal, current: &[f64], limits: &Limits) -> f64 {
    let placed_share: f64 = current
        .iter()
        .zip(&flow.sites)
        .filter(|(_, site)| limits.sites_per_s[**site].is_some())
        .map(|(weight, _)| weight)
        .sum();
    (1.0 - placed_share).max(0.0)
}

/// Scales the growth down so that its sum per group (site or link) stays within the group's limit.
fn scale_to_limits(
    flows: &[FlowProposal],
    growth: &mut [Vec<f64>],
    limits_per_s: &[Option<f64>],
    group: impl Fn(usize) -> usize,
) {
    let mut requested = vec![0.0; limits_per_s.len()];
    for (flow, growth) in flows.iter().zip(&*growth) {
        for (site, growth) in flow.sites.iter().zip(growth) {
            requested[group(*site)] += growth;
        }
    }
    let factor = |group: usize| match limits_per_s[group] {
        Some(limit) if requested[group] > limit => limit.max(0.0) / requested[group],
        Some(_) => 1.0,
        None => 0.0,
    };
    for (flow, growth) in flows.iter().zip(growth) {
        for (site, growth) in flow.sites.iter().zip(growth) {
            *growth *= factor(group(*site));
        }
    }
}

/// Returns the weights of a flow after the allowed growth, which is taken first from traffic
/// without an open site, then from open sites whose proposed weight is lower than the current one.
fn step(flow: &FlowProposal, proposal: &[f64], growth: &[f64], limits: &Limits) -> Vec<f64> {
    let Some(current) = flow.current.as_ref().filter(|_| flow.rate_per_s > NEGLIGIBLE) else {
        return proposal.to_vec();
    };
    let increase: f64 = growth.iter().sum::<f64>() / flow.rate_per_s;
    let taken_share = (increase - unplaced_share(flow, current, limits)).max(0.0);
    let surplus = |position: usize| (current[position] - proposal[position]).max(0.0);
    let is_open = |position: usize| limits.sites_per_s[flow.sites[position]].is_some();
    let open_surplus: f64 =
        (0..proposal.len()).filter(|position| is_open(*position)).map(surplus).sum();
    let fraction =
        if open_surplus > NEGLIGIBLE { (taken_share / open_surplus).min(1.0) } else { 0.0 };
    (0..proposal.len())
        .map(|position| match is_open(position) {
            true => {
                let remaining = current[position] - surplus(position) * fraction;
                (remaining + growth[position] / flow.rate_per_s).clamp(0.0, 1.0)
            }
            false => 0.0,
        })
        .collect()
}
