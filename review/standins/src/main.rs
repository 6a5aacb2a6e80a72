//! Runs one case of the review: `standins CASE FOLDER`, at the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod case1;
mod case3;
mod client;
mod fleet;
mod http;
mod record;
mod server;
mod store;
mod template;

use record::Record;
use std::path::{Path, PathBuf};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = std::env::temp_dir().join(format!("runpin-review-{case}-{}", std::process::id()));
    let code = run(case, Path::new(folder), &dir, has_trouble);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    std::process::exit(code);
}

fn run(case: &str, folder: &Path, dir: &PathBuf, has_trouble: bool) -> i32 {
    let prepared =
        std::fs::create_dir_all(dir).and_then(|()| Record::create(&folder.join("record.txt")));
    let record = match prepared {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{error}");
            return 2;
        }
    };
    record.say(&format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let outcome = match case {
        "1" => case1::run(dir, &record, has_trouble),
        "3" => case3::run(dir, &record, has_trouble),
        other => {
            record.say(&format!("no case {other}"));
            return 2;
        }
    };
    let code = outcome.unwrap_or_else(|error| {
        record.say(&format!("could not run: {error}"));
        2
    });
    record.say(["held", "broken", "could not run"][code.clamp(0, 2) as usize]);
    code
}
