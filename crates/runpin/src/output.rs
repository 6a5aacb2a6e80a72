//! Results on standard output, as text for people or JSON for programs.

use serde::Serialize;
use std::fmt::Display;
use std::str::FromStr;
use thiserror::Error;

/// Form of a command's result.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Output {
    /// For people.
    #[default]
    Text,
    /// One JSON document.
    Json,
}

/// The form is not one of those.
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
    /// Prints a result that reads as `text` and is written in JSON as `value`.
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

/// Prints one result; a reader that went away is no failure.
pub(crate) fn print(text: impl Display) {
    use std::io::Write;
    let _ = writeln!(std::io::stdout(), "{text}");
}
