//! Arguments of the soak test.

use std::time::Duration;
use thiserror::Error;

/// Seed of the run in CI.
const DEFAULT_SEED: u64 = 1;

/// Length of the run in CI.
const DEFAULT_LENGTH: Duration = Duration::from_secs(31);

/// An argument that can't be used.
#[derive(Debug, Error)]
#[error("{name} needs a number, not {value:?}")]
pub(crate) struct OptionError {
    name: String,
    value: Option<String>,
}

/// What to run.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) seed: u64,
    pub(crate) length: Duration,
    /// Whether to list the tests only.
    pub(crate) lists: bool,
}

impl Options {
    /// Reads the arguments; those of the standard harness are ignored.
    pub(crate) fn from_arguments(
        mut arguments: impl Iterator<Item = String>,
    ) -> Result<Self, OptionError> {
        let mut options = Self { seed: DEFAULT_SEED, length: DEFAULT_LENGTH, lists: false };
        while let Some(name) = arguments.next() {
            match name.as_str() {
                "--seed" => options.seed = number(name, arguments.next())?,
                "--minutes" => {
                    let minutes: f64 = number(name, arguments.next())?;
                    options.length = Duration::from_secs_f64(minutes.clamp(0.0, 1e6) * 60.0);
                }
                "--list" => options.lists = true,
                _ => {}
            }
        }
        Ok(options)
    }
}

fn number<T: std::str::FromStr>(name: String, value: Option<String>) -> Result<T, OptionError> {
    let parsed = value.as_deref().and_then(|value| value.parse().ok());
    parsed.ok_or(OptionError { name, value })
}
