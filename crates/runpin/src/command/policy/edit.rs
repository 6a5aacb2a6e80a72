//! Changing policies and arms in a configuration text, and nothing else in it.

use configuration::ConfigurationError;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;
use toml_edit::{ArrayOfTables, DocumentMut, Item, Table, value};

/// A configuration text whose comments and order are kept.
#[derive(Clone, Debug)]
pub(crate) struct ConfigurationText(DocumentMut);

/// What an arm is to be.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ArmChange {
    /// Name of the arm.
    name: String,
    /// What it runs; `None` where it is to be removed.
    role: Option<(String, ArmShare)>,
}

/// How many callers an arm has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ArmShare {
    /// A part of them, in percent.
    Percent(u32),
    /// None: it only records.
    Shadow,
}

/// Why a policy or arm can't be changed as asked.
#[derive(Debug, Error)]
pub(crate) enum PolicyEditError {
    /// The configuration is not TOML.
    #[error("the configuration in force can't be changed: {0}")]
    Text(#[from] toml_edit::TomlError),
    /// A part of the configuration is not a list of tables.
    #[error("`{0}` of the configuration in force is not a list of tables")]
    Shape(&'static str),
    /// The changed configuration does not pass the checks.
    #[error("the change is refused, and nothing was changed: {0}")]
    Refused(#[from] ConfigurationError),
    /// An arm is not written as it should be.
    #[error("`{0}` is not ARM=POLICY:PERCENT, ARM=POLICY:shadow or ARM=none")]
    Arm(String),
    /// Neither a program nor an arm is to change.
    #[error("name a file with the policy's program, or an arm with --arm")]
    Nothing,
    /// There is no such policy.
    #[error("{version} has no policy `{name}`; see `runpin policy list`")]
    UnknownPolicy { version: String, name: String },
    /// No earlier version has another program.
    #[error("no version that is kept has another program of the policy `{0}`")]
    NothingEarlier(String),
}

impl FromStr for ArmChange {
    type Err = PolicyEditError;

    fn from_str(text: &str) -> Result<Self, PolicyEditError> {
        let wrong = || PolicyEditError::Arm(text.to_owned());
        let (name, role) = text.split_once('=').ok_or_else(wrong)?;
        if role == "none" {
            return Ok(Self { name: name.to_owned(), role: None });
        }
        let (policy, share) = role.split_once(':').ok_or_else(wrong)?;
        let share = match share {
            "shadow" => ArmShare::Shadow,
            percent => ArmShare::Percent(percent.parse().map_err(|_| wrong())?),
        };
        Ok(Self { name: name.to_owned(), role: Some((policy.to_owned(), share)) })
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
    /// Gives a policy a program; makes the policy where there is none of that name.
    pub(super) fn set_program(&mut self, name: &str, program: &str) -> Result<(), PolicyEditError> {
        update(self.tables("policy")?, name, |policy| policy["program"] = value(program));
        Ok(())
    }

    /// Makes, changes or removes an arm.
    pub(super) fn change_arm(&mut self, change: &ArmChange) -> Result<(), PolicyEditError> {
        let arms = self.tables("arm")?;
        match &change.role {
            Some((policy, share)) => {
                update(arms, &change.name, |arm| set_role(arm, policy, *share))
            }
            None => arms.retain(|arm| !has_name(arm, &change.name)),
        }
        Ok(())
    }

    /// Returns the list of tables of a name, which may be new.
    fn tables(&mut self, name: &'static str) -> Result<&mut ArrayOfTables, PolicyEditError> {
        let item = self.0.entry(name).or_insert_with(|| Item::ArrayOfTables(ArrayOfTables::new()));
        *item = match std::mem::take(item).into_array_of_tables() {
            Ok(tables) => Item::ArrayOfTables(tables),
            Err(other) => other,
        };
        item.as_array_of_tables_mut().ok_or(PolicyEditError::Shape(name))
    }
}

fn set_role(arm: &mut Table, policy: &str, share: ArmShare) {
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

/// Changes the table with a name, which may be new.
fn update(tables: &mut ArrayOfTables, name: &str, change: impl FnOnce(&mut Table)) {
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
