//! Every command in docs/OPERATORS.md is run, in order, and prints what stands under it.
//!
//! In an expected line `...` stands for any text; a line that is only `...` for any lines.

mod common;

use common::{Deployment, Traffic};
use std::path::Path;

const PAGE: &str = "docs/OPERATORS.md";
const FENCE: &str = "```";

/// A command of the page and what it should print.
struct Example {
    command: String,
    expected: Vec<String>,
}

fn examples(page: &str) -> Vec<Example> {
    let mut examples: Vec<Example> = Vec::new();
    let mut indent = None;
    for line in page.lines() {
        let text = line.trim_start();
        match (indent, text) {
            (None, "```console") => indent = Some(line.len() - text.len()),
            (Some(_), FENCE) => indent = None,
            (Some(indent), _) => {
                let line = line.get(indent..).unwrap_or_default();
                match (line.strip_prefix("$ runpin "), examples.last_mut()) {
                    (Some(command), _) => {
                        examples.push(Example { command: command.to_owned(), expected: Vec::new() })
                    }
                    (None, Some(example)) => example.expected.push(line.to_owned()),
                    (None, None) => panic!("output without a command: {line}"),
                }
            }
            (None, _) => {}
        }
    }
    examples
}

fn line_matches(expected: &str, line: &str) -> bool {
    let mut rest = line;
    let mut parts = expected.split("...");
    let first = parts.next().unwrap_or_default();
    let Some(after) = rest.strip_prefix(first) else { return false };
    rest = after;
    let parts: Vec<&str> = parts.collect();
    for (number, part) in parts.iter().enumerate() {
        // Columns are as wide as what stands in them.
        let part = part.trim();
        match rest.find(part) {
            Some(_) if number + 1 == parts.len() && part.is_empty() => return true,
            Some(at) => rest = &rest[at + part.len()..],
            None => return false,
        }
    }
    rest.is_empty()
}

fn matches(expected: &[String], lines: &[&str]) -> bool {
    match (expected, lines) {
        ([], lines) => lines.is_empty(),
        ([any, rest @ ..], _) if any == "..." => {
            (0..=lines.len()).any(|skipped| matches(rest, &lines[skipped..]))
        }
        ([first, rest @ ..], [line, lines @ ..]) => {
            line_matches(first, line.trim_end()) && matches(rest, lines)
        }
        _ => false,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_command_of_the_page_prints_what_stands_under_it() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join(PAGE)).expect("the page");
    let deployment = Deployment::start().await;
    let next = deployment.configuration_text().replace("ttl_ms = 1000", "ttl_ms = 2000");
    deployment.file("next.toml", &next);
    deployment.link("examples", &root.join("examples"));
    let server = deployment.backends[0].address.to_string();

    let examples = examples(&page);
    for Example { command, expected } in &examples {
        let command = command.replace("\"$SERVER\"", &server);
        let arguments: Vec<&str> = command.split_whitespace().collect();
        let compares = arguments.starts_with(&["policy", "compare"]);
        let traffic = compares.then(|| Traffic::start(&deployment));
        let ended = deployment.runpin(&arguments).await;

        let lines: Vec<&str> = ended.stdout.lines().collect();
        assert_eq!(ended.code, 0, "{command}: {ended:?}");
        assert!(matches(expected, &lines), "{command}\n{}\nexpected {expected:#?}", ended.stdout);
        if let Some(number) = lines[0].strip_prefix("version ").and_then(|line| {
            line.strip_suffix(" is accepted").and_then(|number| number.parse().ok())
        }) {
            deployment.wait_for_version(number).await;
        }
        drop(traffic);
    }

    assert!(examples.len() > 20, "{}", examples.len());
}
