//! The cases of the second review: each starts entry instances as processes, with stand-ins around them.
//!
//! Usage: `review-cases CASE FOLDER`.  Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
//! run.

mod client;
mod deployment;
mod fleet;
mod http;
mod readers;
mod record;
mod server;
mod store;
mod uploads;

use std::path::Path;
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Path::new(folder);
    let verdict = match case.as_str() {
        "readers" => readers::run(folder, with_trouble),
        "uploads" => uploads::run(folder, with_trouble),
        _ => Verdict::NotRun,
    };
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
