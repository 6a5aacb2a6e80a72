//! Weights that policies propose, and their replacements when policies fail.

use super::explain::Origin;
use crate::policy::{PolicyError, Program, View, nearest};
use std::collections::HashMap;
use std::sync::Arc;

/// The compiled policies of one configuration version, in its order.
#[derive(Debug, Default)]
pub struct Programs {
    programs: Vec<Result<Program, PolicyError>>,
}

/// Proposed weights of one service and arm.
#[derive(Clone, Debug)]
pub(super) struct Proposal {
    pub(super) weights: Vec<f64>,
    pub(super) origin: Origin,
    pub(super) error: Option<PolicyError>,
}

/// The last valid weights of each arm's policy.
#[derive(Debug, Default)]
pub(super) struct LastGood {
    weights: HashMap<ArmAndService, WeightsByZone>,
}

type ArmAndService = (Arc<str>, Arc<str>);
type WeightsByZone = HashMap<Arc<str>, f64>;

impl Programs {
    /// Compiles every policy; one that does not compile returns its error when it is evaluated.
    pub fn compile(policies: &[configuration::Policy]) -> Self {
        Self { programs: policies.iter().map(|policy| Program::compile(&policy.program)).collect() }
    }

    /// Returns the errors of policies that do not compile, by index.
    pub fn errors(&self) -> impl Iterator<Item = (usize, &PolicyError)> {
        let errors = self.programs.iter().enumerate();
        errors.filter_map(|(position, program)| Some((position, program.as_ref().err()?)))
    }

    fn weights(&self, policy: usize, view: &View) -> Option<Result<Vec<f64>, PolicyError>> {
        let program = self.programs.get(policy)?;
        Some(program.as_ref().map_err(Clone::clone).and_then(|program| program.weights(view)))
    }
}

impl LastGood {
    /// Evaluates the arm's policy; if it fails, falls back to its last valid weights or else to the
    /// built-in policy.
    pub(super) fn propose(
        &mut self,
        programs: &Programs,
        arm: &Arc<str>,
        policy: Option<usize>,
        view: &View,
    ) -> Proposal {
        let evaluated = policy.and_then(|policy| programs.weights(policy, view));
        let error = match evaluated {
            None => None,
            Some(Err(error)) => Some(error),
            Some(Ok(weights)) => {
                self.remember(arm, view, &weights);
                return Proposal { weights, origin: Origin::Policy, error: None };
            }
        };
        match self.recall(arm, view).filter(|_| error.is_some()) {
            Some(weights) => Proposal { weights, origin: Origin::LastGood, error },
            None => Proposal { weights: nearest(view), origin: Origin::BuiltIn, error },
        }
    }

    fn remember(&mut self, arm: &Arc<str>, view: &View, weights: &[f64]) {
        let zones = view.sites.iter().map(|site| site.availability_zone.clone());
        let by_zone = zones.zip(weights.iter().copied()).collect();
        self.weights.insert((arm.clone(), view.service.clone()), by_zone);
    }

    /// Returns the last valid weights for the sites that the view still has, scaled to a sum of 1.
    fn recall(&self, arm: &Arc<str>, view: &View) -> Option<Vec<f64>> {
        let by_zone = self.weights.get(&(arm.clone(), view.service.clone()))?;
        let weight_of = |zone: &Arc<str>| by_zone.get(zone).copied().unwrap_or(0.0);
        let weights: Vec<f64> =
            view.sites.iter().map(|site| weight_of(&site.availability_zone)).collect();
        let sum: f64 = weights.iter().sum();
        (sum > 0.0).then(|| weights.iter().map(|weight| weight / sum).collect())
    }
}
