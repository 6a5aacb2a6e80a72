//! Runs every command of docs/OPERATORS.md in order and checks its output.
//!
//! In an expected line, `...` matches any text; a line that is only `...` matches any lines.

mod common;

use common::{Deployment, Traffic};
use std::path::Path;

const PAGE: &str = "docs/OPERATORS.md";
const CODE_FENCE: &str = "```";

/// A command of the page and its expected output.
struct Example {
    command: String,
    expected: Vec<String>,
}

/// Returns the commands of the console blocks of a page, with their output.
fn parse_examples(page: &str) -> Vec<Example> {
    let mut parsed: Vec<Example> = Vec::new();
    let mut indent = None;
    for line in page.lines() {
        let text = line.trim_start();
        match (indent, text) {
            (None, "```console") => indent = Some(line.len() - text.len()),
            (Some(_), CODE_FENCE) => indent = None,
            (Some(indent), _) => {
                let line = line.get(indent..).unwrap_or_default();
                match (line.strip_prefix("$ runpin "), parsed.last_mut()) {
                    (Some(command), _) => {
                        parsed.push(Example { command: command.to_owned(), expected: Vec::new() })
                    }
                    (None, Some(example)) => example.expected.push(line.to_owned()),
                    (None, None) => panic!("output without a command: {line}"),
                }
            }
            (None, _) => {}
        }
    }
    parsed
}

/// Returns whether a line matches an expected line.
fn line_matches(expected: &str, line: &str) -> bool {
    let mut rest = line;
    let mut parts = expected.split("...");
    let first = parts.next().unwrap_or_default();
    let Some(after) = rest.strip_prefix(first) else { return false };
    rest = after;
    let parts: Vec<&str> = parts.collect();
    for (number, part) in parts.iter().enumerate() {
        // Column widths depend on the contents, so spaces around `...` are ignored.
        let part = part.trim();
        match rest.find(part) {
            Some(_) if number + 1 == parts.len() && part.is_empty() => return true,
            Some(position) => rest = &rest[position + part.len()..],
            None => return false,
        }
    }
    rest.is_empty()
}

/// Returns whether lines match the expected lines.
fn lines_match(expected: &[String], lines: &[&str]) -> bool {
    match (expected, lines) {
        ([], lines) => lines.is_empty(),
        ([any, rest @ ..], _) if any == "..." => {
            (0..=lines.len()).any(|skipped| lines_match(rest, &lines[skipped..]))
        }
        ([first, rest @ ..], [line, lines @ ..]) => {
            line_matches(first, line.trim_end()) && lines_match(rest, lines)
        }
        _ => false,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_documented_command_prints_the_documented_output() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join(PAGE)).expect("the page");
    let deployment = Deployment::start().await;
    let next = deployment.configuration_text().replace("ttl_ms = 1000", "ttl_ms = 2000");
    deployment.file("next.toml", &next);
    deployment.link("examples", &root.join("examples"));
    let server = deployment.backends[0].address.to_string();

    let commands = parse_examples(&page);
    for Example { command, expected } in &commands {
        let command = command.replace("\"$SERVER\"", &server);
        let arguments: Vec<&str> = command.split_whitespace().collect();
        let needs_traffic = arguments.starts_with(&["policy", "compare"]);
        let traffic = needs_traffic.then(|| Traffic::start(&deployment));
        let output = deployment.runpin(&arguments).await;

        let lines: Vec<&str> = output.stdout.lines().collect();
        assert_eq!(output.code, 0, "{command}: {output:?}");
        assert!(
            lines_match(expected, &lines),
            "{command}\n{}\nexpected {expected:#?}",
            output.stdout
        );
        if let Some(number) = lines[0].strip_prefix("version ").and_then(|line| {
            line.strip_suffix(" is accepted").and_then(|number| number.parse().ok())
        }) {
            deployment.wait_for_version(number).await;
        }
        drop(traffic);
    }

    assert!(commands.len() > 20, "{}", commands.len());
}
