//! The steering policies that operators have applied, and their validation.

use crate::policy::{PolicyError, Program};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Key of the policies among the objects that runpin owns in the store.
pub const POLICIES_KEY: &str = "steering/policies";

/// Largest number of arms: each has its own shares, which are updated and compared separately.
pub const MAX_ARMS: usize = 4;

/// Number of earlier sets of policies that are kept besides the current one.
pub const MAX_EARLIER_SETS: usize = 5;

/// Longest name of an arm, in bytes.
const MAX_NAME_BYTES: usize = 40;

/// Why policies can't be applied.
#[derive(Debug, thiserror::Error)]
pub enum PoliciesError {
    /// The text is not the JSON of a policy record.
    #[error("invalid policies: {0}")]
    Parse(#[from] serde_json::Error),
    /// There are more than [`MAX_ARMS`] arms.
    #[error("{0} arms are too many; at most {MAX_ARMS} are allowed")]
    TooManyArms(usize),
    /// The name of an arm is invalid.
    #[error("arm name {0:?} must be 1 to {MAX_NAME_BYTES} letters, digits, `-` or `_`")]
    Name(Arc<str>),
    /// Two arms have the same name.
    #[error("two arms are named {0}")]
    DuplicateName(Arc<str>),
    /// All weights are zero.
    #[error("the weights of the arms are all 0")]
    NoWeight,
    /// A program does not compile.
    #[error("program of arm {arm}: {source}")]
    Program {
        /// Name of the arm.
        arm: Arc<str>,
        /// Error of the compiler.
        source: PolicyError,
    },
}

/// One arm: a share of the objects of each service, steered by one program.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// Its name.
    pub name: Arc<str>,
    /// Its share of the objects, relative to the weights of the other arms.
    pub weight: u32,
    /// Its program; none for the built-in rule.  The field is never skipped, as instances send each
    /// other an encoding without field names.
    #[serde(default)]
    pub program: Option<Arc<str>>,
}

/// A set of arms; without any, the built-in rule steers all objects.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Policies {
    /// Number of the set; each change increases it.
    pub number: u64,
    /// The arms, in the order in which objects are assigned to them.
    pub arms: Vec<Arm>,
}

impl Policies {
    /// Validates names, weights and programs.
    ///
    /// # Errors
    ///
    /// Returns the first problem, with the name of the arm where it has one.
    pub fn check(&self) -> Result<(), PoliciesError> {
        if self.arms.len() > MAX_ARMS {
            return Err(PoliciesError::TooManyArms(self.arms.len()));
        }
        let mut names = BTreeSet::new();
        for arm in &self.arms {
            let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
            let is_valid_length = (1..=MAX_NAME_BYTES).contains(&arm.name.len());
            if !is_valid_length || !arm.name.bytes().all(is_allowed) {
                return Err(PoliciesError::Name(arm.name.clone()));
            }
            if !names.insert(&arm.name) {
                return Err(PoliciesError::DuplicateName(arm.name.clone()));
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

/// The object in the store: the current set and the earlier ones.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyRecord {
    /// The current set.
    pub current: Policies,
    /// Earlier sets, newest first; at most [`MAX_EARLIER_SETS`].
    pub earlier: Vec<Policies>,
}

impl PolicyRecord {
    /// Parses the JSON of a record and validates the current set.
    ///
    /// # Errors
    ///
    /// Returns the error of the parser, or the first problem of the current set.
    pub fn parse(text: &str) -> Result<Self, PoliciesError> {
        let record: Self = serde_json::from_str(text)?;
        record.current.check()?;
        Ok(record)
    }

    /// Returns the record with these arms as the current set.
    ///
    /// # Errors
    ///
    /// Returns the first problem of the arms.
    pub fn with_arms(&self, arms: Vec<Arm>) -> Result<Self, PoliciesError> {
        let current = Policies { number: self.current.number + 1, arms };
        current.check()?;
        let mut earlier = self.earlier.clone();
        if self.current.number > 0 {
            earlier.insert(0, self.current.clone());
        }
        earlier.truncate(MAX_EARLIER_SETS);
        Ok(Self { current, earlier })
    }
}
