//! Arguments of the soak test.

use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// Seeds of the runs in CI, one with few instances and one with many.
const DEFAULT_SEEDS: [u64; 2] = [1, 3];

/// Length of the run in CI.
const DEFAULT_LENGTH: Duration = Duration::from_secs(31);

/// An argument that can't be used.
#[derive(Debug, Error)]
pub(crate) enum OptionError {
    /// The value is missing.
    #[error("{0} needs a value")]
    Missing(String),
    /// The value is not a number.
    #[error("{name} needs a number, not {value:?}")]
    NotANumber {
        /// Name of the argument.
        name: String,
        /// The given value.
        value: String,
    },
}

/// What to run.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Seeds of the runs.
    pub(crate) seeds: Vec<u64>,
    /// Seed of the present run.
    pub(crate) seed: u64,
    pub(crate) length: Duration,
    /// The binary to test.
    pub(crate) binary: PathBuf,
    /// Whether to run the seeds that once failed.
    pub(crate) runs_cases: bool,
    /// Whether to list the tests only.
    pub(crate) lists: bool,
}

impl Options {
    /// Reads the arguments; those of the standard harness are ignored.
    pub(crate) fn from_arguments(
        mut arguments: impl Iterator<Item = String>,
    ) -> Result<Self, OptionError> {
        let mut options = Self {
            seeds: DEFAULT_SEEDS.to_vec(),
            seed: DEFAULT_SEEDS[0],
            length: DEFAULT_LENGTH,
            binary: env!("CARGO_BIN_EXE_runpind").into(),
            runs_cases: false,
            lists: false,
        };
        while let Some(name) = arguments.next() {
            match name.as_str() {
                "--seed" => options.seeds = vec![number(name, arguments.next())?],
                "--minutes" => {
                    let minutes: f64 = number(name, arguments.next())?;
                    options.length = Duration::from_secs_f64(minutes.clamp(0.0, 1e6) * 60.0);
                }
                "--binary" => options.binary = text(name, arguments.next())?.into(),
                "--cases" => options.runs_cases = true,
                "--list" => options.lists = true,
                _ => {}
            }
        }
        Ok(options)
    }
}

fn text(name: String, value: Option<String>) -> Result<String, OptionError> {
    value.ok_or(OptionError::Missing(name))
}

fn number<T: std::str::FromStr>(name: String, value: Option<String>) -> Result<T, OptionError> {
    let value = text(name.clone(), value)?;
    value.parse().map_err(|_| OptionError::NotANumber { name, value })
}
