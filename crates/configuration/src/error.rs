//! Errors of the configuration format.

use thiserror::Error;

/// Why a configuration text was refused.
#[derive(Debug, Error, PartialEq)]
pub enum ConfigurationError {
    /// The text is not TOML, or a field has the wrong type or name.
    #[error("line {line}: {message}")]
    Syntax {
        /// Line of the text, counted from 1.
        line: usize,
        /// What the parser expected.
        message: String,
    },
    /// A field is well formed but its value is not allowed.
    #[error("line {line}: field `{field}`: {problem}")]
    Field {
        /// Line of the text, counted from 1.
        line: usize,
        /// Path of the field, such as `service.site.availability_zone`.
        field: &'static str,
        /// What is wrong with the value.
        problem: Problem,
    },
}

/// What is wrong with a value.
#[derive(Debug, Error, PartialEq)]
pub enum Problem {
    /// A name is used twice.
    #[error("`{0}` is already defined")]
    Duplicate(String),
    /// A reference names nothing.
    #[error("`{name}` is not a defined {kind}")]
    Unknown {
        /// What kind of thing was looked for.
        kind: &'static str,
        /// The name that was not found.
        name: String,
    },
    /// A number lies outside its range.
    #[error("{value} is outside {least}..={greatest}")]
    Range {
        /// The value given.
        value: f64,
        /// Smallest value allowed.
        least: f64,
        /// Greatest value allowed.
        greatest: f64,
    },
    /// A list or text is empty.
    #[error("must not be empty")]
    Empty,
    /// A list is longer than the format allows.
    #[error("has {count} entries, at most {limit} are allowed")]
    TooMany {
        /// Number of entries given.
        count: usize,
        /// Number of entries allowed.
        limit: usize,
    },
    /// A text is not an address with a port.
    #[error("`{0}` is not an IP address with a port")]
    Address(String),
    /// A text is not a block of addresses.
    #[error("`{0}` is not a block of addresses such as 10.1.0.0/16")]
    Block(String),
    /// A name contains a character that names may not contain.
    #[error("`{0}` may hold only letters, digits, `-` and `_`, at most 64 of them")]
    Name(String),
    /// The shares of the arms that answer do not add up.
    #[error("the shares of arms that are not shadow arms add up to {0} percent, not 100")]
    Shares(u32),
}
