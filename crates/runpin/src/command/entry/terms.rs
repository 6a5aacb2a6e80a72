//! `runpin entry terms`.

use crate::client::Client;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use crate::table::Table;
use argh::FromArgs;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// show the terms of the deployment, what an instance derives from each, and conflicts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "terms")]
pub(super) struct Terms {
    /// address for operators of an instance, IP:PORT; may be repeated (RUNPIN_INSTANCE)
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
}

/// Terms that are in force at an instance.
#[derive(Debug, Deserialize, Serialize)]
struct TermsInForce {
    terms: Vec<Term>,
    conflicts: Vec<String>,
}

/// A term and what is derived from it.
#[derive(Debug, Deserialize, Serialize)]
struct Term {
    name: String,
    value: Option<f64>,
    derived: Vec<DerivedValue>,
}

/// A value that is derived from a term.
#[derive(Debug, Deserialize, Serialize)]
struct DerivedValue {
    name: String,
    value: f64,
}

/// Queries an instance and prints its response.
pub(super) async fn run(options: Terms) -> Result<Exit, CommandError> {
    let client = Client::without_token(&options.instance)?;
    let terms: TermsInForce = client.read("/v1/terms").await?;
    options.output.show(&terms, describe(&terms))?;
    Ok(Exit::Done)
}

fn describe(in_force: &TermsInForce) -> String {
    let mut table = Table::new(["TERM", "VALUE", "DERIVED"]);
    for term in &in_force.terms {
        let value = term.value.map_or_else(|| "not agreed".to_owned(), |value| value.to_string());
        let mut derived = term.derived.iter().map(|derived| {
            let DerivedValue { name, value } = derived;
            format!("{name} {value:.3}")
        });
        table.add_row([term.name.clone(), value, derived.next().unwrap_or_default()]);
        derived.for_each(|derived| table.add_row([String::new(), String::new(), derived]));
    }
    let conflicts = in_force.conflicts.iter().map(|conflict| format!("conflict: {conflict}\n"));
    format!("{table}{}", conflicts.collect::<String>())
}
