//! What policies wish, and what is wished in their place when they fail.

use super::explain::Origin;
use crate::policy::{PolicyError, Program, View, nearest};
use std::collections::HashMap;
use std::sync::Arc;

/// The compiled programs of one configuration version, in its order.
#[derive(Debug, Default)]
pub struct Programs {
    programs: Vec<Result<Program, PolicyError>>,
}

/// Wishes of one service and arm.
#[derive(Clone, Debug)]
pub(super) struct Wish {
    pub(super) weights: Vec<f64>,
    pub(super) origin: Origin,
    pub(super) error: Option<PolicyError>,
}

/// What each arm's policy last said.
#[derive(Debug, Default)]
pub(super) struct LastGood {
    weights: HashMap<ArmAndService, WeightsByZone>,
}

type ArmAndService = (Arc<str>, Arc<str>);
type WeightsByZone = HashMap<Arc<str>, f64>;

impl Programs {
    /// Compiles every policy; one that does not compile fails when it is asked.
    pub fn compile(policies: &[configuration::Policy]) -> Self {
        Self { programs: policies.iter().map(|policy| Program::compile(&policy.program)).collect() }
    }

    /// Returns the errors of the policies that do not compile, by position.
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
    /// Asks the arm's policy, and takes its last good answer or the built-in policy if it fails.
    pub(super) fn wish(
        &mut self,
        programs: &Programs,
        arm: &Arc<str>,
        policy: Option<usize>,
        view: &View,
    ) -> Wish {
        let asked = policy.and_then(|policy| programs.weights(policy, view));
        let error = match asked {
            None => None,
            Some(Err(error)) => Some(error),
            Some(Ok(weights)) => {
                self.remember(arm, view, &weights);
                return Wish { weights, origin: Origin::Policy, error: None };
            }
        };
        match self.recall(arm, view).filter(|_| error.is_some()) {
            Some(weights) => Wish { weights, origin: Origin::LastGood, error },
            None => Wish { weights: nearest(view), origin: Origin::BuiltIn, error },
        }
    }

    fn remember(&mut self, arm: &Arc<str>, view: &View, weights: &[f64]) {
        let zones = view.sites.iter().map(|site| site.availability_zone.clone());
        let by_zone = zones.zip(weights.iter().copied()).collect();
        self.weights.insert((arm.clone(), view.service.clone()), by_zone);
    }

    /// Returns the last good weights of the sites that the view still has.
    fn recall(&self, arm: &Arc<str>, view: &View) -> Option<Vec<f64>> {
        let by_zone = self.weights.get(&(arm.clone(), view.service.clone()))?;
        let weight_of = |zone: &Arc<str>| by_zone.get(zone).copied().unwrap_or(0.0);
        let weights: Vec<f64> =
            view.sites.iter().map(|site| weight_of(&site.availability_zone)).collect();
        let sum: f64 = weights.iter().sum();
        (sum > 0.0).then(|| weights.iter().map(|weight| weight / sum).collect())
    }
}
