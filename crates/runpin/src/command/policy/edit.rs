//! Edits the policies and arms of a configuration text; the rest of the text stays unchanged.

use configuration::ConfigurationError;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;
use toml_edit::{ArrayOfTables, DocumentMut, Item, Table, value};

/// A configuration text; edits preserve its comments and order.
#[derive(Clone, Debug)]
pub(crate) struct ConfigurationText(DocumentMut);

/// Change of an arm.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ArmChange {
    /// Name of the arm.
    name: String,
    /// Policy and share of the arm; `None` to remove the arm.
    assignment: Option<(String, ArmShare)>,
}

/// Share of the callers that an arm gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ArmShare {
    /// Percentage of the callers.
    Percent(u32),
    /// No callers; the decisions of the arm are only recorded.
    Shadow,
}

/// Why a policy or arm can't be changed as requested.
#[derive(Debug, Error)]
pub(crate) enum PolicyEditError {
    /// The configuration in force is not valid TOML.
    #[error("the configuration in force can't be changed: {0}")]
    Toml(#[from] toml_edit::TomlError),
    /// A key of the configuration in force is not an array of tables.
    #[error("`{0}` of the configuration in force is not a list of tables")]
    NotTables(&'static str),
    /// The changed configuration is not valid.
    #[error("the change is refused, and nothing was changed: {0}")]
    InvalidConfiguration(#[from] ConfigurationError),
    /// An arm is not in the expected format.
    #[error("`{0}` is not ARM=POLICY:PERCENT, ARM=POLICY:shadow or ARM=none")]
    InvalidArm(String),
    /// The command names neither a program nor an arm.
    #[error("name a file with the policy's program, or an arm with --arm")]
    NoChange,
    /// The version does not have the policy.
    #[error("{version} has no policy `{name}`; see `runpin policy list`")]
    UnknownPolicy { version: String, name: String },
    /// No stored earlier version has a different program of the policy.
    #[error("no version that is kept has another program of the policy `{0}`")]
    NoEarlierProgram(String),
}

impl FromStr for ArmChange {
    type Err = PolicyEditError;

    fn from_str(text: &str) -> Result<Self, PolicyEditError> {
        let invalid = || PolicyEditError::InvalidArm(text.to_owned());
        let (name, assignment) = text.split_once('=').ok_or_else(invalid)?;
        if assignment == "none" {
            return Ok(Self { name: name.to_owned(), assignment: None });
        }
        let (policy, share) = assignment.split_once(':').ok_or_else(invalid)?;
        let share = match share {
            "shadow" => ArmShare::Shadow,
            percent => ArmShare::Percent(percent.parse().map_err(|_| invalid())?),
        };
        Ok(Self { name: name.to_owned(), assignment: Some((policy.to_owned(), share)) })
    }
}

impl FromStr for ConfigurationText {
    type Err = PolicyEditError;

    fn from_str(text: &str) -> Result<Self, PolicyEditError> {
        Ok(Self(text.parse()?))
    }
}

impl fmt::Display for ConfigurationText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl ConfigurationText {
    /// Sets the program of a policy; creates the policy if it does not exist.
    pub(super) fn set_program(&mut self, name: &str, program: &str) -> Result<(), PolicyEditError> {
        update_table(self.tables("policy")?, name, |policy| policy["program"] = value(program));
        Ok(())
    }

    /// Creates, changes or removes an arm.
    pub(super) fn change_arm(&mut self, change: &ArmChange) -> Result<(), PolicyEditError> {
        let arms = self.tables("arm")?;
        match &change.assignment {
            Some((policy, share)) => {
                update_table(arms, &change.name, |arm| assign_policy(arm, policy, *share))
            }
            None => arms.retain(|arm| !has_name(arm, &change.name)),
        }
        Ok(())
    }

    /// Returns the array of tables with the given key; creates it if it does not exist.
    fn tables(&mut self, name: &'static str) -> Result<&mut ArrayOfTables, PolicyEditError> {
        let item = self.0.entry(name).or_insert_with(|| Item::ArrayOfTables(ArrayOfTables::new()));
        *item = match std::mem::take(item).into_array_of_tables() {
            Ok(tables) => Item::ArrayOfTables(tables),
            Err(other) => other,
        };
        item.as_array_of_tables_mut().ok_or(PolicyEditError::NotTables(name))
    }
}

fn assign_policy(arm: &mut Table, policy: &str, share: ArmShare) {
    arm["policy"] = value(policy);
    match share {
        ArmShare::Percent(percent) => {
            arm["share_percent"] = value(i64::from(percent));
            arm.remove("shadow");
        }
        ArmShare::Shadow => {
            arm["shadow"] = value(true);
            arm.remove("share_percent");
        }
    }
}

/// Changes the table whose `name` is `name`; creates it if it does not exist.
fn update_table(tables: &mut ArrayOfTables, name: &str, change: impl FnOnce(&mut Table)) {
    if let Some(table) = tables.iter_mut().find(|table| has_name(table, name)) {
        change(table);
        return;
    }
    let mut table = Table::new();
    table["name"] = value(name);
    change(&mut table);
    tables.push(table);
}

fn has_name(table: &Table, name: &str) -> bool {
    table.get("name").and_then(Item::as_str) == Some(name)
}
