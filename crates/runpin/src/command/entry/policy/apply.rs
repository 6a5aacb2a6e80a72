//! `runpin entry policy apply`.

use super::record::StoredRecord;
use crate::command::file::read_file;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use steering::deployment::Arm;

/// put a set of arms in force; without any, the built-in rule steers all objects
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(super) struct Apply {
    /// address of the platform's store, IP:PORT (RUNPIN_STORE)
    #[argh(option)]
    store: Option<SocketAddr>,
    /// number of the set that this one replaces
    #[argh(option)]
    expect_number: Option<u64>,
    /// check only, and change nothing
    #[argh(switch)]
    dry_run: bool,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
    /// an arm as NAME:WEIGHT:FILE, or NAME:WEIGHT for the built-in rule; may be repeated
    #[argh(option)]
    arm: Vec<ArmOption>,
}

/// An arm as given on the command line.
#[derive(Clone, Debug)]
pub(super) struct ArmOption {
    name: String,
    weight: u32,
    /// File with the program; `None` for the built-in rule.
    file: Option<PathBuf>,
}

impl FromStr for ArmOption {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut fields = text.splitn(3, ':');
        let name = fields.next().unwrap_or_default().to_owned();
        let weight = fields.next().and_then(|weight| weight.parse().ok());
        let weight =
            weight.ok_or_else(|| format!("`{text}` is not NAME:WEIGHT or NAME:WEIGHT:FILE"))?;
        Ok(Self { name, weight, file: fields.next().map(PathBuf::from) })
    }
}

impl ArmOption {
    fn read(&self) -> Result<Arm, CommandError> {
        let program = self.file.as_deref().map(read_file).transpose()?;
        let program = program.map(Into::into);
        Ok(Arm { name: self.name.as_str().into(), weight: self.weight, program })
    }
}

/// Validates the arms and puts them in force.
pub(super) async fn run(options: &Apply) -> Result<Exit, CommandError> {
    let arms = options.arm.iter().map(ArmOption::read);
    let arms = arms.collect::<Result<Vec<Arm>, CommandError>>()?;
    let stored = StoredRecord::read(options.store).await?;
    stored.check_number(options.expect_number)?;
    let record = stored.record.with_arms(arms)?;
    if options.dry_run {
        let number = record.current.number;
        options.output.show(&record.current, format!("set {number} would be in force"))?;
    } else {
        stored.replace(&record, options.output).await?;
    }
    Ok(Exit::Done)
}
