//! `runpin policy list`.

use crate::client::Client;
use crate::command::config;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use crate::table::Table;
use argh::FromArgs;
use configuration::{Arm, Configuration, ManifestError};
use serde::Serialize;
use std::net::SocketAddr;

/// show the policies in force and the arms that run them
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(super) struct PolicyList {
    /// address for operators of an instance, IP:PORT; may be repeated (RUNPIN_INSTANCE)
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
}

/// Policies and arms of a configuration version.
#[derive(Debug, Serialize)]
struct Policies<'a> {
    number: u64,
    policies: Vec<PolicyEntry<'a>>,
    arms: Vec<ArmEntry<'a>>,
}

#[derive(Debug, Serialize)]
struct PolicyEntry<'a> {
    name: &'a str,
    program: &'a str,
}

#[derive(Debug, Serialize)]
struct ArmEntry<'a> {
    name: &'a str,
    policy: &'a str,
    share_percent: u32,
    shadow: bool,
}

/// Prints the policies and arms of the version in force.
pub(super) async fn run(options: &PolicyList) -> Result<Exit, CommandError> {
    let client = Client::for_reading(&options.instance)?;
    let manifest = config::fetch_manifest(&client, None).await?;
    let configuration: Configuration = manifest.text.parse().map_err(ManifestError::from)?;
    let policies = Policies {
        number: manifest.number,
        policies: configuration
            .policies
            .iter()
            .map(|policy| PolicyEntry { name: &policy.name, program: &policy.program })
            .collect(),
        arms: configuration.arms.iter().map(|arm| arm_entry(arm, &configuration)).collect(),
    };
    options.output.show(&policies, describe(&policies))?;
    Ok(Exit::Done)
}

fn arm_entry<'a>(arm: &'a Arm, configuration: &'a Configuration) -> ArmEntry<'a> {
    ArmEntry {
        name: &arm.name,
        policy: &configuration.policies[arm.policy].name,
        share_percent: arm.share_percent,
        shadow: arm.shadow,
    }
}

fn describe(policies: &Policies<'_>) -> String {
    let mut table = Table::new(["POLICY", "LINES", "ARMS"]);
    for policy in &policies.policies {
        let arms = policies.arms.iter().filter(|arm| arm.policy == policy.name);
        let arms = arms.map(|arm| match arm.shadow {
            true => format!("{} (shadow)", arm.name),
            false => format!("{} ({} %)", arm.name, arm.share_percent),
        });
        let arms: Vec<String> = arms.collect();
        table.add_row([
            policy.name.to_owned(),
            policy.program.lines().count().to_string(),
            arms.join(", "),
        ]);
    }
    match table.is_empty() {
        true => format!("version {}: no policies, so the built-in one steers", policies.number),
        false => format!("version {}\n{table}", policies.number),
    }
}
