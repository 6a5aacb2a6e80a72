//! Prints results to standard output, as text for people or JSON for programs.

use serde::Serialize;
use std::fmt::Display;
use std::str::FromStr;
use thiserror::Error;

/// Output format of a command.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Output {
    /// Text for people.
    #[default]
    Text,
    /// One JSON document.
    Json,
}

/// The name is not that of an output format.
#[derive(Debug, Error)]
#[error("`{0}` is not `text` or `json`")]
pub(crate) struct OutputError(String);

impl FromStr for Output {
    type Err = OutputError;

    fn from_str(text: &str) -> Result<Self, OutputError> {
        match text {
            "text" => Ok(Output::Text),
            "json" => Ok(Output::Json),
            other => Err(OutputError(other.to_owned())),
        }
    }
}

impl Output {
    /// Prints a result: `text` in text format, `value` in JSON format.
    ///
    /// # Errors
    ///
    /// Fails if `value` cannot be serialized.
    pub(crate) fn show<T: Serialize>(
        self,
        value: &T,
        text: impl Display,
    ) -> Result<(), serde_json::Error> {
        match self {
            Output::Text => print(text),
            Output::Json => print(serde_json::to_string_pretty(value)?),
        }
        Ok(())
    }
}

/// Prints a result; write errors are ignored, because the reader may have closed the pipe.
pub(crate) fn print(text: impl Display) {
    use std::io::Write;
    let _ = writeln!(std::io::stdout(), "{text}");
}
