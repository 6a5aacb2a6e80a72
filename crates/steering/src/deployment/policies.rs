//! The steering policies that operators have put in force, and their checks.

use crate::policy::{PolicyError, Program};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Key of the object that holds the policies, among the project's own objects in the store.
pub const POLICIES_KEY: &str = "steering/policies";

/// Most arms: each has its own shares, which are moved and compared apart.
pub const MOST_ARMS: usize = 4;

/// Sets of policies that are kept besides the one in force.
pub const KEPT_SETS: usize = 5;

/// Longest name of an arm, in bytes.
const MOST_NAME_BYTES: usize = 40;

/// Why policies can't be put in force.
#[derive(Debug, thiserror::Error)]
pub enum PoliciesError {
    /// The text has not the expected form.
    #[error("policies can't be read: {0}")]
    Form(#[from] serde_json::Error),
    /// There are too many arms.
    #[error("{0} arms are too many; the most are {MOST_ARMS}")]
    TooMany(usize),
    /// An arm has no usable name.
    #[error("arm name {0:?} must be 1 to {MOST_NAME_BYTES} letters, digits, `-` or `_`")]
    Name(Arc<str>),
    /// Two arms have one name.
    #[error("two arms are named {0}")]
    Twice(Arc<str>),
    /// No arm has a weight.
    #[error("the weights of the arms are all 0")]
    NoWeight,
    /// A program can't be compiled.
    #[error("program of arm {arm}: {source}")]
    Program {
        /// The arm.
        arm: Arc<str>,
        /// Why.
        source: PolicyError,
    },
}

/// One arm: a part of the objects of each service, steered by one program.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// Its name.
    pub name: Arc<str>,
    /// Its part of the objects, against the weights of the other arms.
    pub weight: u32,
    /// Its program; none for the built-in rule.  It is always written, as instances tell each other
    /// in a form without names.
    #[serde(default)]
    pub program: Option<Arc<str>>,
}

/// The arms in force; without any, the built-in rule steers all objects.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Policies {
    /// Number of the set; each change has a higher one.
    pub number: u64,
    /// The arms, in the order in which they divide the objects.
    pub arms: Vec<Arm>,
}

impl Policies {
    /// Checks names, weights and programs.
    ///
    /// # Errors
    ///
    /// Names the arm and what is wrong with it.
    pub fn check(&self) -> Result<(), PoliciesError> {
        if self.arms.len() > MOST_ARMS {
            return Err(PoliciesError::TooMany(self.arms.len()));
        }
        let mut names = BTreeSet::new();
        for arm in &self.arms {
            let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
            let fits = (1..=MOST_NAME_BYTES).contains(&arm.name.len());
            if !fits || !arm.name.bytes().all(allowed) {
                return Err(PoliciesError::Name(arm.name.clone()));
            }
            if !names.insert(&arm.name) {
                return Err(PoliciesError::Twice(arm.name.clone()));
            }
            if let Some(program) = &arm.program {
                Program::compile(program).map_err(|source| {
                    let arm = arm.name.clone();
                    PoliciesError::Program { arm, source }
                })?;
            }
        }
        if !self.arms.is_empty() && self.arms.iter().all(|arm| arm.weight == 0) {
            return Err(PoliciesError::NoWeight);
        }
        Ok(())
    }
}

/// What the store holds: the set in force and earlier ones, newest first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyRecord {
    /// The set in force.
    pub current: Policies,
    /// Earlier sets, newest first; at most [`KEPT_SETS`].
    pub earlier: Vec<Policies>,
}

impl PolicyRecord {
    /// Reads a record and checks the set in force.
    ///
    /// # Errors
    ///
    /// Says what is wrong.
    pub fn read(text: &str) -> Result<Self, PoliciesError> {
        let record: Self = serde_json::from_str(text)?;
        record.current.check()?;
        Ok(record)
    }

    /// The record after these arms are put in force.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the arms.
    pub fn with(&self, arms: Vec<Arm>) -> Result<Self, PoliciesError> {
        let current = Policies { number: self.current.number + 1, arms };
        current.check()?;
        let mut earlier = self.earlier.clone();
        if self.current.number > 0 {
            earlier.insert(0, self.current.clone());
        }
        earlier.truncate(KEPT_SETS);
        Ok(Self { current, earlier })
    }
}
