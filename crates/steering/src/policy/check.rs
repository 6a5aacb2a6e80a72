//! Checks a policy program before it is applied.

use super::{PolicyError, Program, View};
use serde::Serialize;
use std::sync::Arc;

/// Weights that a program returned for one recorded view.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CheckedView {
    /// Service of the view.
    pub service: Arc<str>,
    /// Availability zone of the view.
    pub availability_zone: Arc<str>,
    /// Weights by the sites' availability zones; they add up to 1.
    pub weights: Vec<(Arc<str>, f64)>,
}

/// Compiles a program and runs it on recorded views, up to the first failure.
pub fn check_policy(program: &str, views: &[View]) -> Result<Vec<CheckedView>, PolicyError> {
    let program = Program::compile(program)?;
    views.iter().map(|view| check_view(&program, view)).collect()
}

fn check_view(program: &Program, view: &View) -> Result<CheckedView, PolicyError> {
    let weights = program.weights(view)?;
    let names = view.sites.iter().map(|site| site.availability_zone.clone());
    Ok(CheckedView {
        service: view.service.clone(),
        availability_zone: view.availability_zone.clone(),
        weights: names.zip(weights).collect(),
    })
}
