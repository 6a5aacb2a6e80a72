//! State that the guard keeps between routing tables.

use super::ramp::{GrowthLimit, RampInput, growth_limit};
use super::weight_step::{FlowProposal, Limits, allowed_weights};
use crate::Time;
use crate::figures::{SiteFigures, SiteName};
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Longest time between two tables for which growth is allowed; a longer pause allows no more.
const MAX_STEP_S: f64 = 2.0;

/// Time constant of damped moves when figures are fresh, in seconds.
const BASE_DAMPING_S: f64 = 3.0;

/// Increase of the time constant, in seconds, per second of the figures' age: a control loop that
/// corrects faster than it observes the effect of its corrections oscillates.
const DAMPING_S_PER_AGE_S: f64 = 3.0;

/// Time for which growth is kept that figures may not show yet.
const GROWTH_RETENTION: Duration = Duration::from_secs(30);

/// Time constant with which the baseline response time rises to a longer one, in seconds.
const BASELINE_RISE_S: f64 = 300.0;

/// Fraction of failed recent exchanges from which a site is closed.
const CLOSING_FAILED_SHARE: f64 = 0.5;

/// Whether moves are damped and growth counts against headroom until figures show it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Damping {
    /// Damping on, as in the daemon.
    #[default]
    On,
    /// Damping off, for comparison in tests and benchmarks: each step makes the whole move that the
    /// limits allow.
    Off,
}

/// Traffic of one service and arm.
#[derive(Clone, Debug, PartialEq)]
pub struct GuardedFlow {
    /// Name of the arm.
    pub arm: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the callers, in percent; 0 for a shadow arm.
    pub share_percent: u32,
    /// Rate of the flow at this instance, in requests per second; 0 for a shadow arm.
    pub rate_per_s: f64,
    /// Weights that the policy proposes, one per site in `sites`.
    pub proposed: Vec<f64>,
    /// Positions of the service's sites in [`GuardInput::sites`].
    pub sites: Vec<usize>,
}

/// State of one site.
#[derive(Clone, Debug, PartialEq)]
pub struct GuardedSite {
    /// Name of the site.
    pub name: SiteName,
    /// Figures of the site.
    pub figures: SiteFigures,
    /// Whether the site has a backend server that accepts requests.
    pub is_usable: bool,
    /// Link to the site, as a position in [`GuardInput::links_per_s`].
    pub link: usize,
}

/// Input for one routing table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GuardInput {
    /// All flows.
    pub flows: Vec<GuardedFlow>,
    /// All sites of all services.
    pub sites: Vec<GuardedSite>,
    /// Growth per second that each link allows this instance, in requests per second.
    pub links_per_s: Vec<f64>,
}

/// Limits the proposed weights of successive routing tables.
#[derive(Debug, Default)]
pub struct Guard {
    damping: Damping,
    last_step: Option<Time>,
    /// Current weights of each arm, by service.
    weights: HashMap<Arc<str>, Vec<ArmWeights>>,
    growth: HashMap<SiteName, VecDeque<Growth>>,
    baseline_response_times_ms: HashMap<Arc<str>, f64>,
}

/// Current weights of one service and arm, by the site's availability zone.
#[derive(Clone, Debug)]
struct ArmWeights {
    arm: Arc<str>,
    share_percent: u32,
    by_zone: HashMap<Arc<str>, f64>,
}

#[derive(Clone, Copy, Debug)]
struct Growth {
    at: Time,
    slots: f64,
}

impl Guard {
    /// Creates a guard without current weights.
    pub fn new(damping: Damping) -> Self {
        Self { damping, ..Self::default() }
    }

    /// Returns the new weights of each flow, and the growth limits of each site, `None` for a
    /// closed site.
    pub fn apply(
        &mut self,
        input: &GuardInput,
        now: Time,
    ) -> (Vec<Vec<f64>>, Vec<Option<GrowthLimit>>) {
        let elapsed_s = self.last_step.map_or(0.0, |last| now.since(last).as_secs_f64());
        let elapsed_s = elapsed_s.min(MAX_STEP_S);
        self.update_baselines(input, elapsed_s);
        let flows: Vec<FlowProposal> =
            input.flows.iter().map(|flow| self.flow_proposal(flow, input, elapsed_s)).collect();
        let closed = closed_sites(input);
        let site_limits: Vec<Option<GrowthLimit>> = (0..input.sites.len())
            .map(|site| {
                (!closed.contains(&site))
                    .then(|| self.site_limit(site, input, &flows, elapsed_s, now))
            })
            .collect();
        let limits = Limits {
            sites_per_s: site_limits.iter().map(|limit| limit.map(GrowthLimit::per_s)).collect(),
            site_links: input.sites.iter().map(|site| site.link).collect(),
            links_per_s: input.links_per_s.iter().map(|limit| limit * elapsed_s).collect(),
        };
        let allowed = allowed_weights(&flows, &limits);
        self.record_step(input, &flows, &allowed, now);
        (allowed, site_limits)
    }

    /// Returns the fraction of the proposed change that a flow makes in this step.
    fn gain(&self, flow: &GuardedFlow, input: &GuardInput, elapsed_s: f64) -> f64 {
        let ages = flow.sites.iter().map(|site| input.sites[*site].figures.age.as_secs_f64());
        let mean_age_s = ages.sum::<f64>() / flow.sites.len().max(1) as f64;
        match self.damping {
            Damping::On => {
                let damping_s = BASE_DAMPING_S + DAMPING_S_PER_AGE_S * mean_age_s;
                1.0 - (-elapsed_s / damping_s).exp()
            }
            Damping::Off => 1.0,
        }
    }

    fn flow_proposal(
        &self,
        flow: &GuardedFlow,
        input: &GuardInput,
        elapsed_s: f64,
    ) -> FlowProposal {
        let by_zone = self.weights.get(&flow.service).map(|arms| current_weights(arms, flow));
        let weight_of = |by_zone: &HashMap<Arc<str>, f64>, site: &usize| {
            by_zone.get(&input.sites[*site].name.availability_zone).copied().unwrap_or(0.0)
        };
        FlowProposal {
            rate_per_s: flow.rate_per_s,
            sites: flow.sites.clone(),
            current: by_zone
                .map(|by_zone| flow.sites.iter().map(|site| weight_of(&by_zone, site)).collect()),
            proposed: flow.proposed.clone(),
            gain: self.gain(flow, input, elapsed_s),
        }
    }

    fn site_limit(
        &self,
        site: usize,
        input: &GuardInput,
        flows: &[FlowProposal],
        elapsed_s: f64,
        now: Time,
    ) -> GrowthLimit {
        let GuardedSite { name, figures, .. } = &input.sites[site];
        growth_limit(RampInput {
            rate_per_s: flows.iter().map(|flow| current_rate_per_s(flow, site)).sum(),
            headroom_slots: figures.headroom_slots - self.unreported_slots(name, figures.age, now),
            latency_ms: figures.latency_ms,
            response_time_ms: figures.response_time_ms.filter(|_| figures.is_measured),
            baseline_response_time_ms: self.baseline_response_times_ms.get(&name.service).copied(),
            elapsed_s,
        })
    }

    /// Returns the slots that growth newer than the figures will use.
    fn unreported_slots(&self, site: &SiteName, age: Duration, now: Time) -> f64 {
        if self.damping == Damping::Off {
            return 0.0;
        }
        let growth = self.growth.get(site).into_iter().flatten();
        growth.filter(|growth| now.since(growth.at) <= age).map(|growth| growth.slots).sum()
    }

    /// Updates the baseline response time of each service, the median over its sites.
    ///
    /// It falls at once and rises slowly, so that a slowdown of all sites doesn't become the
    /// baseline.
    fn update_baselines(&mut self, input: &GuardInput, elapsed_s: f64) {
        let mut measured: HashMap<&Arc<str>, Vec<f64>> = HashMap::new();
        for site in &input.sites {
            if let Some(time_ms) = site.figures.response_time_ms {
                measured.entry(&site.name.service).or_default().push(time_ms);
            }
        }
        for (service, mut times_ms) in measured {
            times_ms.sort_by(f64::total_cmp);
            let median_ms = times_ms[(times_ms.len() - 1) / 2];
            let baseline_ms =
                self.baseline_response_times_ms.entry(service.clone()).or_insert(median_ms);
            let rise_fraction = (elapsed_s / BASELINE_RISE_S).min(1.0);
            *baseline_ms = median_ms.min(*baseline_ms + (median_ms - *baseline_ms) * rise_fraction);
        }
    }

    fn record_step(
        &mut self,
        input: &GuardInput,
        flows: &[FlowProposal],
        allowed: &[Vec<f64>],
        now: Time,
    ) {
        self.last_step = Some(now);
        for growth in self.growth.values_mut() {
            growth.retain(|growth| now.since(growth.at) < GROWTH_RETENTION);
        }
        self.growth.retain(|_, growth| !growth.is_empty());
        self.weights.clear();
        for ((guarded_flow, flow), allowed) in input.flows.iter().zip(flows).zip(allowed) {
            let mut by_zone = HashMap::new();
            for (position, (site, weight)) in flow.sites.iter().zip(allowed).enumerate() {
                let GuardedSite { name, figures, .. } = &input.sites[*site];
                by_zone.insert(name.availability_zone.clone(), *weight);
                let current = flow.current.as_ref().map_or(*weight, |current| current[position]);
                let growth_per_s = (weight - current) * flow.rate_per_s;
                if growth_per_s > 0.0 {
                    let slots = growth_per_s * figures.latency_ms / 1_000.0;
                    let growth = self.growth.entry(name.clone()).or_default();
                    growth.push_back(Growth { at: now, slots });
                }
            }
            let (arm, share_percent) = (guarded_flow.arm.clone(), guarded_flow.share_percent);
            let arms = self.weights.entry(guarded_flow.service.clone()).or_default();
            arms.push(ArmWeights { arm, share_percent, by_zone });
        }
    }
}

/// Returns the current weights for the callers of a flow: those of its arm or, if the arm is new or
/// its share has changed, the average of all arms weighted by their shares, as its callers may have
/// come from any of them.
fn current_weights(arms: &[ArmWeights], flow: &GuardedFlow) -> HashMap<Arc<str>, f64> {
    let is_same = |arm_weights: &&ArmWeights| {
        arm_weights.arm == flow.arm && arm_weights.share_percent == flow.share_percent
    };
    if let Some(arm_weights) = arms.iter().find(is_same) {
        return arm_weights.by_zone.clone();
    }
    let mut mixed = HashMap::new();
    for arm_weights in arms {
        for (zone, weight) in &arm_weights.by_zone {
            let fraction = f64::from(arm_weights.share_percent) / 100.0;
            *mixed.entry(zone.clone()).or_insert(0.0) += weight * fraction;
        }
    }
    mixed
}

fn current_rate_per_s(flow: &FlowProposal, site: usize) -> f64 {
    let Some(current) = &flow.current else { return 0.0 };
    let weights = flow.sites.iter().zip(current).filter(|(position, _)| **position == site);
    weights.map(|(_, weight)| weight * flow.rate_per_s).sum()
}

/// Returns the closed sites: those without a usable backend server and those that fail. If more
/// than half of a service's sites fail, the figures are considered wrong and none of them is
/// closed.
fn closed_sites(input: &GuardInput) -> HashSet<usize> {
    let mut closed: HashSet<usize> =
        (0..input.sites.len()).filter(|site| !input.sites[*site].is_usable).collect();
    let mut by_service: HashMap<&Arc<str>, Vec<usize>> = HashMap::new();
    for (position, site) in input.sites.iter().enumerate().filter(|(_, site)| site.is_usable) {
        by_service.entry(&site.name.service).or_default().push(position);
    }
    for sites in by_service.into_values() {
        let is_failing =
            |site: &&usize| input.sites[**site].figures.failed_share >= CLOSING_FAILED_SHARE;
        let failing: Vec<usize> = sites.iter().filter(is_failing).copied().collect();
        if failing.len() * 2 <= sites.len() {
            closed.extend(failing);
        }
    }
    closed
}
