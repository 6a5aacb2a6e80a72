//! Every example configuration is valid; every file in `invalid` is rejected with the error in its
//! first line.

use configuration::Configuration;
use std::path::Path;

fn accepts(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;

    text.parse::<Configuration>()?;

    Ok(())
}

fn refuses(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let expected = text.lines().next().and_then(|line| line.strip_prefix("# ")).unwrap_or_default();

    let error = text.parse::<Configuration>().err().map(|error| error.to_string());

    assert_eq!(error.as_deref(), Some(expected));
    Ok(())
}

datatest_stable::harness! {
    { test = accepts, root = "../../examples", pattern = r"^[a-z]+\.toml$" },
    { test = refuses, root = "tests/invalid", pattern = r"\.toml$" },
}
