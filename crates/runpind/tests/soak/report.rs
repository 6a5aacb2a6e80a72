//! What the soak test prints.

use crate::history::{History, Violation};
use crate::options::{OptionError, Options};
use crate::plan::{self, Step};
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Most log lines that are printed for a violation.
const LOG_LINES: usize = 40;

fn print(text: &str) {
    // Without standard output there is nowhere to report to.
    let _ = writeln!(io::stdout(), "{text}");
}

/// Reports an argument that can't be used.
pub(crate) fn usage(error: &OptionError) -> ExitCode {
    print(&format!("soak: {error}"));
    ExitCode::from(2)
}

/// Lists the one test, as the standard harness does.
pub(crate) fn list() -> ExitCode {
    print("soak: test");
    ExitCode::SUCCESS
}

/// Prints what a run is about.
pub(crate) fn start(options: &Options, folder: &Path) {
    let limits = plan::limits(options.seed);
    let Options { seed, length, .. } = options;
    print(&format!(
        "running 1 test\nsoak: seed {seed}, {length:?}, {limits:?}, logs in {folder:?}"
    ));
}

/// Prints a step that begins.
pub(crate) fn step(step: &Step) {
    print(&format!("soak: at {:?} for {:?}: {:?}", step.at, step.duration, step.fault));
}

/// Prints that the thread of the test is blocked.
pub(crate) fn blocked(seed: u64, limit: Duration) {
    print(&format!(
        "soak: seed {seed}: the test's thread is blocked, as it did not end within {limit:?}"
    ));
}

/// Prints the outcome of a run; the logs of a run without violations are removed.
pub(crate) fn end(
    options: &Options,
    folder: &Path,
    history: &History,
    outcome: io::Result<()>,
) -> ExitCode {
    print(&format!("soak: {}", counts(history)));
    let violations = history.violations.borrow();
    for violation in violations.iter() {
        print_violation(options, folder, violation, history.started.get());
    }
    if let Err(error) = &outcome {
        print(&format!("soak: seed {}: {error}", options.seed));
    }
    let failed = u8::from(!violations.is_empty() || outcome.is_err());
    if failed == 0 {
        // Logs that stay do no harm.
        let _ = std::fs::remove_dir_all(folder);
    }
    let result = if failed == 0 { "ok" } else { "FAILED" };
    print(&format!(
        "test soak ... {result}\n\ntest result: {result}. {} passed; {failed} failed",
        1 - failed
    ));
    ExitCode::from(failed)
}

fn print_violation(
    options: &Options,
    folder: &Path,
    violation: &Violation,
    started: Option<Instant>,
) {
    let Violation { rule, detail, ids, at } = violation;
    let after = started.map(|started| at.duration_since(started)).unwrap_or_default();
    print(&format!("soak: seed {}, {after:?}, rule {rule}, ids {ids:?}: {detail}", options.seed));
    log_lines(folder, ids).iter().take(LOG_LINES).for_each(|line| print(line));
}

/// Lines of the instances' logs that contain one of the request IDs.
fn log_lines(folder: &Path, ids: &[String]) -> Vec<String> {
    let quoted: Vec<String> = ids.iter().map(|id| format!("\"{id}\"")).collect();
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let logs = files.filter_map(|file| {
        let path = file.path();
        let text = std::fs::read_to_string(&path).ok()?;
        Some((path.file_stem()?.to_string_lossy().into_owned(), text))
    });
    logs.flat_map(|(name, text)| {
        let lines = text.lines().filter(|line| quoted.iter().any(|id| line.contains(id)));
        lines.map(|line| format!("  {name}: {line}")).collect::<Vec<_>>()
    })
    .collect()
}

/// Number of requests by outcome.
fn counts(history: &History) -> String {
    let outcomes = history.outcomes.borrow();
    let counts: Vec<String> =
        outcomes.iter().map(|(outcome, count)| format!("{outcome}: {count}")).collect();
    let History { undisturbed_arrivals, judged_at_cut_off, own_delay, .. } = history;
    format!(
        "{} requests; {}; {} arrivals undisturbed; {} judged at instances that were cut off; \
         test held up for {:?}",
        outcomes.values().sum::<u64>(),
        counts.join(", "),
        undisturbed_arrivals.get(),
        judged_at_cut_off.get(),
        own_delay.get()
    )
}
