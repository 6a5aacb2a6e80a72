//! Builds tables: figures become views, policies propose weights for these, and the guard limits
//! the changes.

use super::arms::{ArmEntry, BUILT_IN_ARM};
use super::choice::Weights;
use super::counters::FlowCounts;
use super::explain::{ArmExplanation, SiteExplanation, Status};
use super::input::Input;
use super::proposals::{LastGood, Proposal};
use super::rates::{FlowName, Rates};
use super::table::{Flow, Table};
use super::views::{ServiceView, service_view};
use crate::Time;
use crate::guard::{Damping, GrowthLimit, Guard, GuardInput, GuardedFlow, GuardedSite};
use configuration::{ServiceIndex, ZoneIndex};
use std::sync::Arc;

/// A new table, with its explanation and the counts of the previous one.
#[derive(Debug)]
pub struct BuildOutput {
    /// The table.
    pub table: Table,
    /// The explanation of its weights.
    pub status: Status,
    /// Choices of requests since the last table, by service and then by arm.
    pub chosen: Vec<Vec<FlowCounts>>,
}

/// Builds the successive tables; its state outlives configuration versions.
#[derive(Debug, Default)]
pub struct Builder {
    guard: Guard,
    rates: Rates,
    last_good: LastGood,
}

impl Builder {
    /// Creates a builder without history.
    pub fn new(damping: Damping) -> Self {
        Self { guard: Guard::new(damping), ..Self::default() }
    }

    /// Builds the table that takes effect now.
    pub fn build(&mut self, input: &Input<'_>, now: Time) -> BuildOutput {
        let chosen = self.measure(input, now);
        let services = &input.configuration.services;
        let views: Vec<ServiceView> =
            services.iter().map(|service| service_view(input, service, now)).collect();
        let proposals: Vec<Vec<Proposal>> = views
            .iter()
            .map(|view| {
                input.arms.entries().iter().map(|arm| self.propose(input, arm, view)).collect()
            })
            .collect();
        let guarded = self.guard_input(input, &views, &proposals);
        let (allowed, limits) = self.guard.apply(&guarded, now);
        let flows = explanations(input, &views, &proposals, &guarded, &allowed, &limits);
        let status = Status { configuration_version: input.version, flows };
        BuildOutput { table: table(input, &allowed), status, chosen }
    }

    fn measure(&mut self, input: &Input<'_>, now: Time) -> Vec<Vec<FlowCounts>> {
        let counts = service_arm_pairs(input)
            .map(|(service, position, arm)| {
                let name = FlowName::new(&input.configuration.services[service.get()].name, arm);
                let flow = input.counters.flow(service, position);
                (name, flow.map(|flow| flow.counts()).unwrap_or_default())
            })
            .collect();
        let since = self.rates.measure(input.version, counts, now);
        since.chunks(input.arms.entries().len()).map(<[FlowCounts]>::to_vec).collect()
    }

    fn propose(&mut self, input: &Input<'_>, arm: &ArmEntry, view: &ServiceView) -> Proposal {
        self.last_good.propose(input.programs, &arm.name, arm.policy, &view.view)
    }

    fn guard_input(
        &self,
        input: &Input<'_>,
        views: &[ServiceView],
        proposals: &[Vec<Proposal>],
    ) -> GuardInput {
        let mut first_sites = Vec::with_capacity(views.len());
        let mut sites = Vec::new();
        for (view, service) in views.iter().zip(&input.configuration.services) {
            first_sites.push(sites.len());
            let named = view.names.iter().zip(&view.figures).zip(&service.sites);
            sites.extend(named.map(|((name, figures), site)| GuardedSite {
                name: name.clone(),
                figures: *figures,
                is_usable: !input.unusable.contains(name),
                link: site.availability_zone.get(),
            }));
        }
        let flows = service_arm_pairs(input)
            .map(|(service, position, arm)| {
                let view = &views[service.get()];
                let first = first_sites[service.get()];
                GuardedFlow {
                    arm: arm.name.clone(),
                    service: view.view.service.clone(),
                    share_percent: arm.share_percent,
                    rate_per_s: self.rates.rate_of(&FlowName::new(&view.view.service, arm)),
                    proposed: proposals[service.get()][position].weights.clone(),
                    sites: (first..first + view.names.len()).collect(),
                }
            })
            .collect();
        GuardInput { flows, sites, links_per_s: link_growth_per_s(input) }
    }
}

/// Returns all pairs of services and arms, ordered by service and then by arm.
fn service_arm_pairs<'a>(
    input: &Input<'a>,
) -> impl Iterator<Item = (ServiceIndex, usize, &'a ArmEntry)> + use<'a> {
    let arms = input.arms.entries();
    let services = 0..input.configuration.services.len();
    services.flat_map(move |service| {
        let arms = arms.iter().enumerate();
        arms.map(move |(position, arm)| (ServiceIndex::from(service), position, arm))
    })
}

/// Returns this instance's equal part of the shift limit of each link, by destination zone.
fn link_growth_per_s(input: &Input<'_>) -> Vec<f64> {
    let configuration = input.configuration;
    (0..configuration.availability_zones.len())
        .map(|to| {
            let index = configuration.link(input.own_zone, ZoneIndex::from(to));
            let link = &configuration.links[index.get()];
            let limit = link.cap_requests_per_s as f64 * link.shift_share_per_s;
            limit / input.instances.max(1) as f64
        })
        .collect()
}

fn table(input: &Input<'_>, allowed: &[Vec<f64>]) -> Table {
    let flow =
        |((service, position, _), weights): ((ServiceIndex, usize, &ArmEntry), &Vec<f64>)| {
            let counters = input.counters.flow(service, position)?.clone();
            Some(Flow { weights: Weights::new(weights), counters })
        };
    let flows: Vec<Flow> = service_arm_pairs(input).zip(allowed).filter_map(flow).collect();
    Table { flows: flows.chunks(input.arms.entries().len()).map(<[Flow]>::to_vec).collect() }
}

fn explanations(
    input: &Input<'_>,
    views: &[ServiceView],
    proposals: &[Vec<Proposal>],
    guarded: &GuardInput,
    allowed: &[Vec<f64>],
    limits: &[Option<GrowthLimit>],
) -> Vec<ArmExplanation> {
    service_arm_pairs(input)
        .zip(&guarded.flows)
        .zip(allowed)
        .map(|(((service, position, arm), flow), weights)| {
            let view = &views[service.get()];
            let proposal = &proposals[service.get()][position];
            let explain = |site: usize| {
                let global = flow.sites[site];
                let link_per_s = guarded.links_per_s[guarded.sites[global].link];
                explain_site(view, site, proposal.weights[site], weights[site])
                    .with_limits(limits[global], link_per_s)
            };
            ArmExplanation {
                service: flow.service.clone(),
                arm: arm.name.clone(),
                share_percent: arm.share_percent,
                shadow: arm.shadow,
                policy: policy_name(input, arm),
                origin: proposal.origin,
                policy_error: proposal.error.as_ref().map(ToString::to_string),
                rate_per_s: flow.rate_per_s,
                unplaced_share: (1.0 - weights.iter().sum::<f64>()).max(0.0),
                sites: (0..weights.len()).map(explain).collect(),
            }
        })
        .collect()
}

fn policy_name(input: &Input<'_>, arm: &ArmEntry) -> Arc<str> {
    let policy = arm.policy.and_then(|policy| input.configuration.policies.get(policy));
    policy.map_or_else(|| BUILT_IN_ARM.into(), |policy| policy.name.clone())
}

fn explain_site(view: &ServiceView, site: usize, proposed: f64, weight: f64) -> SiteExplanation {
    let site_view = &view.view.sites[site];
    SiteExplanation {
        availability_zone: site_view.availability_zone.clone(),
        proposed,
        weight,
        is_closed: false,
        headroom_growth_per_s: 0.0,
        ramp_growth_per_s: 0.0,
        link_growth_per_s: 0.0,
        capacity_slots: site_view.capacity_slots,
        headroom_slots: site_view.headroom_slots,
        latency_ms: site_view.latency_ms,
        is_measured: view.figures[site].is_measured,
        failed_share: site_view.failed_share,
        age_ms: site_view.age_ms,
    }
}
