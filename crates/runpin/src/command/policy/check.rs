//! `runpin policy check`.

use crate::command::file::read_file;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use crate::table::Table;
use argh::FromArgs;
use std::path::PathBuf;
use steering::policy::{CheckedView, View, check_policy};

/// run a policy's program on recorded views, without any instance
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(super) struct PolicyCheck {
    /// file with recorded views, as JSON; may be repeated
    #[argh(option)]
    views: Vec<PathBuf>,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
    /// file with the policy's program
    #[argh(positional)]
    file: PathBuf,
}

/// Compiles the program, runs it on each view and prints the resulting weights.
pub(super) fn run(options: &PolicyCheck) -> Result<Exit, CommandError> {
    let program = read_file(&options.file)?;
    let mut views: Vec<View> = Vec::new();
    for path in &options.views {
        let text = read_file(path)?;
        let parsed: Vec<View> = serde_json::from_str(&text)
            .map_err(|source| CommandError::Views { path: path.clone(), source })?;
        views.extend(parsed);
    }
    let checked = check_policy(&program, &views)
        .map_err(|source| CommandError::Program { path: options.file.clone(), source })?;
    options.output.show(&checked, describe(&checked))?;
    Ok(Exit::Done)
}

fn describe(checked: &[CheckedView]) -> String {
    let mut table = Table::new(["SERVICE", "FROM", "WEIGHTS"]);
    for view in checked {
        let weights = view.weights.iter();
        let weights: Vec<String> =
            weights.map(|(zone, weight)| format!("{zone} {:.1} %", weight * 100.0)).collect();
        table.add_row([
            view.service.to_string(),
            view.availability_zone.to_string(),
            weights.join(", "),
        ]);
    }
    match table.is_empty() {
        true => "the program compiles; name recorded views with --views to run it".to_owned(),
        false => table.to_string(),
    }
}
