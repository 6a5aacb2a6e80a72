//! Errors of the configuration format.

use thiserror::Error;

/// Error in a configuration text.
#[derive(Debug, Error, PartialEq)]
pub enum ConfigurationError {
    /// The text is not TOML, or a field has the wrong type or name.
    #[error("line {line}: {message}")]
    Syntax {
        /// Line of the text, counted from 1.
        line: usize,
        /// Message of the parser.
        message: String,
    },
    /// The value of a well-formed field is not allowed.
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
    /// A name or value is defined twice.
    #[error("`{0}` is already defined")]
    Duplicate(String),
    /// A reference has no definition.
    #[error("`{name}` is not a defined {kind}")]
    Unknown {
        /// Kind of the referenced item.
        kind: &'static str,
        /// Name that is not defined.
        name: String,
    },
    /// A number is outside its range.
    #[error("{value} is outside {min}..={max}")]
    Range {
        /// Value in the text.
        value: f64,
        /// Smallest allowed value.
        min: f64,
        /// Largest allowed value.
        max: f64,
    },
    /// A list or text is empty.
    #[error("must not be empty")]
    Empty,
    /// A list has too many entries.
    #[error("has {count} entries, at most {limit} are allowed")]
    TooMany {
        /// Number of entries.
        count: usize,
        /// Maximum number of entries.
        limit: usize,
    },
    /// A text is not an address with a port.
    #[error("`{0}` is not an IP address with a port")]
    Address(String),
    /// A text is not a block of IP addresses.
    #[error("`{0}` is not a block of addresses such as 10.1.0.0/16")]
    Block(String),
    /// A name is empty, too long or has a character that is not allowed.
    #[error("`{0}` may hold only letters, digits, `-` and `_`, at most 64 of them")]
    Name(String),
    /// The shares of the arms that are not shadow arms do not add up to 100 percent.
    #[error("the shares of arms that are not shadow arms add up to {0} percent, not 100")]
    Shares(u32),
}
