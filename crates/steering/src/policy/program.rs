//! A compiled policy program.

use super::engine::{MAX_OPERATIONS, MAX_PROGRAM_BYTES, engine};
use super::{PolicyError, SiteView, View};
use rhai::{AST, Array, Dynamic, Engine, EvalAltResult, Map, Position, Scope};

/// A policy program, compiled once and run for each view.
///
/// The program sees the constants `service`, `availability_zone`, `region` and `sites`, a list of
/// maps with the fields of [`SiteView`], and returns a list of weights, one for each site.
#[derive(Debug)]
pub struct Program {
    engine: Engine,
    ast: AST,
}

impl Program {
    /// Compiles a program.
    pub fn compile(text: &str) -> Result<Self, PolicyError> {
        if text.len() > MAX_PROGRAM_BYTES {
            return Err(PolicyError::TooLarge { bytes: text.len(), limit: MAX_PROGRAM_BYTES });
        }
        let engine = engine();
        let ast = engine.compile(text).map_err(|error| PolicyError::Syntax {
            line: line(error.position()),
            message: error.err_type().to_string(),
        })?;
        Ok(Self { engine, ast })
    }

    /// Runs the program and returns the weights of the view's sites, which add up to 1.
    pub fn weights(&self, view: &View) -> Result<Vec<f64>, PolicyError> {
        let mut scope = scope(view);
        let value = self
            .engine
            .eval_ast_with_scope::<Dynamic>(&mut scope, &self.ast)
            .map_err(|error| run_error(&error))?;
        let found = value.type_name().to_owned();
        let list = value.try_cast::<Array>().ok_or(PolicyError::NotAList { found })?;
        if list.len() != view.sites.len() {
            let expected = view.sites.len();
            return Err(PolicyError::Length { found: list.len(), expected });
        }
        let weights =
            list.iter().enumerate().map(weight).collect::<Result<Vec<f64>, PolicyError>>()?;
        normalize(&weights)
    }
}

fn scope(view: &View) -> Scope<'static> {
    let sites: Array = view.sites.iter().map(|site| Dynamic::from_map(site_map(site))).collect();
    let mut scope = Scope::new();
    scope.push_constant("service", view.service.to_string());
    scope.push_constant("availability_zone", view.availability_zone.to_string());
    scope.push_constant("region", view.region.to_string());
    scope.push_constant("sites", sites);
    scope
}

fn site_map(site: &SiteView) -> Map {
    let numbers = [
        ("delay_ms", site.delay_ms),
        ("capacity_slots", site.capacity_slots),
        ("headroom_slots", site.headroom_slots),
        ("latency_ms", site.latency_ms),
        ("failed_share", site.failed_share),
        ("age_ms", site.age_ms),
    ];
    let texts =
        [("availability_zone", &site.availability_zone), ("region", &site.region)].into_iter();
    numbers
        .into_iter()
        .map(|(name, number)| (name.into(), Dynamic::from_float(number)))
        .chain(texts.map(|(name, text)| (name.into(), text.to_string().into())))
        .collect()
}

fn weight((position, value): (usize, &Dynamic)) -> Result<f64, PolicyError> {
    let number =
        value.as_float().or_else(|_| value.as_int().map(|number| number as f64)).unwrap_or(-1.0);
    match number.is_finite() && number >= 0.0 {
        true => Ok(number),
        false => Err(PolicyError::Weight { position, value: describe(value) }),
    }
}

/// Formats an invalid weight; other values than numbers may be large, so only their type is given.
fn describe(value: &Dynamic) -> String {
    match value.is_float() || value.is_int() {
        true => value.to_string(),
        false => value.type_name().to_owned(),
    }
}

/// Scales weights so that they add up to 1.
fn normalize(weights: &[f64]) -> Result<Vec<f64>, PolicyError> {
    let largest = weights.iter().copied().fold(0.0, f64::max);
    if largest == 0.0 {
        return Err(PolicyError::AllZero);
    }
    // Dividing by the largest weight first keeps the sum finite.
    let sum: f64 = weights.iter().map(|weight| weight / largest).sum();
    Ok(weights.iter().map(|weight| weight / largest / sum).collect())
}

fn run_error(error: &EvalAltResult) -> PolicyError {
    let line = line(error.position());
    match error.unwrap_inner() {
        EvalAltResult::ErrorTooManyOperations(_) => {
            PolicyError::TooManyOperations { line, limit: MAX_OPERATIONS }
        }
        inner => PolicyError::Run { line, message: message(inner) },
    }
}

/// Returns the error's text without its position, which has its own field.
fn message(error: &EvalAltResult) -> String {
    let text = error.to_string();
    match text.rsplit_once(" (line ") {
        Some((message, _)) => message.to_owned(),
        None => text,
    }
}

fn line(position: Position) -> usize {
    position.line().unwrap_or(0)
}
